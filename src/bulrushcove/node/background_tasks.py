"""Background asyncio tasks with one owner."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from ..logs import log_unexpected_error

logger = logging.getLogger(__name__)


class BackgroundTasks:
    """Runs coroutines as asyncio tasks until they end or are cancelled."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._running: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run ``coroutine`` in the background.

        An error ends this task alone and is logged.
        """
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._handle_end)

    def cancel(self) -> None:
        """Cancel all tasks that still run."""
        for task in tuple(self._running):
            task.cancel()

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if isinstance(exc, Exception):
            log_unexpected_error(logger, exc, task=task.get_coro().__qualname__)
