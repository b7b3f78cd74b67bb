"""Bounds the calls that carry orders to workers and are under way at a time.

A call holds a connection of its own until it is answered. Each kind of order
has its own bound, so that stops of silent workers hold up no starts of others.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum


class OrderKind(Enum):
    """Kind of an order, with the bounds of its calls under way.

    To all workers, and to one of them: 2,000 starts of a gang on one worker
    take 2.5 s at a round trip of 60 ms, within the 3 s in which the gang must
    be complete; a worker takes 64 connections.
    """

    START = (96, 48)
    STOP = (96, 48)
    THROTTLE = (48, 8)

    def __init__(self, max_calls: int, max_calls_per_worker: int) -> None:
        """Keep the bounds under their names."""
        self.max_calls = max_calls
        self.max_calls_per_worker = max_calls_per_worker


class OrderLimits:
    """Calls under way to all workers, by kind of order."""

    def __init__(self) -> None:
        """Start without any call under way."""
        # Starts that were ordered and are not answered yet.
        self.open_starts = 0
        self._slots = {
            kind: asyncio.Semaphore(kind.max_calls) for kind in OrderKind
        }

    def slot(self, kind: OrderKind) -> asyncio.Semaphore:
        """Return the semaphore that a call of ``kind`` holds."""
        return self._slots[kind]


class WorkerOrderLimits:
    """Calls under way to one worker, within the limits of all."""

    def __init__(self, limits: OrderLimits) -> None:
        """Also hold a slot of ``limits`` for each call."""
        self._limits = limits
        self._slots = {
            kind: asyncio.Semaphore(kind.max_calls_per_worker)
            for kind in OrderKind
        }

    @asynccontextmanager
    async def hold(self, kind: OrderKind) -> AsyncIterator[None]:
        """Hold a slot for one call; waits until one is free.

        The worker's own slot comes first: calls that wait for a slow worker
        keep none of the others from being called.
        """
        async with self._slots[kind], self._limits.slot(kind):
            yield

    @asynccontextmanager
    async def count_start(self) -> AsyncIterator[None]:
        """Count a start as open, also while it waits for a slot."""
        self._limits.open_starts += 1
        try:
            yield
        finally:
            self._limits.open_starts -= 1
