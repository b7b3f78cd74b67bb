"""Takes admitted requests to backend servers, again where that is safe."""

import asyncio
from collections.abc import Callable

from .backend_client import (
    BUSY,
    LEAVING,
    BackendClient,
    BackendNotRunError,
    BackendOutcomeUnknownError,
    BackendResponse,
)
from .clock import Clock
from .hedged_request import HedgedRequest, hedge_delay_s
from .ids import DomainName, OrganisationId
from .pending_request import (
    GATEWAY_TIMEOUT,
    PendingRequest,
    backend_headers,
    deadline_exceeded,
    refusal,
)
from .retry_budget import RetryBudget
from .routing import Router, Server
from .tracing import TRACEPARENT, hop_span

BAD_GATEWAY = 502
# Time between looks for room, when no event tells of it.
ROOM_POLL_S = 0.01


class Sender:
    """Chooses servers, sends, and tells each outcome as surely as known."""

    def __init__(
        self,
        router: Router,
        client: BackendClient,
        mean_service_s: Callable[[OrganisationId], float],
        record_cross_domain_bytes: Callable[[int], None],
        clock: Clock,
    ) -> None:
        """Send by ``client``.

        ``mean_service_s`` returns the observed mean service time of an
        organisation's requests. ``record_cross_domain_bytes`` counts the
        bytes exchanged with servers of other failure domains.
        """
        self._router = router
        self._client = client
        self._mean_service_s = mean_service_s
        self._record_cross_domain_bytes = record_cross_domain_bytes
        self._clock = clock
        self._budgets: dict[DomainName, RetryBudget] = {}

    async def send(self, pending: PendingRequest) -> BackendResponse:
        """Return the answer to ``pending``, which holds its server from then.

        Raises ``RefusedError`` whose outcome is ``not-run`` only when the
        request surely did not run.
        """
        while True:
            server = await self._pick(pending)
            self._router.acquire(server, pending.acquired_servers)
            answer = await self._try(server, pending)
            if answer is not None:
                return answer
            self._router.release(pending.acquired_servers)
            await self._await_retry(pending, server.domain)

    async def _pick(self, pending: PendingRequest) -> Server:
        """Return a server with room; waits for one up to the deadline."""
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= pending.head.deadline_s:
                raise deadline_exceeded(pending)
            if not pending.is_caller_connected():
                raise refusal(pending, GATEWAY_TIMEOUT, 'the caller is gone')
            server = self._router.pick(now_s, pending.tried_backends)
            if server is not None:
                return server
            await asyncio.sleep(ROOM_POLL_S)

    async def _try(
        self,
        server: Server,
        pending: PendingRequest,
    ) -> BackendResponse | None:
        """Send ``pending`` once; None: it may go again."""
        if not pending.attempts:
            self._budget(server.domain).record_first_attempt()
        ran_before = pending.may_have_run
        try:
            return await self._send(server, pending)
        except BackendNotRunError as exc:
            pending.may_have_run = ran_before
            self._note_refusal(server, exc.reason)
            self._check_repeatable(pending, exc)
        except BackendOutcomeUnknownError as exc:
            if not pending.head.idempotent:
                raise refusal(pending, BAD_GATEWAY, str(exc)) from exc
            self._check_repeatable(pending, exc)
        except TimeoutError as exc:
            raise deadline_exceeded(pending) from exc
        pending.tried_backends |= {server.backend}
        return None

    async def _send(
        self, server: Server, pending: PendingRequest
    ) -> BackendResponse:
        """Send ``pending``, and once more elsewhere when nothing comes back."""
        started_s = self._clock.monotonic_s()
        left_s = pending.head.deadline_s - started_s
        pending.attempts += 1
        pending.may_have_run = True
        second = HedgedRequest(lambda: self._go_again(server, pending))
        expected_s = self._mean_service_s(pending.head.contract.organisation)
        try:
            async with asyncio.timeout(left_s) as scope:
                second.start_after(hedge_delay_s(expected_s, left_s), scope)
                answer = await self._exchange(server, pending, left_s)
        except TimeoutError:
            if second.answer is None:
                raise
            return second.answer
        finally:
            second.stop()
        if second.answer is not None:
            second.answer.close()
        self._note_answer(server, answer)
        pending.service_s = self._clock.monotonic_s() - started_s
        return answer

    async def _go_again(
        self,
        silent: Server,
        pending: PendingRequest,
    ) -> BackendResponse | None:
        """Answer ``pending`` over a fresh connection to another server.

        ``silent`` gets nothing new while it does not answer a probe. None:
        the request may not go again, or did not get an answer.
        """
        silent.is_unresponsive = not await self._client.is_alive(silent)
        if not (pending.head.idempotent and pending.is_replayable):
            return None
        now_s = self._clock.monotonic_s()
        server = self._router.pick(
            now_s, pending.tried_backends | {silent.backend}
        )
        if server is None or not self._budget(server.domain).acquire(now_s):
            return None
        self._router.acquire(server, pending.acquired_servers)
        pending.attempts += 1
        left_s = pending.head.deadline_s - now_s
        try:
            answer = await self._exchange(server, pending, left_s, fresh=True)
        except BackendNotRunError as exc:
            self._note_refusal(server, exc.reason)
        except BackendOutcomeUnknownError:
            return None
        else:
            self._note_answer(server, answer)
            return answer
        return None

    async def _exchange(
        self,
        server: Server,
        pending: PendingRequest,
        left_s: float,
        *,
        fresh: bool = False,
    ) -> BackendResponse:
        with hop_span('entry.backend', backend=server.backend) as traceparent:
            headers = backend_headers(pending, left_s)
            headers[TRACEPARENT] = traceparent or pending.traceparent
            answer = await self._client.send(
                server, headers, pending.body, fresh=fresh
            )
        if not self._router.is_local(server):
            sent = len(pending.body) if isinstance(pending.body, bytes) else 0
            self._record_cross_domain_bytes(
                sent + (answer.length or len(answer.body))
            )
        return answer

    async def _await_retry(
        self, pending: PendingRequest, group: DomainName
    ) -> None:
        """Wait until the budget of ``group`` allows another try."""
        budget = self._budget(group)
        while not budget.acquire(self._clock.monotonic_s()):
            if self._clock.monotonic_s() >= pending.head.deadline_s:
                raise deadline_exceeded(pending)
            await asyncio.sleep(ROOM_POLL_S)

    def _note_answer(self, server: Server, answer: BackendResponse) -> None:
        self._router.record_success(server)
        if answer.state == LEAVING:
            server.reports_draining = True

    def _note_refusal(self, server: Server, reason: str) -> None:
        if reason == BUSY:
            self._router.record_busy(server, self._clock.monotonic_s())
        elif reason == LEAVING:
            server.reports_draining = True
        else:
            server.is_unreachable = True

    def _check_repeatable(
        self, pending: PendingRequest, error: Exception
    ) -> None:
        if not pending.is_replayable:
            raise refusal(pending, BAD_GATEWAY, str(error)) from error

    def _budget(self, group: DomainName) -> RetryBudget:
        budget = self._budgets.get(group)
        if budget is None:
            budget = RetryBudget(self._clock.monotonic_s())
            self._budgets[group] = budget
        return budget
