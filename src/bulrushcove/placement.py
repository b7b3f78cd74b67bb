"""Chooses workers for one gang so that large shapes keep fitting.

Best fit: work goes into the workers and racks that are already broken and
leaves the smallest rest there.
"""

from collections.abc import Iterable, Sequence

from .contract import Contract
from .free_capacity import DomainCapacity, FreeCapacity, TaskCounts
from .job import JobSpec
from .states import Adjacency


def visible_workers(capacity: DomainCapacity, contract: Contract) -> list[int]:
    """Return the workers that the organisation's work may run on."""
    hidden = contract.hidden_racks
    if not hidden:
        return list(range(len(capacity.free)))
    return [
        index
        for index, room in enumerate(capacity.free)
        if room.rack not in hidden
    ]


def fitting_tasks(
    spec: JobSpec, free: Sequence[FreeCapacity], indices: Iterable[int]
) -> dict[int, int]:
    """Return how many tasks fit on each worker; those with none are left out.

    Written out instead of calling ``Room.fits``, as every placement asks it
    of every worker.
    """
    accelerators = spec.accelerators_per_task
    cores = spec.cores_per_task
    memory_mb = spec.memory_mb_per_task
    fits = {}
    for index in indices:
        room = free[index]
        if room.accelerators < accelerators or room.cores < cores:
            continue
        fitting = room.memory_mb // memory_mb
        if accelerators:
            fitting = min(fitting, room.accelerators // accelerators)
        if cores:
            fitting = min(fitting, room.cores // cores)
        if fitting > 0:
            fits[index] = fitting
    return fits


def stricter_adjacency(one: Adjacency, other: Adjacency) -> Adjacency:
    """Return the adjacency of the two that allows less."""
    for adjacency in (Adjacency.WORKER, Adjacency.RACK):
        if adjacency in {one, other}:
            return adjacency
    return Adjacency.DOMAIN


def find_best_fit(
    spec: JobSpec,
    capacity: DomainCapacity,
    fits: dict[int, int],
    adjacency: Adjacency | None = None,
) -> TaskCounts:
    """Return the best workers for the whole gang; empty when none fit.

    ``fits`` gives the tasks that each worker may take. ``adjacency`` is that
    of the job unless given.
    """
    near = adjacency or spec.adjacency
    if spec.tasks == 1 or near is Adjacency.WORKER:
        return _one_worker(spec, capacity, fits)
    if near is Adjacency.DOMAIN:
        return _fill(spec.tasks, capacity, fits)
    return _one_rack(spec, capacity, fits)


def adjacency_groups(
    capacity: DomainCapacity, indices: Sequence[int], adjacency: Adjacency
) -> list[list[int]]:
    """Return the sets of workers that a gang may use together."""
    if adjacency is Adjacency.DOMAIN:
        return [list(indices)]
    if adjacency is Adjacency.WORKER:
        return [[index] for index in indices]
    allowed = set(indices)
    racks = (
        [index for index in members if index in allowed]
        for members in capacity.racks.values()
    )
    return [members for members in racks if members]


def _one_worker(
    spec: JobSpec, capacity: DomainCapacity, fits: dict[int, int]
) -> TaskCounts:
    best_key = None
    best = -1
    for index, count in fits.items():
        if count < spec.tasks:
            continue
        room = capacity.free[index]
        key = (
            room.accelerators,
            capacity.free_in_rack[room.rack],
            room.cores,
            index,
        )
        if best_key is None or key < best_key:
            best_key = key
            best = index
    return [] if best_key is None else [(best, spec.tasks)]


def _one_rack(
    spec: JobSpec, capacity: DomainCapacity, fits: dict[int, int]
) -> TaskCounts:
    in_rack: dict[str, int] = {}
    for place, fitting in fits.items():
        rack = capacity.free[place].rack
        in_rack[rack] = in_rack.get(rack, 0) + fitting
    enough = [rack for rack in in_rack if in_rack[rack] >= spec.tasks]
    if not enough:
        return []
    best = min(enough, key=lambda rack: (capacity.free_in_rack[rack], rack))
    members = {
        index: fits[index] for index in capacity.racks[best] if index in fits
    }
    return _fill(spec.tasks, capacity, members)


def _fill(
    tasks: int, capacity: DomainCapacity, fits: dict[int, int]
) -> TaskCounts:
    """Fill the fullest workers first; finish on the tightest that serves."""
    if sum(fits.values()) < tasks:
        return []
    order = sorted(
        fits,
        key=lambda index: (
            capacity.free_in_rack[capacity.free[index].rack],
            capacity.free[index].rack,
            capacity.free[index].accelerators,
            index,
        ),
    )
    most = max(fits.values())
    counts: TaskCounts = []
    missing = tasks
    for position, index in enumerate(order):
        if missing <= most:
            rest = [last for last in order[position:] if fits[last] >= missing]
            if rest:
                return [*counts, (min(rest, key=fits.__getitem__), missing)]
        counts.append((index, fits[index]))
        missing -= fits[index]
    return counts
