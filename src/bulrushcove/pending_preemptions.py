"""Starts jobs in the capacity that was preempted for them."""

from collections.abc import Iterable

from .free_capacity import TaskCounts
from .guarantee_slots import GuaranteeSlot
from .job import JobRecord
from .pass_state import PassState
from .scheduling_model import Reservation


def resume_pending_preemptions(
    state: PassState, waiting: Iterable[JobRecord]
) -> None:
    """Start the jobs whose victims have ended; reserve for the others.

    Runs before other jobs are placed. Otherwise a job that comes earlier in
    the fair order could take the capacity, and the victims would have been
    preempted for nothing.
    """
    by_job = {record.job: record for record in waiting}
    for kept in state.snapshot.reservations:
        record = by_job.get(kept.job)
        if kept.awaits_preemption and record is not None:
            _resume(state, record, kept)


def _resume(state: PassState, record: JobRecord, kept: Reservation) -> None:
    counts = state.capacity.counts_of(kept.placement)
    if sum(tasks for _, tasks in counts) < record.spec.tasks:
        # A worker of the placement is no longer usable.
        return
    is_free = state.capacity.has_free(record.spec, counts)
    if not is_free and not state.preemptible.will_free(record.spec, counts):
        return
    slot = _usable_slot(state, record, kept, counts)
    if kept.slot_name and slot is None:
        return
    if is_free:
        state.start_job(record, counts, slot)
    else:
        state.reserve_preempted(record, counts, slot)


def _usable_slot(
    state: PassState, record: JobRecord, kept: Reservation, counts: TaskCounts
) -> GuaranteeSlot | None:
    """Return the slot of the reservation if it still admits the job."""
    guarantees = state.guarantees
    slot = guarantees.slot_named(record.organisation, kept.slot_name)
    if slot is None or slot.unused < guarantees.effective_accelerators(
        record.spec
    ):
        return None
    admitted = guarantees.try_admit(slot, record.spec, counts)
    return slot if admitted else None
