"""Background asyncio tasks with one owner."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Runs coroutines as asyncio tasks until they end or are cancelled."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._running: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run ``coroutine`` in the background."""
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def cancel(self) -> None:
        """Cancel all tasks that still run."""
        for task in tuple(self._running):
            task.cancel()
