"""How long a percent of a run takes, learnt from progress.

Answers a load in which some tasks take several times as long as the others of
their queue, beside workers of different speed and data on other racks: a fixed
time without progress takes the long ones for standing still.

A run that has shown progress is expected to go on at its own rate. Before that
its siblings tell how long a percent takes, then its queue, then the time that
its caller declared, each with the spread that long tasks have.
"""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from itertools import islice

import msgspec

from ..ids import RackId, WorkerId
from .ids import QueueName
from .job_spec import StepSpec
from .job_state import Allocation, Unit
from .workers import Worker

COMPLETE_PERCENT = 100
# A run is silent for long after so many times what its last percents took.
# Other tasks on the worker may slow it down that much.
OWN_RATE_FACTOR = 3.0
# The first percent may take so many times as long as those of siblings: tasks
# on a slow worker and far from their data, seven times as long as the others.
SIBLING_FACTOR = 30.0
# Declared times are off by up to 90 percent.
DECLARED_FACTOR = 70.0
# The same for the longest run of a queue with enough observed runs.
LONGEST_FACTOR = 2.0
MIN_SPREAD_RUNS = 100
# Runs after which a queue's mean replaces the declared time.
MIN_MEAN_RUNS = 3
# Weight of a new run in a queue's mean, and share of the distance to it by
# which the longest run is forgotten.
NEW_RUN_WEIGHT = 0.1
FORGET_SHARE = 0.01
# Percents after which a run's rate tells of its queue.
MIN_RATED_PERCENTS = 5
# Siblings whose rates are averaged, and units that are examined for them.
MAX_SIBLINGS = 16
MAX_EXAMINED_UNITS = 256
# Start, restore of a checkpoint and the wait between two reports, in which
# sound runs show no percent.
MIN_FIRST_PERCENT_MS = 3500.0
# Unless a run has stalled before, so many times ...
MAX_BLAMING_STALLS = 2
# ... each further run gets twice as long, up to an hour.
MAX_LIMIT_MS = 3_600_000.0
_MAX_DOUBLINGS = 20


class Basis(Enum):
    """What an expectation is drawn from."""

    OWN_RATE = 'own-rate'
    SIBLINGS = 'siblings'
    QUEUE = 'queue'
    DECLARED = 'declared'


class Expectation(msgspec.Struct, frozen=True):
    """For how long a sound run may show no new percent."""

    limit_ms: float
    basis: Basis


class _Spread(msgspec.Struct):
    """Durations of a percent of a queue's runs, in milliseconds."""

    count: int = 0
    mean_ms: float = 0.0
    longest_ms: float = 0.0

    def add(self, percent_ms: float) -> None:
        self.count += 1
        weight = max(NEW_RUN_WEIGHT, 1 / self.count)
        self.mean_ms += weight * (percent_ms - self.mean_ms)
        forgotten_ms = FORGET_SHARE * (self.longest_ms - percent_ms)
        self.longest_ms = max(percent_ms, self.longest_ms - forgotten_ms)


