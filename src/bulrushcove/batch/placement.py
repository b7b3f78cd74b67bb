"""Placement of units: best fit, gangs as a whole, preferred racks first.

Limits fragmentation: tasks go to partly used workers first, and a gang whose
members want one rack takes the rack with the least free capacity, so that
whole workers and whole racks stay free for large units.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from functools import lru_cache
from itertools import chain, repeat

import msgspec

from ..ids import RackId, WorkerId
from .job_spec import StepSpec, TaskSize
from .job_state import Unit
from .worker_reliability import Standing

# Limit for tasks that require no resources.
MAX_TASKS_PER_WORKER = 1_000_000
# Pairs of free capacity and requirements that are remembered: the workers of a
# pool have few different values.
COUNT_CACHE_SIZE = 4096


class Candidate(msgspec.Struct, eq=False, kw_only=True):
    """A worker that may be given work, and its free capacity in a pass."""

    worker: WorkerId
    rack: RackId
    labels: frozenset[str]
    free: TaskSize
    capacity: TaskSize
    # How far it is trusted; other candidates are preferred to lower ones.
    standing: Standing = Standing.TRUSTED
    # How many more units it may get; None: any number.
    units_left: int | None = None
    # Whether it may get more only once a run has progressed there.
    awaits_progress: bool = False
    # Whether it is limited only as it was suspected a moment ago.
    is_closed: bool = False
    # Whether it may be tried although it is quarantined.
    is_trial_due: bool = False
    # Whether it has no runs, and whether it has been up for a while.
    is_idle: bool = False
    is_stable: bool = False
    # For how long it has run a task that should not share it; None: it does
    # not run one.
    isolated_run_age_s: float | None = None
    # Whether best-effort tasks are slowed down there.
    is_throttled: bool = False
    # Expected slowdown of a unit's task and of its neighbours there, as a sum
    # of shares; 0: none known. Valid for the unit that is being placed.
    disturbance: float = 0.0
    # Seconds from now after which it is reserved for a waiting unit;
    # None if it is not reserved.
    reserved_after_s: float | None = None


# A candidate and how many tasks of the step fit there.
Fit = tuple[Candidate, int]


def count_fitting_tasks(
    candidate: Candidate,
    step: StepSpec,
    placed: int = 0,
    future_free: TaskSize | None = None,
) -> int:
    """Return how many more tasks of ``step`` fit on the candidate.

    ``placed`` tasks of the step run there already. ``future_free`` is the free
    capacity to assume, by default the present one.
    """
    free = candidate.free if future_free is None else future_free
    if step.required_label and step.required_label not in candidate.labels:
        return 0
    if step.fills_idle and candidate.is_throttled:
        return 0
    limit = _count_fitting(free, step.requirements)
    if not limit:
        return 0
    if step.max_per_worker:
        limit = min(limit, step.max_per_worker - placed)
    if candidate.units_left is not None:
        # A unit is a task, or the members of one gang.
        unit_size = step.task_count if step.is_gang else 1
        limit = min(limit, unit_size * candidate.units_left)
    return max(limit, 0)


def count_tasks_within(capacity: TaskSize, step: StepSpec) -> int:
    """Return how many tasks of ``step`` an idle worker of ``capacity`` holds.

    Labels are not compared.
    """
    limit = _count_fitting(capacity, step.requirements)
    if step.max_per_worker:
        limit = min(limit, step.max_per_worker)
    return max(limit, 0)


def fits_when_idle(unit: Unit, candidates: Iterable[Candidate]) -> bool:
    """Return whether ``unit`` fits the candidates if nothing runs there."""
    fitting = 0
    for candidate in candidates:
        fitting += count_fitting_tasks(
            candidate, unit.spec, future_free=candidate.capacity
        )
        if fitting >= unit.size:
            return True
    return False


def find_placement(
    unit: Unit,
    candidates: Sequence[Candidate],
    *,
    placed: dict[WorkerId, int],
    allows_remote_rack: bool,
) -> list[Candidate] | None:
    """Return a candidate for each task of ``unit``; None if it does not fit.

    ``placed`` counts the tasks of the step that each worker has already.
    Without ``allows_remote_rack`` the unit waits for its preferred rack as
    long as that rack has candidates, and a gang that wants one rack waits for
    one as long as some rack would hold it when empty.
    """
    step = unit.spec
    usable = fitting_candidates(step, candidates, placed)
    for group in rack_groups(unit, usable, candidates, allows_remote_rack):
        chosen = fill_group(group, step, unit.size)
        if chosen is not None:
            return chosen
    return None


def rank_candidates(
    unit: Unit, candidates: Sequence[Candidate], *, allows_remote_rack: bool
) -> list[Candidate]:
    """Return the candidates that fit the single task ``unit``, best first.

    Equal tasks that are placed one after the other fill the candidates in this
    order: a worker that was just used, and then its rack, is a better fit than
    before. The step must not limit the tasks of a worker.
    """
    step = unit.spec
    usable = fitting_candidates(step, candidates, {})
    for group in rack_groups(unit, usable, candidates, allows_remote_rack):
        if group:
            return _rack_by_rack(_sort_best_fit(group, step))
    return []


def deduct_requirements(chosen: Iterable[Candidate], step: StepSpec) -> None:
    """Deduct one task of a unit of ``step`` from each entry of ``chosen``."""
    used: set[Candidate] = set()
    for candidate in chosen:
        candidate.free = candidate.free.minus(step.requirements)
        candidate.is_idle = False
        if candidate.units_left and candidate not in used:
            candidate.units_left -= 1
        used.add(candidate)


def fitting_candidates(
    step: StepSpec,
    candidates: Sequence[Candidate],
    placed: dict[WorkerId, int],
) -> list[Fit]:
    """Return the candidates that fit ``step``, and how many tasks each."""
    needed = step.requirements
    # Most candidates of a full pool are too small: two comparisons are
    # cheaper than a call.
    return [
        (candidate, count)
        for candidate in candidates
        if candidate.free.accelerators >= needed.accelerators
        and candidate.free.cpu_millicores >= needed.cpu_millicores
        and (
            count := count_fitting_tasks(
                candidate, step, placed.get(candidate.worker, 0)
            )
        )
    ]


def rack_groups(
    unit: Unit,
    usable: list[Fit],
    candidates: Sequence[Candidate],
    allows_remote_rack: bool,
) -> list[list[Fit]]:
    """Return the groups of candidates to try, the best first."""
    step = unit.spec
    by_rack: dict[RackId, list[Fit]] = defaultdict(list)
    for fit in usable:
        by_rack[fit[0].rack].append(fit)
    racks = {candidate.rack for candidate in candidates}
    needs_one_rack = step.same_rack and unit.size > 1
    if step.near_rack in racks:
        choices = [by_rack.get(step.near_rack, [])]
        return [*choices, usable] if allows_remote_rack else choices
    if not needs_one_rack:
        return [usable]
    fitting_racks = [
        group for group in by_rack.values() if _total_tasks(group) >= unit.size
    ]
    fitting_racks.sort(key=_free_cores)
    if allows_remote_rack or not _fits_any_empty_rack(unit, candidates):
        return [*fitting_racks, usable]
    return fitting_racks


def _fits_any_empty_rack(unit: Unit, candidates: Sequence[Candidate]) -> bool:
    """Return whether the gang would fit into some rack if it were empty."""
    totals: dict[RackId, int] = defaultdict(int)
    step = unit.spec
    for candidate in candidates:
        if step.required_label in candidate.labels or not step.required_label:
            totals[candidate.rack] += count_tasks_within(
                candidate.capacity, step
            )
    return any(total >= unit.size for total in totals.values())


def _total_tasks(group: list[Fit]) -> int:
    return sum(count for _, count in group)


def _free_cores(group: list[Fit]) -> float:
    return sum(candidate.free.weight_cores for candidate, _ in group)


def fill_group(
    group: list[Fit], step: StepSpec, size: int
) -> list[Candidate] | None:
    """Return the best candidates of ``group`` for ``size`` tasks."""
    if _total_tasks(group) < size:
        return None
    chosen: list[Candidate] = []
    for candidate, count in _sort_best_fit(group, step):
        chosen.extend(repeat(candidate, min(count, size - len(chosen))))
        if len(chosen) == size:
            break
    return chosen


def _sort_best_fit(group: list[Fit], step: StepSpec) -> list[Fit]:
    needed = step.requirements
    free_by_rack = _free_by_rack(group)

    def sort_key(pair: Fit) -> tuple[float, ...]:
        return _best_fit_key(pair[0], needed, free_by_rack[pair[0].rack])

    return sorted(group, key=sort_key)


def _rack_by_rack(ranked: list[Fit]) -> list[Candidate]:
    """Return the candidates of ``ranked``, all of a rack in succession."""
    racks: dict[tuple[Standing, float, RackId], list[Candidate]] = defaultdict(
        list
    )
    for candidate, _ in ranked:
        racks[candidate.standing, candidate.disturbance, candidate.rack].append(
            candidate
        )
    return list(chain.from_iterable(racks.values()))


def _free_by_rack(group: list[Fit]) -> dict[RackId, int]:
    free: dict[RackId, int] = defaultdict(int)
    for candidate, _ in group:
        free[candidate.rack] += candidate.free.accelerators
    return free


def _best_fit_key(
    candidate: Candidate, needed: TaskSize, rack_free: int
) -> tuple[float, ...]:
    """Return a key that sorts the fullest rack and worker first.

    Workers that are trusted less come last, then those where tasks slow each
    other down. Workers are compared by free
    accelerators, then CPU; by CPU, then memory if the tasks need no
    accelerators.
    """
    free = candidate.free
    if needed.accelerators:
        free_amounts = (free.accelerators, free.cpu_millicores)
    else:
        free_amounts = (free.cpu_millicores, free.memory_mb)
    return (
        candidate.standing,
        candidate.disturbance,
        rack_free,
        *free_amounts,
    )


@lru_cache(maxsize=COUNT_CACHE_SIZE)
def _count_fitting(free: TaskSize, needed: TaskSize) -> int:
    """Return how many tasks that require ``needed`` fit into ``free``."""
    # The scarcest resource first: passes over a full deployment spend their
    # time here, and most workers have no accelerator left.
    limit = _limit_count(
        MAX_TASKS_PER_WORKER, free.accelerators, needed.accelerators
    )
    if limit > 0:
        limit = _limit_count(limit, free.cpu_millicores, needed.cpu_millicores)
    if limit > 0:
        limit = _limit_count(limit, free.memory_mb, needed.memory_mb)
    return max(limit, 0)


def _limit_count(limit: int, free: int, needed: int) -> int:
    if needed:
        return min(limit, free // needed)
    return limit if free >= 0 else 0
