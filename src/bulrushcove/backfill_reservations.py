"""Keeps room together for large jobs that wait, and lets others fill gaps.

A reservation names workers, not only a time: work that may be there too
long is not started there, whatever its declared run time. Borrowed work
that is in the way, also such as was let in and overruns, is stopped once
the room that waits idle costs more than its unsaved work.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence

from .free_capacity import DomainCapacity, FreeCapacity
from .job import JobRecord, JobSpec
from .placement import adjacency_groups, find_best_fit
from .preemption import PreemptibleGangs
from .runtime_estimates import RuntimeEstimates
from .scheduling_model import DomainSnapshot, Reservation, RunningGang

# A running gang and when it is expected to end.
Ending = tuple[float, RunningGang]


def is_large(spec: JobSpec, capacity: DomainCapacity) -> bool:
    """Return whether small jobs could keep this one from ever starting."""
    return 0 < capacity.largest <= spec.accelerators


def find_reservation(
    record: JobRecord,
    capacity: DomainCapacity,
    indices: Sequence[int],
    snapshot: DomainSnapshot,
    runtimes: RuntimeEstimates,
) -> Reservation | None:
    """Return room for the job where it is expected to be free first."""
    ends = _expected_ends(snapshot, capacity, runtimes)
    found = []
    for group in adjacency_groups(capacity, indices, record.spec.adjacency):
        free, expected_at_s = _wait_for_room(
            record.spec, capacity, group, _ends_in(group, ends)
        )
        fits = {index: room.fits(record.spec) for index, room in free.items()}
        counts = find_best_fit(record.spec, capacity, fits)
        if counts:
            found.append((expected_at_s, counts))
    if not found:
        return None
    expected_at_s, counts = min(found)
    return Reservation(
        job=record.job,
        placement=capacity.placement_of(counts),
        since_s=snapshot.now_s,
        expected_at_s=max(expected_at_s, snapshot.now_s),
    )


def is_current(
    reservation: Reservation, capacity: DomainCapacity, now_s: float
) -> bool:
    """Return whether the room may still be free when it was expected.

    A reservation stays where it is until then, as moving it would give away
    the room that has been kept so far.
    """
    known = all(part.worker in capacity.index for part in reservation.placement)
    return known and now_s <= reservation.expected_at_s


def gangs_worth_preempting(
    reservation: Reservation,
    spec: JobSpec,
    capacity: DomainCapacity,
    preemptible: PreemptibleGangs,
    now_s: float,
) -> list[RunningGang]:
    """Return the gangs in the way, when stopping them wastes less.

    Waiting leaves the room that is free already idle until the others have
    ended; stopping them throws their unsaved work away.
    """
    wanted = dict(capacity.counts_of(reservation.placement))
    free = {index: capacity.free[index].copy() for index in wanted}
    wait_s = max(reservation.expected_at_s - now_s, 0)
    idle = _free_tasks(spec, free, wanted) * spec.accelerators_per_task
    victims = []
    for gang in preemptible.candidates_on(
        wanted, spec.accelerators, exclude_urgent=True
    ):
        if _free_tasks(spec, free, wanted) >= spec.tasks:
            break
        is_small = gang.record.spec.accelerators < spec.accelerators
        if is_small and _give_back(gang, capacity, free):
            victims.append(gang)
    fits = _free_tasks(spec, free, wanted) >= spec.tasks
    loss = sum(preemptible.preemption_cost(victim) for victim in victims)
    return victims if fits and loss < idle * wait_s else []


def _free_tasks(
    spec: JobSpec, free: Mapping[int, FreeCapacity], wanted: Mapping[int, int]
) -> int:
    """Return how many of the wanted tasks fit where they are wanted."""
    return sum(
        min(room.fits(spec), wanted[index]) for index, room in free.items()
    )


def _expected_ends(
    snapshot: DomainSnapshot,
    capacity: DomainCapacity,
    runtimes: RuntimeEstimates,
) -> dict[int, list[Ending]]:
    """Return when the gangs on each worker likely end."""
    ends: dict[int, list[Ending]] = defaultdict(list)
    for gang in snapshot.running:
        if not gang.record.spec.accelerators_per_task:
            # Hardly ever what a large job waits for.
            continue
        elapsed_s = max(snapshot.now_s - gang.started_s, 0)
        left_s = runtimes.remaining_s(gang.record, elapsed_s)
        for index, _ in capacity.counts_of(gang.placement):
            ends[index].append((snapshot.now_s + left_s, gang))
    return ends


def _ends_in(
    group: Sequence[int], ends: Mapping[int, Sequence[Ending]]
) -> list[Ending]:
    """Return the ends of all gangs of a group, the first first."""
    found = {}
    for index in group:
        for end_s, gang in ends.get(index, ()):
            found[gang.attempt] = (end_s, gang)
    return sorted(found.values(), key=lambda ending: ending[0])


def _wait_for_room(
    spec: JobSpec,
    capacity: DomainCapacity,
    group: Sequence[int],
    ends: Sequence[Ending],
) -> tuple[dict[int, FreeCapacity], float]:
    """Return the room of the group once the gang fits, and when that is."""
    free = {index: capacity.free[index].copy() for index in group}
    total = _total_fits(spec, free)
    expected_at_s = 0.0
    for end_s, gang in ends:
        if total >= spec.tasks:
            break
        touched = {
            index: free[index]
            for index, _ in capacity.counts_of(gang.placement)
            if index in free
        }
        total -= _total_fits(spec, touched)
        _give_back(gang, capacity, touched)
        total += _total_fits(spec, touched)
        expected_at_s = end_s
    return free, expected_at_s


def _give_back(
    gang: RunningGang, capacity: DomainCapacity, free: dict[int, FreeCapacity]
) -> bool:
    """Add the gang's room to ``free``; return whether it holds any there."""
    touches = False
    for index, tasks in capacity.counts_of(gang.placement):
        room = free.get(index)
        if room is not None:
            room.take(gang.record.spec, -tasks)
            touches = True
    return touches


def _total_fits(spec: JobSpec, free: dict[int, FreeCapacity]) -> int:
    return sum(room.fits(spec) for room in free.values())
