"""Chooses workers for one gang by best fit.

Work goes to the workers and racks that are already partly used and where the
least stays free, so that whole workers and racks remain for large gangs.
"""

from collections.abc import Iterable, Sequence

from .contract import Contract
from .free_capacity import DomainCapacity, FreeCapacity, TaskCounts
from .job import JobSpec
from .states import Adjacency


def visible_workers(capacity: DomainCapacity, contract: Contract) -> list[int]:
    """Return the indices of the workers that the organisation may use."""
    hidden = contract.hidden_racks
    if not hidden:
        return list(range(len(capacity.free)))
    return [
        index
        for index, free in enumerate(capacity.free)
        if free.rack not in hidden
    ]


def fitting_tasks(
    spec: JobSpec,
    free_by_worker: Sequence[FreeCapacity],
    indices: Iterable[int],
) -> dict[int, int]:
    """Return how many tasks fit on each worker; those with none are left out.

    This repeats ``FreeCapacity.fits`` inline for speed, as it runs for every
    worker on every placement.
    """
    accelerators = spec.accelerators_per_task
    cores = spec.cores_per_task
    memory_mb = spec.memory_mb_per_task
    fits = {}
    for index in indices:
        free = free_by_worker[index]
        if free.accelerators < accelerators or free.cores < cores:
            continue
        fitting = free.memory_mb // memory_mb
        if accelerators:
            fitting = min(fitting, free.accelerators // accelerators)
        if cores:
            fitting = min(fitting, free.cores // cores)
        if fitting > 0:
            fits[index] = fitting
    return fits


def stricter_adjacency(one: Adjacency, other: Adjacency) -> Adjacency:
    """Return the adjacency that allows fewer placements."""
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
    """Return the best placement for the whole gang; empty if none fits.

    ``fits`` gives the number of tasks that each worker can take.
    ``adjacency`` defaults to that of the job.
    """
    required_adjacency = adjacency or spec.adjacency
    if spec.tasks == 1 or required_adjacency is Adjacency.WORKER:
        return _best_worker(spec, capacity, fits)
    if required_adjacency is Adjacency.DOMAIN:
        return _fill(spec.tasks, capacity, fits)
    return _best_rack(spec, capacity, fits)


def adjacency_groups(
    capacity: DomainCapacity, indices: Sequence[int], adjacency: Adjacency
) -> list[list[int]]:
    """Return the groups of workers that may run one gang together."""
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


def _best_worker(
    spec: JobSpec, capacity: DomainCapacity, fits: dict[int, int]
) -> TaskCounts:
    best_key = None
    best = -1
    for index, count in fits.items():
        if count < spec.tasks:
            continue
        free = capacity.free[index]
        key = (
            free.accelerators,
            capacity.free_in_rack[free.rack],
            free.cores,
            index,
        )
        if best_key is None or key < best_key:
            best_key = key
            best = index
    return [] if best_key is None else [(best, spec.tasks)]


def _best_rack(
    spec: JobSpec, capacity: DomainCapacity, fits: dict[int, int]
) -> TaskCounts:
    in_rack: dict[str, int] = {}
    for worker, fitting in fits.items():
        rack = capacity.free[worker].rack
        in_rack[rack] = in_rack.get(rack, 0) + fitting
    sufficient = [rack for rack in in_rack if in_rack[rack] >= spec.tasks]
    if not sufficient:
        return []
    best = min(sufficient, key=lambda rack: (capacity.free_in_rack[rack], rack))
    members = {
        index: fits[index] for index in capacity.racks[best] if index in fits
    }
    return _fill(spec.tasks, capacity, members)


def _fill(
    tasks: int, capacity: DomainCapacity, fits: dict[int, int]
) -> TaskCounts:
    """Fill the fullest workers first.

    The last tasks go to the worker with the least capacity that fits them.
    """
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
    max_fit = max(fits.values())
    counts: TaskCounts = []
    missing = tasks
    for position, index in enumerate(order):
        if missing <= max_fit:
            candidates = [
                each for each in order[position:] if fits[each] >= missing
            ]
            if candidates:
                return [
                    *counts,
                    (min(candidates, key=fits.__getitem__), missing),
                ]
        counts.append((index, fits[index]))
        missing -= fits[index]
    return counts
