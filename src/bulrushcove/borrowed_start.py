"""Starts jobs beyond the guarantee of their organisation."""

from collections.abc import Iterator

from .backfill_reservations import (
    find_reservation,
    gangs_worth_preempting,
    is_current,
    is_large,
)
from .free_capacity import TaskCounts
from .job import JobRecord
from .pass_state import PassState
from .placement import find_best_fit, fitting_tasks
from .preemption import find_preemption_options
from .queue_order import by_age
from .scheduling_model import Reservation

MAX_RESERVATIONS = 1
PERCENT = 100


def start_borrowed(state: PassState, record: JobRecord) -> bool:
    """Place the job in any free room, to be stopped when reclaimed."""
    if not state.may_borrow(record):
        state.record_wait(record, 'the organisation borrows all that it may')
        return False
    requirements = state.requirements(record)
    counts = (
        [] if requirements in state.unplaceable else _free_spread(state, record)
    )
    if counts:
        state.place(record, counts, None)
        return True
    state.unplaceable.add(requirements)
    state.record_wait(record, 'waits for free accelerators')
    return False


def preempt_for_urgent(state: PassState, record: JobRecord) -> bool:
    """Stop borrowed normal work for an urgent job beyond its guarantee."""
    if not (state.may_borrow(record) and _within_urgent_share(state, record)):
        return False
    ways = find_preemption_options(
        record.spec,
        state.capacity,
        state.preemptible,
        state.visible_workers(record),
        record.spec.adjacency,
    )
    for way in ways:
        counts = find_best_fit(record.spec, state.capacity, way.fits)
        state.preempt_and_reserve(record, counts, way.victims)
        return True
    return False


def make_reservations(
    state: PassState, waiting: list[JobRecord]
) -> Iterator[None]:
    """Keep room for the large jobs that have waited longest.

    Yields after each job, as the pass does.
    """
    held = {
        old.job: old
        for old in state.snapshot.reservations
        if not old.awaits_preemption
    }
    large = [
        record
        for record in by_age(waiting)
        if is_large(record.spec, state.capacity)
    ]
    # A job that holds a reservation already goes on before others.
    large.sort(key=lambda record: record.job not in held)
    for holder in large:
        if not state.may_borrow(holder) or start_borrowed(state, holder):
            continue
        if len(state.reservations) < MAX_RESERVATIONS:
            _reserve(state, holder, held.get(holder.job))
        yield


def backfill(state: PassState, record: JobRecord) -> None:
    """Start a job in reserved room that it surely leaves in time."""
    leaves_s = state.snapshot.now_s + state.runtimes.upper_bound_s(record)
    for holder, kept in state.reservations.values():
        if leaves_s > kept.expected_at_s or not state.is_undecided(record):
            continue
        counts = state.capacity.counts_of(kept.placement)
        lent = [(index, -tasks) for index, tasks in counts]
        state.capacity.take(holder.spec, lent)
        spread = _free_spread(state, record)
        if spread and state.may_borrow(record):
            state.place(record, spread, None)
        state.capacity.take(holder.spec, counts)


def _free_spread(state: PassState, record: JobRecord) -> TaskCounts:
    fits = fitting_tasks(
        record.spec, state.capacity.free, state.visible_workers(record)
    )
    return find_best_fit(record.spec, state.capacity, fits)


def _within_urgent_share(state: PassState, record: JobRecord) -> bool:
    percent = state.contract(record).urgent_share_percent
    guaranteed = state.guarantees.total_accelerators(record.organisation)
    held = state.usage.urgent(record.organisation)
    wanted = held + record.spec.accelerators
    return wanted * PERCENT <= percent * guaranteed


def _reserve(
    state: PassState, record: JobRecord, old: Reservation | None
) -> None:
    """Keep room for the job, and stop what blocks it at a small loss."""
    kept = old
    if old is None or not is_current(old, state.capacity, state.snapshot.now_s):
        kept = find_reservation(
            record,
            state.capacity,
            state.visible_workers(record),
            state.snapshot,
            state.runtimes,
        )
    if kept is None:
        return
    in_way = gangs_worth_preempting(
        kept,
        record.spec,
        state.capacity,
        state.preemptible,
        state.snapshot.now_s,
    )
    if in_way:
        counts = state.capacity.counts_of(kept.placement)
        state.preempt_and_reserve(record, counts, in_way)
    else:
        state.add_reservation(record, kept)
