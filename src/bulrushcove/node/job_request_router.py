"""Routes the job requests of callers and peers to the leader."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from ..batch.exceptions import JobConflictError, JobRefusedError
from ..batch.ids import QueueName
from ..batch.job_spec import JobSpec
from ..batch.job_state import JobPhase
from ..batch.records import decode_progress, decode_submission
from ..clock import MS_PER_S, Clock
from ..exceptions import PeerUnreachableError, StoreError
from ..ids import JobId, OrganisationId
from ..logs import log_event
from ..store import WatchableStore
from .exceptions import (
    OutcomeUnknownError,
    ServiceUnavailableError,
    WriteRejectedError,
)
from .leadership import Leadership
from .leadership_check import LeadershipCheck
from .messages import (
    CountPending,
    Inquiry,
    JobAnswer,
    PendingCount,
    Submit,
    SubmitOutcome,
    Submitted,
)
from .peers import PeerNotConnectedError, Peers
from .scheduler import Scheduler
from .store_keys import job_key, progress_key
from .store_writer import LeadershipLostError

# A request to the leader without a response in this time is sent again on a
# new stream.
REQUEST_TIMEOUT_S = 1.2
RETRY_S = 0.1
# Part of the caller's deadline that is reserved for sending the response.
RESPONSE_MARGIN_S = 0.15
# A submission with less time left than this cannot be stored in time: a leader
# and a store in the same domain need about 10 ms.
MIN_SUBMIT_TIME_S = 0.05
# A submission is not sent again for longer, whatever the caller's deadline: its
# cancellation is remembered for a limited time.
MAX_SUBMISSION_TIME_S = 60.0
# How long a submission waits for a leader before it is refused.
MAX_LEADER_WAIT_S = 1.2
# Retry time given to callers while there is no leader.
NO_LEADER_RETRY_AFTER_S = 1.0

Answer = TypeVar('Answer', bound=msgspec.Struct)

logger = logging.getLogger(__name__)


class JobRequestRouter:
    """Serves the callers of one VM, and peers that cannot reach the leader."""

    def __init__(
        self,
        leadership: Leadership,
        peers: Peers,
        store: WatchableStore,
        clock: Clock,
    ) -> None:
        """Send requests to the leader that ``leadership`` names."""
        self.scheduler: Scheduler | None = None
        self._leadership = leadership
        self._peers = peers
        self._store = store
        self._clock = clock
        self._check = LeadershipCheck(leadership, store, clock)

    async def submit(self, spec: JobSpec, deadline_s: float) -> None:
        """Return once ``spec`` is accepted and stored.

        The time for which the submission may have waited for this process,
        which may have been suspended, counts against ``deadline_s``: its caller
        may have given up and cancelled the job.

        Raises ``JobRefusedError`` or ``ServiceUnavailableError`` if it is not
        accepted and never will be, ``JobConflictError`` if the id belongs to
        another job or was cancelled, and ``OutcomeUnknownError`` if it may be
        accepted.
        """
        started_at_s = self._clock.monotonic_s()
        deadline_s = min(deadline_s, started_at_s + MAX_SUBMISSION_TIME_S)
        deadline_s -= self._leadership.loop_delay.longest_wait_s()
        may_be_accepted = False
        attempts = 0
        while not self._should_give_up(
            started_at_s, deadline_s, may_be_accepted
        ):
            left_s = deadline_s - self._clock.monotonic_s() - RESPONSE_MARGIN_S
            attempts += 1
            response = await self._submit_once(spec, left_s)
            if response.outcome is SubmitOutcome.ACCEPTED:
                _log_late_acceptance(
                    spec.job, attempts, self._ms_since(started_at_s)
                )
                return
            _raise_if_final(response, may_be_accepted)
            if response.outcome is SubmitOutcome.UNKNOWN:
                may_be_accepted = True
            await asyncio.sleep(RETRY_S)
        if may_be_accepted:
            raise OutcomeUnknownError(
                f'job {spec.job}: no response before the deadline'
            )
        raise ServiceUnavailableError(
            'no leader accepted the job in time',
            NO_LEADER_RETRY_AFTER_S,
        )

    async def query_job(
        self,
        job: JobId,
        organisation: OrganisationId,
        *,
        should_cancel: bool,
        deadline_s: float,
    ) -> JobPhase | None:
        """Return the phase of a job, after cancelling it if ``should_cancel``.

        Returns None for an unknown job. Raises ``ServiceUnavailableError`` if
        neither the leader nor, unless ``should_cancel``, the store responds
        before the deadline, and ``OutcomeUnknownError`` if the job may be
        cancelled all the same.
        """
        request = Inquiry(job, organisation, should_cancel)
        started_at_s = self._clock.monotonic_s()
        may_be_cancelled = False
        while self._clock.monotonic_s() + RESPONSE_MARGIN_S < deadline_s:
            response = await self._inquire(request, deadline_s)
            if response is not None and response.is_known:
                _log_cancellation(
                    request, response, self._ms_since(started_at_s)
                )
                return JobPhase(response.phase) if response.phase else None
            may_be_cancelled |= should_cancel and response is not None
            await asyncio.sleep(RETRY_S)
        if may_be_cancelled:
            raise OutcomeUnknownError(
                f'job {job}: the cancellation was not confirmed in time'
            )
        raise ServiceUnavailableError(
            'no leader is available', NO_LEADER_RETRY_AFTER_S
        )

    async def count_pending(self, queue: QueueName, deadline_s: float) -> int:
        """Return how many jobs of ``queue`` have not started.

        Raises ``ServiceUnavailableError`` if the leader does not respond
        before the deadline.
        """
        request = CountPending(queue)
        while self._clock.monotonic_s() + RESPONSE_MARGIN_S < deadline_s:
            response = await self._request_leader(
                request,
                self.handle_count_pending,
                PendingCount(None),
                deadline_s,
            )
            if response is not None and response.count is not None:
                return response.count
            await asyncio.sleep(RETRY_S)
        raise ServiceUnavailableError(
            'no leader is available', NO_LEADER_RETRY_AFTER_S
        )

    async def handle_submit(self, request: Submit) -> Submitted:
        """Submit a job for a peer; forward it at most once.

        Not if it may have waited here for longer than the peer waits.
        """
        waited_ms = self._leadership.loop_delay.longest_wait_s() * MS_PER_S
        request = msgspec.structs.replace(
            request, wait_ms=request.wait_ms - int(waited_ms)
        )
        if request.wait_ms <= 0:
            return Submitted(SubmitOutcome.NOT_LEADER, 'received too late')
        scheduler = self._leading_scheduler()
        if scheduler is not None:
            return await self._submit_locally(scheduler, request)
        if request.may_forward and self._leadership.leader is not None:
            forwarded = msgspec.structs.replace(request, may_forward=False)
            return await self._submit_to(
                self._leadership.leader.address, forwarded
            )
        return Submitted(SubmitOutcome.NOT_LEADER)

    async def handle_inquiry(self, request: Inquiry) -> JobAnswer:
        """Return the phase of one job, cancelled first if so requested."""
        scheduler = self._leading_scheduler()
        leader = self._leadership.leader
        if scheduler is None or leader is None:
            return await self._forward(
                request, JobAnswer, JobAnswer('', is_known=False)
            )
        received_at_s = self._clock.monotonic_s()
        if request.cancels:
            try:
                phase = await scheduler.job_requests.cancel(
                    request.job, request.organisation
                )
            except (LeadershipLostError, WriteRejectedError):
                return JobAnswer('', is_known=False)
        else:
            phase = scheduler.job_requests.find_phase(
                request.job, request.organisation
            )
        if not await self._check.may_return_phase(phase, received_at_s):
            return JobAnswer('', is_known=False)
        return JobAnswer(
            phase.value if phase else '', leader=leader.vm, epoch=leader.epoch
        )

    async def handle_count_pending(self, request: CountPending) -> PendingCount:
        """Return how many jobs of one queue have not started."""
        scheduler = self._leading_scheduler()
        if scheduler is None:
            return await self._forward(
                request, PendingCount, PendingCount(None)
            )
        count = scheduler.job_requests.count_queued(request.queue)
        is_current = await self._check.may_return_state()
        return PendingCount(count if is_current else None)

    def _ms_since(self, started_at_s: float) -> int:
        return round((self._clock.monotonic_s() - started_at_s) * MS_PER_S)

    def _should_give_up(
        self, started_at_s: float, deadline_s: float, may_be_accepted: bool
    ) -> bool:
        """Return whether a submission is no longer retried.

        One that may be accepted is retried until the deadline.
        """
        now_s = self._clock.monotonic_s()
        if now_s + RESPONSE_MARGIN_S + MIN_SUBMIT_TIME_S > deadline_s:
            return True
        return not may_be_accepted and now_s - started_at_s > MAX_LEADER_WAIT_S

    def _leading_scheduler(self) -> Scheduler | None:
        """Return the local scheduler if it is loaded and has authority."""
        scheduler = self.scheduler
        if scheduler is None or not scheduler.is_loaded:
            return None
        return scheduler if self._leadership.has_authority else None

    async def _submit_once(self, spec: JobSpec, left_s: float) -> Submitted:
        request = Submit(spec, int(left_s * MS_PER_S))
        scheduler = self._leading_scheduler()
        if scheduler is not None:
            return await self._submit_locally(scheduler, request)
        target = _choose_target(self._leadership, self._peers)
        if target is None:
            return Submitted(SubmitOutcome.NOT_LEADER)
        return await self._submit_to(target, request)

    async def _submit_locally(
        self, scheduler: Scheduler, request: Submit
    ) -> Submitted:
        received_at_s = self._clock.monotonic_s()
        try:
            async with asyncio.timeout(request.wait_ms / MS_PER_S):
                await scheduler.job_requests.submit(request.spec)
        except ServiceUnavailableError as exc:
            return Submitted(
                SubmitOutcome.UNAVAILABLE, str(exc), exc.retry_after_s
            )
        except (JobRefusedError, JobConflictError) as exc:
            # A new leader may have accepted this job.
            if await self._check.is_confirmed_since(received_at_s):
                return _rejected(exc)
            return Submitted(SubmitOutcome.NOT_LEADER, str(exc))
        except (TimeoutError, LeadershipLostError) as exc:
            return Submitted(SubmitOutcome.UNKNOWN, repr(exc))
        return Submitted(SubmitOutcome.ACCEPTED)

    async def _submit_to(self, address: str, request: Submit) -> Submitted:
        timeout_s = min(REQUEST_TIMEOUT_S, request.wait_ms / MS_PER_S)
        try:
            _, response = await self._peers.request(
                address, request, Submitted, timeout_s
            )
        except PeerNotConnectedError as exc:
            return Submitted(SubmitOutcome.NOT_LEADER, str(exc))
        except PeerUnreachableError as exc:
            return Submitted(SubmitOutcome.UNKNOWN, str(exc))
        return response

    async def _inquire(
        self, request: Inquiry, deadline_s: float
    ) -> JobAnswer | None:
        """Ask the leader about a job, and the store if it does not answer.

        Returns None if no request was sent and the store failed. The answer is
        not known if the leader may have cancelled the job.
        """
        answer = await self._request_leader(
            request,
            self.handle_inquiry,
            JobAnswer('', is_known=False),
            deadline_s,
        )
        if request.cancels or (answer is not None and answer.is_known):
            return answer
        return await _read_stored_state(
            self._store, request.job, request.organisation
        )

    async def _request_leader(
        self,
        request: msgspec.Struct,
        handle_locally: Callable[[msgspec.Struct], Awaitable[Answer]],
        unanswered: Answer,
        deadline_s: float,
    ) -> Answer | None:
        """Return the leader's answer to ``request``.

        Returns ``unanswered`` if the request was sent and the leader may have
        received it without an answer in time; None if nothing was sent.
        """
        left_s = deadline_s - self._clock.monotonic_s()
        if self._leading_scheduler() is not None:
            try:
                async with asyncio.timeout(left_s - RESPONSE_MARGIN_S):
                    return await handle_locally(request)
            except TimeoutError:
                return unanswered
        target = _choose_target(self._leadership, self._peers)
        if target is None:
            return None
        try:
            _, answer = await self._peers.request(
                target,
                request,
                type(unanswered),
                min(REQUEST_TIMEOUT_S, left_s),
            )
        except PeerNotConnectedError:
            return None
        except PeerUnreachableError:
            return unanswered
        return answer

    async def _forward(
        self,
        request: msgspec.Struct,
        answer_type: type[Answer],
        fallback: Answer,
    ) -> Answer:
        """Forward a peer's request to the leader, at most once.

        Returns ``fallback`` if that is not possible.
        """
        leader = self._leadership.leader
        if not request.may_forward or leader is None:
            return fallback
        forwarded = msgspec.structs.replace(request, may_forward=False)
        try:
            _, response = await self._peers.request(
                leader.address, forwarded, answer_type, REQUEST_TIMEOUT_S
            )
        except PeerUnreachableError:
            return fallback
        return response


def _log_late_acceptance(job: JobId, attempts: int, elapsed_ms: int) -> None:
    """Log a submission that was answered only when it was sent again.

    The job may have been accepted at an earlier attempt, or ended since.
    """
    if attempts > 1:
        log_event(
            logger,
            'submission.answered_late',
            job=job,
            attempts=attempts,
            ms=elapsed_ms,
        )


def _log_cancellation(
    request: Inquiry, response: JobAnswer, elapsed_ms: int
) -> None:
    """Log how, and by which leader, a cancellation was answered."""
    if request.cancels:
        log_event(
            logger,
            'cancellation.answered',
            job=request.job,
            phase=response.phase or 'none',
            leader=response.leader,
            epoch=response.epoch,
            ms=elapsed_ms,
        )


def _choose_target(leadership: Leadership, peers: Peers) -> str | None:
    """Return the address to which a request to the leader is sent.

    That of the leader, or of a random VM that may reach it; None if no leader
    is known.
    """
    leader = leadership.leader
    if leader is None:
        return None
    others = tuple(peers.known_addresses - {leader.address})
    if leadership.is_leader_reachable or not others:
        return leader.address
    return random.choice(others)


async def _read_stored_state(
    store: WatchableStore, job: JobId, organisation: OrganisationId
) -> JobAnswer | None:
    """Return the state of a job as stored; None if the store fails."""
    try:
        submission = await store.read(job_key(job))
        progress = await store.read(progress_key(job))
    except StoreError as exc:
        log_event(logger, 'inquiry.store_failed', job=job, error=exc)
        return None
    if not submission.found:
        return JobAnswer('')
    terms = decode_submission(submission.found[0].value).spec.terms
    if terms.organisation != organisation:
        return JobAnswer('')
    if not progress.found:
        return JobAnswer(JobPhase.QUEUED.value)
    return JobAnswer(decode_progress(progress.found[0].value).phase)


def _rejected(exc: JobRefusedError | JobConflictError) -> Submitted:
    """Return the response to a submission that was not accepted."""
    if isinstance(exc, JobRefusedError):
        return Submitted(SubmitOutcome.REFUSED, str(exc), exc.retry_after_s)
    return Submitted(SubmitOutcome.CONFLICT, str(exc))


def _raise_if_final(response: Submitted, may_be_accepted: bool) -> None:
    """Raise the error that ``response`` reports if a retry cannot help.

    A refusal is not final for a job that an earlier try may have handed in: it
    may come from a previous leader that does not know of the job.
    """
    if response.outcome is SubmitOutcome.CONFLICT:
        raise JobConflictError(response.message)
    if may_be_accepted:
        return
    if response.outcome is SubmitOutcome.REFUSED:
        raise JobRefusedError(response.message, response.retry_after_s)
    if response.outcome is SubmitOutcome.UNAVAILABLE:
        raise ServiceUnavailableError(response.message, response.retry_after_s)
