"""Keeps the guaranteed shapes of a domain packable while work is placed.

Each guaranteed shape is a cover. Unborrowed gangs lie inside the worker,
rack or domain of their cover, so a cover whose gang ends is whole again. The
invariant: ignoring borrowed work, what is left of all covers packs into the
usable workers.
"""

from collections import defaultdict
from collections.abc import Sequence
from copy import copy

from .free_capacity import DomainCapacity, FreeCapacity, TaskCounts
from .guarantee_slots import Cover, covers_of, less_share, matching, weight_of
from .ids import OrganisationId
from .job import JobSpec
from .scheduling_model import DomainSnapshot, RunningGang
from .slot_layout import CoverLayout
from .states import Urgency


class Guarantees:
    """Covers of all organisations in one domain during one pass."""

    def __init__(
        self, snapshot: DomainSnapshot, capacity: DomainCapacity
    ) -> None:
        """Lay out the covers round the unborrowed work that runs."""
        self._capacity = capacity
        # Weights by the amounts that a gang asks for.
        self._weights: dict[tuple[int, ...], int] = {}
        self._largest = max(
            capacity.workers,
            key=lambda worker: worker.accelerators,
            default=None,
        )
        self._covers = {
            contract.organisation: list(
                covers_of(
                    contract,
                    snapshot.domain,
                    (
                        shape
                        for shape in contract.guaranteed
                        if shape.domain in {None, snapshot.domain}
                    ),
                    list(capacity.racks),
                )
            )
            for contract in snapshot.contracts.values()
        }
        self._named = {
            (organisation, cover.name): cover
            for organisation, covers in self._covers.items()
            for cover in covers
        }
        every = [cover for each in self._covers.values() for cover in each]
        firm = _firm_rooms(snapshot.running, capacity)
        self._layout = CoverLayout(capacity, firm, every)
        # Running gangs of each cover, by the cover's identity.
        self._users: dict[int, list[RunningGang]] = defaultdict(list)
        self._bind_running(snapshot.running)
        self._layout.lay_out()

    def weight(self, spec: JobSpec) -> int:
        """Return what the gang takes in accelerators with their share."""
        amounts = (
            spec.tasks,
            spec.accelerators_per_task,
            spec.cores_per_task,
            spec.memory_mb_per_task,
        )
        weight = self._weights.get(amounts)
        if weight is None:
            weight = weight_of(spec, self._largest)
            self._weights[amounts] = weight
        return weight

    def covers(
        self, organisation: OrganisationId, spec: JobSpec
    ) -> list[Cover]:
        """Return the covers that have enough left, the best match first."""
        return matching(
            self._covers.get(organisation, ()),
            self.weight(spec),
            spec.adjacency,
        )

    def total(self, organisation: OrganisationId) -> int:
        """Return the guaranteed accelerators of the organisation."""
        return sum(
            cover.accelerators for cover in self._covers.get(organisation, ())
        )

    def cover_named(
        self, organisation: OrganisationId, name: str
    ) -> Cover | None:
        """Return the cover of the organisation with this name."""
        return self._named.get((organisation, name))

    def allowed(self, cover: Cover, indices: Sequence[int]) -> list[int]:
        """Return the workers of ``indices`` that the cover may use."""
        return self._layout.allowed(cover, indices)

    def firm_rooms(self) -> list[FreeCapacity]:
        """Return the room of each worker when borrowed work is ignored."""
        return [room.copy() for room in self._layout.firm]

    def unreserved(self, cover: Cover) -> list[FreeCapacity]:
        """Return the firm rooms less what other covers keep free there."""
        capacity = list(self._layout.firm)
        for index, kept in self._layout.kept_everywhere(cover).items():
            if kept:
                worker = self._capacity.workers[index]
                capacity[index] = less_share(capacity[index], worker, kept)
        return capacity

    def admits(self, cover: Cover, spec: JobSpec, counts: TaskCounts) -> bool:
        """Return whether the invariant holds with the gang in the cover.

        The gang is kept as placed when it does.
        """
        layout = self._layout
        before = copy(cover)
        missing = layout.missing()
        if cover.spot is None:
            missing -= min(self.weight(spec), cover.rest)
        layout.shift(spec, counts, 1)
        layout.bind(cover, self.weight(spec), counts)
        if layout.still_holds(cover) or layout.repack(missing):
            return True
        layout.shift(spec, counts, -1)
        cover.used = before.used
        cover.rack = before.rack
        cover.worker = before.worker
        cover.spot = before.spot
        return False

    def users_to_yield(self, cover: Cover, spec: JobSpec) -> list[RunningGang]:
        """Return gangs that could leave the cover to a job.

        A normal job displaces small gangs only, an urgent one any normal
        gang. Empty when that does not make room.
        """
        weight = self.weight(spec)
        if cover.accelerators < weight:
            return []
        is_urgent = spec.urgency is Urgency.URGENT
        small = [
            gang
            for gang in self._users[id(cover)]
            if gang.record.spec.urgency is Urgency.NORMAL
            and (is_urgent or 2 * self.weight(gang.record.spec) <= weight)
        ]
        chosen: list[RunningGang] = []
        rest = cover.rest
        for gang in sorted(small, key=lambda each: each.unsaved_s):
            if rest < weight:
                chosen.append(gang)
                rest += self.weight(gang.record.spec)
        return chosen if rest >= weight else []

    def release(self, cover: Cover, gang: RunningGang) -> None:
        """Take a running gang out of its cover, as if it were borrowed."""
        spec = gang.record.spec
        self._users[id(cover)].remove(gang)
        self._layout.shift(spec, self._capacity.counts_of(gang.placement), -1)
        cover.used -= self.weight(spec)
        if not self._users[id(cover)]:
            cover.rack = -1
            cover.worker = -1

    def take_back(self, cover: Cover, gang: RunningGang) -> None:
        """Undo ``release``."""
        counts = self._capacity.counts_of(gang.placement)
        self._layout.shift(gang.record.spec, counts, 1)
        self._bind(cover, gang)

    def every_cover(self, organisation: OrganisationId) -> list[Cover]:
        """Return all covers of the organisation."""
        return self._covers.get(organisation, [])

    def _bind_running(self, running: Sequence[RunningGang]) -> None:
        """Bind the covers of unborrowed gangs, those that name one first."""
        unnamed = []
        for gang in running:
            holds = not (gang.borrowed or gang.stopping)
            if holds and not self._bind_named(gang):
                unnamed.append(gang)
        for other in unnamed:
            covers = self.covers(other.organisation, other.record.spec)
            if covers:
                self._bind(covers[0], other)

    def _bind_named(self, gang: RunningGang) -> bool:
        current = gang.record.current
        if current is None or not current.cover:
            return False
        cover = self.cover_named(gang.organisation, current.cover)
        if cover is None:
            return False
        self._bind(cover, gang)
        return True

    def _bind(self, cover: Cover, gang: RunningGang) -> None:
        counts = self._capacity.counts_of(gang.placement)
        self._layout.bind(cover, self.weight(gang.record.spec), counts)
        self._users[id(cover)].append(gang)


def _firm_rooms(
    running: Sequence[RunningGang], capacity: DomainCapacity
) -> list[FreeCapacity]:
    firm = [room.copy() for room in capacity.free]
    for gang in running:
        if gang.borrowed or gang.stopping:
            for index, tasks in capacity.counts_of(gang.placement):
                firm[index].take(gang.record.spec, -tasks)
    for room, worker in zip(firm, capacity.workers, strict=True):
        # Parts that have ended were free already.
        room.accelerators = min(room.accelerators, worker.accelerators)
        room.cores = min(room.cores, worker.cores)
        room.memory_mb = min(room.memory_mb, worker.memory_mb)
    return firm
