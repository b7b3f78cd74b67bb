"""Requests to the placement adviser.

The adviser serves the calls of one VM in sequence. A second concurrent request
would only queue there, possibly behind a less urgent one; it is sent only
beside one that may hang (``batch.advice_turns``).
"""

import logging
from collections.abc import Awaitable, Callable

from ..batch.advice import (
    Advice,
    AdviceRequest,
    needs_advice,
    step_ref_of,
)
from ..batch.engine import Engine
from ..batch.job_state import Allocation
from ..clock import Clock
from ..exceptions import BulrushcoveError
from ..logs import log_event
from .background_tasks import BackgroundTasks

logger = logging.getLogger(__name__)


class AdviserError(BulrushcoveError):
    """The adviser did not respond, or its response is not usable."""


RequestAdvice = Callable[[AdviceRequest], Awaitable[Advice]]


class AdviceRequester:
    """Sends advice requests of scheduling passes and records the tickets."""

    def __init__(
        self, engine: Engine, request_advice: RequestAdvice, clock: Clock
    ) -> None:
        """Send with ``request_advice``, which raises ``AdviserError``."""
        # Called after each request: there may be new tickets, and the next
        # request can be submitted.
        self.on_change: Callable[[], None] = _do_nothing
        self.tasks = BackgroundTasks()
        self._engine = engine
        self._request_advice = request_advice
        self._clock = clock

    def submit(self, request: AdviceRequest | None) -> None:
        """Send ``request`` unless another one has the adviser's turn."""
        now_s = self._clock.monotonic_s()
        turns = self._engine.advice.turns
        if request is not None and turns.is_free(now_s):
            turns.record_call(request, now_s)
            self.tasks.spawn(self._run(request))

    def find_ticket(self, allocation: Allocation) -> str | None:
        """Return the ticket to start ``allocation`` with; None: not allowed.

        Empty if the queue needs no advice.
        """
        unit = allocation.unit
        if not needs_advice(unit):
            return ''
        worker = self._engine.workers.get(allocation.worker)
        if worker is None:
            return None
        now_s = self._clock.monotonic_s()
        ticket = self._engine.advice.tickets.find(
            step_ref_of(unit), worker, now_s
        )
        return ticket or None

    async def _run(self, request: AdviceRequest) -> None:
        sent_at_s = self._clock.monotonic_s()
        is_answered = False
        try:
            advice = await self._request_advice(request)
        except AdviserError as exc:
            self._log('advice.failed', request, error=exc)
        else:
            is_answered = True
            self._log('advice.given', request, allowed=len(advice.tickets))
            self._engine.advice.tickets.record_advice(
                request, advice, self._engine.workers, sent_at_s
            )
        finally:
            self._engine.advice.turns.record_end(
                request.step,
                self._clock.monotonic_s(),
                is_answered=is_answered,
            )
            if request.step.job not in self._engine.active:
                self._engine.advice.forget(request.step.job)
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
