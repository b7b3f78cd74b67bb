"""Serves a request: admission, the at-most-once claim if needed, sending."""

import contextlib
from collections.abc import AsyncIterator

from multidict import CIMultiDict

from .admission import Admission
from .admission_waiter import AdmissionWaiter
from .at_most_once import AtMostOnce
from .backend_client import BackendResponse
from .clock import Clock
from .pending_request import PendingRequest
from .response_cache import CachedResponse
from .routing import Router
from .sender import Sender


class RequestPath:
    """Serves callers' requests by backend servers."""

    def __init__(
        self,
        admission: Admission,
        router: Router,
        at_most_once: AtMostOnce,
        sender: Sender,
        clock: Clock,
    ) -> None:
        """Use the given parts."""
        self._admission = admission
        self._router = router
        self._at_most_once = at_most_once
        self._sender = sender
        self._clock = clock

    @property
    def in_progress(self) -> int:
        """Return how many requests are in progress."""
        return self._admission.in_progress

    @property
    def queued(self) -> int:
        """Return how many requests are queued."""
        return self._admission.queued

    @contextlib.asynccontextmanager
    async def serve(
        self, pending: PendingRequest
    ) -> AsyncIterator[BackendResponse]:
        """Send ``pending`` to a server and yield the response to forward.

        The request counts as in progress until the context ends. The outcome
        of a ``RefusedError`` is ``not-run`` only if the request definitely
        did not run.
        """
        cached = await self._find_cached(pending)
        if cached is not None:
            yield _replay(cached)
            return
        waiter = self._admit(pending)
        try:
            if pending.head.idempotent:
                yield await self._send(pending, waiter)
                return
            async with self._at_most_once.hold_claim(pending) as entry:
                response = await self._send(pending, waiter)
                self._at_most_once.cache_response(entry, response)
                yield response
        finally:
            self._finish(pending, waiter)

    def dispatch(self) -> None:
        """Start as many queued requests as can be sent now."""
        admission = self._admission
        if not admission.queued:
            return
        now_s = self._clock.monotonic_s()
        while admission.queued and self._has_free_slot(now_s):
            if admission.grant(now_s) is None:
                return

    def _has_free_slot(self, now_s: float) -> bool:
        """Return whether a slot is free that no granted request will need."""
        if self._admission.in_progress <= self._router.active_requests:
            return self._router.has_free_slot(now_s)
        return self._admission.in_progress < self._router.capacity(now_s)

    async def _find_cached(
        self, pending: PendingRequest
    ) -> CachedResponse | None:
        if pending.head.idempotent:
            self._at_most_once.check_body(pending)
            return None
        return await self._at_most_once.find_response(pending)

    def _admit(self, pending: PendingRequest) -> AdmissionWaiter:
        """Admit ``pending``, which then counts while it waits for its claim."""
        head = pending.head
        waiter = AdmissionWaiter(head.contract, head.urgency, head.deadline_s)
        self._admission.admit(
            head.contract,
            self._router.live_entries,
            self._clock.monotonic_s(),
            waiter.ticket,
        )
        return waiter

    async def _send(
        self, pending: PendingRequest, waiter: AdmissionWaiter
    ) -> BackendResponse:
        self._admission.queue(waiter.ticket)
        self.dispatch()
        left_s = pending.head.deadline_s - self._clock.monotonic_s()
        await waiter.wait(left_s)
        return await self._sender.send(pending)

    def _finish(self, pending: PendingRequest, waiter: AdmissionWaiter) -> None:
        self._router.release(pending.acquired_servers)
        self._admission.remove(waiter.ticket, pending.service_s)
        self.dispatch()


def _replay(cached: CachedResponse) -> BackendResponse:
    return BackendResponse(
        status=cached.status,
        headers=CIMultiDict(cached.headers),
        body=cached.body,
        rest=None,
        length=len(cached.body),
        state='',
        close=_close_nothing,
    )


def _close_nothing() -> None:
    """Do nothing: a cached response has no connection."""
