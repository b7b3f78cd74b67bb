"""Runs that make no progress.

Finds tasks that stall on a worker although it reports good health. The
members of a gang advance together, so a stalled gang does not show
which worker is at fault: its run is moved, and each of its workers is tried
again by one unit after a quarantine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .job_state import Allocation, AllocationPhase

if TYPE_CHECKING:
    from .engine import Engine

# A percent takes up to 0.3 s of the longest tasks on the slowest workers.
STALL_TIMEOUT_S = 3.5


def find_stalled_runs(engine: Engine, now_s: float) -> list[Allocation]:
    """Return the allocations of runs that make no progress."""
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
    return (
        allocation.phase is AllocationPhase.RUNNING
        and not allocation.unit.spec.is_service
        and allocation.last_progress_at_s > 0
        and last_report_at_s - allocation.last_progress_at_s > STALL_TIMEOUT_S
    )
