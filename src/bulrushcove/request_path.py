"""Serves one request: admission, at most once where asked, sending."""

import contextlib
from collections.abc import AsyncIterator

from multidict import CIMultiDict

from .admission import Admission
from .answers import KeptAnswer
from .backend_client import BackendAnswer
from .clock import Clock
from .once import OnceOnly
from .routing import Router
from .sender import Sender
from .turn import Turn
from .work import Work


class RequestPath:
    """Takes requests of callers to backend servers and answers back."""

    def __init__(
        self,
        admission: Admission,
        router: Router,
        once: OnceOnly,
        sender: Sender,
        clock: Clock,
    ) -> None:
        """Join the cores with the services that do the sending."""
        self._admission = admission
        self._router = router
        self._once = once
        self._sender = sender
        self._clock = clock

    @contextlib.asynccontextmanager
    async def serve(self, work: Work) -> AsyncIterator[BackendAnswer]:
        """Bring ``work`` to a server; yields the answer to pass on.

        Its place in progress is held until the answer was passed on. Raises
        ``RefusedError`` whose outcome is ``not-run`` only when the request
        surely did not run.
        """
        if work.head.idempotent:
            self._once.check_body(work)
            async with self._admitted(work) as turn:
                async with self._answered(work, turn) as answer:
                    yield answer
            return
        kept = await self._once.find_answer(work)
        if kept is not None:
            yield _replay(kept)
            return
        async with self._admitted(work) as turn:
            async with self._once.claimed(work) as entry:
                async with self._answered(work, turn) as answer:
                    self._once.keep(entry, answer)
                    yield answer

    def dispatch(self) -> None:
        """Grant room to as many waiting requests as may be sent now."""
        now_s = self._clock.monotonic_s()
        capacity = self._router.capacity(now_s)
        while self._admission.in_progress < capacity:
            if self._admission.grant(now_s) is None:
                return

    @contextlib.asynccontextmanager
    async def _admitted(self, work: Work) -> AsyncIterator[Turn]:
        """Count ``work`` from now on, and make it wait for its turn."""
        head = work.head
        turn = Turn(head.contract, head.urgency, head.deadline_s)
        self._admission.arrive(
            head.contract,
            self._router.live_entries,
            self._clock.monotonic_s(),
            turn.ticket,
        )
        try:
            yield turn
        finally:
            self._admission.leave(turn.ticket, work.service_s)
            self.dispatch()

    @contextlib.asynccontextmanager
    async def _answered(
        self, work: Work, turn: Turn
    ) -> AsyncIterator[BackendAnswer]:
        self._admission.queue(turn.ticket)
        self.dispatch()
        left_s = work.head.deadline_s - self._clock.monotonic_s()
        await turn.wait(left_s)
        async with self._sender.answered(work) as answer:
            yield answer


def _replay(kept: KeptAnswer) -> BackendAnswer:
    return BackendAnswer(
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
