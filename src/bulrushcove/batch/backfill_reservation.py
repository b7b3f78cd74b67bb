"""Backfill reservations for large units that wait.

Small tasks that take each accelerator as it is freed would starve a gang that
needs whole workers at once. The workers that will be free for it first are
reserved; other work is backfilled there only if it ends before.
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
from .placement import Candidate, count_fitting_tasks
from .shapes import Shape

# Units that have waited less are not worth a reservation.
RESERVE_AFTER_S = 0.3
# Most units with a reservation in one pass.
MAX_RESERVATIONS = 4
# Most units in one pass that are found to have no place, and for how long units
# of their shape are then left out: others have their turn.
MAX_PLACELESS_UNITS = 8
PLACELESS_S = 1.0


class FutureCapacity(msgspec.Struct, frozen=True):
    """Capacity for one more task on a worker, ``wait_s`` from now."""

    candidate: Candidate
    wait_s: float


class PlacelessShapes:
    """Shapes of units that no workers would have capacity for."""

    def __init__(self) -> None:
        """Start without any."""
        self._until_s: dict[Shape, float] = {}

    def forget_expired(self, now_s: float) -> None:
        """Forget the shapes that may be examined again at ``now_s``."""
        self._until_s = {
            shape: until_s
            for shape, until_s in self._until_s.items()
            if now_s < until_s
        }

    def record(self, shape: Shape, now_s: float) -> None:
        """Leave units of ``shape`` out for a while."""
        self._until_s[shape] = now_s + PLACELESS_S

    def __contains__(self, shape: Shape) -> bool:
        """Return whether units of ``shape`` are left out."""
        return shape in self._until_s


def find_earliest_placement(
    unit: Unit,
    candidates: Sequence[Candidate],
    forecast: CapacityForecast,
    horizon_s: float = math.inf,
) -> list[FutureCapacity]:
    """Return where the whole unit fits first; empty if not in ``horizon_s``.

    The last entry is the latest. Runs are expected to end as estimated. A gang
    that wants one rack gets one, a unit whose data is in one gets that rack.
    """
    groups: dict[RackId, list[FutureCapacity]] = defaultdict(list)
    for candidate in _near(unit, candidates):
        future_capacities = _forecast_capacity(
            unit, candidate, forecast, horizon_s
        )
        groups[_required_rack(unit, candidate)].extend(future_capacities)
    choices = []
    for group in groups.values():
        group.sort(key=_wait_of)
        if len(group) >= unit.size:
            choices.append(group[: unit.size])
    return min(choices, key=lambda placement: placement[-1].wait_s, default=[])


def _near(unit: Unit, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates in the rack of the unit's data, if it has one."""
    near_rack = unit.spec.near_rack
    if not near_rack:
        return list(candidates)
    return [one for one in candidates if one.rack == near_rack]


def _required_rack(unit: Unit, candidate: Candidate) -> RackId:
    needs_one_rack = unit.spec.same_rack and unit.size > 1
    return candidate.rack if needs_one_rack else RackId('')


def _wait_of(future_capacity: FutureCapacity) -> float:
    return future_capacity.wait_s


def _forecast_capacity(
    unit: Unit,
    candidate: Candidate,
    forecast: CapacityForecast,
    horizon_s: float,
) -> list[FutureCapacity]:
    """Return one entry for each task that will fit on ``candidate``.

    Earliest first, as many as ``unit`` has tasks or a few more.
    """
    is_limited = candidate.units_left is not None
    if is_limited or candidate.reserved_after_s is not None:
        return []
    future_capacities: list[FutureCapacity] = []
    free = candidate.free
    for wait_s, freed in forecast.releases(candidate.worker):
        if wait_s > horizon_s:
            break
        free = free.plus(freed)
        fitting = count_fitting_tasks(candidate, unit.spec, future_free=free)
        more = fitting - len(future_capacities)
        future_capacities.extend(
            repeat(FutureCapacity(candidate, wait_s), max(0, more))
        )
        if len(future_capacities) >= unit.size:
            break
    return future_capacities
