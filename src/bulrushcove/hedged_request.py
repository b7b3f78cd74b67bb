"""Second try for a request whose connection may have gone silent."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from .backend_client import BackendResponse

# A server is silent when nothing came for this many mean service times.
SILENCE_FACTOR = 8
MIN_SILENCE_S = 0.5
# Time is left for the second try.
MAX_DEADLINE_SHARE = 0.5


def hedge_delay_s(service_s: float, left_s: float) -> float:
    """Return how long to wait for the first byte before a second try."""
    expected_s = max(MIN_SILENCE_S, SILENCE_FACTOR * service_s)
    return min(expected_s, left_s * MAX_DEADLINE_SHARE)


class HedgedRequest:
    """Starts a second try after a silence; its answer ends the first one."""

    def __init__(
        self,
        go_again: Callable[[], Awaitable[BackendResponse | None]],
    ) -> None:
        """Try by ``go_again``, which returns None without an answer."""
        self.answer: BackendResponse | None = None
        self._go_again = go_again
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._stopped = False

    def start_after(self, silence_s: float, scope: asyncio.Timeout) -> None:
        """Start after ``silence_s``; an answer lets ``scope`` expire."""
        self._timer = asyncio.get_running_loop().call_later(
            silence_s, self._start, scope
        )

    def stop(self) -> None:
        """End the second try unless it has answered."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None and self.answer is None:
            self._task.cancel()

    def _start(self, scope: asyncio.Timeout) -> None:
        self._task = asyncio.create_task(self._run(scope))

    async def _run(self, scope: asyncio.Timeout) -> None:
        answer = await self._go_again()
        if answer is None:
            return
        if self._stopped:
            answer.close()
            return
        self.answer = answer
        # An expiring scope has reached the deadline just now.
        with contextlib.suppress(RuntimeError):
            scope.reschedule(asyncio.get_running_loop().time())
