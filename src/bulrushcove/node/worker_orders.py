"""Orders to one worker: starts and stops, and answers that do not come."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from ..batch.ids import RunRef
from ..batch.job_state import (
    Allocation,
    AllocationPhase,
    StopReason,
    mark_for_stop,
)
from ..batch.orders import (
    OUTCOMES_NEVER_STARTED,
    OrderOutcome,
    OrderReply,
    StartOrder,
)
from ..batch.workers import EndKind, Worker, WorkerReport
from ..clock import Clock
from ..ids import Epoch
from ..logs import log_event
from .background_tasks import BackgroundTasks

# A start that is carried out later than this is refused by the worker. Long
# enough for a worker 60 ms away, short enough to try again soon.
START_TTL_MS = 1500
# Sends of one start; an unanswered one is repeated, since stopping a member
# stops its whole gang. All fit into the time in which a gang gathers.
MAX_START_ATTEMPTS = 3
# Pause before an order without an answer is repeated; doubles.
UNANSWERED_RETRY_S = 0.05
# Time between two orders to stop the same run, where the worker answered.
STOP_RETRY_S = 0.7

# After an order without an answer these do not tell that it was never carried
# out: the next report does.
_MAY_HAVE_RUN = frozenset(
    (
        OrderOutcome.STALE_RUN,
        OrderOutcome.TOO_LATE,
        OrderOutcome.NO_CAPACITY,
        OrderOutcome.NO_TICKET,
        OrderOutcome.UNHEALTHY,
        OrderOutcome.NOT_SENT,
        OrderOutcome.INVALID,
    )
)

logger = logging.getLogger(__name__)


class WorkerClient(Protocol):
    """Calls to one worker."""

    async def report(
        self,
        epoch: Epoch,
        *,
        stored_end: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport:
        """Renew the lease and return what runs and has ended."""

    async def start(self, epoch: Epoch, order: StartOrder) -> OrderReply:
        """Order the start of a run."""

    async def stop(self, epoch: Epoch, ref: RunRef) -> OrderReply:
        """Order the stop of a run."""

    async def throttle(
        self, epoch: Epoch, ref: RunRef, percent: int
    ) -> OrderReply:
        """Order at which share of its speed a run works."""

    async def close(self) -> None:
        """Close all connections."""


class LinkEventHandler(Protocol):
    """What the scheduler hears from its links."""

    def may_send_orders(self) -> bool:
        """Return whether orders may be given now."""

    def is_start_wanted(self, allocation: Allocation) -> bool:
        """Return whether the start of ``allocation`` is still wanted."""

    def may_resend_start(self, allocation: Allocation) -> bool:
        """Return whether an unanswered start is to be sent again."""

    def handle_report(
        self, worker: Worker, report: WorkerReport, requested_at_s: float
    ) -> None:
        """A report has come."""

    def handle_started(self, allocation: Allocation) -> None:
        """A worker has carried out a start."""

    def handle_start_rejected(
        self, allocation: Allocation, outcome: OrderOutcome
    ) -> None:
        """A start was surely not carried out."""

    def handle_run_ended(self, allocation: Allocation, kind: EndKind) -> None:
        """A run is over, or never was."""

    def handle_failed_poll(self, worker: Worker) -> None:
        """A call brought no answer."""

    def handle_worker_replaced(self, worker: Worker) -> None:
        """Another instance answers at the worker's address."""

    def handle_fenced(self, worker: Worker) -> None:
        """The worker has seen a higher epoch."""


WorkerClientFactory = Callable[[str, str], WorkerClient]


