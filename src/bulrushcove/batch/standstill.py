"""Runs that make no progress.

Answers workers on which tasks stand still while their health is good. The
members of a gang advance together, so its standstill alone does not tell
which worker is at fault: its run is moved, and each of its workers is tried
again by one unit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .progress import Seat, SeatPhase

if TYPE_CHECKING:
    from .engine import Engine

# A percent takes up to 0.3 s of the longest tasks on the slowest workers.
STANDSTILL_S = 3.5


def standing_still(engine: Engine, now_s: float) -> list[Seat]:
    """Return the seats of runs that stand still."""
    still = []
    for worker in engine.workers.values():
        # Only a recent report tells of progress.
        if worker.missed_calls or not worker.is_adopted:
            continue
        still.extend(
            seat
            for seat in worker.seats.values()
            if _stands_still(seat, worker.heard_s)
        )
    return still


def _stands_still(seat: Seat, heard_s: float) -> bool:
    return (
        seat.phase is SeatPhase.LIVE
        and not seat.unit.spec.is_service
        and seat.progress_s > 0
        and heard_s - seat.progress_s > STANDSTILL_S
    )
