"""Runs that make no progress.

Finds tasks that stall on a worker although it reports good health. The
members of a gang advance together, so a stalled gang does not show
which worker is at fault: its run is moved, and each of its workers is
quarantined and tried again (``worker_reliability``).

A task may also be so long that a percent of it takes longer than the timeout.
One that stalls on one worker after the other is given more time in each further
run, and its workers are not blamed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .job_state import Allocation, AllocationPhase, Unit

if TYPE_CHECKING:
    from .engine import Engine

# A percent takes up to 0.3 s of the longest usual tasks on the slowest workers.
STALL_TIMEOUT_S = 3.5
# Runs of a unit that stall with this timeout, on different workers as a rule.
# It then doubles with each run.
MAX_BLAMING_STALLS = 2
MAX_STALL_TIMEOUT_S = 3600.0


def record_stalls(engine: Engine, now_s: float) -> list[Allocation]:
    """Return the allocations of runs to stop as they make no progress.

    Records the stalls of their units and, at first, of their workers.
    """
    stalled = _find_stalled_runs(engine, now_s)
    for allocation in stalled:
        unit = allocation.unit
        if unit.stalled_run != allocation.run:
            unit.stalled_run = allocation.run
            unit.stalls += 1
        if unit.stalls <= MAX_BLAMING_STALLS:
            engine.reliability.record_stall(allocation.worker, now_s)
    return stalled


def stall_timeout_s(unit: Unit) -> float:
    """Return after which time without progress a run of ``unit`` stalls."""
    doublings = max(0, unit.stalls + 1 - MAX_BLAMING_STALLS)
    return min(STALL_TIMEOUT_S * 2**doublings, MAX_STALL_TIMEOUT_S)


def _find_stalled_runs(engine: Engine, now_s: float) -> list[Allocation]:
    stalled = []
    for worker in engine.workers.values():
        # Only a recent report tells of progress.
        if worker.failed_polls or not worker.has_reported:
            continue
        stalled.extend(
            allocation
            for allocation in worker.allocations.values()
            if _is_stalled(allocation, worker.last_report_at_s)
        )
    return stalled


def _is_stalled(allocation: Allocation, last_report_at_s: float) -> bool:
    if (
        allocation.phase is not AllocationPhase.RUNNING
        or allocation.unit.spec.is_service
        or not allocation.last_progress_at_s
    ):
        return False
    progress_at_s = max(
        allocation.last_progress_at_s, allocation.checkpointed_at_s
    )
    silent_s = last_report_at_s - progress_at_s
    return silent_s > STALL_TIMEOUT_S and silent_s > stall_timeout_s(
        allocation.unit
    )
