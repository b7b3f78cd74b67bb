"""Clocks, injected wherever a decision depends on the time."""

import time
from typing import Protocol

NS_PER_MS = 1_000_000
MS_PER_S = 1000


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    def unix_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic_s(self) -> float:
        """Return the system's monotonic time in seconds."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return the system's wall-clock time in milliseconds."""
        return time.time_ns() // NS_PER_MS


class SuspendAwareClock(SystemClock):
    """System clock whose monotonic time includes suspended time."""

    def monotonic_s(self) -> float:
        """Return seconds since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock that only ``advance`` moves; for tests and replays."""

    def __init__(self, start_s: float = 1000.0) -> None:
        """Start the monotonic and the wall-clock time at ``start_s``."""
        self._now_s = start_s

    def monotonic_s(self) -> float:
        """Return the current time of this clock in seconds."""
        return self._now_s

    def unix_ms(self) -> int:
        """Return the current time of this clock in milliseconds."""
        return int(self._now_s * MS_PER_S)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._now_s += seconds
