"""Keeps room together for large jobs that wait, and lets others fill gaps.

A reservation names workers, not only a time: work that may be there too
long is not started there, whatever its declared run time. What was let in
and overruns is borrowed, and is stopped when it is all that is in the way.
"""

from collections.abc import Sequence

from .cluster import DomainSnapshot, Reservation, RunningGang
from .job import JobRecord, JobSpec
from .placement import best_spread, groups
from .rooms import Room, Rooms
from .run_times import RunTimeEstimates

# A running gang and when it is expected to end.
Ending = tuple[float, RunningGang]


def is_large(spec: JobSpec, rooms: Rooms) -> bool:
    """Return whether small jobs could keep this one from ever starting."""
    largest = max((worker.accelerators for worker in rooms.workers), default=0)
    return 0 < largest <= spec.accelerators


def reserve(
    record: JobRecord,
    rooms: Rooms,
    indices: Sequence[int],
    snapshot: DomainSnapshot,
    run_times: RunTimeEstimates,
) -> Reservation | None:
    """Return room for the job where it is expected to be free first."""
    ends = _expected_ends(snapshot, rooms, run_times)
    found = []
    for group in groups(rooms, indices, record.spec.adjacency):
        free, expected_s = _wait_for_room(record.spec, rooms, group, ends)
        fits = {index: room.fits(record.spec) for index, room in free.items()}
        counts = best_spread(record.spec, rooms, fits)
        if counts:
            found.append((expected_s, counts))
    if not found:
        return None
    expected_s, counts = min(found)
    return Reservation(
        job=record.job,
        placement=rooms.placement_of(counts),
        since_s=snapshot.now_s,
        expected_s=max(expected_s, snapshot.now_s),
    )


def renew(
    reservation: Reservation, rooms: Rooms, now_s: float
) -> Reservation | None:
    """Return the reservation for another pass; None if a worker is lost."""
    if any(part.worker not in rooms.index for part in reservation.placement):
        return None
    if now_s <= reservation.expected_s:
        return reservation
    # Late: expect the wait so far once more, so that gaps can be filled.
    late_s = now_s - reservation.since_s
    return Reservation(
        job=reservation.job,
        placement=reservation.placement,
        since_s=reservation.since_s,
        expected_s=now_s + late_s,
    )


def overstayers(
    reservation: Reservation,
    spec: JobSpec,
    rooms: Rooms,
    snapshot: DomainSnapshot,
) -> list[RunningGang]:
    """Return the gangs to stop when only gap fillers are in the way."""
    wanted = dict(rooms.counts_of(reservation.placement))
    free = {index: rooms.free[index].copy() for index in wanted}
    in_way = [
        gang
        for gang in snapshot.running
        if gang.borrowed
        and gang.started_s >= reservation.since_s
        and _give_back(gang, rooms, free)
    ]
    fits = all(free[index].fits(spec) >= wanted[index] for index in wanted)
    return in_way if fits else []


def _expected_ends(
    snapshot: DomainSnapshot, rooms: Rooms, run_times: RunTimeEstimates
) -> list[Ending]:
    """Return when each running gang likely ends, the first first."""
    ends = []
    for gang in snapshot.running:
        elapsed_s = max(snapshot.now_s - gang.started_s, 0)
        left_s = run_times.remaining_s(gang.record, elapsed_s)
        ends.append((snapshot.now_s + left_s, gang))
    return sorted(ends, key=lambda ending: ending[0])


def _wait_for_room(
    spec: JobSpec,
    rooms: Rooms,
    group: Sequence[int],
    ends: Sequence[Ending],
) -> tuple[dict[int, Room], float]:
    """Return the room of the group once the gang fits, and when that is."""
    free = {index: rooms.free[index].copy() for index in group}
    total = _total_fits(spec, free)
    expected_s = 0.0
    for end_s, gang in ends:
        if total >= spec.tasks:
            break
        if _give_back(gang, rooms, free):
            total = _total_fits(spec, free)
            expected_s = end_s
    return free, expected_s


def _give_back(gang: RunningGang, rooms: Rooms, free: dict[int, Room]) -> bool:
    """Add the gang's room to ``free``; return whether it holds any there."""
    touches = False
    for index, tasks in rooms.counts_of(gang.placement):
        room = free.get(index)
        if room is not None:
            room.take(gang.record.spec, -tasks)
            touches = True
    return touches


def _total_fits(spec: JobSpec, free: dict[int, Room]) -> int:
    return sum(room.fits(spec) for room in free.values())
