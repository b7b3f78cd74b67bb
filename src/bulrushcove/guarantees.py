"""Keeps the guaranteed shapes of a domain packable while work is placed.

Each guaranteed shape is a cover. Unborrowed gangs lie inside the worker,
rack or domain of their cover, so a cover whose gang ends is whole again. The
invariant: ignoring borrowed work, what is left of all covers packs into the
usable workers.
"""

from collections.abc import Sequence
from copy import copy

from .cluster import DomainSnapshot, RunningGang
from .cover_layout import CoverLayout
from .covers import Cover, covers_of, less_share, matching, weight_of
from .ids import OrganisationId
from .job import JobSpec
from .rooms import Counts, Room, Rooms


class Guarantees:
    """Covers of all organisations in one domain during one pass."""

    def __init__(self, snapshot: DomainSnapshot, rooms: Rooms) -> None:
        """Lay out the covers round the unborrowed work that runs."""
        self._rooms = rooms
        self._largest = max(
            rooms.workers, key=lambda worker: worker.accelerators, default=None
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
                    list(rooms.racks),
                )
            )
            for contract in snapshot.contracts.values()
        }
        every = [cover for each in self._covers.values() for cover in each]
        firm = _firm_rooms(snapshot.running, rooms)
        self._layout = CoverLayout(rooms, firm, every)
        self._bind_running(snapshot.running)
        self._layout.lay_out()

    def weight(self, spec: JobSpec) -> int:
        """Return what the gang takes in accelerators with their share."""
        return weight_of(spec, self._largest)

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

    def allowed(self, cover: Cover, indices: Sequence[int]) -> list[int]:
        """Return the workers of ``indices`` that the cover may use."""
        return self._layout.allowed(cover, indices)

    def firm_rooms(self) -> list[Room]:
        """Return the room of each worker when borrowed work is ignored."""
        return [room.copy() for room in self._layout.firm]

    def unreserved(self, cover: Cover) -> list[Room]:
        """Return the firm rooms less what other covers keep free there."""
        rooms = list(self._layout.firm)
        for index, kept in self._layout.kept_on_workers(cover).items():
            worker = self._rooms.workers[index]
            rooms[index] = less_share(rooms[index], worker, kept)
        return rooms

    def admits(self, cover: Cover, spec: JobSpec, counts: Counts) -> bool:
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

    def _bind_running(self, running: Sequence[RunningGang]) -> None:
        """Bind the covers of unborrowed gangs, those that name one first."""
        unnamed = []
        for gang in running:
            if not gang.borrowed and not self._bind_named(gang):
                unnamed.append(gang)
        for other in unnamed:
            covers = self.covers(other.organisation, other.record.spec)
            if covers:
                self._bind(covers[0], other)

    def _bind_named(self, gang: RunningGang) -> bool:
        current = gang.record.current
        if current is None or not current.cover:
            return False
        for cover in self._covers.get(gang.organisation, ()):
            if cover.name == current.cover:
                self._bind(cover, gang)
                return True
        return False

    def _bind(self, cover: Cover, gang: RunningGang) -> None:
        counts = self._rooms.counts_of(gang.placement)
        self._layout.bind(cover, self.weight(gang.record.spec), counts)


def _firm_rooms(running: Sequence[RunningGang], rooms: Rooms) -> list[Room]:
    firm = [room.copy() for room in rooms.free]
    for gang in running:
        if gang.borrowed:
            for index, tasks in rooms.counts_of(gang.placement):
                firm[index].take(gang.record.spec, -tasks)
    for room, worker in zip(firm, rooms.workers, strict=True):
        # Parts that have ended were free already.
        room.accelerators = min(room.accelerators, worker.accelerators)
        room.cores = min(room.cores, worker.cores)
        room.memory_mb = min(room.memory_mb, worker.memory_mb)
    return firm
