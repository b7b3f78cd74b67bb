"""Room kept for a large unit that waits.

Answers small tasks that take each freed accelerator as it comes, so that a
gang that needs whole workers at once never finds them: the workers that will
be free for it soonest are kept, and others use them only for work that ends
before.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from itertools import repeat

import msgspec

from ..ids import RackId
from .capacity_forecast import CapacityForecast
from .job_state import Unit
from .placement import Candidate, fitting_tasks

# Units that wait less are not worth keeping room for.
HOLD_AFTER_S = 0.3
# Most units that room is kept for in one pool.
MAX_HOLDS = 4


class FutureCapacity(msgspec.Struct, frozen=True):
    """A worker that has room for one more task at a time to come."""

    candidate: Candidate
    in_s: float


def soonest_places(
    unit: Unit,
    candidates: Sequence[Candidate],
    forecast: CapacityForecast,
    horizon_s: float = math.inf,
) -> list[FutureCapacity]:
    """Return where the whole unit fits first; empty: not within the horizon.

    Runs are expected to end as estimated. A gang that wants one rack, or a
    unit whose data is in one, is given that rack.
    """
    groups: dict[RackId, list[FutureCapacity]] = defaultdict(list)
    for candidate in _near(unit, candidates):
        openings = _openings(unit, candidate, forecast, horizon_s)
        groups[_group_of(unit, candidate)].extend(openings)
    choices = []
    for group in groups.values():
        group.sort(key=_wait_of)
        if len(group) >= unit.size:
            choices.append(group[: unit.size])
    return min(choices, key=lambda choice: choice[-1].in_s, default=[])


def _near(unit: Unit, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates in the rack of the unit's data, if it has one."""
    near_rack = unit.spec.near_rack
    if not near_rack:
        return list(candidates)
    return [one for one in candidates if one.rack == near_rack]


def _group_of(unit: Unit, candidate: Candidate) -> RackId:
    is_tight = unit.spec.same_rack and unit.size > 1
    return candidate.rack if is_tight else RackId('')


def _wait_of(opening: FutureCapacity) -> float:
    return opening.in_s


def _openings(
    unit: Unit,
    candidate: Candidate,
    forecast: CapacityForecast,
    horizon_s: float,
) -> list[FutureCapacity]:
    """Return when ``candidate`` has room for one, two and more tasks."""
    if candidate.on_probation or candidate.reserved_after_s is not None:
        return []
    openings: list[FutureCapacity] = []
    future = msgspec.structs.replace(candidate)
    for in_s, freed in forecast.releases(candidate.worker):
        if in_s > horizon_s:
            break
        future.free = future.free.plus(freed)
        more = fitting_tasks(future, unit.spec) - len(openings)
        openings.extend(repeat(FutureCapacity(candidate, in_s), max(0, more)))
        if len(openings) >= unit.size:
            break
    return openings
