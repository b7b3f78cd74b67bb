"""Chooses borrowed gangs to preempt so that a whole gang can start."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from .free_capacity import DomainCapacity, FreeCapacity, TaskCounts
from .ids import AttemptId
from .job import JobSpec
from .placement import adjacency_groups, fitting_tasks
from .scheduling_model import RunningGang
from .states import Adjacency, Urgency

# Cost of a stop and a restart, in addition to the unsaved work.
RESTART_S = 1.0


class PreemptionOption(msgspec.Struct):
    """Capacity for one gang, and the gangs to stop for it."""

    # Tasks that fit on each worker once the victims have ended.
    fits: dict[int, int]
    victims: list[RunningGang]
    # Accelerator-seconds that are lost.
    cost: float


class PreemptibleGangs:
    """Gangs of a domain that may be preempted, by worker, and their cost."""

    def __init__(
        self, running: Iterable[RunningGang], capacity: DomainCapacity
    ) -> None:
        """Index those of ``running`` that are borrowed or stopping."""
        self._capacity = capacity
        self._on_worker: dict[int, list[RunningGang]] = defaultdict(list)
        self._stopping: set[AttemptId] = set()
        # Accelerator-seconds that are lost when a gang is stopped.
        self._costs: dict[AttemptId, float] = {}
        for gang in running:
            if gang.borrowed or gang.stopping:
                self.add(gang)

    def mark_stopping(self, victim: RunningGang) -> None:
        """Record that ``victim`` is being stopped."""
        self._stopping.add(victim.attempt)
        self._costs[victim.attempt] = 0

    def is_stopping(self, gang: RunningGang) -> bool:
        """Return whether the gang is being stopped already."""
        return gang.stopping or gang.attempt in self._stopping

    def will_free(self, spec: JobSpec, counts: TaskCounts) -> bool:
        """Return whether the gang fits once the stopping gangs have ended."""
        wanted = dict(counts)
        group_capacity = _GroupCapacity(
            spec, self._capacity, list(wanted), wanted
        )
        size = spec.accelerators
        for gang in self.candidates_on(wanted, size, exclude_urgent=True):
            if self.is_stopping(gang):
                group_capacity.add(gang, 1)
        return group_capacity.total >= spec.tasks

    def preemption_cost(self, gang: RunningGang) -> float:
        """Return the accelerator-seconds that are lost by a stop."""
        known = self._costs.get(gang.attempt)
        return _stop_cost(gang) if known is None else known

    def candidates_on(
        self, indices: Iterable[int], wanted: int, *, exclude_urgent: bool
    ) -> list[RunningGang]:
        """Return the gangs on these workers that may be preempted.

        Urgent gangs come last, and are left out if ``exclude_urgent`` unless
        they are stopping. Otherwise the order is by the cost per accelerator
        freed; accelerators beyond ``wanted`` do not count as freed.
        """
        found = {}
        for index in indices:
            for candidate in self._on_worker.get(index, ()):
                found[candidate.attempt] = candidate
        gangs = [
            gang
            for gang in found.values()
            if self.is_stopping(gang)
            or not (exclude_urgent and _is_urgent(gang))
        ]
        return sorted(gangs, key=lambda gang: self._sort_key(gang, wanted))

    def add(self, gang: RunningGang) -> None:
        """Make ``gang`` preemptible like borrowed work."""
        self._costs[gang.attempt] = 0 if gang.stopping else _stop_cost(gang)
        for index, _ in self._capacity.counts_of(gang.placement):
            self._on_worker[index].append(gang)

    def remove(self, gang: RunningGang) -> None:
        """Undo ``add``."""
        for index, _ in self._capacity.counts_of(gang.placement):
            self._on_worker[index].remove(gang)

    def _sort_key(
        self, gang: RunningGang, wanted: int
    ) -> tuple[bool, float, AttemptId]:
        freed = max(min(gang.record.spec.accelerators, wanted), 1)
        return (
            _is_urgent(gang),
            self.preemption_cost(gang) / freed,
            gang.attempt,
        )


def find_preemption_options(
    spec: JobSpec,
    capacity: DomainCapacity,
    preemptible: PreemptibleGangs,
    indices: Sequence[int],
    adjacency: Adjacency,
    ceiling: Sequence[FreeCapacity] | None = None,
) -> list[PreemptionOption]:
    """Return the options to free capacity for the gang, the cheapest first.

    ``ceiling`` limits what the gang may take of each worker: the capacity
    that is free when borrowed work is ignored, less any part reserved for
    other guarantees. Without a ceiling the gang is itself borrowed and
    preempts no urgent work.
    """
    max_tasks = (
        None if ceiling is None else fitting_tasks(spec, ceiling, indices)
    )
    options = []
    for group in adjacency_groups(capacity, indices, adjacency):
        if (
            max_tasks is not None
            and _max_tasks_in(group, max_tasks) < spec.tasks
        ):
            continue
        option = _find_option_in(spec, capacity, preemptible, group, max_tasks)
        if option is not None:
            options.append(option)
    return sorted(
        options, key=lambda option: (option.cost, len(option.victims))
    )


def _max_tasks_in(group: Sequence[int], max_tasks: dict[int, int]) -> int:
    return sum(max_tasks.get(index, 0) for index in group)


def _find_option_in(
    spec: JobSpec,
    capacity: DomainCapacity,
    preemptible: PreemptibleGangs,
    group: Sequence[int],
    max_tasks: dict[int, int] | None,
) -> PreemptionOption | None:
    """Select the cheapest gangs of the group until the gang fits.

    Gangs that turn out not to be needed are then dropped, the most expensive
    first. Returns None if the gang does not fit.
    """
    gangs = preemptible.candidates_on(
        group, spec.accelerators, exclude_urgent=max_tasks is None
    )
    if spec.accelerators:
        # Gangs without accelerators are stopped only if the others do not
        # suffice.
        gangs.sort(key=lambda gang: not gang.record.spec.accelerators)
    group_capacity = _GroupCapacity(spec, capacity, group, max_tasks)
    victims: list[RunningGang] = []
    for candidate in gangs:
        if group_capacity.total >= spec.tasks:
            break
        group_capacity.add(candidate, 1)
        victims.append(candidate)
    if group_capacity.total < spec.tasks:
        return None
    for victim in sorted(
        victims, key=preemptible.preemption_cost, reverse=True
    ):
        group_capacity.add(victim, -1)
        if group_capacity.total >= spec.tasks:
            victims.remove(victim)
        else:
            group_capacity.add(victim, 1)
    return PreemptionOption(
        fits=group_capacity.fits,
        victims=[gang for gang in victims if not preemptible.is_stopping(gang)],
        cost=sum(preemptible.preemption_cost(gang) for gang in victims),
    )


class _GroupCapacity:
    """Tasks that fit on the workers of one group as gangs are stopped."""

    def __init__(
        self,
        spec: JobSpec,
        capacity: DomainCapacity,
        group: Sequence[int],
        max_tasks: dict[int, int] | None,
    ) -> None:
        self._spec = spec
        self._capacity = capacity
        self._max_tasks = max_tasks
        self._free = {index: capacity.free[index].copy() for index in group}
        self.fits = {index: self._fit(index) for index in group}
        self.total = sum(self.fits.values())

    def add(self, gang: RunningGang, sign: int) -> None:
        """Add the capacity of a gang; ``sign`` -1 subtracts it."""
        for index, tasks in self._capacity.counts_of(gang.placement):
            free = self._free.get(index)
            if free is not None:
                free.take(gang.record.spec, -sign * tasks)
                self.total -= self.fits[index]
                self.fits[index] = self._fit(index)
                self.total += self.fits[index]

    def _fit(self, index: int) -> int:
        fitting = self._free[index].fits(self._spec)
        if self._max_tasks is None:
            return fitting
        return min(fitting, self._max_tasks.get(index, 0))


def _stop_cost(gang: RunningGang) -> float:
    accelerators = max(gang.record.spec.accelerators, 1)
    return (gang.unsaved_s + RESTART_S) * accelerators


def _is_urgent(gang: RunningGang) -> bool:
    return gang.record.spec.urgency is Urgency.URGENT
