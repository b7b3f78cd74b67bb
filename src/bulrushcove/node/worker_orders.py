"""Sends start, stop and throttle orders to one worker, with retries."""

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
from .order_limits import OrderKind, OrderLimits, WorkerOrderLimits

# The worker rejects a start that arrives later than this. Long enough for a
# worker at a network distance of 60 ms, short enough for an early retry.
START_TTL_MS = 1500
# An unanswered start is sent again, since stopping one member aborts its whole
# gang. All attempts fit into the time in which a gang must be complete.
MAX_START_ATTEMPTS = 3
# First delay before an unanswered stop is sent again; doubles.
UNANSWERED_RETRY_S = 0.05
# Delay between stops of the same run when the worker responds.
STOP_RETRY_S = 0.7

# If an earlier attempt got no response, these outcomes of a later one do not
# rule out that the run started: the next report tells.
_MAY_HAVE_RUN = frozenset(
    (
        OrderOutcome.STALE_RUN,
        OrderOutcome.TOO_LATE,
        OrderOutcome.NO_CAPACITY,
        OrderOutcome.NO_TICKET,
        OrderOutcome.UNHEALTHY,
        OrderOutcome.NOT_SENT,
        OrderOutcome.OTHER_INCARNATION,
        OrderOutcome.INVALID,
    )
)
# Outcomes that tell that what is known of the worker, or of its clock, is old:
# it must report before the next start.
_STALE_STATE = frozenset(
    (OrderOutcome.OTHER_INCARNATION, OrderOutcome.TOO_LATE)
)
# Outcomes after which a start is sent again.
_RESENT = frozenset((OrderOutcome.UNKNOWN, OrderOutcome.UNREACHED))
# Outcomes after which a stop is not sent again.
_STOP_ANSWERED = frozenset((OrderOutcome.DONE, OrderOutcome.FENCED))

logger = logging.getLogger(__name__)


