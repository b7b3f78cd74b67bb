"""Minimal correct scheduler, the baseline for measurements.

First come first served, first fit, least loaded worker first. It neither
reserves capacity nor preempts gangs, so large jobs may starve.
"""

from collections import defaultdict
from collections.abc import Iterator, Sequence

from .contract import Contract
from .free_capacity import (
    FreeCapacity,
    free_capacity_of,
    may_use_domain,
    number_parts,
)
from .ids import RackId, WorkerId
from .job import JobRecord, JobSpec, WorkerPlacement
from .scheduling_model import DomainSnapshot, JobStart, Plan
from .states import Adjacency


def plan(snapshot: DomainSnapshot) -> Plan:
    """Place the queued jobs in order of acceptance by first fit."""
    capacities = [
        free_capacity_of(worker) for worker in snapshot.workers if worker.usable
    ]
    starts = []
    for record in snapshot.queued:
        contract = snapshot.contracts.get(record.organisation)
        if contract is None or record.cancel_requested:
            continue
        if not may_use_domain(contract, snapshot.domain):
            continue
        placement = _find_placement(record, contract, capacities)
        if placement:
            starts.append(JobStart(job=record.job, placement=placement))
    return Plan(starts=tuple(starts))


def _find_placement(
    record: JobRecord,
    contract: Contract,
    capacities: Sequence[FreeCapacity],
) -> tuple[WorkerPlacement, ...]:
    visible = [
        free for free in capacities if free.rack not in contract.hidden_racks
    ]
    for group in _adjacent_groups(record.spec.adjacency, visible):
        counts = _allocate(record.spec, group)
        if counts:
            return number_parts(counts)
    return ()


def _adjacent_groups(
    adjacency: Adjacency,
    capacities: Sequence[FreeCapacity],
) -> Iterator[list[FreeCapacity]]:
    """Yield the groups of workers that satisfy ``adjacency``."""
    by_load = sorted(capacities, key=_least_loaded_first)
    if adjacency is Adjacency.DOMAIN:
        yield by_load
    elif adjacency is Adjacency.WORKER:
        yield from ([free] for free in by_load)
    else:
        racks: dict[RackId, list[FreeCapacity]] = defaultdict(list)
        for free in by_load:
            racks[free.rack].append(free)
        yield from racks.values()


def _least_loaded_first(free: FreeCapacity) -> tuple[int, int, WorkerId]:
    return -free.accelerators, -free.cores, free.worker


def _allocate(
    spec: JobSpec,
    group: Sequence[FreeCapacity],
) -> list[tuple[WorkerId, int]]:
    """Allocate capacity of ``group`` for all tasks, or for none.

    Return the number of tasks by worker, empty if they do not all fit.
    """
    allocations: list[tuple[FreeCapacity, int]] = []
    wanted = spec.tasks
    for free in group:
        count = min(wanted, free.fits(spec))
        if count:
            allocations.append((free, count))
            wanted -= count
    if wanted:
        return []
    counts = []
    for chosen, tasks in allocations:
        chosen.take(spec, tasks)
        counts.append((chosen.worker, tasks))
    return counts
