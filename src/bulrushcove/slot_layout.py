"""Lays out where the unused parts of guaranteed shapes are kept free."""

from collections import defaultdict
from collections.abc import Sequence

from .block_packing import (
    Block,
    Rack,
    Spot,
    new_rack,
    pack,
    pack_greedily,
)
from .free_capacity import DomainCapacity, FreeCapacity, TaskCounts
from .guarantee_slots import Cover, equivalent
from .job import JobSpec
from .states import Adjacency


class CoverLayout:
    """Room of the workers without borrowed work, and the covers in it."""

    def __init__(
        self,
        capacity: DomainCapacity,
        firm: list[FreeCapacity],
        covers: Sequence[Cover],
    ) -> None:
        """Lay out ``covers`` in the room ``firm``, by worker."""
        self.firm = firm
        self._capacity = capacity
        self._covers = covers
        self._members = list(capacity.racks.values())
        self._rack_of = {
            index: nth
            for nth, members in enumerate(self._members)
            for index in members
        }
        self._equal = [
            equivalent(room, worker)
            for room, worker in zip(firm, capacity.workers, strict=True)
        ]
        self.lay_out()

    def allowed(self, cover: Cover, indices: Sequence[int]) -> list[int]:
        """Return the workers of ``indices`` that the cover may use."""
        if cover.worker >= 0:
            return [index for index in indices if index == cover.worker]
        if cover.rack >= 0:
            members = self._members[cover.rack]
            return [index for index in indices if index in members]
        return list(indices)

    def bind(self, cover: Cover, weight: int, counts: TaskCounts) -> None:
        """Let a gang on these workers use ``weight`` of the cover."""
        cover.used += weight
        if not counts:
            return
        index = counts[0][0]
        if cover.adjacency is not Adjacency.DOMAIN:
            cover.rack = self._rack_of[index]
        if cover.adjacency is Adjacency.WORKER:
            cover.worker = index

    def shift(self, spec: JobSpec, counts: TaskCounts, sign: int) -> None:
        """Take a gang's room from the firm room; -1 gives it back."""
        for index, tasks in counts:
            room = self.firm[index]
            room.take(spec, sign * tasks)
            self._equal[index] = equivalent(room, self._capacity.workers[index])

    def missing(self) -> int:
        """Return the accelerators that are promised but not kept free."""
        return sum(
            cover.rest
            for cover in self._covers
            if cover.rest and cover.spot is None
        )

    def kept_on_workers(self, but: Cover | None = None) -> dict[int, int]:
        """Return what covers other than ``but`` keep free, by worker."""
        kept: dict[int, int] = defaultdict(int)
        for cover in self._covers:
            spot = cover.spot
            if cover is not but and spot is not None and spot.worker >= 0:
                kept[self._members[spot.rack][spot.worker]] += cover.rest
        return kept

    def kept_everywhere(self, but: Cover) -> dict[int, int]:
        """Return what others keep free, with racks' parts laid on workers.

        A shape in a rack may lie on any of its workers; this puts it on
        those with the most left, as one way that is surely enough.
        """
        kept = defaultdict(int, self.kept_on_workers(but))
        for cover in self._covers:
            spot = cover.spot
            if cover is but or spot is None or spot.rack < 0:
                continue
            if spot.worker < 0:
                self._keep_in_rack(cover.rest, spot.rack, kept)
        return kept

    def lay_out(self, *, thoroughly: bool = False) -> None:
        """Find anew where the unused part of each cover is kept free."""
        racks = self._racks_left()
        unbound = []
        for cover in self._covers:
            cover.spot = None
            if cover.rest and cover.rack >= 0:
                cover.spot = self._keep_bound(cover, racks[cover.rack])
            elif cover.rest:
                unbound.append(cover)
        blocks = [_block(each) for each in unbound]
        search = pack if thoroughly else pack_greedily
        packing = search(blocks, racks)
        _set_spots(unbound, packing.spots)

    def still_holds(self, cover: Cover) -> bool:
        """Return whether the layout can stay after ``cover`` was bound."""
        if not cover.rest:
            cover.spot = None
        elif cover.spot is None:
            return False
        elif cover.rack >= 0:
            cover.spot = self._bound_spot(cover)
        kept = self.kept_on_workers()
        if any(self._equal[index] < count for index, count in kept.items()):
            return False
        return self._racks_hold()

    def repack(self, missing: int) -> bool:
        """Lay out anew; undo it and return False if more is then missing."""
        spots = [cover.spot for cover in self._covers]
        for thoroughly in (False, True):
            self.lay_out(thoroughly=thoroughly)
            if self.missing() <= missing:
                return True
        _set_spots(self._covers, spots)
        return False

    def _keep_in_rack(
        self, accelerators: int, rack: int, kept: dict[int, int]
    ) -> None:
        left = {
            index: max(self._equal[index] - kept[index], 0)
            for index in self._members[rack]
        }
        missing = accelerators
        for worker in sorted(left, key=left.__getitem__, reverse=True):
            part = min(missing, left[worker])
            kept[worker] += part
            missing -= part

    def _racks_left(self) -> list[Rack]:
        return [
            new_rack(
                name,
                self._capacity.workers[members[0]].domain,
                [self._equal[index] for index in members],
            )
            for name, members in self._capacity.racks.items()
        ]

    def _keep_bound(self, cover: Cover, rack: Rack) -> Spot | None:
        """Keep the rest of a cover free where its gangs run."""
        if rack.spare < cover.rest:
            return None
        spot = self._bound_spot(cover)
        if spot.worker >= 0:
            left = next(
                left for left, nth in rack.workers if nth == spot.worker
            )
            if left < cover.rest:
                return None
            rack.workers.remove((left, spot.worker))
            rack.workers.append((left - cover.rest, spot.worker))
            rack.workers.sort()
        rack.spare -= cover.rest
        return spot

    def _bound_spot(self, cover: Cover) -> Spot:
        members = self._members[cover.rack]
        domain = self._capacity.workers[members[0]].domain
        if cover.worker < 0:
            return Spot(domain, cover.rack)
        return Spot(domain, cover.rack, members.index(cover.worker))

    def _racks_hold(self) -> bool:
        spare = [
            sum(self._equal[index] for index in members)
            for members in self._members
        ]
        split: dict[frozenset[int], int] = defaultdict(int)
        for cover in self._covers:
            if cover.spot is None or not cover.rest:
                continue
            if cover.spot.rack < 0:
                split[cover.racks] += cover.rest
            else:
                spare[cover.spot.rack] -= cover.rest
        if min(spare, default=0) < 0:
            return False
        # Safe, not exact: all that may be split is asked of each set of racks.
        wanted = sum(split.values())
        return all(
            sum(spare[rack] for rack in racks) >= wanted for racks in split
        )


def _set_spots(covers: Sequence[Cover], spots: Sequence[Spot | None]) -> None:
    for cover, spot in zip(covers, spots, strict=True):
        cover.spot = spot


def _block(cover: Cover) -> Block:
    return Block(cover.rest, cover.adjacency, cover.racks, cover.movable)
