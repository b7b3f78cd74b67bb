"""Free capacity of the workers of a domain during one scheduling pass."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from .contract import Contract
from .ids import DomainName, RackId, WorkerId
from .job import JobSpec, WorkerPlacement
from .scheduling_model import WorkerCapacity
from .worker_api import WorkerDescription

# Pairs of a worker's index and the number of tasks on it.
TaskCounts = list[tuple[int, int]]


class FreeCapacity(msgspec.Struct):
    """Free capacity of one worker, reduced as tasks are placed on it."""

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
        """Subtract ``tasks`` tasks of ``spec``; a negative number adds them."""
        self.accelerators -= tasks * spec.accelerators_per_task
        self.cores -= tasks * spec.cores_per_task
        self.memory_mb -= tasks * spec.memory_mb_per_task

    def copy(self) -> 'FreeCapacity':
        """Return an independent copy."""
        return FreeCapacity(
            self.worker,
            self.rack,
            self.accelerators,
            self.cores,
            self.memory_mb,
        )


def free_capacity_of(worker: WorkerCapacity) -> FreeCapacity:
    """Return the free capacity of ``worker``."""
    return FreeCapacity(
        worker=worker.description.worker,
        rack=worker.description.rack,
        accelerators=worker.free_accelerators,
        cores=worker.free_cores,
        memory_mb=worker.free_memory_mb,
    )


def total_capacity_of(worker: WorkerDescription) -> FreeCapacity:
    """Return the capacity of ``worker`` when nothing runs on it."""
    return FreeCapacity(
        worker=worker.worker,
        rack=worker.rack,
        accelerators=worker.accelerators,
        cores=worker.cores,
        memory_mb=worker.memory_mb,
    )


class DomainCapacity:
    """Free capacity of the usable workers of a domain during one pass.

    Workers are identified by their index in ``workers``.
    """

    def __init__(self, workers: Iterable[WorkerCapacity]) -> None:
        """Include the usable ``workers`` that take more than probes."""
        usable = [
            worker
            for worker in workers
            if worker.usable and not worker.is_probe_only
        ]
        self.workers = [worker.description for worker in usable]
        # Free capacity by index, less what is reserved for waiting jobs. May be
        # negative.
        self.free = [free_capacity_of(worker) for worker in usable]
        self.index_by_worker = {
            worker.worker: index for index, worker in enumerate(self.workers)
        }
        self.largest_worker_accelerators = max(
            (worker.accelerators for worker in self.workers), default=0
        )
        self.racks: dict[RackId, list[int]] = defaultdict(list)
        self.free_in_rack: dict[RackId, int] = defaultdict(int)
        for index, free in enumerate(self.free):
            self.racks[free.rack].append(index)
            self.free_in_rack[free.rack] += free.accelerators

    def take(self, spec: JobSpec, counts: TaskCounts) -> None:
        """Subtract a gang from the free capacity.

        A reservation may take more than is free now, so the free capacity
        may become negative.
        """
        for index, tasks in counts:
            free = self.free[index]
            free.take(spec, tasks)
            self.free_in_rack[free.rack] -= tasks * spec.accelerators_per_task

    def has_free(self, spec: JobSpec, counts: TaskCounts) -> bool:
        """Return whether the gang could start on these workers now."""
        return all(
            self.free[index].fits(spec) >= tasks for index, tasks in counts
        )

    def counts_of(self, placement: Sequence[WorkerPlacement]) -> TaskCounts:
        """Return the tasks per worker of a placement.

        Workers that are not usable in this pass are left out.
        """
        return [
            (self.index_by_worker[part.worker], len(part.parts))
            for part in placement
            if part.worker in self.index_by_worker
        ]

    def placement_of(self, counts: TaskCounts) -> tuple[WorkerPlacement, ...]:
        """Return the placement of a gang with these tasks per worker."""
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


def number_parts(
    counts: list[tuple[WorkerId, int]],
) -> tuple[WorkerPlacement, ...]:
    """Return a placement with consecutive part numbers across workers.

    ``counts`` gives the number of tasks on each worker.
    """
    placement = []
    first = 0
    for worker, count in counts:
        parts = tuple(range(first, first + count))
        placement.append(WorkerPlacement(worker=worker, parts=parts))
        first += count
    return tuple(placement)
