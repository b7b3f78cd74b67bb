"""Reconciles a worker's report with the allocations on that worker.

A report lists all running tasks and all ends that are not yet confirmed. A run
in neither list has ended if it was known to run, or its stop was confirmed,
before the report was requested, or if its start deadline has passed. In the
first report to a new leader every missing run has ended. Nothing follows from
a list of ends that was cut.
"""

from collections.abc import Container

import msgspec

from .ids import RunRef
from .interference import PairChange
from .job_state import Allocation, AllocationPhase
from .run_progress import (
    record_checkpoint,
    record_excuse,
    record_percent,
    record_speed,
    record_start,
)
from .worker_crashes import WorkerCrash, find_crashed_runs, observe_crash
from .workers import (
    UNKNOWN_START,
    EndedTask,
    EndKind,
    RunningTask,
    Worker,
    WorkerReport,
)


class AllocationEnd(msgspec.Struct, frozen=True):
    """The end of an allocation."""

    allocation: Allocation
    kind: EndKind
    checkpoint: str = ''


class ReportChanges(msgspec.Struct):
    """State changes that follow from one report."""

    ends: list[AllocationEnd] = msgspec.field(default_factory=list)
    # Numbers of the ends that were not processed before.
    processed_ends: list[int] = msgspec.field(default_factory=list)
    # Ends of runs without an allocation: given up before, or never known.
    unmatched_ends: list[EndedTask] = msgspec.field(default_factory=list)
    # Runs without an allocation, which must be stopped.
    orphans: list[RunRef] = msgspec.field(default_factory=list)
    # Allocations whose run is confirmed by this report.
    confirmed: list[Allocation] = msgspec.field(default_factory=list)
    # Starts sent to the previous incarnation of the worker and not confirmed.
    # They must be stopped, as the new one may still carry them out.
    unconfirmed: list[Allocation] = msgspec.field(default_factory=list)
    # Runs that the worker's incarnation carried out in place of another one.
    crossed: list[RunRef] = msgspec.field(default_factory=list)
    # Runs of suspects that have lasted long enough to clear them.
    survived: list[Allocation] = msgspec.field(default_factory=list)
    # Pairs of images that were named or forgotten as slowing each other down.
    interference: list[PairChange] = msgspec.field(default_factory=list)
    # Crash of the previous incarnation; None: there was none, or no runs.
    crash: WorkerCrash | None = None


def reconcile_worker(
    worker: Worker, report: WorkerReport, *, requested_at_s: float, now_s: float
) -> ReportChanges:
    """Apply ``report`` to ``worker`` and return the changes.

    ``requested_at_s`` is the time at which the report was requested.
    """
    report_changes = ReportChanges()
    report_changes.crash = observe_crash(
        worker, find_crashed_runs(worker, report, now_s), now_s
    )
    if report.started_unix_ms != worker.entry.started_unix_ms:
        _start_new_incarnation(worker, report, report_changes)
    worker.record_clock(report.clock_ms, now_s, requested_at_s)
    for ended in report.ended:
        _apply_end(worker, ended, report_changes)
    listed = set()
    for running in report.running:
        listed.add(running.ref)
        _apply_running(worker, running, report_changes, now_s)
    if not report.is_cut:
        _end_missing_runs(
            worker, report, report_changes, listed, requested_at_s
        )
        worker.has_complete_report = True
    else:
        _restart_stall_timers(worker, listed, now_s)
    worker.expired.clear()
    worker.orphans &= listed
    worker.has_reported = True
    if requested_at_s >= worker.unknown_incarnation_since_s:
        worker.unknown_incarnation_since_s = 0.0
    return report_changes


def _end_missing_runs(
    worker: Worker,
    report: WorkerReport,
    report_changes: ReportChanges,
    listed: Container[RunRef],
    requested_at_s: float,
) -> None:
    """End the runs that are not ``listed`` as running and must have ended."""
    is_first_complete_report = not worker.has_complete_report
    for allocation in tuple(worker.allocations.values()):
        if allocation.ref in listed:
            continue
        is_unknown = (
            is_first_complete_report
            and _is_unconfirmed_start_of_earlier_leader(allocation)
        )
        if is_unknown or _has_ended(
            allocation, report.clock_ms, requested_at_s
        ):
            _end_allocation(
                worker,
                AllocationEnd(allocation, _end_kind_of_missing(allocation)),
                report_changes,
            )


def _start_new_incarnation(
    worker: Worker, report: WorkerReport, report_changes: ReportChanges
) -> None:
    """Reset what is known of the previous incarnation.

    Its confirmed runs end as missing ones.
    """
    worker.begin_incarnation(report.started_unix_ms)
    listed = {running.ref for running in report.running}
    listed.update(ended.ref for ended in report.ended)
    for allocation in tuple(worker.allocations.values()):
        if allocation.ref in listed:
            continue
        if allocation.start_confirmed_at_s is None:
            # The deadline of the start is on the clock of the previous
            # incarnation, which may also have confirmed a stop.
            allocation.start_deadline_ms = None
            allocation.stop_confirmed_at_s = None
            if allocation.is_start_sent:
                report_changes.unconfirmed.append(allocation)


