"""Runs on workers that leave.

Answers drained workers, taken-away machines and their short notices: what
cannot end before its worker is gone is stopped early, so that it goes on
elsewhere, from its checkpoint where it has one; what can is left to end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import MS_PER_S
from .job_state import Allocation, AllocationPhase

if TYPE_CHECKING:
    from .engine import Engine
    from .workers import Worker

# Most workers stay for some seconds after the time that they announce.
STAYS_LONGER_S = 2.0


def find_outlasting_runs(engine: Engine, now_s: float) -> list[Allocation]:
    """Return the seats whose worker will be gone before they end."""
    doomed: list[Allocation] = []
    for worker in engine.workers.values():
        if worker.entry.is_draining and worker.is_listed:
            stays_s = _stays_s(worker, now_s)
            doomed.extend(
                allocation
                for allocation in worker.allocations.values()
                if _is_doomed(engine, allocation, stays_s)
            )
    return doomed


def _is_doomed(engine: Engine, allocation: Allocation, stays_s: float) -> bool:
    left_s = engine.estimates.remaining_ms(allocation.unit) / MS_PER_S
    return allocation.phase is AllocationPhase.RUNNING and left_s > stays_s


def _stays_s(worker: Worker, now_s: float) -> float:
    announced_s = worker.entry.shutdown_in_ms / MS_PER_S
    return worker.draining_since_s + announced_s + STAYS_LONGER_S - now_s
