"""Sends admitted requests to backend servers, with safe retries."""

import asyncio
from collections.abc import Callable

from .backend_client import (
    BUSY,
    DRAINING,
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
    make_refusal,
)
from .retry_budget import RetryBudget
from .routing import Router, Server
from .tracing import TRACEPARENT, child_span

BAD_GATEWAY = 502
# Interval of checks for a free slot or a retry token: no event announces them.
POLL_INTERVAL_S = 0.01


class Sender:
    """Chooses a server for each request, sends it and retries it."""

    def __init__(
        self,
        router: Router,
        client: BackendClient,
        mean_service_s: Callable[[OrganisationId], float],
        record_cross_domain_bytes: Callable[[int], None],
        clock: Clock,
    ) -> None:
        """Send to servers of ``router`` by ``client``.

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
        """Return the response to ``pending``.

        The request stays counted on its server until the caller releases it.
        The outcome of a ``RefusedError`` is ``not-run`` only if the request
        definitely did not run.
        """
        while True:
            server = await self._pick(pending)
            self._router.acquire(server, pending.acquired_servers)
            response = await self._attempt(server, pending)
            if response is not None:
                return response
            self._router.release(pending.acquired_servers)
            await self._await_retry(pending, server.domain)

    async def _pick(self, pending: PendingRequest) -> Server:
        """Return a server with a free slot; wait for one until the deadline."""
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= pending.head.deadline_s:
                raise deadline_exceeded(pending)
            if not pending.is_caller_connected():
                raise make_refusal(
                    pending,
                    GATEWAY_TIMEOUT,
                    'the caller has closed the connection',
                )
            server = self._router.pick(now_s, pending.tried_backends)
            if server is not None:
                return server
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _attempt(
        self,
        server: Server,
        pending: PendingRequest,
    ) -> BackendResponse | None:
        """Send ``pending`` once; return None if it may be retried."""
        if not pending.attempts:
            self._budget_for(server.domain).record_first_attempt()
        may_have_run_before = pending.may_have_run
        try:
            return await self._send(server, pending)
        except BackendNotRunError as exc:
            pending.may_have_run = may_have_run_before
            self._record_rejection(server, exc.reason)
            self._check_replayable(pending, exc)
        except BackendOutcomeUnknownError as exc:
            if not pending.head.idempotent:
                raise make_refusal(pending, BAD_GATEWAY, str(exc)) from exc
            self._check_replayable(pending, exc)
        except TimeoutError as exc:
            raise deadline_exceeded(pending) from exc
        pending.tried_backends |= {server.backend}
        return None

    async def _send(
        self, server: Server, pending: PendingRequest
    ) -> BackendResponse:
        """Send ``pending``; hedge on another server if no response comes."""
        started_s = self._clock.monotonic_s()
        left_s = pending.head.deadline_s - started_s
        pending.attempts += 1
        pending.may_have_run = True
        hedged = HedgedRequest(lambda: self._hedge(server, pending))
        mean_s = self._mean_service_s(pending.head.contract.organisation)
        try:
            async with asyncio.timeout(left_s) as scope:
                hedged.start_after(hedge_delay_s(mean_s, left_s), scope)
                response = await self._request(server, pending, left_s)
        except TimeoutError:
            if hedged.response is None:
                raise
            return hedged.response
        finally:
            hedged.stop()
        if hedged.response is not None:
            hedged.response.close()
        self._record_response(server, response)
        pending.service_s = self._clock.monotonic_s() - started_s
        return response

    async def _hedge(
        self,
        slow: Server,
        pending: PendingRequest,
    ) -> BackendResponse | None:
        """Send ``pending`` to another server over a new connection.

        Probes ``slow`` first and marks it unresponsive if that fails.
        Returns None if the request must not be sent again, no token or slot
        is left, or no response came.
        """
        slow.is_unresponsive = not await self._client.is_alive(slow)
        if not (pending.head.idempotent and pending.is_replayable):
            return None
        now_s = self._clock.monotonic_s()
        server = self._router.pick(
            now_s, pending.tried_backends | {slow.backend}
        )
        if server is None or not self._budget_for(server.domain).acquire(now_s):
            return None
        self._router.acquire(server, pending.acquired_servers)
        pending.attempts += 1
        left_s = pending.head.deadline_s - now_s
        try:
            response = await self._request(server, pending, left_s, fresh=True)
        except BackendNotRunError as exc:
            self._record_rejection(server, exc.reason)
        except BackendOutcomeUnknownError:
            return None
        else:
            self._record_response(server, response)
            return response
        return None

    async def _request(
        self,
        server: Server,
        pending: PendingRequest,
        left_s: float,
        *,
        fresh: bool = False,
    ) -> BackendResponse:
        with child_span('entry.backend', backend=server.backend) as traceparent:
            headers = backend_headers(pending, left_s)
            headers[TRACEPARENT] = traceparent or pending.traceparent
            response = await self._client.send(
                server, headers, pending.body, fresh=fresh
            )
        if not self._router.is_local(server):
            sent = len(pending.body) if isinstance(pending.body, bytes) else 0
            self._record_cross_domain_bytes(
                sent + (response.length or len(response.body))
            )
        return response

    async def _await_retry(
        self, pending: PendingRequest, domain: DomainName
    ) -> None:
        """Wait until the retry budget of ``domain`` allows another attempt."""
        budget = self._budget_for(domain)
        while not budget.acquire(self._clock.monotonic_s()):
            if self._clock.monotonic_s() >= pending.head.deadline_s:
                raise deadline_exceeded(pending)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _record_response(
        self, server: Server, response: BackendResponse
    ) -> None:
        self._router.record_success(server)
        if response.state == DRAINING:
            server.reports_draining = True

    def _record_rejection(self, server: Server, reason: str) -> None:
        if reason == BUSY:
            self._router.record_busy(server, self._clock.monotonic_s())
        elif reason == DRAINING:
            server.reports_draining = True
        else:
            server.is_unreachable = True

    def _check_replayable(
        self, pending: PendingRequest, error: Exception
    ) -> None:
        if not pending.is_replayable:
            raise make_refusal(pending, BAD_GATEWAY, str(error)) from error

    def _budget_for(self, domain: DomainName) -> RetryBudget:
        budget = self._budgets.get(domain)
        if budget is None:
            budget = RetryBudget(self._clock.monotonic_s())
            self._budgets[domain] = budget
        return budget