def _apply_end(
    worker: Worker, ended: EndedTask, report_changes: ReportChanges
) -> None:
    if ended.number <= worker.ends.processed:
        return
    worker.ends.begin_processing(ended.number)
    report_changes.processed_ends.append(ended.number)
    worker.orphans.discard(ended.ref)
    allocation = worker.allocations.get(ended.ref)
    if allocation is None:
        report_changes.unmatched_ends.append(ended)
        return
    _end_allocation(
        worker,
        AllocationEnd(allocation, ended.kind, ended.checkpoint),
        report_changes,
    )


def _apply_running(
    worker: Worker,
    running: RunningTask,
    report_changes: ReportChanges,
    now_s: float,
) -> None:
    allocation = worker.allocations.get(running.ref)
    if allocation is None:
        worker.orphans.add(running.ref)
        report_changes.orphans.append(running.ref)
        return
    placed_on = allocation.worker_started_unix_ms
    if placed_on not in {UNKNOWN_START, worker.entry.started_unix_ms}:
        report_changes.crossed.append(running.ref)
    if allocation.start_confirmed_at_s is None:
        report_changes.confirmed.append(allocation)
    confirm_running(allocation, now_s)
    allocation.load = running.load
    record_speed(allocation, worker.clock_ms)
    if not allocation.progress_clock_ms:
        record_start(allocation, running.percent, worker.clock_ms)
    if running.percent > allocation.percent:
        record_percent(allocation, running.percent, worker.clock_ms)
        allocation.last_progress_at_s = now_s
    if running.checkpoint:
        _record_checkpoint(
            allocation, running.checkpoint, worker.clock_ms, now_s
        )
    if _has_survived(allocation, now_s):
        allocation.is_isolated = False
        allocation.unit.crashes.pop(allocation.index)
        report_changes.survived.append(allocation)


def _record_checkpoint(
    allocation: Allocation, checkpoint: str, clock_ms: int, now_s: float
) -> None:
    allocation.unit.checkpoint = checkpoint
    if checkpoint != allocation.checkpoint:
        record_checkpoint(allocation, clock_ms)
        allocation.checkpoint = checkpoint
        allocation.checkpointed_at_s = now_s


def confirm_running(allocation: Allocation, now_s: float) -> None:
    """Record that the run of ``allocation`` was running at ``now_s``."""
    if allocation.start_confirmed_at_s is None:
        allocation.start_confirmed_at_s = now_s
        allocation.last_progress_at_s = now_s
    if allocation.phase is AllocationPhase.STARTING:
        allocation.phase = AllocationPhase.RUNNING


def _has_survived(allocation: Allocation, now_s: float) -> bool:
    """Return whether the run clears its task of the crashes before."""
    history = allocation.unit.crashes.get(allocation.index)
    started_at_s = allocation.start_confirmed_at_s
    if history is None or started_at_s is None:
        return False
    return now_s - started_at_s >= history.survival_s


def _restart_stall_timers(
    worker: Worker, listed: Container[RunRef], now_s: float
) -> None:
    """Restart the stall timer of each run whose end may be listed later."""
    for allocation in worker.allocations.values():
        if allocation.ref not in listed and allocation.last_progress_at_s:
            allocation.last_progress_at_s = now_s
            record_excuse(allocation, worker.clock_ms)


def _is_unconfirmed_start_of_earlier_leader(allocation: Allocation) -> bool:
    """Return whether an earlier leader sent it and no report has listed it."""
    return (
        allocation.is_start_sent
        and allocation.start_sent_at_s is None
        and allocation.start_confirmed_at_s is None
    )


def _has_ended(
    allocation: Allocation, clock_ms: int, requested_at_s: float
) -> bool:
    if (
        allocation.start_confirmed_at_s is not None
        and allocation.start_confirmed_at_s < requested_at_s
    ):
        return True
    if (
        allocation.stop_confirmed_at_s is not None
        and allocation.stop_confirmed_at_s < requested_at_s
    ):
        return True
    deadline_ms = allocation.start_deadline_ms
    return deadline_ms is not None and clock_ms > deadline_ms


def _end_kind_of_missing(allocation: Allocation) -> EndKind:
    if allocation.start_confirmed_at_s is None:
        return EndKind.NEVER_STARTED
    return EndKind.LOST


def _end_allocation(
    worker: Worker, end: AllocationEnd, report_changes: ReportChanges
) -> None:
    worker.allocations.pop(end.allocation.ref, None)
    worker.ended_progress_ms = max(
        worker.ended_progress_ms, _last_progress_ms(worker, end)
    )
    report_changes.ends.append(end)


def _last_progress_ms(worker: Worker, end: AllocationEnd) -> int:
    """Return when the ended run progressed last; 0: not known.

    What the first report lists may have ended long ago.
    """
    if end.kind is EndKind.DONE and worker.has_reported:
        return worker.clock_ms
    progress_ms = end.allocation.progress_clock_ms
    has_progressed = progress_ms > end.allocation.started_clock_ms
    return progress_ms if has_progressed else 0
