"""Starts jobs beyond the guarantee of their organisation."""

from .cluster import Reservation
from .job import JobRecord
from .job_queue import by_age
from .pass_state import PassState
from .placement import best_spread, fits_of
from .reclaim import find_reclaims
from .reservations import is_large, overstayers, renew, reserve
from .rooms import Counts

MAX_RESERVATIONS = 1
PERCENT = 100


def start_borrowed(state: PassState, record: JobRecord) -> bool:
    """Place the job in any free room, to be stopped when reclaimed."""
    if not state.may_borrow(record):
        state.wait(record, 'the organisation borrows all that it may')
        return False
    wish = state.wish(record)
    counts = [] if wish in state.misfits else _free_spread(state, record)
    if counts:
        state.place(record, counts, None)
        return True
    state.misfits.add(wish)
    state.wait(record, 'waits for free accelerators')
    return False


def reclaim_for_urgent(state: PassState, record: JobRecord) -> bool:
    """Stop borrowed normal work for an urgent job beyond its guarantee."""
    if not (state.may_borrow(record) and _within_urgent_share(state, record)):
        return False
    ways = find_reclaims(
        record.spec,
        state.rooms,
        state.borrowed,
        state.visible(record),
        record.spec.adjacency,
    )
    for way in ways:
        counts = best_spread(record.spec, state.rooms, way.fits)
        state.await_victims(record, counts, way.victims)
        return True
    return False


def hold_reservations(state: PassState, waiting: list[JobRecord]) -> None:
    """Keep room for the large jobs that have waited longest."""
    by_job = {record.job: record for record in waiting}
    for old in state.snapshot.reservations:
        holder = by_job.get(old.job)
        kept = renew(old, state.rooms, state.snapshot.now_s)
        if holder is not None and kept is not None:
            _hold_or_start(state, holder, kept)
    for record in by_age(waiting):
        if len(state.reservations) >= MAX_RESERVATIONS:
            return
        if is_large(record.spec, state.rooms) and state.is_open(record):
            _reserve(state, record)


def fill_gap(state: PassState, record: JobRecord) -> None:
    """Start a job in reserved room that it surely leaves in time."""
    leaves_s = state.snapshot.now_s + state.run_times.longest_s(record)
    for holder, kept in state.reservations.values():
        if leaves_s > kept.expected_s or not state.is_open(record):
            continue
        counts = state.rooms.counts_of(kept.placement)
        lent = [(index, -tasks) for index, tasks in counts]
        state.rooms.take(holder.spec, lent)
        spread = _free_spread(state, record)
        if spread and state.may_borrow(record):
            state.place(record, spread, None)
        state.rooms.take(holder.spec, counts)


def _free_spread(state: PassState, record: JobRecord) -> Counts:
    fits = fits_of(record.spec, state.rooms.free, state.visible(record))
    return best_spread(record.spec, state.rooms, fits)


def _within_urgent_share(state: PassState, record: JobRecord) -> bool:
    percent = state.contract(record).urgent_share_percent
    guaranteed = state.guarantees.total(record.organisation)
    held = state.usage.urgent(record.organisation)
    wanted = held + record.spec.accelerators
    return wanted * PERCENT <= percent * guaranteed


def _hold_or_start(
    state: PassState, record: JobRecord, kept: Reservation
) -> None:
    if start_borrowed(state, record):
        return
    in_way = overstayers(kept, record.spec, state.rooms, state.snapshot)
    reason = f'overstays in room reserved for job {record.job}'
    state.reclaim(record, in_way, reason)
    state.hold(record, kept)


def _reserve(state: PassState, record: JobRecord) -> None:
    if not state.may_borrow(record) or start_borrowed(state, record):
        return
    found = reserve(
        record,
        state.rooms,
        state.visible(record),
        state.snapshot,
        state.run_times,
    )
    if found is not None:
        state.hold(record, found)
