"""Plans where the unused parts of guarantee slots are kept free."""

from collections import defaultdict
from collections.abc import Sequence

from .block_packing import (
    Block,
    BlockPlacement,
    Rack,
    new_rack,
    pack,
    pack_greedily,
)
from .free_capacity import DomainCapacity, FreeCapacity, TaskCounts
from .guarantee_slots import GuaranteeSlot, usable_accelerators
from .job import JobSpec
from .states import Adjacency


class SlotLayout:
    """Placement of guarantee slots in the workers, ignoring borrowed work."""

    def __init__(
        self,
        capacity: DomainCapacity,
        without_borrowed: list[FreeCapacity],
        slots: Sequence[GuaranteeSlot],
    ) -> None:
        """Place ``slots`` into the capacity without borrowed work.

        ``without_borrowed`` is the free capacity of each worker when the
        borrowed gangs are ignored.
        """
        self.without_borrowed = without_borrowed
        self._capacity = capacity
        self._slots = slots
        self._members = list(capacity.racks.values())
        self._rack_of = {
            index: nth
            for nth, members in enumerate(self._members)
            for index in members
        }
        self._usable = [
            usable_accelerators(free, worker)
            for free, worker in zip(
                without_borrowed, capacity.workers, strict=True
            )
        ]
        self.lay_out()

    def allowed_workers(
        self, slot: GuaranteeSlot, indices: Sequence[int]
    ) -> list[int]:
        """Return the workers of ``indices`` that the slot may use."""
        if slot.worker >= 0:
            return [index for index in indices if index == slot.worker]
        if slot.rack >= 0:
            members = self._members[slot.rack]
            return [index for index in indices if index in members]
        return list(indices)

    def bind(
        self, slot: GuaranteeSlot, accelerators: int, counts: TaskCounts
    ) -> None:
        """Count ``accelerators`` of a gang on these workers as used.

        A slot of one worker or rack is bound to where the gang runs.
        """
        slot.used += accelerators
        if not counts:
            return
        index = counts[0][0]
        if slot.adjacency is not Adjacency.DOMAIN:
            slot.rack = self._rack_of[index]
        if slot.adjacency is Adjacency.WORKER:
            slot.worker = index

    def take(self, spec: JobSpec, counts: TaskCounts, sign: int) -> None:
        """Subtract a gang from the free capacity; ``sign`` -1 adds it."""
        for index, tasks in counts:
            free = self.without_borrowed[index]
            free.take(spec, sign * tasks)
            self._usable[index] = usable_accelerators(
                free, self._capacity.workers[index]
            )

    def missing_accelerators(self) -> int:
        """Return the accelerators that are promised but not kept free."""
        return sum(
            slot.unused
            for slot in self._slots
            if slot.unused and slot.unused_placement is None
        )

    def reserved_on_workers(
        self, excluded: GuaranteeSlot | None = None
    ) -> dict[int, int]:
        """Return the accelerators that worker slots reserve, by worker index.

        ``excluded`` is not counted.
        """
        kept: dict[int, int] = defaultdict(int)
        for slot in self._slots:
            placement = slot.unused_placement
            if (
                slot is not excluded
                and placement is not None
                and placement.worker >= 0
            ):
                kept[self._members[placement.rack][placement.worker]] += (
                    slot.unused
                )
        return kept

    def reserved_by_worker(self, excluded: GuaranteeSlot) -> dict[int, int]:
        """Return what worker and rack slots reserve, by worker index.

        A rack slot may use any worker of its rack. It is counted on those
        with the most free, which is one valid choice. Domain slots are not
        counted.
        """
        kept = defaultdict(int, self.reserved_on_workers(excluded))
        for slot in self._slots:
            placement = slot.unused_placement
            if slot is excluded or placement is None or placement.rack < 0:
                continue
            if placement.worker < 0:
                self._keep_in_rack(slot.unused, placement.rack, kept)
        return kept

    def lay_out(self, *, thoroughly: bool = False) -> None:
        """Place the unused part of each slot anew, greedily or by search."""
        racks = self._racks_left()
        unbound = []
        for slot in self._slots:
            slot.unused_placement = None
            if slot.unused and slot.rack >= 0:
                slot.unused_placement = self._reserve_bound(
                    slot, racks[slot.rack]
                )
            elif slot.unused:
                unbound.append(slot)
        blocks = [_block(each) for each in unbound]
        search = pack if thoroughly else pack_greedily
        packing = search(blocks, racks)
        _set_placements(unbound, packing.placements)

    def is_still_valid(self, slot: GuaranteeSlot) -> bool:
        """Return whether the layout is still valid after ``slot`` was bound."""
        if not slot.unused:
            slot.unused_placement = None
        elif slot.unused_placement is None:
            return False
        elif slot.rack >= 0:
            slot.unused_placement = self._bound_placement(slot)
        kept = self.reserved_on_workers()
        if any(self._usable[index] < count for index, count in kept.items()):
            return False
        return self._racks_suffice()

    def repack(self, missing: int) -> bool:
        """Lay out anew; undo it and return False if more is then missing."""
        placements = [slot.unused_placement for slot in self._slots]
        for thoroughly in (False, True):
            self.lay_out(thoroughly=thoroughly)
            if self.missing_accelerators() <= missing:
                return True
        _set_placements(self._slots, placements)
        return False

    def _keep_in_rack(
        self, accelerators: int, rack: int, kept: dict[int, int]
    ) -> None:
        left = {
            index: max(self._usable[index] - kept[index], 0)
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
                [self._usable[index] for index in members],
            )
            for name, members in self._capacity.racks.items()
        ]

    def _reserve_bound(
        self, slot: GuaranteeSlot, rack: Rack
    ) -> BlockPlacement | None:
        """Reserve the unused part where the gangs run; None if too large."""
        if rack.free < slot.unused:
            return None
        placement = self._bound_placement(slot)
        if placement.worker >= 0:
            left = next(
                left for left, nth in rack.workers if nth == placement.worker
            )
            if left < slot.unused:
                return None
            rack.workers.remove((left, placement.worker))
            rack.workers.append((left - slot.unused, placement.worker))
            rack.workers.sort()
        rack.free -= slot.unused
        return placement

    def _bound_placement(self, slot: GuaranteeSlot) -> BlockPlacement:
        members = self._members[slot.rack]
        domain = self._capacity.workers[members[0]].domain
        if slot.worker < 0:
            return BlockPlacement(domain, slot.rack)
        return BlockPlacement(domain, slot.rack, members.index(slot.worker))

    def _racks_suffice(self) -> bool:
        spare = [
            sum(self._usable[index] for index in members)
            for members in self._members
        ]
        split: dict[frozenset[int], int] = defaultdict(int)
        for slot in self._slots:
            if slot.unused_placement is None or not slot.unused:
                continue
            if slot.unused_placement.rack < 0:
                split[slot.racks] += slot.unused
            else:
                spare[slot.unused_placement.rack] -= slot.unused
        if min(spare, default=0) < 0:
            return False
        # Stricter than necessary: each set of racks must hold the demands of
        # all sets, so a valid layout may be rejected but no invalid one
        # is accepted.
        wanted = sum(split.values())
        return all(
            sum(spare[rack] for rack in racks) >= wanted for racks in split
        )


def _set_placements(
    slots: Sequence[GuaranteeSlot], placements: Sequence[BlockPlacement | None]
) -> None:
    for slot, placement in zip(slots, placements, strict=True):
        slot.unused_placement = placement


def _block(slot: GuaranteeSlot) -> Block:
    return Block(slot.unused, slot.adjacency, slot.racks, slot.is_any_domain)
