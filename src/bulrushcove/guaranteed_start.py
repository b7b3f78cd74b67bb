"""Starts jobs within the guarantee of their organisation."""

from collections.abc import Iterator

from .free_capacity import TaskCounts
from .guarantee_slots import GuaranteeSlot
from .job import JobRecord
from .pass_state import PassState
from .placement import find_best_fit, fitting_tasks, stricter_adjacency
from .preemption import find_preemption_options
from .states import Adjacency

# Preemption options that are checked against the guarantees of others.
MAX_PREEMPTION_OPTIONS = 8


def start_guaranteed(state: PassState, record: JobRecord) -> bool:
    """Start the job in free capacity that its best matching slot may use.

    Larger slots stay available to larger jobs if the best match suffices.
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
        if _slot_shape(slot) == _slot_shape(slots[0])
    )


def preempt_for_guarantee(state: PassState, record: JobRecord) -> bool:
    """Stop borrowed work so that the job can use its guarantee."""
    free = fitting_tasks(
        record.spec, state.capacity.free, state.visible_workers(record)
    )
    return any(
        _start_in(state, record, slot, free)
        or _preempt_into(state, record, slot)
        for slot in _distinct_slots(state, record)
    )


def is_small_for_guarantee(state: PassState, record: JobRecord) -> bool:
    """Return whether the job uses less than half of each guaranteed shape."""
    needed = state.guarantees.effective_accelerators(record.spec)
    return all(
        2 * needed < slot.accelerators
        for slot in state.guarantees.slots_of(record.organisation)
    )


def preempt_own_organisation(state: PassState, record: JobRecord) -> bool:
    """Preempt small gangs of the organisation to free their slot for the job.

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
        if yielding and _preempt_into(state, record, slot):
            reason = f'preempted for job {record.job} of its organisation'
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
    for counts in _placements_in_slot(state, record, slot, free):
        if state.guarantees.try_admit(slot, record.spec, counts):
            state.start_job(record, counts, slot)
            return True
    return False


def _placements_in_slot(
    state: PassState,
    record: JobRecord,
    slot: GuaranteeSlot,
    free: dict[int, int],
) -> Iterator[TaskCounts]:
    """Yield the best fit beside other reserved slots, then ignoring them."""
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


def _preempt_into(
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
        options = find_preemption_options(
            spec, state.capacity, state.preemptible, allowed, near, ceiling
        )
        for option in options[:MAX_PREEMPTION_OPTIONS]:
            counts = find_best_fit(spec, state.capacity, option.fits, near)
            if not guarantees.try_admit(slot, spec, counts):
                continue
            if state.capacity.has_free(spec, counts):
                state.start_job(record, counts, slot)
            else:
                state.preempt_and_reserve(record, counts, option.victims, slot)
            return True
    return False


def _slot_shape(slot: GuaranteeSlot) -> tuple[Adjacency, int]:
    return slot.adjacency, slot.accelerators


def _distinct_slots(state: PassState, record: JobRecord) -> list[GuaranteeSlot]:
    """Return one of each kind of matching slot, the best match first."""
    found: dict[tuple[object, ...], GuaranteeSlot] = {}
    for slot in state.guarantees.matching_slots(
        record.organisation, record.spec
    ):
        bound = (slot.rack, slot.worker, slot.unused_placement is None)
        found.setdefault((slot.adjacency, slot.unused, *bound), slot)
    return list(found.values())
