"""Where a unit goes: best fit, whole gangs, near racks first.

Answers fragmentation: tasks fill workers that are already broken, gangs whose
members want one rack take the rack that they leave least room in, so that
whole workers and whole racks stay free for the large ones.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import repeat

import msgspec

from ..ids import RackId, WorkerId
from .job_spec import StepSpec, TaskSize
from .job_state import Unit

# Tasks that a worker takes of a size that needs nothing.
MOST_TASKS = 1_000_000
# How long a unit waits for its rack while other racks have plenty of room.
FAR_PATIENCE_S = 2.0


class Candidate(msgspec.Struct, eq=False, kw_only=True):
    """A worker that may be given work, and its room in this pass."""

    worker: WorkerId
    rack: RackId
    labels: frozenset[str]
    free: TaskSize
    capacity: TaskSize
    # Others go first.
    is_suspect: bool = False
    # Takes one unit at a time.
    on_probation: bool = False
    # Whether tasks that fill idle room are slowed there.
    is_throttled: bool = False
    # Kept for a waiting unit from then on; None: for nobody.
    reserved_after_s: float | None = None


# A worker and how many tasks it takes.
_Fit = tuple[Candidate, int]


def fitting_tasks(candidate: Candidate, step: StepSpec, placed: int = 0) -> int:
    """Return how many tasks of ``step`` the candidate takes now."""
    if step.required_label and step.required_label not in candidate.labels:
        return 0
    if step.fills_idle and candidate.is_throttled:
        return 0
    most = _times(candidate.free, step.requirements)
    if step.max_per_worker:
        most = min(most, step.max_per_worker - placed)
    if candidate.on_probation:
        is_empty = candidate.free == candidate.capacity
        most = min(most, 1) if is_empty else 0
    return max(most, 0)


def find_places(
    unit: Unit,
    candidates: Sequence[Candidate],
    *,
    placed: dict[WorkerId, int],
    may_go_far: bool,
) -> list[Candidate] | None:
    """Return a candidate for each task of ``unit``; None: no room.

    ``placed`` counts the tasks of the step that each worker has already.
    Unless it ``may_go_far``, the unit keeps to its rack while that exists.
    """
    step = unit.spec
    usable = [
        (candidate, count)
        for candidate in candidates
        if (
            count := fitting_tasks(
                candidate, step, placed.get(candidate.worker, 0)
            )
        )
    ]
    for group in _rack_choices(unit, usable, candidates, may_go_far):
        chosen = _fill(group, step, unit.size)
        if chosen is not None:
            return chosen
    return None


def take_room(chosen: Iterable[Candidate], step: StepSpec) -> None:
    """Subtract the tasks placed on ``chosen``."""
    for candidate in chosen:
        candidate.free = candidate.free.minus(step.requirements)


def _rack_choices(
    unit: Unit,
    usable: list[_Fit],
    candidates: Sequence[Candidate],
    may_go_far: bool,
) -> list[list[_Fit]]:
    """Return the groups of workers to try, the best first."""
    step = unit.spec
    by_rack: dict[RackId, list[_Fit]] = defaultdict(list)
    for fit in usable:
        by_rack[fit[0].rack].append(fit)
    racks = {candidate.rack for candidate in candidates}
    is_tight = step.same_rack and unit.size > 1
    if step.near_rack in racks:
        choices = [by_rack.get(step.near_rack, [])]
        return [*choices, usable] if may_go_far else choices
    if not is_tight:
        return [usable]
    full = [group for group in by_rack.values() if _total(group) >= unit.size]
    full.sort(key=_room_of)
    if may_go_far or not _any_rack_could_hold(unit, candidates):
        return [*full, usable]
    return full


def _any_rack_could_hold(unit: Unit, candidates: Sequence[Candidate]) -> bool:
    """Return whether some rack would hold the gang were it empty."""
    totals: dict[RackId, int] = defaultdict(int)
    step = unit.spec
    for candidate in candidates:
        if step.required_label in candidate.labels or not step.required_label:
            most = _times(candidate.capacity, step.requirements)
            if step.max_per_worker:
                most = min(most, step.max_per_worker)
            totals[candidate.rack] += most
    return any(total >= unit.size for total in totals.values())


def _total(group: list[_Fit]) -> int:
    return sum(count for _, count in group)


def _room_of(group: list[_Fit]) -> float:
    return sum(candidate.free.weight_cores for candidate, _ in group)


def _fill(
    group: list[_Fit], step: StepSpec, size: int
) -> list[Candidate] | None:
    if _total(group) < size:
        return None
    needed = step.requirements
    free_by_rack = _free_by_rack(group)

    def fit(pair: _Fit) -> tuple[float, ...]:
        return _fit_key(pair[0], needed, free_by_rack[pair[0].rack])

    group = sorted(group, key=fit)
    chosen: list[Candidate] = []
    for candidate, count in group:
        chosen.extend(repeat(candidate, min(count, size - len(chosen))))
        if len(chosen) == size:
            return chosen
    return None


def _free_by_rack(group: list[_Fit]) -> dict[RackId, int]:
    free: dict[RackId, int] = defaultdict(int)
    for candidate, _ in group:
        free[candidate.rack] += candidate.free.accelerators
    return free


def _fit_key(
    candidate: Candidate, needed: TaskSize, rack_free: int
) -> tuple[float, ...]:
    """Sort the fullest rack first, and in it the fullest worker.

    Without accelerators the processor decides.
    """
    room = candidate.free
    if needed.accelerators:
        left = (room.accelerators, room.cpu_millicores)
    else:
        left = (room.cpu_millicores, room.memory_mb)
    return (candidate.is_suspect, rack_free, *left)


def _times(room: TaskSize, needed: TaskSize) -> int:
    """Return how many tasks of size ``needed`` fit into ``room``."""
    # One step a resource: passes over a full deployment spend their time here.
    most = _share(MOST_TASKS, room.cpu_millicores, needed.cpu_millicores)
    most = _share(most, room.memory_mb, needed.memory_mb)
    most = _share(most, room.accelerators, needed.accelerators)
    return max(most, 0)


def _share(most: int, have: int, want: int) -> int:
    if want:
        return min(most, have // want)
    return most if have >= 0 else 0
