"""Applies the events of worker links to the engine and to the job records."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from ..batch.advice import step_ref_of
from ..batch.engine import Engine
from ..batch.ids import RunRef
from ..batch.interference import PairChange
from ..batch.job_state import Allocation, AllocationPhase, Job, UnitPhase
from ..batch.orders import OrderOutcome
from ..batch.pacing import speed_of, update_throttle
from ..batch.pass_candidates import is_in_service, is_schedulable
from ..batch.plan import Plan
from ..batch.reconcile import AllocationEnd
from ..batch.worker_crashes import AccusedRun
from ..batch.workers import (
    EndedTask,
    EndKind,
    ReportedEnds,
    Worker,
    WorkerReport,
)
from ..clock import MS_PER_S, Clock
from ..ids import WorkerId
from ..logs import log_event
from .background_tasks import BackgroundTasks
from .job_records import JobRecords
from .leadership import Leadership, longest_lease_s
from .standstill_log import log_stall, log_suspicion
from .store_writer import (
    LeadershipLostError,
    WriteWithdrawnError,
)
from .worker_link import WorkerLink

logger = logging.getLogger(__name__)

# Rejected starts that count as a failure of the worker.
_WORKER_FAULTS = frozenset((OrderOutcome.UNHEALTHY, OrderOutcome.OTHER_WORKER))


class WorkerEventHandler:
    """Handles the reports and order outcomes of all workers on the leader."""

    def __init__(
        self,
        engine: Engine,
        records: JobRecords,
        leadership: Leadership,
        clock: Clock,
    ) -> None:
        """Apply events to ``engine`` and write changed jobs to ``records``."""
        # Set by the scheduler.
        self.apply_plan: Callable[[Plan], None] = _apply_nothing
        self.find_link: Callable[[WorkerId], WorkerLink | None] = _no_link
        self.on_change: Callable[[], None] = _do_nothing
        self.tasks = BackgroundTasks()
        self._engine = engine
        self._records = records
        self._leadership = leadership
        self._clock = clock

    def was_late_since(self, since_s: float) -> bool:
        """Return whether this process itself ran late after ``since_s``."""
        return self._leadership.loop_delay.was_late_since(since_s)

    def may_send_orders(self) -> bool:
        """Return whether this VM has the authority to send orders."""
        return self._leadership.has_authority

    def longest_lease_ms(self, worker: Worker) -> int:
        """Return the longest lease to grant ``worker`` now; zero: none."""
        if worker.id in self._engine.lease_expiry.named:
            return 0
        longest_s = longest_lease_s(
            self._leadership.confirmed_at_s, self._clock.monotonic_s()
        )
        return int(longest_s * MS_PER_S)

    def is_start_wanted(self, allocation: Allocation) -> bool:
        """Return whether the start of ``allocation`` is still wanted."""
        worker = self._engine.workers.get(allocation.worker)
        if worker is None or not self._leadership.has_authority:
            return False
        if _is_given_up(allocation) or not _is_held(worker, allocation):
            return False
        # The capacity may have shrunk since the placement.
        if worker.exceeds_capacity():
            return False
        if self._engine.reliability.is_quarantined_since(
            worker.id, allocation.unit.placed_at_s, self._clock.monotonic_s()
        ):
            return False
        return is_schedulable(self._engine, worker)

    def may_resend_start(self, allocation: Allocation) -> bool:
        """Return whether an unanswered start of ``allocation`` is sent again.

        Unlike the first attempt, it does not need a worker that responds to
        polls. It holds its capacity as if it were carried out already.
        """
        worker = self._engine.workers.get(allocation.worker)
        if worker is None or not _is_held(worker, allocation):
            return False
        is_start_open = (
            allocation.phase is AllocationPhase.STARTING
            and self._leadership.has_authority
            and not _is_given_up(allocation)
        )
        return (
            is_start_open
            and not worker.exceeds_capacity()
            and is_in_service(self._engine, worker)
        )

    def handle_report(
        self, worker: Worker, report: WorkerReport, requested_at_s: float
    ) -> None:
        """Apply a worker's report.

        The reported ends are acknowledged to the worker once they are stored.
        ``requested_at_s`` is the time at which the report was requested.
        """
        plan, report_changes = self._engine.apply_report(
            worker,
            report,
            requested_at_s=requested_at_s,
            now_s=self._clock.monotonic_s(),
            unix_ms=self._clock.unix_ms(),
        )
        for end in report_changes.ends:
            _log_end(end)
        for ended in report_changes.unmatched_ends:
            _log_unmatched_end(worker, ended)
        for crossed in report_changes.crossed:
            _log_crossed_run(worker, crossed)
        for pair in report_changes.interference:
            _log_pair(pair)
        link = self.find_link(worker.id)
        if link is not None:
            self._send_report_orders(link, report_changes.orphans)
        self.apply_plan(plan)
        numbers = report_changes.processed_ends
        if numbers:
            self.tasks.spawn(
                self._store_ends(worker, worker.ends, numbers, plan.changed)
            )
        if numbers or report_changes.ends or report_changes.orphans:
            self.on_change()

    def handle_started(self, allocation: Allocation) -> None:
        """Record that a worker has carried out a start."""
        self.apply_plan(
            self._engine.confirm_starts(
                (allocation,), self._clock.monotonic_s()
            )
        )

    def handle_start_rejected(
        self, allocation: Allocation, outcome: OrderOutcome
    ) -> None:
        """Release ``allocation``, whose start was rejected.

        The outcome may count against the worker or invalidate its ticket.
        """
        if outcome in _WORKER_FAULTS:
            self._engine.reliability.record_failure(
                allocation.worker,
                allocation.unit.job.id,
                self._clock.monotonic_s(),
            )
        if outcome is OrderOutcome.NO_TICKET:
            self._engine.advice.tickets.drop(
                step_ref_of(allocation.unit),
                allocation.worker,
                self._clock.monotonic_s(),
            )
        self.handle_run_ended(allocation, EndKind.NEVER_STARTED)

    def handle_start_dropped(self, allocation: Allocation) -> None:
        """Release ``allocation``, whose start was never sent."""
        self.handle_run_ended(allocation, EndKind.NEVER_STARTED)

    def handle_run_ended(self, allocation: Allocation, kind: EndKind) -> None:
        """Release ``allocation``, whose run has ended or never started."""
        worker = self._engine.workers.get(allocation.worker)
        if (
            worker is None
            or worker.allocations.pop(allocation.ref, None) is None
        ):
            return
        end = AllocationEnd(allocation, kind)
        _log_end(end)
        plan = self._engine.end_allocations(
            (end,),
            unix_ms=self._clock.unix_ms(),
            now_s=self._clock.monotonic_s(),
        )
        self.apply_plan(plan)
        self.on_change()

    def handle_failed_poll(self, worker: Worker) -> None:
        """Request a scheduling pass after the first failed poll of a worker."""
        if worker.failed_polls == 1:
            worker.silent_since_s = self._clock.monotonic_s()
            self.on_change()

    def handle_worker_replaced(self, worker: Worker) -> None:
        """End the incarnation of a worker; another replies at its address."""
        plan = self._engine.end_incarnation(
            worker,
            unix_ms=self._clock.unix_ms(),
            now_s=self._clock.monotonic_s(),
            is_replaced=True,
        )
        self.apply_plan(plan)
        self.on_change()

    def handle_fenced(self, worker: Worker) -> None:
        """Step down as leader: ``worker`` has seen a higher epoch."""
        reason = f'worker {worker.id} has seen a higher epoch'
        self.tasks.spawn(self._leadership.step_down(reason))

    def _send_report_orders(
        self, link: WorkerLink, orphans: Iterable[RunRef]
    ) -> None:
        """Send the orders that need no stored record.

        Stops orphans and adjusts the speed of throttled runs.
        """
        for orphan in orphans:
            link.orders.stop_orphan(orphan)
        worker = link.worker
        for allocation in update_throttle(
            worker,
            self._clock.monotonic_s(),
            self._engine.interference.harms,
        ):
            link.orders.order_throttle(allocation, speed_of(worker, allocation))

    async def _store_ends(
        self,
        worker: Worker,
        ends: ReportedEnds,
        numbers: Iterable[int],
        changed: Iterable[Job],
    ) -> None:
        """Store ``changed``, the jobs on which the ends with ``numbers`` act.

        Earlier ends may be stored later, as several transactions are under way
        at a time. An end is acknowledged after all before it.
        """
        writes = [self._records.write_progress(job) for job in changed]
        try:
            await asyncio.gather(*(asyncio.shield(write) for write in writes))
        except (LeadershipLostError, WriteWithdrawnError):
            # The worker keeps reporting the ends until a leader stores them.
            return
        ends.finish_storing(numbers)
        link = self.find_link(worker.id)
        if link is not None:
            link.wake()


def _is_held(worker: Worker, allocation: Allocation) -> bool:
    """Return whether the run of ``allocation`` has not ended meanwhile.

    It has if the incarnation on which it was placed is gone.
    """
    started_unix_ms = allocation.worker_started_unix_ms
    if started_unix_ms != worker.entry.started_unix_ms:
        return False
    return worker.allocations.get(allocation.ref) is allocation


def _is_given_up(allocation: Allocation) -> bool:
    unit = allocation.unit
    # An earlier run of the task may turn out to be done.
    is_done = unit.phase is UnitPhase.DONE
    return is_done or unit.is_aborting or unit.job.has_ended


def log_evidence(plan: Plan) -> None:
    """Log what speaks against runs or workers."""
    for accused in plan.accused:
        _log_accused_run(accused)
    for suspicion in plan.suspicions:
        log_suspicion(suspicion)
    for stall in plan.stalls:
        log_stall(stall)


def _log_accused_run(accused: AccusedRun) -> None:
    """Log a crash that counts against a run, and the job if it is given up."""
    ref = accused.allocation.ref
    history = accused.history
    log_event(
        logger,
        'run.accused',
        level=logging.WARNING,
        worker=accused.allocation.worker,
        job=ref.task.job,
        occurrence=ref.task.occurrence,
        step=ref.task.step,
        index=ref.task.index,
        run=ref.run,
        age_ms=accused.age_ms,
        crashes_shared=history.shared,
        crashes_alone=history.alone,
        crashes_unstable=history.unstable,
    )
    if history.is_conclusive:
        log_event(
            logger,
            'job.given_up',
            level=logging.WARNING,
            job=ref.task.job,
            reason=accused.allocation.unit.job.reason,
        )


def _log_end(end: AllocationEnd) -> None:
    ref = end.allocation.ref
    log_event(
        logger,
        'run.ended',
        worker=end.allocation.worker,
        job=ref.task.job,
        occurrence=ref.task.occurrence,
        step=ref.task.step,
        index=ref.task.index,
        run=ref.run,
        how=end.kind.value,
    )


def _log_pair(pair: PairChange) -> None:
    log_event(
        logger,
        'interference.learnt' if pair.is_named else 'interference.forgotten',
        slowed=pair.victim,
        by=pair.neighbour,
        slowdown=round(pair.slowdown, 2),
        observations=round(pair.observations, 1),
    )


def _log_crossed_run(worker: Worker, ref: RunRef) -> None:
    """Log that an incarnation runs what was placed on another one."""
    log_event(
        logger,
        'run.crossed',
        level=logging.ERROR,
        worker=worker.id,
        incarnation=worker.entry.started_unix_ms,
        job=ref.task.job,
        occurrence=ref.task.occurrence,
        step=ref.task.step,
        index=ref.task.index,
        run=ref.run,
    )


def _log_unmatched_end(worker: Worker, ended: EndedTask) -> None:
    ref = ended.ref
    log_event(
        logger,
        'run.end_unmatched',
        worker=worker.id,
        job=ref.task.job,
        occurrence=ref.task.occurrence,
        step=ref.task.step,
        index=ref.task.index,
        run=ref.run,
        how=ended.kind.value,
        number=ended.number,
    )


def _apply_nothing(_plan: Plan) -> None:
    """Stand in for a handler that is set later."""


def _no_link(_worker: WorkerId) -> None:
    """Stand in for a handler that is set later."""


def _do_nothing() -> None:
    """Stand in for a handler that is set later."""
