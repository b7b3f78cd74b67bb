"""The active scheduler's conversation with one worker."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from mode import Service

from ..batch.ids import RunRef
from ..batch.orders import (
    NEVER_RUNS,
    OrderAnswer,
    OrderOutcome,
    StartOrder,
    WorkerCallError,
    WorkerFencedError,
    WorkerGoneError,
)
from ..batch.progress import Seat, SeatPhase, StopReason, mark_stops
from ..batch.workers import EndKind, Worker, WorkerReport
from ..clock import Clock
from ..exceptions import WorkerError
from ..ids import Epoch
from ..logs import log_event
from .tasks import Tasks

# A start that is carried out later than this is refused by the worker. Long
# enough for a worker 60 ms away, short enough to try again soon.
START_TTL_MS = 1500
# How long a report waits for an end. Half of a lease must be left after it.
REPORT_WAIT_MS = 1500
# Lease of a worker that leaves: once it is silent, what it ran goes on
# elsewhere after this.
LEAVING_LEASE_MS = 3000
# After as many calls without an answer no longer lease is asked for.
SILENT_CALLS = 1
# While the outcome of an order is open.
SHORT_WAIT_MS = 250
# Ends are confirmed once stored; a report does not wait longer for that.
STORING_WAIT_S = 0.4
RETRY_S = 0.25
MAX_RETRY_S = 1.0
# Time between two orders to stop the same run.
STOP_AGAIN_S = 0.7

logger = logging.getLogger(__name__)


class WorkerPort(Protocol):
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

    async def start(self, epoch: Epoch, order: StartOrder) -> OrderAnswer:
        """Order the start of a run."""

    async def stop(self, epoch: Epoch, ref: RunRef) -> OrderAnswer:
        """Order the stop of a run."""

    async def close(self) -> None:
        """Close all connections."""


class LinkEvents(Protocol):
    """What the scheduler hears from its links."""

    def may_order(self) -> bool:
        """Return whether orders may be given now."""

    def may_begin(self, seat: Seat) -> bool:
        """Return whether the start of ``seat`` is still wanted."""

    def note_report(
        self, worker: Worker, report: WorkerReport, sent_s: float
    ) -> None:
        """A report has come."""

    def note_started(self, seat: Seat) -> None:
        """A worker has carried out a start."""

    def note_order_failed(self, seat: Seat, outcome: OrderOutcome) -> None:
        """A start was surely not carried out."""

    def note_seat_over(self, seat: Seat, kind: EndKind) -> None:
        """A run is over, or never was."""

    def note_silent(self, worker: Worker) -> None:
        """A call brought no answer."""

    def note_gone(self, worker: Worker) -> None:
        """Another instance answers at the worker's address."""

    def note_fenced(self, worker: Worker) -> None:
        """The worker has seen a higher epoch."""


