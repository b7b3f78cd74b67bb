"""Serves one request: admission, choice of a server, tries, outcome."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import msgspec
from multidict import CIMultiDict

from .admission import Admission, Place, Ticket, ticket_for, too_late
from .backend_client import (
    BUSY,
    LEAVING,
    BackendAnswer,
    BackendClient,
    BackendNotRunError,
    BackendUnknownError,
)
from .clock import MS_PER_S, Clock
from .exceptions import RefusedError
from .ids import BackendId, DomainName
from .request_head import RequestHead
from .retry_budget import RetryBudget
from .routing import BUSY_PAUSE_S, Router, Server
from .states import Outcome
from .tracing import TRACEPARENT

OCTETS = 'application/octet-stream'
GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502
# Time between looks for room, when no event tells of it.
ROOM_POLL_S = 0.01


class Work(msgspec.Struct, eq=False):
    """One request on its way; ``body`` is read again for another try."""

    head: RequestHead
    body: bytes | AsyncIterator[bytes]
    # Whether the caller still waits for the answer.
    wanted: Callable[[], bool]
    content_type: str = OCTETS
    traceparent: str = ''
    attempts: int = 0
    # Bytes may have reached a server without a true "not run" from it.
    may_have_run: bool = False
    avoid: frozenset[BackendId] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Return whether the body is kept for another try."""
        return isinstance(self.body, bytes)


class RequestPath:
    """Takes requests of callers to backend servers and answers back."""

    def __init__(
        self,
        admission: Admission,
        router: Router,
        client: BackendClient,
        clock: Clock,
    ) -> None:
        """Join the cores with the client that does the sending."""
        self._admission = admission
        self._router = router
        self._client = client
        self._clock = clock
        self._budgets: dict[DomainName, RetryBudget] = {}

    @contextlib.asynccontextmanager
    async def serve(self, work: Work) -> AsyncIterator[BackendAnswer]:
        """Bring ``work`` to a server; yields the answer to pass on.

        The place in progress is held until the answer was passed on. Raises
        ``RefusedError`` whose outcome is ``not-run`` only when it surely did
        not run.
        """
        ticket = await self._admit(work)
        started_s = self._clock.monotonic_s()
        service_s: float | None = None
        try:
            async with self._answered(work) as answer:
                yield answer
            service_s = self._clock.monotonic_s() - started_s
        finally:
            self._admission.leave(ticket, service_s)
            self.dispatch()

    def dispatch(self) -> None:
        """Grant room to as many waiting requests as may be sent now."""
        now_s = self._clock.monotonic_s()
        while self._admission.in_progress < self._router.capacity():
            if self._admission.grant(now_s) is None:
                return

    async def _admit(self, work: Work) -> Ticket:
        head = work.head
        waiter = asyncio.get_running_loop().create_future()
        ticket = ticket_for(
            head.contract, head.urgency, head.deadline_s, _setter(waiter)
        )
        now_s = self._clock.monotonic_s()
        self._admission.enter(
            head.contract, self._router.live_entries, now_s, ticket
        )
        self.dispatch()
        try:
            if not waiter.done():
                await _wait_until_done(waiter, head.deadline_s - now_s)
        finally:
            if ticket.place is Place.QUEUED:
                self._admission.leave(ticket)
        if ticket.place is Place.IN_PROGRESS:
            return ticket
        raise too_late()

    @contextlib.asynccontextmanager
    async def _answered(self, work: Work) -> AsyncIterator[BackendAnswer]:
        while True:
            server = await self._pick(work)
            server.in_progress += 1
            try:
                answer = await self._try(server, work)
                if answer is not None:
                    yield answer
                    return
            finally:
                server.in_progress -= 1
            await self._await_retry(work, server.domain)

    async def _pick(self, work: Work) -> Server:
        """Return a server with room; waits for one up to the deadline."""
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= work.head.deadline_s:
                raise deadline_passed(work)
            if not work.wanted():
                raise _refused(work, GATEWAY_TIMEOUT, 'the caller is gone')
            server = self._router.pick(now_s, work.avoid)
            if server is not None:
                return server
            await asyncio.sleep(ROOM_POLL_S)

    async def _try(self, server: Server, work: Work) -> BackendAnswer | None:
        """Send ``work`` once; None: it may go again."""
        if not work.attempts:
            self._budget(server.domain).note_first_try()
        work.attempts += 1
        left_s = work.head.deadline_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(left_s):
                answer = await self._client.send(
                    server, self._headers(work, left_s), work.body
                )
        except BackendNotRunError as exc:
            self._note_refusal(server, exc.reason)
            self._check_repeatable(work, str(exc))
        except BackendUnknownError as exc:
            work.may_have_run = True
            if not work.head.idempotent:
                raise _refused(work, BAD_GATEWAY, str(exc)) from exc
            self._check_repeatable(work, str(exc))
        except TimeoutError as exc:
            work.may_have_run = True
            raise deadline_passed(work) from exc
        else:
            server.heard_s = self._clock.monotonic_s()
            server.said_leaving = server.said_leaving or answer.state == LEAVING
            return answer
        work.avoid |= {server.backend}
        return None

    async def _await_retry(self, work: Work, group: DomainName) -> None:
        """Wait until the budget of ``group`` allows another try."""
        budget = self._budget(group)
        while not budget.take(self._clock.monotonic_s()):
            if self._clock.monotonic_s() >= work.head.deadline_s:
                raise deadline_passed(work)
            await asyncio.sleep(ROOM_POLL_S)

    def _note_refusal(self, server: Server, reason: str) -> None:
        now_s = self._clock.monotonic_s()
        if reason == BUSY:
            server.busy_until_s = now_s + BUSY_PAUSE_S
            server.heard_s = now_s
        elif reason == LEAVING:
            server.said_leaving = True
            server.heard_s = now_s
        else:
            server.unreachable = True

    def _check_repeatable(self, work: Work, reason: str) -> None:
        if not work.repeatable:
            raise _refused(work, BAD_GATEWAY, reason)

    def _budget(self, group: DomainName) -> RetryBudget:
        budget = self._budgets.get(group)
        if budget is None:
            budget = RetryBudget(self._clock.monotonic_s())
            self._budgets[group] = budget
        return budget

    def _headers(self, work: Work, left_s: float) -> CIMultiDict[str]:
        head = work.head
        return CIMultiDict(
            {
                'X-Request-Id': head.request,
                'X-Organisation': head.contract.organisation,
                'X-Idempotent': 'true' if head.idempotent else 'false',
                'X-Deadline-Ms': str(max(1, int(left_s * MS_PER_S))),
                'Content-Type': work.content_type,
                TRACEPARENT: work.traceparent,
            }
        )


def deadline_passed(work: Work) -> RefusedError:
    """Return the refusal of ``work`` at its deadline."""
    return _refused(work, GATEWAY_TIMEOUT, 'the deadline has passed')


def _refused(work: Work, status: int, message: str) -> RefusedError:
    """Return a refusal that says only what is surely known."""
    outcome = Outcome.UNKNOWN if work.may_have_run else Outcome.NOT_RUN
    return RefusedError(status, message, outcome=outcome)


def _setter(waiter: asyncio.Future[bool]) -> Callable[[bool], None]:
    def granted(in_time: bool) -> None:
        if not waiter.done():
            waiter.set_result(in_time)

    return granted


async def _wait_until_done(
    waiter: asyncio.Future[bool],
    timeout_s: float,
) -> None:
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(waiter, timeout_s)
