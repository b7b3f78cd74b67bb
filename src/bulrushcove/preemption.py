"""Chooses borrowed gangs to stop so that wanted work can start whole."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from .free_capacity import DomainCapacity, FreeCapacity, TaskCounts
from .ids import AttemptId
from .job import JobSpec
from .placement import adjacency_groups, fitting_tasks
from .scheduling_model import RunningGang
from .states import Adjacency, Urgency

# Stopping and starting again costs this much besides unsaved work.
RESTART_S = 1.0


class PreemptionOption(msgspec.Struct):
    """Room for one gang, and the gangs to stop for it."""

    # Workers of the group, with what fits once the victims have ended.
    fits: dict[int, int]
    victims: list[RunningGang]
    cost: float


class PreemptibleGangs:
    """Borrowed gangs of a domain, by worker, with what a stop loses."""

    def __init__(
        self, running: Iterable[RunningGang], capacity: DomainCapacity
    ) -> None:
        """Index the borrowed ones of ``running``."""
        self._capacity = capacity
        self._on_worker: dict[int, list[RunningGang]] = defaultdict(list)
        self._stopping: set[AttemptId] = set()
        # Accelerator-seconds that a stop of each gang throws away.
        self._costs: dict[AttemptId, float] = {}
        for borrower in running:
            if borrower.borrowed or borrower.stopping:
                self.add(borrower)

    def mark_stopping(self, victim: RunningGang) -> None:
        """Note that ``victim`` is being stopped."""
        self._stopping.add(victim.attempt)
        self._costs[victim.attempt] = 0

    def is_stopping(self, gang: RunningGang) -> bool:
        """Return whether the gang's room comes back without a new stop."""
        return gang.stopping or gang.attempt in self._stopping

    def will_free(self, spec: JobSpec, counts: TaskCounts) -> bool:
        """Return whether gangs that are stopping leave room for a gang."""
        wanted = dict(counts)
        state = _GroupRoom(spec, self._capacity, list(wanted), wanted)
        size = spec.accelerators
        for gang in self.candidates_on(wanted, size, exclude_urgent=True):
            if self.is_stopping(gang):
                state.give(gang, 1)
        return state.total >= spec.tasks

    def preemption_cost(self, gang: RunningGang) -> float:
        """Return the accelerator-seconds that a stop throws away."""
        known = self._costs.get(gang.attempt)
        return _loss(gang) if known is None else known

    def candidates_on(
        self, indices: Iterable[int], wanted: int, *, exclude_urgent: bool
    ) -> list[RunningGang]:
        """Return the gangs there that may be stopped, cheapest room first.

        Room beyond the ``wanted`` accelerators counts for nothing.
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
        return sorted(gangs, key=lambda gang: self._order(gang, wanted))

    def add(self, gang: RunningGang) -> None:
        """Let ``gang`` be stopped like borrowed work."""
        self._costs[gang.attempt] = 0 if gang.stopping else _loss(gang)
        for index, _ in self._capacity.counts_of(gang.placement):
            self._on_worker[index].append(gang)

    def remove(self, gang: RunningGang) -> None:
        """Undo ``add``."""
        for index, _ in self._capacity.counts_of(gang.placement):
            self._on_worker[index].remove(gang)

    def _order(
        self, gang: RunningGang, wanted: int
    ) -> tuple[bool, float, AttemptId]:
        use = max(min(gang.record.spec.accelerators, wanted), 1)
        return _is_urgent(gang), self.preemption_cost(gang) / use, gang.attempt


def find_preemption_options(
    spec: JobSpec,
    capacity: DomainCapacity,
    preemptible: PreemptibleGangs,
    indices: Sequence[int],
    adjacency: Adjacency,
    ceiling: Sequence[FreeCapacity] | None = None,
) -> list[PreemptionOption]:
    """Return ways to make room for the gang, the least loss first.

    ``ceiling`` limits what the gang may take of each worker: the room less
    unborrowed work and less what others are guaranteed. Without one the gang
    is borrowed itself and stops no urgent work.
    """
    most = None if ceiling is None else fitting_tasks(spec, ceiling, indices)
    ways = []
    for group in adjacency_groups(capacity, indices, adjacency):
        if most is not None and _most_in(group, most) < spec.tasks:
            continue
        way = _reclaim_in(spec, capacity, preemptible, group, most)
        if way is not None:
            ways.append(way)
    return sorted(ways, key=lambda way: (way.cost, len(way.victims)))


def _most_in(group: Sequence[int], most: dict[int, int]) -> int:
    return sum(most.get(index, 0) for index in group)


def _reclaim_in(
    spec: JobSpec,
    capacity: DomainCapacity,
    preemptible: PreemptibleGangs,
    group: Sequence[int],
    most: dict[int, int] | None,
) -> PreemptionOption | None:
    """Stop the cheapest gangs of the group until the gang fits, then fewer."""
    gangs = preemptible.candidates_on(
        group, spec.accelerators, exclude_urgent=most is None
    )
    if spec.accelerators:
        # Work without accelerators is stopped only where it is in the way.
        gangs.sort(key=lambda gang: not gang.record.spec.accelerators)
    state = _GroupRoom(spec, capacity, group, most)
    victims: list[RunningGang] = []
    for cheapest in gangs:
        if state.total >= spec.tasks:
            break
        state.give(cheapest, 1)
        victims.append(cheapest)
    if state.total < spec.tasks:
        return None
    for victim in sorted(
        victims, key=preemptible.preemption_cost, reverse=True
    ):
        state.give(victim, -1)
        if state.total >= spec.tasks:
            victims.remove(victim)
        else:
            state.give(victim, 1)
    return PreemptionOption(
        fits=state.fits,
        victims=[gang for gang in victims if not preemptible.is_stopping(gang)],
        cost=sum(preemptible.preemption_cost(gang) for gang in victims),
    )


class _GroupRoom:
    """Tasks that fit on the workers of one group as gangs are stopped."""

    def __init__(
        self,
        spec: JobSpec,
        capacity: DomainCapacity,
        group: Sequence[int],
        most: dict[int, int] | None,
    ) -> None:
        self._spec = spec
        self._capacity = capacity
        self._most = most
        self._room = {index: capacity.free[index].copy() for index in group}
        self.fits = {index: self._fit(index) for index in group}
        self.total = sum(self.fits.values())

    def give(self, gang: RunningGang, sign: int) -> None:
        """Give back a gang's room; -1 takes it again."""
        for index, tasks in self._capacity.counts_of(gang.placement):
            room = self._room.get(index)
            if room is not None:
                room.take(gang.record.spec, -sign * tasks)
                self.total -= self.fits[index]
                self.fits[index] = self._fit(index)
                self.total += self.fits[index]

    def _fit(self, index: int) -> int:
        fitting = self._room[index].fits(self._spec)
        if self._most is None:
            return fitting
        return min(fitting, self._most.get(index, 0))


def _loss(gang: RunningGang) -> float:
    weight = max(gang.record.spec.accelerators, 1)
    return (gang.unsaved_s + RESTART_S) * weight


def _is_urgent(gang: RunningGang) -> bool:
    return gang.record.spec.urgency is Urgency.URGENT
