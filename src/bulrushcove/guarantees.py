"""Keeps the guaranteed shapes of a domain packable while work is placed.

Each instance of a guaranteed shape is a slot. Gangs that are not borrowed
run inside the worker, rack or domain of their slot, so all of the slot is
available again when they end. The invariant: when borrowed work is ignored,
the unused parts of all slots can be packed into the usable workers.
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
    """Guarantee slots of all organisations in one domain during one pass."""

    def __init__(
        self, snapshot: DomainSnapshot, capacity: DomainCapacity
    ) -> None:
        """Assign the running gangs to slots and place the unused parts."""
        self._capacity = capacity
        # Effective accelerators, by the resources that a gang requests.
        self._effective: dict[tuple[int, ...], int] = {}
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
        all_slots = [slot for each in self._slots.values() for slot in each]
        without_borrowed = _capacity_without_borrowed(
            snapshot.running, capacity
        )
        self._layout = SlotLayout(capacity, without_borrowed, all_slots)
        # Running gangs of each slot, by ``id(slot)``.
        self._gangs: dict[int, list[RunningGang]] = defaultdict(list)
        self._bind_running(snapshot.running)
        self._layout.lay_out()

    def effective_accelerators(self, spec: JobSpec) -> int:
        """Return the size of the gang in accelerators of the largest worker.

        Cores and memory beyond the share of its accelerators are included.
        """
        amounts = (
            spec.tasks,
            spec.accelerators_per_task,
            spec.cores_per_task,
            spec.memory_mb_per_task,
        )
        effective = self._effective.get(amounts)
        if effective is None:
            effective = effective_accelerators_on(spec, self._largest)
            self._effective[amounts] = effective
        return effective

    def matching_slots(
        self, organisation: OrganisationId, spec: JobSpec
    ) -> list[GuaranteeSlot]:
        """Return the slots with enough unused, the best match first."""
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
        """Return the slot of the organisation with this name, if any."""
        return self._named.get((organisation, name))

    def allowed_workers(
        self, slot: GuaranteeSlot, indices: Sequence[int]
    ) -> list[int]:
        """Return the workers of ``indices`` that the slot may use."""
        return self._layout.allowed_workers(slot, indices)

    def capacity_without_borrowed(self) -> list[FreeCapacity]:
        """Return the free capacity per worker when borrowed work is ignored."""
        return [free.copy() for free in self._layout.without_borrowed]

    def unreserved_capacity(self, slot: GuaranteeSlot) -> list[FreeCapacity]:
        """Return the free capacity per worker that ``slot`` may use.

        Borrowed work is ignored, and what other slots reserve is subtracted.
        """
        unreserved = list(self._layout.without_borrowed)
        for index, reserved in self._layout.reserved_by_worker(slot).items():
            if reserved:
                worker = self._capacity.workers[index]
                unreserved[index] = subtract_share(
                    unreserved[index], worker, reserved
                )
        return unreserved

    def try_admit(
        self, slot: GuaranteeSlot, spec: JobSpec, counts: TaskCounts
    ) -> bool:
        """Add the gang to the slot if the invariant still holds.

        Returns whether it does; if not, nothing is changed.
        """
        layout = self._layout
        before = copy(slot)
        missing = layout.missing_accelerators()
        if slot.unused_placement is None:
            missing -= min(self.effective_accelerators(spec), slot.unused)
        layout.take(spec, counts, 1)
        layout.bind(slot, self.effective_accelerators(spec), counts)
        if layout.is_still_valid(slot) or layout.repack(missing):
            return True
        layout.take(spec, counts, -1)
        slot.used = before.used
        slot.rack = before.rack
        slot.worker = before.worker
        slot.unused_placement = before.unused_placement
        return False

    def gangs_to_yield(
        self, slot: GuaranteeSlot, spec: JobSpec
    ) -> list[RunningGang]:
        """Return the gangs to take out of the slot so that a job fits in it.

        A normal job replaces only normal gangs of at most half its size, an
        urgent job any normal gang. Returns an empty list if that does not
        free enough.
        """
        needed = self.effective_accelerators(spec)
        if slot.accelerators < needed:
            return []
        is_urgent = spec.urgency is Urgency.URGENT
        replaceable = [
            gang
            for gang in self._gangs[id(slot)]
            if gang.record.spec.urgency is Urgency.NORMAL
            and (
                is_urgent
                or 2 * self.effective_accelerators(gang.record.spec) <= needed
            )
        ]
        chosen: list[RunningGang] = []
        unused = slot.unused
        for gang in sorted(replaceable, key=lambda each: each.unsaved_s):
            if unused < needed:
                chosen.append(gang)
                unused += self.effective_accelerators(gang.record.spec)
        return chosen if unused >= needed else []

    def release(self, slot: GuaranteeSlot, gang: RunningGang) -> None:
        """Take a running gang out of its slot, as if it were borrowed."""
        spec = gang.record.spec
        self._gangs[id(slot)].remove(gang)
        self._layout.take(spec, self._capacity.counts_of(gang.placement), -1)
        slot.used -= self.effective_accelerators(spec)
        if not self._gangs[id(slot)]:
            slot.rack = -1
            slot.worker = -1

    def undo_release(self, slot: GuaranteeSlot, gang: RunningGang) -> None:
        """Undo ``release``."""
        counts = self._capacity.counts_of(gang.placement)
        self._layout.take(gang.record.spec, counts, 1)
        self._bind(slot, gang)

    def slots_of(self, organisation: OrganisationId) -> list[GuaranteeSlot]:
        """Return all slots of the organisation."""
        return self._slots.get(organisation, [])

    def _bind_running(self, running: Sequence[RunningGang]) -> None:
        """Bind the slots of gangs that are not borrowed.

        Gangs whose record names a slot come first.
        """
        unnamed = []
        for gang in running:
            uses_slot = not (gang.borrowed or gang.stopping)
            if uses_slot and not self._bind_named(gang):
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
        self._gangs[id(slot)].append(gang)


def _capacity_without_borrowed(
    running: Sequence[RunningGang], capacity: DomainCapacity
) -> list[FreeCapacity]:
    without_borrowed = [free.copy() for free in capacity.free]
    for gang in running:
        if gang.borrowed or gang.stopping:
            for index, tasks in capacity.counts_of(gang.placement):
                without_borrowed[index].take(gang.record.spec, -tasks)
    for free, worker in zip(without_borrowed, capacity.workers, strict=True):
        # Parts of a gang that have ended were already counted as free, so the
        # sum may exceed the capacity of the worker.
        free.accelerators = min(free.accelerators, worker.accelerators)
        free.cores = min(free.cores, worker.cores)
        free.memory_mb = min(free.memory_mb, worker.memory_mb)
    return without_borrowed