class WorkerOrders:
    """Sends the orders of the active scheduler to one worker."""

    def __init__(
        self,
        worker: Worker,
        client: WorkerClient,
        event_handler: LinkEventHandler,
        *,
        epoch: Epoch,
        clock: Clock,
    ) -> None:
        """Give orders to ``worker`` under ``epoch``."""
        self.worker = worker
        # Wakes what waits for the outcome of an order.
        self.on_outcome: Callable[[], None] = _do_nothing
        self._client = client
        self._event_handler = event_handler
        self._epoch = epoch
        self._clock = clock
        self._tasks = BackgroundTasks()

    def cancel(self) -> None:
        """Give up orders in progress."""
        self._tasks.cancel()

    def order_start(self, allocation: Allocation, ticket: str = '') -> None:
        """Order the start of ``allocation``."""
        self._tasks.spawn(self._start(allocation, ticket))

    def order_stop(self, allocation: Allocation) -> None:
        """Order the stop of ``allocation``."""
        if not allocation.is_start_sent:
            return
        allocation.phase = AllocationPhase.STOPPING
        self._tasks.spawn(self._stop(allocation))

    def order_throttle(self, allocation: Allocation, percent: int) -> None:
        """Order the run to work at ``percent`` of its full speed."""
        self._tasks.spawn(self._throttle(allocation, percent))

    def stop_orphan(self, ref: RunRef) -> None:
        """Order the stop of a run that no record names."""
        self._tasks.spawn(self._stop_orphan(ref))

    async def _start(self, allocation: Allocation, ticket: str) -> None:
        worker = self.worker
        if not self._event_handler.is_start_wanted(allocation):
            self._event_handler.handle_run_ended(
                allocation, EndKind.NEVER_STARTED
            )
            return
        now_s = self._clock.monotonic_s()
        deadline_ms = worker.estimate_clock_ms(now_s) + START_TTL_MS
        allocation.start_deadline_ms = deadline_ms
        allocation.is_start_sent = True
        worker.record_lease(deadline_ms)
        unit = allocation.unit
        order = StartOrder(
            ref=allocation.ref,
            payload=unit.job.spec.payload,
            deadline_ms=deadline_ms,
            checkpoint=unit.checkpoint,
            ticket=ticket,
        )
        await self._send_start(allocation, order)
        self.on_outcome()

    async def _send_start(
        self, allocation: Allocation, order: StartOrder
    ) -> None:
        """Send ``order`` until it is answered, a few times at most."""
        for attempt in range(MAX_START_ATTEMPTS):
            if attempt and not self._event_handler.may_resend_start(allocation):
                break
            reply = await self._client.start(self._epoch, order)
            self._log_order('run.start', allocation, reply)
            if reply.outcome is not OrderOutcome.UNKNOWN:
                self._handle_start_reply(allocation, reply, bool(attempt))
                return
        if allocation.phase is AllocationPhase.STARTING:
            # A stop that is confirmed makes a late start impossible.
            mark_for_stop((allocation,), StopReason.START_UNANSWERED)
            self.order_stop(allocation)

    def _handle_start_reply(
        self, allocation: Allocation, reply: OrderReply, is_retry: bool
    ) -> None:
        outcome = reply.outcome
        if outcome is OrderOutcome.DONE:
            self._event_handler.handle_started(allocation)
        elif outcome is OrderOutcome.FENCED:
            self._event_handler.handle_fenced(self.worker)
        elif is_retry and outcome in _MAY_HAVE_RUN:
            self._log_order('run.start_open', allocation, reply)
        elif outcome in OUTCOMES_NEVER_STARTED:
            self._event_handler.handle_start_rejected(allocation, outcome)

    async def _stop(self, allocation: Allocation) -> None:
        retry_delay_s = UNANSWERED_RETRY_S
        while allocation.ref in self.worker.allocations:
            reply = await self._client.stop(self._epoch, allocation.ref)
            self._log_order('run.stop', allocation, reply)
            if reply.outcome is OrderOutcome.DONE:
                allocation.stop_confirmed_at_s = self._clock.monotonic_s()
                break
            if reply.outcome is OrderOutcome.FENCED:
                self._event_handler.handle_fenced(self.worker)
                break
            is_unanswered = reply.outcome is OrderOutcome.UNKNOWN
            await asyncio.sleep(
                retry_delay_s if is_unanswered else STOP_RETRY_S
            )
            retry_delay_s = min(2 * retry_delay_s, STOP_RETRY_S)
        self.on_outcome()

    async def _throttle(self, allocation: Allocation, percent: int) -> None:
        reply = await self._client.throttle(
            self._epoch, allocation.ref, percent
        )
        # Without an answer the order is repeated after the next report.
        if reply.outcome is OrderOutcome.DONE:
            allocation.speed_percent = percent
        elif reply.outcome is OrderOutcome.FENCED:
            self._event_handler.handle_fenced(self.worker)
        log_event(
            logger,
            'run.pace',
            worker=allocation.worker,
            job=allocation.ref.task.job,
            run=allocation.run,
            percent=percent,
            outcome=reply.outcome.value,
        )

    async def _stop_orphan(self, ref: RunRef) -> None:
        reply = await self._client.stop(self._epoch, ref)
        log_event(
            logger,
            'run.stray_stopped',
            worker=self.worker.id,
            job=ref.task.job,
            run=ref.run,
            outcome=reply.outcome.value,
        )
        self.on_outcome()

    def _log_order(
        self, event: str, allocation: Allocation, reply: OrderReply
    ) -> None:
        ref = allocation.ref
        log_event(
            logger,
            event,
            worker=allocation.worker,
            job=ref.task.job,
            occurrence=ref.task.occurrence,
            step=ref.task.step,
            index=ref.task.index,
            run=ref.run,
            reason=allocation.stop_reason.value
            if allocation.stop_reason
            else None,
            outcome=reply.outcome.value,
        )


def _do_nothing() -> None:
    """Stand in for a handler that is set later."""
