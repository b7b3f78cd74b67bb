"""Tells which jobs can never run in a domain, whatever ends there."""

from collections.abc import Callable
from functools import cache

from .free_capacity import DomainCapacity
from .ids import RackId
from .job import JobRecord, JobSpec
from .placement import adjacency_groups, fitting_tasks
from .scheduling_model import DomainSnapshot, WorkerCapacity


def make_unrunnable_check(
    snapshot: DomainSnapshot,
) -> Callable[[JobRecord], str]:
    """Return a function that says why a job can never run here.

    It counts all workers, also those not usable now, as if they were empty,
    and returns an empty text for jobs that fit.
    """
    capacity = DomainCapacity(_emptied(worker) for worker in snapshot.workers)

    @cache
    def most_tasks(requirements: JobSpec, hidden: tuple[RackId, ...]) -> int:
        indices = [
            index
            for index, worker in enumerate(capacity.workers)
            if worker.rack not in hidden
        ]
        fits = fitting_tasks(requirements, capacity.free, indices)
        return max(
            (
                sum(fits.get(index, 0) for index in group)
                for group in adjacency_groups(
                    capacity, indices, requirements.adjacency
                )
            ),
            default=0,
        )

    def why(record: JobRecord) -> str:
        contract = snapshot.contracts[record.organisation]
        if snapshot.domain in contract.hidden_domains:
            return f'the organisation may not see domain {snapshot.domain}'
        most = most_tasks(_requirements_of(record.spec), contract.hidden_racks)
        if most >= record.spec.tasks:
            return ''
        near = record.spec.adjacency.value
        return (
            f'{record.spec.tasks} tasks asked for, '
            f'one {near} of {snapshot.domain} takes {most} at most'
        )

    return why


def _requirements_of(spec: JobSpec) -> JobSpec:
    """Return what matters of ``spec`` for its room."""
    return JobSpec(
        kind='',
        accelerators_per_task=spec.accelerators_per_task,
        cores_per_task=spec.cores_per_task,
        memory_mb_per_task=spec.memory_mb_per_task,
        adjacency=spec.adjacency,
    )


def _emptied(worker: WorkerCapacity) -> WorkerCapacity:
    return WorkerCapacity(
        description=worker.description,
        free_accelerators=worker.description.accelerators,
        free_cores=worker.description.cores,
        free_memory_mb=worker.description.memory_mb,
    )
