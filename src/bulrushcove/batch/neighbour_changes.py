"""Changes of neighbours on workers, and how runs fared before and after.

The load is fleets on which runs are slow for many reasons: slow, cold and
failing workers, remote data, long tasks. Only what changes within a run, as
the tasks of one image come or go beside it, tells of that image.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from ..ids import WorkerId
from .ids import ImageName, RunRef, UnitRef
from .job_spec import StepSpec
from .job_state import Allocation, AllocationPhase
from .workers import FULL_SPEED_PERCENT, Worker

# Stands for all that fills a worker, as a neighbour of its runs.
FULL_WORKER = ImageName('(full worker)')
NO_IMAGE = ImageName('')
# A worker is full if a lower share of its CPU is free.
FULL_FREE_SHARE = 0.1
# Time constant of a run's level; reports are means over half a second, and
# disturbance changes within seconds.
LEVEL_S = 2.0
# Progress is whole percents, so that a rate takes about this long to show a
# change.
RATE_SETTLE_S = 1.0
# For how long a run is observed after a change.
OBSERVED_S = 4.0
# Neighbours that work at a lower share of their speed tell nothing.
MIN_DOSE = 0.25
# States of workers that have not reported for this long are dropped; reports
# are at most 1.5 s apart.
MAX_SILENCE_S = 10.0


class ObservedChange(msgspec.Struct, frozen=True, kw_only=True):
    """How one run fared as tasks of an image came to its worker or left."""

    victim: ImageName
    neighbour: ImageName
    has_arrived: bool
    worker: WorkerId
    unit: UnitRef
    # Logarithm of the slowdown by one task of the neighbour at full speed.
    slowdown: float
    # At most 1: several runs of an image on the worker share the weight of
    # one.
    weight: float


class _Level(msgspec.Struct, eq=False):
    """Mean of the last seconds."""

    weight: float = 0
    mean: float = 0
    updated_at_s: float = 0

    def add(self, value: float, now_s: float) -> None:
        self.weight *= math.exp((self.updated_at_s - now_s) / LEVEL_S)
        self.updated_at_s = now_s
        self.weight += 1
        self.mean += (value - self.mean) / self.weight


class _RunState(msgspec.Struct, eq=False):
    victim: ImageName
    unit: UnitRef
    # Levels with the neighbours before the last change and since it.
    before: _Level = msgspec.field(default_factory=_Level)
    since: _Level = msgspec.field(default_factory=_Level)


class _Change(msgspec.Struct, frozen=True):
    """Tasks of one image, and of no other, came or left."""

    image: ImageName
    has_arrived: bool
    task_count: int
    # Mean speed of those that left, as a share of their full speed.
    dose: float


class _WorkerState(msgspec.Struct, eq=False):
    counts: Counter[ImageName] = msgspec.field(default_factory=Counter)
    changed_at_s: float = 0
    reported_at_s: float = 0
    # The last change; None: it was observed, or is of several images.
    change: _Change | None = None
    # Speed of the tasks of each image since it, as a share of the full one.
    doses: dict[ImageName, _Level] = msgspec.field(default_factory=dict)
    runs: dict[RunRef, _RunState] = msgspec.field(default_factory=dict)


class NeighbourChanges:
    """Observes the runs of all workers as their neighbours change."""

    def __init__(self) -> None:
        """Start without any observation."""
        self._states: dict[WorkerId, _WorkerState] = {}

    def observe(
        self,
        worker: Worker,
        slowdown_of: Callable[[Allocation], float | None],
        now_s: float,
    ) -> list[ObservedChange]:
        """Return what a worker's report that was just applied tells.

        ``slowdown_of`` returns the logarithm of a run's present slowdown in
        any unit that stays the same for the run; None: not known.
        """
        state = self._states.get(worker.id)
        if state is None or now_s - state.reported_at_s > MAX_SILENCE_S:
            state = _WorkerState()
            self._states[worker.id] = state
        state.reported_at_s = now_s
        present = [each for each in worker.allocations.values() if _runs(each)]
        counts = _count_images(worker, present)
        doses = _doses(present)
        observed: list[ObservedChange] = []
        if counts != state.counts:
            observed = _finish_change(state, worker.id)
            _begin_change(state, counts, now_s)
        elif _is_neighbour_slowed(state, doses):
            observed = _finish_change(state, worker.id)
        _add_levels(state, present, slowdown_of, now_s)
        for image, dose in doses.items():
            state.doses.setdefault(image, _Level()).add(dose, now_s)
        if now_s - state.changed_at_s >= OBSERVED_S:
            observed += _finish_change(state, worker.id)
        return observed

    def forget_silent(self, now_s: float) -> None:
        """Drop what is known of workers that report no more."""
        silent = [
            worker
            for worker, state in self._states.items()
            if now_s - state.reported_at_s > MAX_SILENCE_S
        ]
        for worker in silent:
            self._states.pop(worker)


def _runs(allocation: Allocation) -> bool:
    return allocation.phase is not AllocationPhase.STARTING


def _count_images(
    worker: Worker, present: Iterable[Allocation]
) -> Counter[ImageName]:
    counts = Counter(each.unit.spec.image for each in present)
    free_millicores = worker.free_capacity().cpu_millicores
    if free_millicores < FULL_FREE_SHARE * worker.entry.capacity.cpu_millicores:
        counts[FULL_WORKER] = 1
    return counts


def _doses(present: Iterable[Allocation]) -> dict[ImageName, float]:
    """Return the mean speed of the tasks of each image."""
    speeds: dict[ImageName, list[int]] = {}
    for allocation in present:
        image = allocation.unit.spec.image
        speeds.setdefault(image, []).append(allocation.speed_percent)
    return {
        image: sum(each) / len(each) / FULL_SPEED_PERCENT
        for image, each in speeds.items()
    }


def _begin_change(
    state: _WorkerState, counts: Counter[ImageName], now_s: float
) -> None:
    state.change = _find_change(state, counts)
    state.counts = counts
    state.changed_at_s = now_s
    state.doses = {}
    for run in state.runs.values():
        run.before = run.since
        run.since = _Level()


def _find_change(
    state: _WorkerState, counts: Counter[ImageName]
) -> _Change | None:
    """Return the change if it is of one image only."""
    differences = {
        image: counts[image] - state.counts[image]
        for image in counts | state.counts
        if counts[image] != state.counts[image]
    }
    is_full_worker = FULL_WORKER in differences
    if is_full_worker:
        differences.pop(NO_IMAGE, None)
    if len(differences) != 1 or NO_IMAGE in differences:
        return None
    image, difference = differences.popitem()
    dose = state.doses.get(image)
    return _Change(
        image,
        difference > 0,
        abs(difference),
        1.0 if dose is None or is_full_worker else dose.mean,
    )


def _is_neighbour_slowed(
    state: _WorkerState, doses: dict[ImageName, float]
) -> bool:
    """Return whether the neighbour that came does not tell any more."""
    change = state.change
    if change is None or not change.has_arrived:
        return False
    return doses.get(change.image, 1.0) < MIN_DOSE


def _add_levels(
    state: _WorkerState,
    present: Iterable[Allocation],
    slowdown_of: Callable[[Allocation], float | None],
    now_s: float,
) -> None:
    runs: dict[RunRef, _RunState] = {}
    has_settled = now_s - state.changed_at_s >= RATE_SETTLE_S
    for allocation in present:
        spec = allocation.unit.spec
        if not _is_observable(allocation, spec):
            continue
        ref = allocation.ref
        run = state.runs.get(ref) or _RunState(spec.image, allocation.unit.ref)
        runs[ref] = run
        slowdown = slowdown_of(allocation)
        if slowdown is not None and (spec.is_service or has_settled):
            run.since.add(slowdown, now_s)
    state.runs = runs


def _is_observable(allocation: Allocation, spec: StepSpec) -> bool:
    if not spec.image or allocation.phase is not AllocationPhase.RUNNING:
        return False
    return allocation.speed_percent == FULL_SPEED_PERCENT


def _finish_change(
    state: _WorkerState, worker: WorkerId
) -> list[ObservedChange]:
    """Return what was observed of the last change, once."""
    change = state.change
    state.change = None
    if change is None:
        return []
    dose = change.dose
    if change.has_arrived and change.image in state.doses:
        dose = state.doses[change.image].mean
    if dose < MIN_DOSE:
        return []
    runs = [
        run
        for run in state.runs.values()
        if run.before.weight and run.since.weight
    ]
    siblings = Counter(run.victim for run in runs)
    sign = 1 if change.has_arrived else -1
    return [
        ObservedChange(
            victim=run.victim,
            neighbour=change.image,
            has_arrived=change.has_arrived,
            worker=worker,
            unit=run.unit,
            slowdown=sign
            * (run.since.mean - run.before.mean)
            / (dose * change.task_count),
            weight=dose**2 / siblings[run.victim],
        )
        for run in runs
    ]
