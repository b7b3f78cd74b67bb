"""Room kept for a large unit that waits.

Answers small tasks that take each freed accelerator as it comes, so that a
gang that needs whole workers at once never finds them: the workers that will
be free for it soonest are kept, and others use them only for work that ends
before.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

import msgspec

from ..ids import RackId
from .estimates import Estimates
from .model import MS_PER_S
from .placement import Candidate, fitting_tasks
from .progress import Seat, Unit
from .workers import Worker

# Units that wait less are not worth keeping room for.
HOLD_AFTER_S = 0.3
# Most units that room is kept for in one pool.
MAX_HOLDS = 4


class Opening(msgspec.Struct, frozen=True):
    """A worker that has room for one more task at a time to come."""

    candidate: Candidate
    in_s: float


def soonest_places(
    unit: Unit,
    candidates: Sequence[Candidate],
    workers: dict[str, Worker],
    estimates: Estimates,
) -> list[Opening]:
    """Return where the whole unit fits first; empty: nowhere.

    Runs are expected to end as estimated. A gang that wants one rack, or a
    unit whose data is in one, is given that rack.
    """
    step = unit.spec
    groups: dict[RackId, list[Opening]] = defaultdict(list)
    in_one_rack = bool(step.near_rack) or (step.same_rack and unit.size > 1)
    for candidate in candidates:
        if step.near_rack and candidate.rack != step.near_rack:
            continue
        rack = candidate.rack if in_one_rack else RackId('')
        groups[rack].extend(
            _openings(unit, candidate, workers[candidate.worker], estimates)
        )
    best: list[Opening] = []
    for group in groups.values():
        group.sort(key=lambda opening: opening.in_s)
        chosen = group[: unit.size]
        if len(chosen) < unit.size:
            continue
        if not best or chosen[-1].in_s < best[-1].in_s:
            best = chosen
    return best


def _openings(
    unit: Unit, candidate: Candidate, worker: Worker, estimates: Estimates
) -> list[Opening]:
    """Return when ``candidate`` has room for one, two and more tasks."""
    if candidate.on_probation or candidate.kept_in_s is not None:
        return []
    openings: list[Opening] = []
    future = msgspec.structs.replace(candidate)
    waits: list[tuple[float, Seat | None]] = [(0.0, None)]
    waits.extend(
        (estimates.left_ms(seat.unit) / MS_PER_S, seat)
        for seat in worker.seats.values()
    )
    waits.sort(key=lambda pair: pair[0])
    for in_s, seat in waits:
        if seat is not None:
            future.room = future.room.plus(seat.unit.spec.room)
        more = fitting_tasks(future, unit.spec) - len(openings)
        openings.extend(Opening(candidate, in_s) for _ in range(more))
        if len(openings) >= unit.size:
            break
    return openings
