"""Free room of workers while one scheduling pass places work on them."""

import msgspec

from .cluster import WorkerRoom
from .contract import Contract
from .ids import DomainName, RackId, WorkerId
from .job import JobSpec, PlacedPart


class Room(msgspec.Struct):
    """Room that is left on one worker; shrinks as tasks are placed."""

    worker: WorkerId
    rack: RackId
    accelerators: int
    cores: int
    memory_mb: int

    def fits(self, spec: JobSpec) -> int:
        """Return how many more tasks of ``spec`` this worker can take."""
        count = min(
            self.cores // spec.cores_per_task
            if spec.cores_per_task
            else spec.tasks,
            self.memory_mb // spec.memory_mb_per_task,
        )
        if spec.accelerators_per_task:
            count = min(count, self.accelerators // spec.accelerators_per_task)
        return max(count, 0)

    def take(self, spec: JobSpec, tasks: int) -> None:
        """Take room for ``tasks`` tasks of ``spec``; negative gives back."""
        self.accelerators -= tasks * spec.accelerators_per_task
        self.cores -= tasks * spec.cores_per_task
        self.memory_mb -= tasks * spec.memory_mb_per_task


def open_room(worker: WorkerRoom) -> Room:
    """Return the room that ``worker`` has left."""
    return Room(
        worker=worker.description.worker,
        rack=worker.description.rack,
        accelerators=worker.free_accelerators,
        cores=worker.free_cores,
        memory_mb=worker.free_memory_mb,
    )


def may_see_domain(contract: Contract, domain: DomainName) -> bool:
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
