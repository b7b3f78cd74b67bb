"""Free room of workers while one scheduling pass places work on them."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from .contract import Contract
from .ids import DomainName, RackId, WorkerId
from .job import JobSpec, PlacedPart
from .scheduling_model import WorkerCapacity
from .worker_api import WorkerDescription

# Tasks on each worker, by the worker's index.
TaskCounts = list[tuple[int, int]]


class FreeCapacity(msgspec.Struct):
    """Room that is left on one worker; shrinks as tasks are placed."""

    worker: WorkerId
    rack: RackId
    accelerators: int
    cores: int
    memory_mb: int

    def fits(self, spec: JobSpec) -> int:
        """Return how many more tasks of ``spec`` this worker can take."""
        count = self.memory_mb // spec.memory_mb_per_task
        if spec.cores_per_task:
            count = min(count, self.cores // spec.cores_per_task)
        if spec.accelerators_per_task:
            count = min(count, self.accelerators // spec.accelerators_per_task)
        return max(count, 0)

    def take(self, spec: JobSpec, tasks: int) -> None:
        """Take room for ``tasks`` tasks of ``spec``; negative gives back."""
        self.accelerators -= tasks * spec.accelerators_per_task
        self.cores -= tasks * spec.cores_per_task
        self.memory_mb -= tasks * spec.memory_mb_per_task

    def copy(self) -> 'FreeCapacity':
        """Return a copy that changes on its own."""
        return FreeCapacity(
            self.worker,
            self.rack,
            self.accelerators,
            self.cores,
            self.memory_mb,
        )


def free_capacity_of(worker: WorkerCapacity) -> FreeCapacity:
    """Return the room that ``worker`` has left."""
    return FreeCapacity(
        worker=worker.description.worker,
        rack=worker.description.rack,
        accelerators=worker.free_accelerators,
        cores=worker.free_cores,
        memory_mb=worker.free_memory_mb,
    )


def total_capacity_of(worker: WorkerDescription) -> FreeCapacity:
    """Return the room of ``worker`` when nothing runs on it."""
    return FreeCapacity(
        worker=worker.worker,
        rack=worker.rack,
        accelerators=worker.accelerators,
        cores=worker.cores,
        memory_mb=worker.memory_mb,
    )


class DomainCapacity:
    """Usable workers of a domain, by index, during one pass."""

    def __init__(self, workers: Iterable[WorkerCapacity]) -> None:
        """Open the rooms of the usable ones of ``workers``."""
        usable = [
            worker
            for worker in workers
            if worker.usable and not worker.is_probe_only
        ]
        self.workers = [worker.description for worker in usable]
        # Really free, less what is held for jobs that wait for room.
        self.free = [free_capacity_of(worker) for worker in usable]
        self.index = {
            worker.worker: index for index, worker in enumerate(self.workers)
        }
        self.largest = max(
            (worker.accelerators for worker in self.workers), default=0
        )
        self.racks: dict[RackId, list[int]] = defaultdict(list)
        self.free_in_rack: dict[RackId, int] = defaultdict(int)
        for index, room in enumerate(self.free):
            self.racks[room.rack].append(index)
            self.free_in_rack[room.rack] += room.accelerators

    def take(self, spec: JobSpec, counts: TaskCounts) -> None:
        """Take room for a gang; what a hold takes may go below zero."""
        for index, tasks in counts:
            room = self.free[index]
            room.take(spec, tasks)
            self.free_in_rack[room.rack] -= tasks * spec.accelerators_per_task

    def has_free(self, spec: JobSpec, counts: TaskCounts) -> bool:
        """Return whether the gang could start on these workers now."""
        return all(
            self.free[index].fits(spec) >= tasks for index, tasks in counts
        )

    def counts_of(self, placement: Sequence[PlacedPart]) -> TaskCounts:
        """Return a placement by index, without workers that are unusable."""
        return [
            (self.index[part.worker], len(part.parts))
            for part in placement
            if part.worker in self.index
        ]

    def placement_of(self, counts: TaskCounts) -> tuple[PlacedPart, ...]:
        """Return the placement of a gang over ``counts``."""
        return number_parts(
            [
                (self.workers[index].worker, tasks)
                for index, tasks in counts
                if tasks
            ]
        )


def may_use_domain(contract: Contract, domain: DomainName) -> bool:
    """Return whether the organisation's work may run in ``domain``."""
    return domain not in contract.hidden_domains


def number_parts(counts: list[tuple[WorkerId, int]]) -> tuple[PlacedPart, ...]:
    """Number the tasks of a gang over ``counts`` of tasks per worker."""
    placement = []
    first = 0
    for worker, count in counts:
        parts = tuple(range(first, first + count))
        placement.append(PlacedPart(worker=worker, parts=parts))
        first += count
    return tuple(placement)