class WorkerClient(Protocol):
    """Client of one worker's API."""

    async def report(
        self,
        epoch: Epoch,
        *,
        started_unix_ms: int,
        stored_end: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport:
        """Renew the lease and return the running tasks and the ended runs.

        The worker responds when another run ends, at the latest after
        ``wait_ms``. ``stored_end`` acknowledges ended runs up to that number.
        Another incarnation than ``started_unix_ms`` only reports. Raises
        ``WorkerCallError``, ``WorkerFencedError`` or ``WorkerReplacedError``.
        """

    async def start(self, epoch: Epoch, order: StartOrder) -> OrderReply:
        """Order the start of a run by the incarnation that ``order`` names."""

    async def stop(self, epoch: Epoch, ref: RunRef) -> OrderReply:
        """Order the stop of a run."""

    async def throttle(
        self, epoch: Epoch, ref: RunRef, percent: int
    ) -> OrderReply:
        """Order a run to work at ``percent`` of its full speed."""

    async def close(self) -> None:
        """Close all connections."""


class LinkEventHandler(Protocol):
    """Receives the events of worker links and permits their orders."""

    def was_late_since(self, since_s: float) -> bool:
        """Return whether this process itself ran late after ``since_s``."""

    def may_send_orders(self) -> bool:
        """Return whether orders may be sent now."""

    def longest_lease_ms(self, worker: Worker) -> int:
        """Return the longest lease to grant ``worker`` now; zero: none."""

    def is_start_wanted(self, allocation: Allocation) -> bool:
        """Return whether the start of ``allocation`` is still wanted."""

    def may_resend_start(self, allocation: Allocation) -> bool:
        """Return whether an unanswered start is to be sent again."""

    def handle_report(
        self, worker: Worker, report: WorkerReport, requested_at_s: float
    ) -> None:
        """Handle a report that was requested at ``requested_at_s``."""

    def handle_started(self, allocation: Allocation) -> None:
        """Handle a start that the worker has carried out."""

    def handle_start_rejected(
        self, allocation: Allocation, outcome: OrderOutcome
    ) -> None:
        """Handle a start that was certainly not carried out."""

    def handle_run_ended(self, allocation: Allocation, kind: EndKind) -> None:
        """Handle a run that has ended or never started."""

    def handle_failed_poll(self, worker: Worker) -> None:
        """Handle a poll without a usable response."""

    def handle_worker_replaced(self, worker: Worker) -> None:
        """Handle another worker process at the worker's address."""

    def handle_fenced(self, worker: Worker) -> None:
        """Handle a worker that has seen a higher epoch."""


# Takes the id and the address of a worker.
WorkerClientFactory = Callable[[str, str], WorkerClient]


class WorkerOrders:
    """Sends the leader's orders to one worker."""

    def __init__(
        self,
        worker: Worker,
        client: WorkerClient,
        event_handler: LinkEventHandler,
        *,
        epoch: Epoch,
        clock: Clock,
    ) -> None:
        """Send orders to ``worker`` with the fencing token ``epoch``."""
        self.worker = worker
        # Called when the outcome of an order is known.
        self.on_outcome: Callable[[], None] = _do_nothing
        # Replaced by one that also bounds the calls to all workers.
        self.limits = WorkerOrderLimits(OrderLimits())
        self._client = client
        self._event_handler = event_handler
        self._epoch = epoch
        self._clock = clock
        self._tasks = BackgroundTasks()

    def cancel(self) -> None:
        """Cancel orders in progress."""
        self._tasks.cancel()

    def order_start(self, allocation: Allocation, ticket: str = '') -> None:
        """Send the start of ``allocation``, with the adviser's ``ticket``."""
        self._tasks.spawn(self._start(allocation, ticket))

    def order_stop(self, allocation: Allocation) -> None:
        """Stop the run of ``allocation`` if its start was sent."""
        if not allocation.is_start_sent:
            return
        allocation.phase = AllocationPhase.STOPPING
        self._tasks.spawn(self._stop(allocation))

    def order_throttle(self, allocation: Allocation, percent: int) -> None:
        """Order the run to work at ``percent`` of its full speed."""
        self._tasks.spawn(self._throttle(allocation, percent))

    def stop_orphan(self, ref: RunRef) -> None:
        """Stop an orphan: a run that no record names."""
        self._tasks.spawn(self._stop_orphan(ref))

    async def _start(self, allocation: Allocation, ticket: str) -> None:
        """Send a start once a call is free; its deadline counts from then."""
        limits = self.limits
        async with limits.count_start(), limits.hold(OrderKind.START):
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
            allocation.start_sent_at_s = now_s
            worker.record_lease(deadline_ms)
            unit = allocation.unit
            order = StartOrder(
                ref=allocation.ref,
                payload=unit.job.spec.payload,
                started_unix_ms=allocation.worker_started_unix_ms,
                deadline_ms=deadline_ms,
                checkpoint=unit.checkpoint,
                ticket=ticket,
            )
            await self._send_start(allocation, order)
            self.on_outcome()

    async def _send_start(
        self, allocation: Allocation, order: StartOrder
    ) -> None:
        """Send ``order`` until it is answered.

        A start that gets no response is stopped after the last attempt.
        """
        may_have_run = False
        is_retry = False
        attempts_left = MAX_START_ATTEMPTS
        while attempts_left:
            if is_retry and not self._event_handler.may_resend_start(
                allocation
            ):
                break
            sent_at_s = self._clock.monotonic_s()
            reply = await self._client.start(self._epoch, order)
            _log_order('run.start', allocation, reply)
            if reply.outcome not in _RESENT:
                self._handle_start_reply(allocation, reply, may_have_run)
                return
            may_have_run |= reply.outcome is OrderOutcome.UNKNOWN
            is_retry = True
            if not self._was_late(sent_at_s, order):
                attempts_left -= 1
        self._give_up_start(allocation, may_have_run)

    def _give_up_start(
        self, allocation: Allocation, may_have_run: bool
    ) -> None:
        """Stop a start that got no response; release one that was not sent."""
        if not may_have_run:
            self.worker.require_report(self._clock.monotonic_s())
            self._event_handler.handle_start_rejected(
                allocation, OrderOutcome.UNREACHED
            )
        elif allocation.phase is AllocationPhase.STARTING:
            # The worker rejects a late start once it has confirmed the stop.
            mark_for_stop((allocation,), StopReason.START_UNANSWERED)
            self.order_stop(allocation)

    def _was_late(self, sent_at_s: float, order: StartOrder) -> bool:
        """Return whether an unanswered start says nothing of the worker.

        After the deadline of the order it always does.
        """
        now_s = self._clock.monotonic_s()
        return self.worker.estimate_clock_ms(
            now_s
        ) < order.deadline_ms and self._event_handler.was_late_since(sent_at_s)

    def _handle_start_reply(
        self, allocation: Allocation, reply: OrderReply, may_have_run: bool
    ) -> None:
        outcome = reply.outcome
        if outcome in _STALE_STATE:
            self.worker.require_report(self._clock.monotonic_s())
        if outcome is OrderOutcome.DONE:
            self._event_handler.handle_started(allocation)
        elif outcome is OrderOutcome.FENCED:
            self._event_handler.handle_fenced(self.worker)
        elif may_have_run and outcome in _MAY_HAVE_RUN:
            _log_order('run.start_open', allocation, reply)
        elif outcome in OUTCOMES_NEVER_STARTED:
            self._event_handler.handle_start_rejected(allocation, outcome)

    async def _stop(self, allocation: Allocation) -> None:
        retry_delay_s = UNANSWERED_RETRY_S
        while allocation.ref in self.worker.allocations:
            outcome = await self._send_stop(allocation)
            if outcome in _STOP_ANSWERED:
                break
            is_unanswered = outcome is OrderOutcome.UNKNOWN
            await asyncio.sleep(
                retry_delay_s if is_unanswered else STOP_RETRY_S
            )
            retry_delay_s = min(2 * retry_delay_s, STOP_RETRY_S)
        self.on_outcome()

    async def _send_stop(self, allocation: Allocation) -> OrderOutcome:
        """Send one stop, if this VM has the authority to send orders."""
        reply = await self._call_stop(allocation.ref)
        if reply is None:
            return OrderOutcome.NOT_SENT
        _log_order('run.stop', allocation, reply)
        if reply.outcome is OrderOutcome.DONE:
            allocation.stop_confirmed_at_s = self._clock.monotonic_s()
        elif reply.outcome is OrderOutcome.FENCED:
            self._event_handler.handle_fenced(self.worker)
        return reply.outcome

    async def _call_stop(self, ref: RunRef) -> OrderReply | None:
        """Send a stop once a call is free; None: no orders may be sent then."""
        async with self.limits.hold(OrderKind.STOP):
            if not self._event_handler.may_send_orders():
                return None
            return await self._client.stop(self._epoch, ref)

    async def _throttle(self, allocation: Allocation, percent: int) -> None:
        async with self.limits.hold(OrderKind.THROTTLE):
            if not self._event_handler.may_send_orders():
                return
            reply = await self._client.throttle(
                self._epoch, allocation.ref, percent
            )
        # An unanswered order is sent again after the next report.
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
        # A leader without authority may take a new leader's run for an orphan.
        reply = await self._call_stop(ref)
        if reply is None:
            return
        log_event(
            logger,
            'run.stray_stopped',
            worker=self.worker.id,
            job=ref.task.job,
            run=ref.run,
            outcome=reply.outcome.value,
        )
        self.on_outcome()


def _log_order(event: str, allocation: Allocation, reply: OrderReply) -> None:
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
        reason=allocation.stop_reason.value if allocation.stop_reason else None,
        outcome=reply.outcome.value,
    )


def _do_nothing() -> None:
    """Stand in for a handler that is set later."""
