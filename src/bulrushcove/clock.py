"""Time sources, passed in wherever a decision depends on the time."""

import time
from typing import Protocol

NS_PER_MS = 1_000_000
MS_PER_S = 1000


class Clock(Protocol):
    """Source of the monotonic and of the civil time."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""

    def unix_ms(self) -> int:
        """Return the civil time in milliseconds since the Unix epoch."""


class SystemClock:
    """Clock of the machine."""

    def monotonic_s(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return the machine's civil time in milliseconds."""
        return time.time_ns() // NS_PER_MS


class SuspendAwareClock(SystemClock):
    """Clock of the machine that counts the time it was suspended."""

    def monotonic_s(self) -> float:
        """Return seconds since boot, suspended or not."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock that moves only when told to; for tests and replays."""

    def __init__(self, start_s: float = 1000.0) -> None:
        """Start both times at ``start_s`` seconds."""
        self._now_s = start_s

    def monotonic_s(self) -> float:
        """Return the time set so far in seconds."""
        return self._now_s

    def unix_ms(self) -> int:
        """Return the time set so far in milliseconds."""
        return int(self._now_s * MS_PER_S)

    def advance(self, seconds: float) -> None:
        """Move both times forward by ``seconds``."""
        self._now_s += seconds
