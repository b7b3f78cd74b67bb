"""The plainest scheduler that is correct; ours is measured against it.

First come first served, first fit, least loaded worker first. It makes no
reservations and reclaims nothing, so large jobs may wait without end.
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
from .job import JobRecord, JobSpec, PlacedPart
from .scheduling_model import DomainSnapshot, JobStart, Plan
from .states import Adjacency


def plan(snapshot: DomainSnapshot) -> Plan:
    """Place the queued jobs in their order, each wherever it fits now."""
    rooms = [free_capacity_of(room) for room in snapshot.workers if room.usable]
    starts = []
    for record in snapshot.queued:
        contract = snapshot.contracts.get(record.organisation)
        if contract is None or record.cancel_requested:
            continue
        if not may_use_domain(contract, snapshot.domain):
            continue
        placement = _place(record, contract, rooms)
        if placement:
            starts.append(JobStart(job=record.job, placement=placement))
    return Plan(starts=tuple(starts))


def _place(
    record: JobRecord,
    contract: Contract,
    rooms: Sequence[FreeCapacity],
) -> tuple[PlacedPart, ...]:
    seen = [room for room in rooms if room.rack not in contract.hidden_racks]
    for group in _adjacent_groups(record.spec.adjacency, seen):
        counts = _spread(record.spec, group)
        if counts:
            return number_parts(counts)
    return ()


def _adjacent_groups(
    adjacency: Adjacency,
    rooms: Sequence[FreeCapacity],
) -> Iterator[list[FreeCapacity]]:
    """Yield the sets of workers that a gang may use together."""
    by_load = sorted(rooms, key=_least_loaded_first)
    if adjacency is Adjacency.DOMAIN:
        yield by_load
    elif adjacency is Adjacency.WORKER:
        yield from ([room] for room in by_load)
    else:
        racks: dict[RackId, list[FreeCapacity]] = defaultdict(list)
        for room in by_load:
            racks[room.rack].append(room)
        yield from racks.values()


def _least_loaded_first(room: FreeCapacity) -> tuple[int, int, WorkerId]:
    return -room.accelerators, -room.cores, room.worker


def _spread(
    spec: JobSpec,
    group: Sequence[FreeCapacity],
) -> list[tuple[WorkerId, int]]:
    """Take room for the whole gang in ``group``, or for nothing."""
    takes: list[tuple[FreeCapacity, int]] = []
    wanted = spec.tasks
    for room in group:
        count = min(wanted, room.fits(spec))
        if count:
            takes.append((room, count))
            wanted -= count
    if wanted:
        return []
    counts = []
    for chosen, tasks in takes:
        chosen.take(spec, tasks)
        counts.append((chosen.worker, tasks))
    return counts