class WorkerLink(Service):
    """Renews the lease of one worker while anything runs there."""

    def __init__(
        self,
        worker: Worker,
        port: WorkerPort,
        events: LinkEvents,
        *,
        epoch: Epoch,
        lease_ms: int,
        clock: Clock,
    ) -> None:
        """Speak to ``worker`` through ``port`` under ``epoch``."""
        super().__init__()
        self.worker = worker
        self.port = port
        # Last end that the worker was told is stored, and confirmed it.
        self.confirmed_end = 0
        self._events = events
        self._epoch = epoch
        self._lease_ms = lease_ms
        self._clock = clock
        self._wake = asyncio.Event()
        self._orders = Tasks()

    async def on_stop(self) -> None:
        """Give up orders in progress."""
        self._orders.cancel()
        await self.port.close()

    def wake(self) -> None:
        """Look again whether the worker is to be called."""
        self._wake.set()

    def order_start(self, seat: Seat, ticket: str = '') -> None:
        """Order the start of ``seat``."""
        self._orders.spawn(self._start(seat, ticket))

    def order_stop(self, seat: Seat) -> None:
        """Order the stop of ``seat``."""
        if not seat.sent:
            return
        seat.phase = SeatPhase.STOPPING
        self._orders.spawn(self._stop(seat))

    def stop_stray(self, ref: RunRef) -> None:
        """Order the stop of a run that no record names."""
        self._orders.spawn(self._stop_stray(ref))

    @Service.task
    async def _run(self) -> None:
        pause_s = RETRY_S
        while not self.should_stop:
            if not self._has_reason_to_call():
                self._wake.clear()
                await self._wake.wait()
                continue
            if await self._call():
                pause_s = RETRY_S
            else:
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_RETRY_S)

    def _has_reason_to_call(self) -> bool:
        worker = self.worker
        if not self._events.may_order():
            return False
        holds_something = bool(worker.seats or worker.strays)
        is_open = not worker.is_adopted or worker.missed_calls > 0
        has_ends = worker.seen_end > self.confirmed_end
        return holds_something or is_open or has_ends

    async def _call(self) -> bool:
        """Ask for one report; returns whether it came."""
        worker = self.worker
        await self._wait_for_storing()
        sent_s = self._clock.monotonic_s()
        lease_end_ms = None
        # A silent worker may carry out each call later: without longer
        # leases it is known when its runs have lapsed.
        if worker.is_adopted and worker.missed_calls < SILENT_CALLS:
            lease_ms = self._lease_ms
            if worker.entry.is_leaving:
                lease_ms = min(lease_ms, LEAVING_LEASE_MS)
            lease_end_ms = worker.clock_at(sent_s) + lease_ms
            worker.note_grant(lease_end_ms)
        stored_end = worker.stored_end
        try:
            report = await self.port.report(
                self._epoch,
                stored_end=stored_end,
                lease_end_ms=lease_end_ms,
                wait_ms=self._wait_ms(),
            )
        except WorkerFencedError:
            self._events.note_fenced(worker)
            return False
        except WorkerGoneError as exc:
            self._note_silent(exc)
            self._events.note_gone(worker)
            return False
        except WorkerCallError as exc:
            self._note_silent(exc)
            return False
        is_same_life = report.born_unix_ms == worker.entry.born_unix_ms
        self.confirmed_end = stored_end if is_same_life else 0
        self._events.note_report(worker, report, sent_s)
        return True

    def _note_silent(self, exc: WorkerError) -> None:
        worker = self.worker
        worker.missed_calls += 1
        log_event(
            logger,
            'worker.silent',
            worker=worker.id,
            missed=worker.missed_calls,
            error=exc,
        )
        self._events.note_silent(worker)

    async def _wait_for_storing(self) -> None:
        """Let the ends that were seen be stored, so that they are confirmed."""
        worker = self.worker
        until_s = self._clock.monotonic_s() + STORING_WAIT_S
        while (
            worker.seen_end > worker.stored_end
            and self._clock.monotonic_s() < until_s
        ):
            self._wake.clear()
            try:
                async with asyncio.timeout(STORING_WAIT_S):
                    await self._wake.wait()
            except TimeoutError:
                return

    def _wait_ms(self) -> int:
        worker = self.worker
        if not worker.is_adopted or worker.missed_calls:
            return 0
        if worker.seen_end > worker.stored_end:
            # The ends that are not stored yet would end the wait at once.
            return 0
        if worker.strays or any(
            seat.phase is not SeatPhase.LIVE for seat in worker.seats.values()
        ):
            return SHORT_WAIT_MS
        return REPORT_WAIT_MS if worker.seats else 0

    async def _start(self, seat: Seat, ticket: str) -> None:
        worker = self.worker
        if not self._events.may_begin(seat):
            self._events.note_seat_over(seat, EndKind.NEVER_STARTED)
            return
        now_s = self._clock.monotonic_s()
        deadline_ms = worker.clock_at(now_s) + START_TTL_MS
        seat.start_deadline_ms = deadline_ms
        seat.sent = True
        worker.note_grant(deadline_ms)
        unit = seat.unit
        order = StartOrder(
            ref=seat.ref,
            payload=unit.job.spec.payload,
            deadline_ms=deadline_ms,
            checkpoint=unit.checkpoint,
            ticket=ticket,
        )
        answer = await self.port.start(self._epoch, order)
        self._log_order('run.start', seat, answer)
        if answer.outcome is OrderOutcome.DONE:
            self._events.note_started(seat)
        elif answer.outcome is OrderOutcome.FENCED:
            self._events.note_fenced(worker)
        elif answer.outcome in NEVER_RUNS:
            self._events.note_order_failed(seat, answer.outcome)
        else:
            # A stop that is confirmed makes a late start impossible.
            mark_stops((seat,), StopReason.START_UNANSWERED)
            self.order_stop(seat)
        self.wake()

    async def _stop(self, seat: Seat) -> None:
        while seat.ref in self.worker.seats:
            answer = await self.port.stop(self._epoch, seat.ref)
            self._log_order('run.stop', seat, answer)
            if answer.outcome is OrderOutcome.DONE:
                seat.stop_confirmed_s = self._clock.monotonic_s()
                break
            if answer.outcome is OrderOutcome.FENCED:
                self._events.note_fenced(self.worker)
                break
            await asyncio.sleep(STOP_AGAIN_S)
        self.wake()

    async def _stop_stray(self, ref: RunRef) -> None:
        answer = await self.port.stop(self._epoch, ref)
        log_event(
            logger,
            'run.stray_stopped',
            worker=self.worker.id,
            job=ref.task.job,
            run=ref.run,
            outcome=answer.outcome.value,
        )
        self.wake()

    def _log_order(self, event: str, seat: Seat, answer: OrderAnswer) -> None:
        ref = seat.ref
        log_event(
            logger,
            event,
            worker=seat.worker,
            job=ref.task.job,
            occurrence=ref.task.occurrence,
            step=ref.task.step,
            index=ref.task.index,
            run=ref.run,
            reason=seat.stop_reason.value if seat.stop_reason else None,
            outcome=answer.outcome.value,
        )


PortFactory = Callable[[str, str], WorkerPort]
