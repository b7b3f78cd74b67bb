"""Serves one request: admission, at most once where asked, sending."""

import contextlib
from collections.abc import AsyncIterator

from multidict import CIMultiDict

from .admission import Admission
from .admission_waiter import AdmissionWaiter
from .answers import CachedResponse
from .at_most_once import AtMostOnce
from .backend_client import BackendResponse
from .clock import Clock
from .pending_request import PendingRequest
from .routing import Router
from .sender import Sender


class RequestPath:
    """Takes requests of callers to backend servers and answers back."""

    def __init__(
        self,
        admission: Admission,
        router: Router,
        at_most_once: AtMostOnce,
        sender: Sender,
        clock: Clock,
    ) -> None:
        """Join the cores with the services that do the sending."""
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
        """Return how many requests wait for room."""
        return self._admission.queued

    @contextlib.asynccontextmanager
    async def serve(
        self, pending: PendingRequest
    ) -> AsyncIterator[BackendResponse]:
        """Bring ``pending`` to a server; yields the answer to pass on.

        Its place in progress is held until the answer was passed on. Raises
        ``RefusedError`` whose outcome is ``not-run`` only when the request
        surely did not run.
        """
        kept = await self._find_kept(pending)
        if kept is not None:
            yield _replay(kept)
            return
        waiter = self._arrive(pending)
        try:
            if pending.head.idempotent:
                yield await self._send(pending, waiter)
                return
            async with self._at_most_once.claimed(pending) as entry:
                answer = await self._send(pending, waiter)
                self._at_most_once.keep(entry, answer)
                yield answer
        finally:
            self._leave(pending, waiter)

    def dispatch(self) -> None:
        """Grant room to as many waiting requests as may be sent now."""
        admission = self._admission
        if not admission.queued:
            return
        now_s = self._clock.monotonic_s()
        while admission.queued and self._has_free_slot(now_s):
            if admission.grant(now_s) is None:
                return

    def _has_free_slot(self, now_s: float) -> bool:
        """Return whether a server has room besides for those granted."""
        if self._admission.in_progress <= self._router.active_requests:
            return self._router.has_free_slot(now_s)
        return self._admission.in_progress < self._router.capacity(now_s)

    async def _find_kept(
        self, pending: PendingRequest
    ) -> CachedResponse | None:
        if pending.head.idempotent:
            self._at_most_once.check_body(pending)
            return None
        return await self._at_most_once.find_response(pending)

    def _arrive(self, pending: PendingRequest) -> AdmissionWaiter:
        """Count ``pending`` from now on, also while it waits for its claim."""
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

    def _leave(self, pending: PendingRequest, waiter: AdmissionWaiter) -> None:
        self._router.release(pending.acquired_servers)
        self._admission.remove(waiter.ticket, pending.service_s)
        self.dispatch()


def _replay(kept: CachedResponse) -> BackendResponse:
    return BackendResponse(
        status=kept.status,
        headers=CIMultiDict(kept.headers),
        body=kept.body,
        rest=None,
        length=len(kept.body),
        state='',
        close=_nothing_to_close,
    )


def _nothing_to_close() -> None:
    """A kept answer holds no connection."""
