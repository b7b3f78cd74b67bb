"""Runs a scheduling pass: places, preempts and reserves in queue order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .backfill_reservation import PlacelessShapes
from .draining import find_outlasting_runs
from .job_state import StopReason, Unit, mark_for_stop
from .plan import Plan
from .progress_model import ProgressModel
from .scheduling_pass import SchedulingPass
from .start_limits import StartLimits
from .worker_reliability import WorkerReliability

if TYPE_CHECKING:
    from .engine import Engine


class PassHistory:
    """What passes leave to the next one."""

    def __init__(self) -> None:
        """Start before the first pass."""
        # Passes so far; each examines other workers of a large pool.
        self.count = 0
        # Of units that wait for a reservation.
        self.placeless = PlacelessShapes()

    def begin_pass(self, now_s: float) -> None:
        """Count a pass that begins at ``now_s``."""
        self.count += 1
        self.placeless.forget_expired(now_s)


class _StartCount:
    """Counts the starts of a pass against its limits."""

    def __init__(self, limits: StartLimits, waiting: list[Unit]) -> None:
        self._left = limits.starts
        self._left_to_large_jobs = limits.starts
        if not all(unit.job.is_large for unit in waiting):
            self._left_to_large_jobs = limits.large_job_starts

    @property
    def is_full(self) -> bool:
        return self._left <= 0

    def is_full_for(self, unit: Unit) -> bool:
        return unit.job.is_large and self._left_to_large_jobs <= 0

    def add(self, unit: Unit, count: int) -> None:
        self._left -= count
        if unit.job.is_large:
            self._left_to_large_jobs -= count


def run_pass(current: SchedulingPass, limits: StartLimits) -> Plan:
    """Place the waiting units in order; urgent ones may preempt others."""
    plan = Plan()
    count = _StartCount(limits, current.waiting)
    _place_waiting(current, plan, count)
    _place_tried_last(current, plan, count)
    changed = {start.unit.job.id: start.unit.job for start in plan.starts}
    plan.changed = list(changed.values())
    plan.advice_request = current.next_advice_request()
    plan.is_partial |= current.decider.is_partial
    return plan


def _place_waiting(
    current: SchedulingPass, plan: Plan, count: _StartCount
) -> None:
    for unit in current.waiting:
        if count.is_full:
            plan.is_partial = True
            break
        if count.is_full_for(unit):
            plan.is_partial = True
            continue
        allocations = current.place(unit)
        plan.starts.extend(allocations)
        count.add(unit, len(allocations))
        if not allocations:
            plan.stops.extend(current.preempt(unit))
            current.reserve(unit)


def _place_tried_last(
    current: SchedulingPass, plan: Plan, count: _StartCount
) -> None:
    for retried in current.units_tried_last():
        if count.is_full:
            plan.is_partial = True
            break
        if not count.is_full_for(retried):
            allocations = current.place(retried)
            plan.starts.extend(allocations)
            count.add(retried, len(allocations))


def stop_stalled_runs(
    plan: Plan,
    progress: ProgressModel,
    reliability: WorkerReliability,
    now_s: float,
) -> None:
    """Add the runs that stand still to the stops of ``plan``."""
    plan.stalls = progress.find_stalls(now_s)
    for stall in plan.stalls:
        for worker in stall.blamed:
            reliability.record_stall(worker, now_s)
        plan.stops.extend(mark_for_stop(stall.allocations, StopReason.STALLED))


def stop_outlasting_runs(plan: Plan, engine: Engine, now_s: float) -> None:
    """Add the runs that draining workers cannot finish to the stops."""
    outlasting = find_outlasting_runs(engine, now_s)
    plan.stops.extend(mark_for_stop(outlasting, StopReason.WORKER_DRAINING))
