"""Starts jobs within the guarantee of their organisation."""

from collections.abc import Iterator

from .free_capacity import TaskCounts
from .guarantee_slots import GuaranteeSlot
from .job import JobRecord
from .pass_state import PassState
from .placement import find_best_fit, fitting_tasks, stricter_adjacency
from .preemption import find_preemption_options
from .states import Adjacency

# Ways to make room that are checked against the guarantees of others.
MAX_PREEMPTION_OPTIONS = 8


def start_guaranteed(state: PassState, record: JobRecord) -> bool:
    """Place the job in free room that its best matching slot may use.

    Larger slots stay whole for larger jobs as long as that one serves.
    """
    if state.requirements(record) in state.unplaceable:
        return False
    free = fitting_tasks(
        record.spec, state.capacity.free, state.visible_workers(record)
    )
    if sum(free.values()) < record.spec.tasks:
        return False
    slots = _distinct_slots(state, record)
    return any(
        _start_in(state, record, slot, free)
        for slot in slots
        if _size(slot) == _size(slots[0])
    )


def preempt_for_guarantee(state: PassState, record: JobRecord) -> bool:
    """Stop borrowed work so that the job can use its guarantee."""
    free = fitting_tasks(
        record.spec, state.capacity.free, state.visible_workers(record)
    )
    return any(
        _start_in(state, record, slot, free)
        or _reclaim_into(state, record, slot)
        for slot in _distinct_slots(state, record)
    )


def is_small_for_guarantee(state: PassState, record: JobRecord) -> bool:
    """Return whether the job uses less than half of each guaranteed shape."""
    weight = state.guarantees.effective_accelerators(record.spec)
    return all(
        2 * weight < slot.accelerators
        for slot in state.guarantees.slots_of(record.organisation)
    )


def preempt_own_organisation(state: PassState, record: JobRecord) -> bool:
    """Let small gangs of the organisation leave their slot to the job.

    Otherwise the small jobs of an organisation would keep its large ones
    from the shape that was agreed for them.
    """
    guarantees = state.guarantees
    slots = [
        (slot, guarantees.gangs_to_yield(slot, record.spec))
        for slot in guarantees.slots_of(record.organisation)
    ]
    slots.sort(
        key=lambda each: sum(map(state.preemptible.preemption_cost, each[1]))
    )
    for slot, yielding in slots:
        for gang in yielding:
            guarantees.release(slot, gang)
            state.preemptible.add(gang)
        if yielding and _reclaim_into(state, record, slot):
            reason = f'leaves its guarantee to job {record.job}'
            state.preempt(record, yielding, reason)
            return True
        for kept in yielding:
            state.preemptible.remove(kept)
            guarantees.undo_release(slot, kept)
    return False


def _start_in(
    state: PassState,
    record: JobRecord,
    slot: GuaranteeSlot,
    free: dict[int, int],
) -> bool:
    for counts in _covered_spreads(state, record, slot, free):
        if state.guarantees.try_admit(slot, record.spec, counts):
            state.place(record, counts, slot)
            return True
    return False


def _covered_spreads(
    state: PassState,
    record: JobRecord,
    slot: GuaranteeSlot,
    free: dict[int, int],
) -> Iterator[TaskCounts]:
    """Yield the best place beside the other slots, then the best of all."""
    spec = record.spec
    allowed = state.guarantees.allowed_workers(slot, list(free))
    near = stricter_adjacency(spec.adjacency, slot.adjacency)
    most = fitting_tasks(
        spec, state.guarantees.unreserved_capacity(slot), allowed
    )
    beside = {index: min(free[index], most[index]) for index in most}
    everywhere = {index: free[index] for index in allowed}
    for fits in (beside, everywhere):
        counts = find_best_fit(spec, state.capacity, fits, near)
        if counts:
            yield counts


def _reclaim_into(
    state: PassState, record: JobRecord, slot: GuaranteeSlot
) -> bool:
    spec = record.spec
    guarantees = state.guarantees
    allowed = guarantees.allowed_workers(slot, state.visible_workers(record))
    near = stricter_adjacency(spec.adjacency, slot.adjacency)
    for ceiling in (
        guarantees.unreserved_capacity(slot),
        guarantees.capacity_without_borrowed(),
    ):
        ways = find_preemption_options(
            spec, state.capacity, state.preemptible, allowed, near, ceiling
        )
        for way in ways[:MAX_PREEMPTION_OPTIONS]:
            counts = find_best_fit(spec, state.capacity, way.fits, near)
            if not guarantees.try_admit(slot, spec, counts):
                continue
            if state.capacity.has_free(spec, counts):
                state.place(record, counts, slot)
            else:
                state.preempt_and_reserve(record, counts, way.victims, slot)
            return True
    return False


def _size(slot: GuaranteeSlot) -> tuple[Adjacency, int]:
    return slot.adjacency, slot.accelerators


def _distinct_slots(state: PassState, record: JobRecord) -> list[GuaranteeSlot]:
    """Return unlike slots for the job, the best match first."""
    found: dict[tuple[object, ...], GuaranteeSlot] = {}
    for slot in state.guarantees.matching_slots(
        record.organisation, record.spec
    ):
        bound = (slot.rack, slot.worker, slot.unused_placement is None)
        found.setdefault((slot.adjacency, slot.unused, *bound), slot)
    return list(found.values())
