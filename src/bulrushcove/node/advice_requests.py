"""Questions to the placement adviser, one at a time.

The adviser handles the calls of one VM in turn, so that a second question
would only wait there, behind what may be less urgent.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ..batch.advice import Advice, AdviceRequest
from ..batch.engine import Engine
from ..clock import Clock
from ..exceptions import BulrushcoveError
from ..logs import log_event
from .background_tasks import BackgroundTasks

# After a question without an answer the next one waits this long.
RETRY_S = 0.3

logger = logging.getLogger(__name__)


class AdviserError(BulrushcoveError):
    """The adviser gave no usable answer."""


RequestAdvice = Callable[[AdviceRequest], Awaitable[Advice]]


class AdviceRequester:
    """Asks what the passes want to know, and keeps the tickets."""

    def __init__(
        self, engine: Engine, request_advice: RequestAdvice, clock: Clock
    ) -> None:
        """Ask by ``request_advice``, which raises ``AdviserError``."""
        # Called when there are new tickets, or another question may be asked.
        self.on_change: Callable[[], None] = _do_nothing
        self.tasks = BackgroundTasks()
        self._engine = engine
        self._request_advice = request_advice
        self._clock = clock
        self._is_request_pending = False

    def submit(self, request: AdviceRequest | None) -> None:
        """Ask ``request`` unless another one is under way."""
        if request is not None and not self._is_request_pending:
            self._is_request_pending = True
            self.tasks.spawn(self._run(request))

    async def _run(self, request: AdviceRequest) -> None:
        sent_at_s = self._clock.monotonic_s()
        try:
            advice = await self._request_advice(request)
        except AdviserError as exc:
            self._log('advice.failed', request, error=exc)
            await asyncio.sleep(RETRY_S)
        else:
            self._log('advice.given', request, allowed=len(advice.tickets))
            self._engine.tickets.record_advice(
                request, advice, self._engine.workers, sent_at_s
            )
        finally:
            self._is_request_pending = False
        self.on_change()

    def _log(
        self, event: str, request: AdviceRequest, **fields: object
    ) -> None:
        step = request.step
        log_event(
            logger,
            event,
            job=step.job,
            occurrence=step.occurrence,
            step=step.step,
            asked=len(request.workers),
            **fields,
        )


def _do_nothing() -> None:
    """Stand in for a handler that is set later."""
