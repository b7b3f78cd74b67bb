"""Measures how late the event loop of this process runs.

A call that timed out while this process was late, because it was busy or
suspended, says nothing about the process that was called.
"""

import asyncio
import logging
from collections import deque

from mode import Service

from ..clock import Clock
from ..logs import log_event
from .metrics import NodeMetrics

TICK_S = 0.1
# How long delays are remembered; longer than any call takes.
MEMORY_S = 5.0
# A total delay above this may have made a call time out.
SIGNIFICANT_DELAY_S = 0.1
# Shorter delays are normal and not recorded.
MIN_DELAY_S = 0.01
# A delay above this counts against the deadlines of the calls that waited.
MIN_COUNTED_WAIT_S = 0.5
# The calls that waited for a delay to end are handled within this time.
CATCH_UP_S = 0.25
# A delay above this is logged.
LOGGED_DELAY_S = 0.25

logger = logging.getLogger(__name__)


class LoopDelay(Service):
    """Delays of a regular timer in this process's event loop."""

    def __init__(self, clock: Clock, metrics: NodeMetrics) -> None:
        """Measure by ``clock`` once started."""
        super().__init__()
        self._clock = clock
        self._metrics = metrics
        # When each delay ended, and how long it was, in seconds.
        self._delays: deque[tuple[float, float]] = deque()
        self._next_tick_at_s = 0.0

    def was_late_since(self, since_s: float) -> bool:
        """Return whether this process ran late after ``since_s``."""
        total_s = sum(
            delay_s
            for ended_at_s, delay_s in self._delays
            if ended_at_s > since_s
        )
        if self._next_tick_at_s:
            total_s += max(0, self._clock.monotonic_s() - self._next_tick_at_s)
        return total_s > SIGNIFICANT_DELAY_S

    def longest_wait_s(self) -> float:
        """Return how long a call that is handled now may have waited.

        It may have arrived when the latest delay began. Delays of up to
        ``MIN_COUNTED_WAIT_S`` do not count.
        """
        now_s = self._clock.monotonic_s()
        waits_s = [
            now_s - ended_at_s + delay_s
            for ended_at_s, delay_s in self._delays
            if now_s - ended_at_s < CATCH_UP_S
        ]
        if self._next_tick_at_s:
            waits_s.append(now_s - self._next_tick_at_s)
        longest_s = max(waits_s, default=0.0)
        return longest_s if longest_s > MIN_COUNTED_WAIT_S else 0.0

    def record_tick(self) -> None:
        """Record that the timer has fired."""
        now_s = self._clock.monotonic_s()
        if self._next_tick_at_s:
            self._record_delay(now_s, now_s - self._next_tick_at_s)
        self._next_tick_at_s = now_s + TICK_S

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.record_tick()
            await asyncio.sleep(TICK_S)

    def _record_delay(self, now_s: float, delay_s: float) -> None:
        while self._delays and self._delays[0][0] < now_s - MEMORY_S:
            self._delays.popleft()
        if delay_s < MIN_DELAY_S:
            return
        self._delays.append((now_s, delay_s))
        self._metrics.record_loop_delay(delay_s)
        if delay_s > LOGGED_DELAY_S:
            log_event(
                logger,
                'node.loop_late',
                level=logging.WARNING,
                delay_ms=round(delay_s * 1000),
            )