class ProgressExpectations:
    """Durations of a percent by queue, near its data and far from it."""

    def __init__(
        self,
        workers: Mapping[WorkerId, Worker],
        task_ms: Callable[[QueueName, StepSpec], float],
    ) -> None:
        """Start without any run.

        ``workers`` are all workers as known at any time. ``task_ms`` returns
        the expected milliseconds of a task.
        """
        self._workers = workers
        self._task_ms = task_ms
        self._spreads: dict[tuple[QueueName, bool], _Spread] = {}

    def record_rate(self, allocation: Allocation) -> None:
        """Learn from a run once it has shown enough progress."""
        is_learnt = allocation.is_rate_learnt
        if is_learnt or allocation.rated_percents < MIN_RATED_PERCENTS:
            return
        allocation.is_rate_learnt = True
        unit = allocation.unit
        if unit.spec.fills_idle or allocation.index != unit.indices.start:
            return
        key = (unit.job.spec.terms.queue, is_far(unit, self._workers))
        self._spreads.setdefault(key, _Spread()).add(allocation.percent_ms)

    def expectation(self, allocation: Allocation) -> Expectation:
        """Return for how long the run may show no new percent."""
        unit = allocation.unit
        doublings = min(
            max(0, unit.stalls + 1 - MAX_BLAMING_STALLS), _MAX_DOUBLINGS
        )
        if allocation.percent_ms:
            limit_ms = OWN_RATE_FACTOR * allocation.percent_ms
            basis = Basis.OWN_RATE
        else:
            limit_ms, basis = self._first_percent_ms(allocation)
        return Expectation(min(limit_ms * 2**doublings, MAX_LIMIT_MS), basis)

    def relative_rate(self, allocation: Allocation) -> float | None:
        """Return the run's rate over the one expected of it.

        1 is as expected; None if either is not known.
        """
        if not allocation.percent_ms:
            return None
        unit = allocation.unit
        siblings_ms = _sibling_percent_ms(allocation)
        expected_ms = siblings_ms or self._spread(unit).mean_ms
        return expected_ms / allocation.percent_ms if expected_ms else None

    def _first_percent_ms(self, allocation: Allocation) -> tuple[float, Basis]:
        """Return the longest time to the first percent, and its basis."""
        unit = allocation.unit
        spread = self._spread(unit)
        siblings_ms = _sibling_percent_ms(allocation)
        queue = unit.job.spec.terms.queue
        if spread.count >= MIN_SPREAD_RUNS:
            limit_ms, basis = LONGEST_FACTOR * spread.longest_ms, Basis.QUEUE
        elif siblings_ms:
            limit_ms, basis = SIBLING_FACTOR * siblings_ms, Basis.SIBLINGS
        elif spread.count >= MIN_MEAN_RUNS:
            limit_ms, basis = SIBLING_FACTOR * spread.mean_ms, Basis.QUEUE
        else:
            declared_ms = self._task_ms(queue, unit.spec) / COMPLETE_PERCENT
            limit_ms, basis = DECLARED_FACTOR * declared_ms, Basis.DECLARED
        limit_ms = max(limit_ms, LONGEST_FACTOR * spread.longest_ms)
        return max(limit_ms, MIN_FIRST_PERCENT_MS), basis

    def _spread(self, unit: Unit) -> _Spread:
        queue = unit.job.spec.terms.queue
        return self._spreads.get((queue, is_far(unit, self._workers)), _NO_RUNS)


def is_far(unit: Unit, workers: Mapping[WorkerId, Worker]) -> bool:
    """Return whether the run of ``unit`` is far from its data or spread."""
    step = unit.spec
    if not step.near_rack and not step.same_rack:
        return False
    racks = set(_racks(unit, workers))
    is_spread = step.same_rack and len(racks) > 1
    return is_spread or bool(step.near_rack and racks - {step.near_rack})


def _racks(unit: Unit, workers: Mapping[WorkerId, Worker]) -> Iterator[RackId]:
    for allocation in unit.allocations.values():
        worker = workers.get(allocation.worker)
        if worker is not None:
            yield worker.entry.rack


def _sibling_percent_ms(allocation: Allocation) -> float:
    """Return the mean of what a percent of its step's other tasks takes."""
    rates_ms = list(islice(_sibling_rates_ms(allocation), MAX_SIBLINGS))
    return sum(rates_ms) / len(rates_ms) if rates_ms else 0


def _sibling_rates_ms(allocation: Allocation) -> Iterator[float]:
    unit = allocation.unit
    for other in islice(unit.job.units, MAX_EXAMINED_UNITS):
        if other.step != unit.step:
            continue
        for sibling in other.allocations.values():
            is_rated = sibling.rated_percents >= MIN_RATED_PERCENTS
            if is_rated and sibling is not allocation:
                yield sibling.percent_ms


_NO_RUNS = _Spread()
