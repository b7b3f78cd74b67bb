"""Bounds the reports that identify a worker on its new connections.

A report lists all runs of the worker, so a new leader that opens all its
connections to workers with hundreds of runs at once has no time for anything
else. Calls wait until a report or another call is done.
"""

import asyncio
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

# Under way from one worker at a time; a report of more goes alone.
MAX_REPORTS_BYTES = 65_536


class Identifications:
    """Identifying reports of one worker that are under way."""

    def __init__(self) -> None:
        """Start with none under way, and no report known."""
        # Size of the worker's last report.
        self.report_bytes = 0
        self._under_way = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def may_begin(self) -> bool:
        """Return whether another identification may begin now."""
        next_bytes = (self._under_way + 1) * self.report_bytes
        return not self._under_way or next_bytes <= MAX_REPORTS_BYTES

    @contextmanager
    def count(self) -> Iterator[None]:
        """Count an identification as under way."""
        self._under_way += 1
        try:
            yield
        finally:
            self._under_way -= 1
            self.wake_next()

    async def wait(self) -> None:
        """Wait until it is this call's turn to look for a connection."""
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.cancelled():
                self._waiting.remove(turn)
            else:
                self.wake_next()
            raise

    def wake_next(self) -> None:
        """Give the call that has waited longest its turn."""
        if self._waiting:
            self._waiting.popleft().set_result(None)

    def wake_all(self) -> None:
        """Give all calls that wait their turn."""
        while self._waiting:
            self.wake_next()
