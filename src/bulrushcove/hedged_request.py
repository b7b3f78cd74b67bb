"""Second attempt for a request that gets no response for too long."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from .backend_client import BackendResponse

# A request is hedged after this many mean service times.
HEDGE_DELAY_FACTOR = 8
MIN_HEDGE_DELAY_S = 0.5
# Leaves time for the second attempt before the deadline.
MAX_DEADLINE_RATIO = 0.5


def hedge_delay_s(service_s: float, left_s: float) -> float:
    """Return how long to wait for a response before the second attempt."""
    expected_s = max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * service_s)
    return min(expected_s, left_s * MAX_DEADLINE_RATIO)


class HedgedRequest:
    """Starts a second attempt after a delay; its response ends the first."""

    def __init__(
        self,
        attempt: Callable[[], Awaitable[BackendResponse | None]],
    ) -> None:
        """``attempt`` makes the second attempt; it returns None on failure."""
        self.response: BackendResponse | None = None
        self._attempt = attempt
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._stopped = False

    def start_after(self, delay_s: float, scope: asyncio.Timeout) -> None:
        """Start after ``delay_s``; a response makes ``scope`` expire."""
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._start, scope
        )

    def stop(self) -> None:
        """Cancel the second attempt unless it has a response."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None and self.response is None:
            self._task.cancel()

    def _start(self, scope: asyncio.Timeout) -> None:
        self._task = asyncio.create_task(self._run(scope))

    async def _run(self, scope: asyncio.Timeout) -> None:
        response = await self._attempt()
        if response is None:
            return
        if self._stopped:
            response.close()
            return
        self.response = response
        # Raised when the scope has just expired at the deadline.
        with contextlib.suppress(RuntimeError):
            scope.reschedule(asyncio.get_running_loop().time())
