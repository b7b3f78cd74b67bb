"""Keeps the guaranteed shapes of a domain packable while work is placed.

Each guaranteed shape is a slot. Unborrowed gangs lie inside the worker,
rack or domain of their slot, so a slot whose gang ends is whole again. The
invariant: ignoring borrowed work, what is left of all slots packs into the
usable workers.
"""

from collections import defaultdict
from collections.abc import Sequence
from copy import copy

from .free_capacity import DomainCapacity, FreeCapacity, TaskCounts
from .guarantee_slots import (
    GuaranteeSlot,
    build_slots,
    effective_accelerators_on,
    find_matching_slots,
    subtract_share,
)
from .ids import OrganisationId
from .job import JobSpec
from .scheduling_model import DomainSnapshot, RunningGang
from .slot_layout import SlotLayout
from .states import Urgency


class Guarantees:
    """Covers of all organisations in one domain during one pass."""

    def __init__(
        self, snapshot: DomainSnapshot, capacity: DomainCapacity
    ) -> None:
        """Lay out the slots round the unborrowed work that runs."""
        self._capacity = capacity
        # Weights by the amounts that a gang asks for.
        self._weights: dict[tuple[int, ...], int] = {}
        self._largest = max(
            capacity.workers,
            key=lambda worker: worker.accelerators,
            default=None,
        )
        self._slots = {
            contract.organisation: list(
                build_slots(
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
            (organisation, slot.name): slot
            for organisation, slots in self._slots.items()
            for slot in slots
        }
        every = [slot for each in self._slots.values() for slot in each]
        firm = _firm_rooms(snapshot.running, capacity)
        self._layout = SlotLayout(capacity, firm, every)
        # Running gangs of each slot, by the slot's identity.
        self._users: dict[int, list[RunningGang]] = defaultdict(list)
        self._bind_running(snapshot.running)
        self._layout.lay_out()

    def effective_accelerators(self, spec: JobSpec) -> int:
        """Return what the gang takes in accelerators with their share."""
        amounts = (
            spec.tasks,
            spec.accelerators_per_task,
            spec.cores_per_task,
            spec.memory_mb_per_task,
        )
        weight = self._weights.get(amounts)
        if weight is None:
            weight = effective_accelerators_on(spec, self._largest)
            self._weights[amounts] = weight
        return weight

    def matching_slots(
        self, organisation: OrganisationId, spec: JobSpec
    ) -> list[GuaranteeSlot]:
        """Return the slots that have enough left, the best match first."""
        return find_matching_slots(
            self._slots.get(organisation, ()),
            self.effective_accelerators(spec),
            spec.adjacency,
        )

    def total_accelerators(self, organisation: OrganisationId) -> int:
        """Return the guaranteed accelerators of the organisation."""
        return sum(
            slot.accelerators for slot in self._slots.get(organisation, ())
        )

    def slot_named(
        self, organisation: OrganisationId, name: str
    ) -> GuaranteeSlot | None:
        """Return the slot of the organisation with this name."""
        return self._named.get((organisation, name))

    def allowed_workers(
        self, slot: GuaranteeSlot, indices: Sequence[int]
    ) -> list[int]:
        """Return the workers of ``indices`` that the slot may use."""
        return self._layout.allowed_workers(slot, indices)

    def capacity_without_borrowed(self) -> list[FreeCapacity]:
        """Return the room of each worker when borrowed work is ignored."""
        return [room.copy() for room in self._layout.firm]

    def unreserved_capacity(self, slot: GuaranteeSlot) -> list[FreeCapacity]:
        """Return the firm rooms less what other slots keep free there."""
        capacity = list(self._layout.firm)
        for index, kept in self._layout.kept_everywhere(slot).items():
            if kept:
                worker = self._capacity.workers[index]
                capacity[index] = subtract_share(capacity[index], worker, kept)
        return capacity

    def try_admit(
        self, slot: GuaranteeSlot, spec: JobSpec, counts: TaskCounts
    ) -> bool:
        """Return whether the invariant holds with the gang in the slot.

        The gang is kept as placed when it does.
        """
        layout = self._layout
        before = copy(slot)
        missing = layout.missing()
        if slot.unused_placement is None:
            missing -= min(self.effective_accelerators(spec), slot.unused)
        layout.shift(spec, counts, 1)
        layout.bind(slot, self.effective_accelerators(spec), counts)
        if layout.still_holds(slot) or layout.repack(missing):
            return True
        layout.shift(spec, counts, -1)
        slot.used = before.used
        slot.rack = before.rack
        slot.worker = before.worker
        slot.unused_placement = before.unused_placement
        return False

    def gangs_to_yield(
        self, slot: GuaranteeSlot, spec: JobSpec
    ) -> list[RunningGang]:
        """Return gangs that could leave the slot to a job.

        A normal job displaces small gangs only, an urgent one any normal
        gang. Empty when that does not make room.
        """
        weight = self.effective_accelerators(spec)
        if slot.accelerators < weight:
            return []
        is_urgent = spec.urgency is Urgency.URGENT
        small = [
            gang
            for gang in self._users[id(slot)]
            if gang.record.spec.urgency is Urgency.NORMAL
            and (
                is_urgent
                or 2 * self.effective_accelerators(gang.record.spec) <= weight
            )
        ]
        chosen: list[RunningGang] = []
        rest = slot.unused
        for gang in sorted(small, key=lambda each: each.unsaved_s):
            if rest < weight:
                chosen.append(gang)
                rest += self.effective_accelerators(gang.record.spec)
        return chosen if rest >= weight else []

    def release(self, slot: GuaranteeSlot, gang: RunningGang) -> None:
        """Take a running gang out of its slot, as if it were borrowed."""
        spec = gang.record.spec
        self._users[id(slot)].remove(gang)
        self._layout.shift(spec, self._capacity.counts_of(gang.placement), -1)
        slot.used -= self.effective_accelerators(spec)
        if not self._users[id(slot)]:
            slot.rack = -1
            slot.worker = -1

    def undo_release(self, slot: GuaranteeSlot, gang: RunningGang) -> None:
        """Undo ``release``."""
        counts = self._capacity.counts_of(gang.placement)
        self._layout.shift(gang.record.spec, counts, 1)
        self._bind(slot, gang)

    def slots_of(self, organisation: OrganisationId) -> list[GuaranteeSlot]:
        """Return all slots of the organisation."""
        return self._slots.get(organisation, [])

    def _bind_running(self, running: Sequence[RunningGang]) -> None:
        """Bind the slots of unborrowed gangs, those that name one first."""
        unnamed = []
        for gang in running:
            holds = not (gang.borrowed or gang.stopping)
            if holds and not self._bind_named(gang):
                unnamed.append(gang)
        for other in unnamed:
            slots = self.matching_slots(other.organisation, other.record.spec)
            if slots:
                self._bind(slots[0], other)

    def _bind_named(self, gang: RunningGang) -> bool:
        current = gang.record.current
        if current is None or not current.cover:
            return False
        slot = self.slot_named(gang.organisation, current.cover)
        if slot is None:
            return False
        self._bind(slot, gang)
        return True

    def _bind(self, slot: GuaranteeSlot, gang: RunningGang) -> None:
        counts = self._capacity.counts_of(gang.placement)
        self._layout.bind(
            slot, self.effective_accelerators(gang.record.spec), counts
        )
        self._users[id(slot)].append(gang)


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
