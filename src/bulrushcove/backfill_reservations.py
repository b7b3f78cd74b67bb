"""Reserves capacity for large waiting jobs; smaller jobs may backfill it.

A reservation names workers, not only a time: work that may run for too long
is not started on them, whatever its declared run time. Borrowed work on them,
including backfilled work that overruns, is preempted once the idle capacity
costs more than the unsaved work.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence

from .free_capacity import DomainCapacity, FreeCapacity
from .job import JobRecord, JobSpec
from .placement import adjacency_groups, find_best_fit
from .preemption import PreemptibleGangs
from .runtime_estimates import RuntimeEstimates
from .scheduling_model import DomainSnapshot, Reservation, RunningGang

# When a running gang is expected to end, and the gang.
ExpectedEnd = tuple[float, RunningGang]


def is_large(spec: JobSpec, capacity: DomainCapacity) -> bool:
    """Return whether small jobs could keep this one from ever starting."""
    return 0 < capacity.largest_worker_accelerators <= spec.accelerators


def find_reservation(
    record: JobRecord,
    capacity: DomainCapacity,
    indices: Sequence[int],
    snapshot: DomainSnapshot,
    runtimes: RuntimeEstimates,
) -> Reservation | None:
    """Return a reservation where the job is expected to fit first.

    Returns None if it would not fit even after all expected ends.
    """
    ends = _expected_ends(snapshot, capacity, runtimes)
    found = []
    for group in adjacency_groups(capacity, indices, record.spec.adjacency):
        free, expected_at_s = _forecast_capacity(
            record.spec, capacity, group, _ends_in(group, ends)
        )
        fits = {
            index: worker_free.fits(record.spec)
            for index, worker_free in free.items()
        }
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
    """Return whether the capacity may still become free when expected.

    A reservation stays where it is until then, as moving it would give away
    the capacity that has been kept so far.
    """
    has_all_workers = all(
        part.worker in capacity.index_by_worker
        for part in reservation.placement
    )
    return has_all_workers and now_s <= reservation.expected_at_s


def gangs_worth_preempting(
    reservation: Reservation,
    spec: JobSpec,
    capacity: DomainCapacity,
    preemptible: PreemptibleGangs,
    now_s: float,
) -> list[RunningGang]:
    """Return the gangs in the way if preempting them loses less than waiting.

    Waiting leaves the capacity that is already free idle until the gangs have
    ended; preempting them loses their unsaved work. Both are compared in
    accelerator-seconds. Returns an empty list if waiting loses less.
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
        if is_small and _add_capacity_of(gang, capacity, free):
            victims.append(gang)
    fits = _free_tasks(spec, free, wanted) >= spec.tasks
    loss = sum(preemptible.preemption_cost(victim) for victim in victims)
    return victims if fits and loss < idle * wait_s else []


def _free_tasks(
    spec: JobSpec,
    free: Mapping[int, FreeCapacity],
    wanted: Mapping[int, int],
) -> int:
    """Return how many of the wanted tasks fit now on their workers."""
    return sum(
        min(worker_free.fits(spec), wanted[index])
        for index, worker_free in free.items()
    )


def _expected_ends(
    snapshot: DomainSnapshot,
    capacity: DomainCapacity,
    runtimes: RuntimeEstimates,
) -> dict[int, list[ExpectedEnd]]:
    """Return the expected ends of the gangs on each worker."""
    ends: dict[int, list[ExpectedEnd]] = defaultdict(list)
    for gang in snapshot.running:
        if not gang.record.spec.accelerators_per_task:
            # Large jobs hardly ever wait for gangs without accelerators.
            continue
        elapsed_s = max(snapshot.now_s - gang.started_s, 0)
        remaining_s = runtimes.remaining_s(gang.record, elapsed_s)
        for index, _ in capacity.counts_of(gang.placement):
            ends[index].append((snapshot.now_s + remaining_s, gang))
    return ends


def _ends_in(
    group: Sequence[int], ends: Mapping[int, Sequence[ExpectedEnd]]
) -> list[ExpectedEnd]:
    """Return the expected ends of all gangs of a group, the earliest first."""
    found = {}
    for index in group:
        for end_s, gang in ends.get(index, ()):
            found[gang.attempt] = (end_s, gang)
    return sorted(found.values(), key=lambda ending: ending[0])


def _forecast_capacity(
    spec: JobSpec,
    capacity: DomainCapacity,
    group: Sequence[int],
    ends: Sequence[ExpectedEnd],
) -> tuple[dict[int, FreeCapacity], float]:
    """Return the free capacity once the gang fits, and when that will be.

    If the gang never fits, this is the capacity after the last expected end.
    """
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
        _add_capacity_of(gang, capacity, touched)
        total += _total_fits(spec, touched)
        expected_at_s = end_s
    return free, expected_at_s


def _add_capacity_of(
    gang: RunningGang,
    capacity: DomainCapacity,
    free: dict[int, FreeCapacity],
) -> bool:
    """Add the capacity of the gang to the workers of ``free``.

    Returns whether the gang holds any capacity on them.
    """
    holds_any = False
    for index, tasks in capacity.counts_of(gang.placement):
        worker_free = free.get(index)
        if worker_free is not None:
            worker_free.take(gang.record.spec, -tasks)
            holds_any = True
    return holds_any


def _total_fits(spec: JobSpec, free: dict[int, FreeCapacity]) -> int:
    return sum(worker_free.fits(spec) for worker_free in free.values())
