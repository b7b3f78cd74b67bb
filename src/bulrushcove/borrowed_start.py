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
    """Start the job in any free capacity, as work that may be preempted."""
    if not state.may_borrow(record):
        state.record_wait(
            record, 'the organisation is at its limit of borrowed accelerators'
        )
        return False
    requirements = state.requirements(record)
    counts = (
        []
        if requirements in state.unplaceable
        else _fit_in_free_capacity(state, record)
    )
    if counts:
        state.start_job(record, counts, None)
        return True
    state.unplaceable.add(requirements)
    state.record_wait(record, 'waits for free accelerators')
    return False


def preempt_for_urgent(state: PassState, record: JobRecord) -> bool:
    """Preempt borrowed normal work for an urgent job beyond its guarantee."""
    if not (
        state.may_borrow(record) and _is_within_urgent_share(state, record)
    ):
        return False
    options = find_preemption_options(
        record.spec,
        state.capacity,
        state.preemptible,
        state.visible_workers(record),
        record.spec.adjacency,
    )
    for option in options:
        counts = find_best_fit(record.spec, state.capacity, option.fits)
        state.preempt_and_reserve(record, counts, option.victims)
        return True
    return False


def make_reservations(
    state: PassState, waiting: list[JobRecord]
) -> Iterator[None]:
    """Reserve capacity for the large jobs that have waited longest.

    Yields after each job, so that other tasks of the event loop can run.
    """
    earlier = {
        reservation.job: reservation
        for reservation in state.snapshot.reservations
        if not reservation.awaits_preemption
    }
    large = [
        record
        for record in by_age(waiting)
        if is_large(record.spec, state.capacity)
    ]
    # Jobs that already have a reservation come first.
    large.sort(key=lambda record: record.job not in earlier)
    for reserved_job in large:
        if not state.may_borrow(reserved_job) or start_borrowed(
            state, reserved_job
        ):
            continue
        if len(state.reservations) < MAX_RESERVATIONS:
            _reserve(state, reserved_job, earlier.get(reserved_job.job))
        yield


def backfill(state: PassState, record: JobRecord) -> None:
    """Start a job in reserved capacity if it ends before the reserved start."""
    ends_at_s = state.snapshot.now_s + state.runtimes.upper_bound_s(record)
    for reserved_job, reservation in state.reservations.values():
        if ends_at_s > reservation.expected_at_s or not state.is_undecided(
            record
        ):
            continue
        counts = state.capacity.counts_of(reservation.placement)
        released = [(index, -tasks) for index, tasks in counts]
        state.capacity.take(reserved_job.spec, released)
        placement = _fit_in_free_capacity(state, record)
        if placement and state.may_borrow(record):
            state.start_job(record, placement, None)
        state.capacity.take(reserved_job.spec, counts)


def _fit_in_free_capacity(state: PassState, record: JobRecord) -> TaskCounts:
    fits = fitting_tasks(
        record.spec, state.capacity.free, state.visible_workers(record)
    )
    return find_best_fit(record.spec, state.capacity, fits)


def _is_within_urgent_share(state: PassState, record: JobRecord) -> bool:
    percent = state.contract(record).urgent_share_percent
    guaranteed = state.guarantees.total_accelerators(record.organisation)
    held = state.usage.urgent(record.organisation)
    wanted = held + record.spec.accelerators
    return wanted * PERCENT <= percent * guaranteed


def _reserve(
    state: PassState, record: JobRecord, earlier: Reservation | None
) -> None:
    """Reserve capacity for the job.

    Gangs in the way are preempted if that loses less than waiting for them.
    """
    reservation = earlier
    if earlier is None or not is_current(
        earlier, state.capacity, state.snapshot.now_s
    ):
        reservation = find_reservation(
            record,
            state.capacity,
            state.visible_workers(record),
            state.snapshot,
            state.runtimes,
        )
    if reservation is None:
        return
    victims = gangs_worth_preempting(
        reservation,
        record.spec,
        state.capacity,
        state.preemptible,
        state.snapshot.now_s,
    )
    if victims:
        counts = state.capacity.counts_of(reservation.placement)
        state.preempt_and_reserve(record, counts, victims)
    else:
        state.add_reservation(record, reservation)
