"""Finds the runs that draining workers cannot finish.

Workers are drained by operators or withdrawn at short notice. A run that
cannot end before its worker is gone is stopped early, so that it goes on
elsewhere, from its checkpoint if it has one. Other runs are left to end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import MS_PER_S
from .job_state import Allocation, AllocationPhase

if TYPE_CHECKING:
    from .engine import Engine
    from .workers import Worker

# Most workers stay for some seconds after the time that they announce.
DRAIN_MARGIN_S = 2.0


def find_outlasting_runs(engine: Engine, now_s: float) -> list[Allocation]:
    """Return the allocations whose worker shuts down before they end."""
    outlasting: list[Allocation] = []
    for worker in engine.workers.values():
        if worker.entry.is_draining and worker.is_listed:
            available_s = _available_s(worker, now_s)
            outlasting.extend(
                allocation
                for allocation in worker.allocations.values()
                if _outlasts_worker(engine, allocation, available_s)
            )
    return outlasting


def _outlasts_worker(
    engine: Engine, allocation: Allocation, available_s: float
) -> bool:
    left_s = engine.estimates.remaining_ms(allocation.unit) / MS_PER_S
    return allocation.phase is AllocationPhase.RUNNING and left_s > available_s


def _available_s(worker: Worker, now_s: float) -> float:
    announced_s = worker.entry.shutdown_in_ms / MS_PER_S
    return worker.draining_since_s + announced_s + DRAIN_MARGIN_S - now_s
