"""Background work of one owner."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Tasks that run until they end or their owner gives them up."""

    def __init__(self) -> None:
        """Run nothing yet."""
        self._running: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work`` in the background."""
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def cancel(self) -> None:
        """Give up what still runs."""
        for task in tuple(self._running):
            task.cancel()
