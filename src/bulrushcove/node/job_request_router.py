"""Callers' questions, taken to the active scheduler wherever it is."""

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
from .exceptions import OutcomeUnknownError, ServiceUnavailableError
from .leadership import Leadership
from .messages import (
    CountPending,
    Inquiry,
    JobAnswer,
    LeaderRecord,
    PendingCount,
    Submit,
    SubmitOutcome,
    Submitted,
)
from .peers import PeerNotConnectedError, Peers
from .scheduler import Scheduler
from .store_keys import job_key, progress_key
from .store_writer import LeadershipLostError

# A question to the active scheduler that brings no answer in this time is
# asked again on a fresh stream.
QUESTION_TIMEOUT_S = 1.2
RETRY_S = 0.1
# Time kept for the answer to reach the caller.
ANSWER_MARGIN_S = 0.15
# How long a submission waits for an active scheduler before it is refused.
PATIENCE_S = 1.2
# When to come back while there is no active scheduler.
NO_SCHEDULER_RETRY_S = 1.0

Answer = TypeVar('Answer', bound=msgspec.Struct)

logger = logging.getLogger(__name__)


class JobRequestRouter:
    """Answers callers of one VM, and other VMs that cannot ask themselves."""

    def __init__(
        self,
        leadership: Leadership,
        peers: Peers,
        store: WatchableStore,
        clock: Clock,
    ) -> None:
        """Ask the scheduler that ``leadership`` names."""
        self.scheduler: Scheduler | None = None
        self._leadership = leadership
        self._peers = peers
        self._store = store
        self._clock = clock

    async def submit(self, spec: JobSpec, deadline_s: float) -> None:
        """Return once ``spec`` is accepted and stored.

        Raises ``JobRefusedError`` or ``ServiceUnavailableError`` if it never
        will be, ``JobConflictError``, and ``OutcomeUnknownError``.
        """
        began_s = self._clock.monotonic_s()
        may_be_taken = False
        while not self._is_hopeless(began_s, deadline_s, may_be_taken):
            left_s = deadline_s - self._clock.monotonic_s() - ANSWER_MARGIN_S
            answer = await self._submit_once(spec, left_s)
            if answer.outcome is SubmitOutcome.ACCEPTED:
                return
            _raise_final(answer)
            if answer.outcome is SubmitOutcome.UNKNOWN:
                may_be_taken = True
            await asyncio.sleep(RETRY_S)
        if may_be_taken:
            raise OutcomeUnknownError(f'job {spec.job}: no answer in time')
        raise ServiceUnavailableError(
            'no active scheduler', NO_SCHEDULER_RETRY_S
        )

    async def query_job(
        self,
        job: JobId,
        organisation: OrganisationId,
        *,
        should_cancel: bool,
        deadline_s: float,
    ) -> JobPhase | None:
        """Return the state of a job, cancelled before if it ``should_cancel``.

        Returns None for an unknown job. Raises ``ServiceUnavailableError`` if
        no VM answers in time.
        """
        question = Inquiry(job, organisation, should_cancel)
        while self._clock.monotonic_s() + ANSWER_MARGIN_S < deadline_s:
            answer = await self._ask_scheduler(
                question, JobAnswer, self.handle_inquiry, deadline_s
            )
            is_known = answer is not None and answer.is_known
            if not is_known and not should_cancel:
                answer = await self._read_answer(job, organisation)
            if answer is not None and answer.is_known:
                return JobPhase(answer.phase) if answer.phase else None
            await asyncio.sleep(RETRY_S)
        raise ServiceUnavailableError(
            'no active scheduler', NO_SCHEDULER_RETRY_S
        )

    async def count_pending(self, queue: QueueName, deadline_s: float) -> int:
        """Return how many jobs of ``queue`` have not begun."""
        question = CountPending(queue)
        while self._clock.monotonic_s() + ANSWER_MARGIN_S < deadline_s:
            answer = await self._ask_scheduler(
                question, PendingCount, self.handle_count_pending, deadline_s
            )
            if answer is not None and answer.count is not None:
                return answer.count
            await asyncio.sleep(RETRY_S)
        raise ServiceUnavailableError(
            'no active scheduler', NO_SCHEDULER_RETRY_S
        )

    async def handle_submit(self, question: Submit) -> Submitted:
        """Answer a submission that another VM or this one handed in."""
        scheduler = self._active()
        if scheduler is not None:
            return await self._submit_here(scheduler, question)
        if question.may_forward and self._leadership.leader is not None:
            forwarded = msgspec.structs.replace(question, may_forward=False)
            return await self._submit_by(
                self._leadership.leader.address, forwarded
            )
        return Submitted(SubmitOutcome.NOT_LEADER)

    async def handle_inquiry(self, question: Inquiry) -> JobAnswer:
        """Answer a question about one job."""
        scheduler = self._active()
        if scheduler is None:
            return await self._forward(
                question, JobAnswer, JobAnswer('', is_known=False)
            )
        if question.cancels:
            try:
                phase = await scheduler.job_requests.cancel(
                    question.job, question.organisation
                )
            except LeadershipLostError:
                return JobAnswer('', is_known=False)
        else:
            phase = scheduler.job_requests.phase(
                question.job, question.organisation
            )
        return JobAnswer(phase.value if phase else '')

    async def handle_count_pending(
        self, question: CountPending
    ) -> PendingCount:
        """Answer a question about a queue."""
        scheduler = self._active()
        if scheduler is None:
            return await self._forward(
                question, PendingCount, PendingCount(None)
            )
        return PendingCount(scheduler.job_requests.pending(question.queue))

    def _is_hopeless(
        self, began_s: float, deadline_s: float, may_be_taken: bool
    ) -> bool:
        """Return whether to stop trying to hand a job in."""
        now_s = self._clock.monotonic_s()
        if now_s + ANSWER_MARGIN_S >= deadline_s:
            return True
        return not may_be_taken and now_s - began_s > PATIENCE_S

    def _active(self) -> Scheduler | None:
        """Return this VM's scheduler if it may answer."""
        scheduler = self.scheduler
        if scheduler is None or not scheduler.is_loaded:
            return None
        return scheduler if self._leadership.has_authority else None

    async def _submit_once(self, spec: JobSpec, left_s: float) -> Submitted:
        question = Submit(spec, int(left_s * MS_PER_S))
        if self._active() is not None:
            return await self.handle_submit(question)
        leader = self._leadership.leader
        if leader is not None and self._leadership.is_leader_reachable:
            return await self._submit_by(leader.address, question)
        if leader is not None:
            return await self._submit_around(leader, question)
        return Submitted(SubmitOutcome.NOT_LEADER)

    async def _submit_here(
        self, scheduler: Scheduler, question: Submit
    ) -> Submitted:
        try:
            async with asyncio.timeout(question.wait_ms / MS_PER_S):
                await scheduler.job_requests.submit(question.spec)
        except (JobRefusedError, ServiceUnavailableError) as exc:
            is_refused = isinstance(exc, JobRefusedError)
            outcome = (
                SubmitOutcome.REFUSED
                if is_refused
                else SubmitOutcome.UNAVAILABLE
            )
            return Submitted(outcome, str(exc), exc.retry_after_s)
        except JobConflictError as exc:
            return Submitted(SubmitOutcome.CONFLICT, str(exc))
        except (TimeoutError, LeadershipLostError) as exc:
            return Submitted(SubmitOutcome.UNKNOWN, repr(exc))
        return Submitted(SubmitOutcome.ACCEPTED)

    async def _submit_by(self, address: str, question: Submit) -> Submitted:
        timeout_s = min(QUESTION_TIMEOUT_S, question.wait_ms / MS_PER_S)
        try:
            _, answer = await self._peers.request(
                address, question, Submitted, timeout_s
            )
        except PeerNotConnectedError as exc:
            return Submitted(SubmitOutcome.NOT_LEADER, str(exc))
        except PeerUnreachableError as exc:
            return Submitted(SubmitOutcome.UNKNOWN, str(exc))
        return answer

    async def _submit_around(
        self, leader: LeaderRecord, question: Submit
    ) -> Submitted:
        """Hand in through a VM that may hear the scheduler."""
        others = tuple(self._peers.known_addresses - {leader.address})
        if not others:
            return Submitted(SubmitOutcome.NOT_LEADER)
        return await self._submit_by(random.choice(others), question)

    async def _ask_scheduler(
        self,
        question: msgspec.Struct,
        answer_type: type[Answer],
        answer_here: Callable[[msgspec.Struct], Awaitable[Answer]],
        deadline_s: float,
    ) -> Answer | None:
        if self._active() is not None:
            return await answer_here(question)
        leader = self._leadership.leader
        if leader is None:
            return None
        left_s = deadline_s - self._clock.monotonic_s()
        try:
            _, answer = await self._peers.request(
                leader.address,
                question,
                answer_type,
                min(QUESTION_TIMEOUT_S, left_s),
            )
        except PeerUnreachableError:
            return None
        return answer

    async def _forward(
        self,
        question: msgspec.Struct,
        answer_type: type[Answer],
        otherwise: Answer,
    ) -> Answer:
        """Pass a question on once, for a VM that cannot reach the holder."""
        leader = self._leadership.leader
        if not question.may_forward or leader is None:
            return otherwise
        forwarded = msgspec.structs.replace(question, may_forward=False)
        try:
            _, answer = await self._peers.request(
                leader.address, forwarded, answer_type, QUESTION_TIMEOUT_S
            )
        except PeerUnreachableError:
            return otherwise
        return answer

    async def _read_answer(
        self, job: JobId, organisation: OrganisationId
    ) -> JobAnswer | None:
        """Return what the store knows of a job; None: it does not answer."""
        try:
            accepted = await self._store.read(job_key(job))
            known = await self._store.read(progress_key(job))
        except StoreError as exc:
            log_event(logger, 'inquiry.store_failed', job=job, error=exc)
            return None
        if not accepted.found:
            return JobAnswer('')
        terms = decode_submission(accepted.found[0].value).spec.terms
        if terms.organisation != organisation:
            return JobAnswer('')
        if not known.found:
            return JobAnswer(JobPhase.QUEUED.value)
        return JobAnswer(decode_progress(known.found[0].value).phase)


def _raise_final(answer: Submitted) -> None:
    """Raise the error of an answer that no further try changes."""
    if answer.outcome is SubmitOutcome.CONFLICT:
        raise JobConflictError(answer.message)
    if answer.outcome is SubmitOutcome.REFUSED:
        raise JobRefusedError(answer.message, answer.retry_after_s)
    if answer.outcome is SubmitOutcome.UNAVAILABLE:
        raise ServiceUnavailableError(answer.message, answer.retry_after_s)
