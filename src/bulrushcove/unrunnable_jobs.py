"""Finds jobs that could not run in a domain even if all of it were idle."""

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
    """Return a function that returns why a job can never run here.

    The function assumes that all workers are idle and usable, and returns an
    empty string for a job that fits.
    """
    capacity = DomainCapacity(
        _without_load(worker) for worker in snapshot.workers
    )

    @cache
    def max_tasks_in_group(
        requirements: JobSpec, hidden: tuple[RackId, ...]
    ) -> int:
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

    def find_reason(record: JobRecord) -> str:
        contract = snapshot.contracts[record.organisation]
        if snapshot.domain in contract.hidden_domains:
            return f'the contract hides domain {snapshot.domain} from the job'
        max_tasks = max_tasks_in_group(
            _requirements_of(record.spec), contract.hidden_racks
        )
        if max_tasks >= record.spec.tasks:
            return ''
        group_kind = record.spec.adjacency.value
        return (
            f'the job has {record.spec.tasks} tasks, but one {group_kind} of '
            f'domain {snapshot.domain} holds {max_tasks} at most'
        )

    return find_reason


def _requirements_of(spec: JobSpec) -> JobSpec:
    """Return ``spec`` without what does not affect its placement."""
    return JobSpec(
        kind='',
        accelerators_per_task=spec.accelerators_per_task,
        cores_per_task=spec.cores_per_task,
        memory_mb_per_task=spec.memory_mb_per_task,
        adjacency=spec.adjacency,
    )


def _without_load(worker: WorkerCapacity) -> WorkerCapacity:
    return WorkerCapacity(
        description=worker.description,
        free_accelerators=worker.description.accelerators,
        free_cores=worker.description.cores,
        free_memory_mb=worker.description.memory_mb,
    )
