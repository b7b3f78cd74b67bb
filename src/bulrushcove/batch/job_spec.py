"""Specification of a job: its steps, task sizes and queue terms."""

from collections.abc import Iterable

import msgspec

from ..decoding import quote
from ..ids import JobId, OrganisationId, RackId
from .exceptions import InvalidJobError
from .ids import ImageName, PoolName, QueueName

MILLICORES_PER_CORE = 1000
# Cores that one accelerator counts as; from the users' price list.
CORES_PER_ACCELERATOR = 8
# Limit over all occurrences of a job; its progress takes 24 bytes a task.
MAX_TASKS = 20_000


class TaskSize(msgspec.Struct, frozen=True, omit_defaults=True):
    """Resources of one task or worker."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, free: 'TaskSize') -> bool:
        """Return whether a task of this size fits into ``free`` resources."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def union(self, other: 'TaskSize') -> 'TaskSize':
        """Return the larger of both sizes for each resource."""
        return TaskSize(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def plus(self, other: 'TaskSize') -> 'TaskSize':
        """Return the sum of both sizes."""
        return TaskSize(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'TaskSize') -> 'TaskSize':
        """Return this size minus ``other``; parts may be negative."""
        return TaskSize(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> 'TaskSize':
        """Return ``count`` times this size."""
        return TaskSize(
            self.cpu_millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    @property
    def weight_cores(self) -> float:
        """Return the size in cores, with accelerators converted to cores."""
        cores = self.cpu_millicores / MILLICORES_PER_CORE
        return cores + CORES_PER_ACCELERATOR * self.accelerators


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a job: ``task_count`` tasks of equal size.

    Stored without the fields that have their default: thousands of steps of a
    caller's body take less than twice as many bytes in the record.
    """

    task_count: int
    size: TaskSize
    # Task duration as estimated by the caller; often inaccurate.
    estimated_ms: int = 0
    # Indices of the steps that must be complete before this one starts.
    after: tuple[int, ...] = ()
    is_gang: bool = False
    # Tasks run slowly when they are spread over several racks.
    same_rack: bool = False
    required_label: str = ''
    # Rack that holds the input data; empty: no preference.
    near_rack: RackId = RackId('')
    # Maximum number of tasks of the step on one worker; 0: no limit.
    max_per_worker: int = 0
    # Accepted from callers, but not used by the scheduler.
    may_duplicate: bool = False
    writes_checkpoints: bool = False
    # Runs until the job is cancelled; restarted whatever way it ends.
    is_service: bool = False
    # Maximum number of tasks of a service step that may be down at the same
    # time because of planned stops.
    max_absent: int = 0
    # Best-effort: uses only CPU time that other tasks leave idle.
    fills_idle: bool = False
    # What the tasks run; those of one image behave alike. Empty: not known.
    image: ImageName = ImageName('')
    # Target tail latency of a service task.
    target_tail_ms: int = 0

    @property
    def requirements(self) -> TaskSize:
        """Return the resources that a worker reserves for one task.

        Best-effort tasks (``fills_idle``) reserve no CPU.
        """
        if not self.fills_idle:
            return self.size
        return msgspec.structs.replace(self.size, cpu_millicores=0)


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the queue at the time when it accepted the job."""

    queue: QueueName
    pool: PoolName
    organisation: OrganisationId
    # 0 is the most urgent priority and may preempt others.
    priority: int = 1
    # Number of failed runs of a task after which the job fails.
    max_attempts: int = 1
    # A job is on time if it takes at most stretch times the duration of its
    # longest chain of steps, plus target_ms.
    stretch: float = 1.0
    target_ms: int = 0
    # Whether a start needs a ticket from the placement adviser.
    needs_advice: bool = False


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Specification of a job, with the terms that its queue granted."""

    job: JobId
    payload: str
    steps: tuple[StepSpec, ...]
    terms: QueueTerms
    # 0: a single occurrence that is due immediately; otherwise the number of
    # occurrences, one every interval_ms from first_unix_ms on.
    repeat_count: int = 0
    first_unix_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Return the number of occurrences; at least 1."""
        return max(1, self.repeat_count)

    def due_unix_ms(self, occurrence: int) -> int:
        """Return the Unix time at which ``occurrence`` is due; 0: at once."""
        if not self.repeat_count:
            return 0
        return self.first_unix_ms + occurrence * self.interval_ms


def check_job(spec: JobSpec) -> None:
    """Raise ``InvalidJobError`` with the reason if ``spec`` is invalid."""
    if not spec.steps:
        raise InvalidJobError('a job needs at least one step')
    for number, step in enumerate(spec.steps):
        _check_step(number, step)
    tasks = count_tasks(spec)
    if tasks > MAX_TASKS:
        raise InvalidJobError(f'{tasks} tasks exceed the limit of {MAX_TASKS}')


def count_tasks(spec: JobSpec) -> int:
    """Return the number of tasks of all occurrences of a job."""
    return sum(step.task_count for step in spec.steps) * spec.occurrences


def drop_repeated(after: Iterable[int]) -> tuple[int, ...]:
    """Return the steps in ``after``, each once.

    Callers may name a step tens of thousands of times.
    """
    return tuple(dict.fromkeys(after))


def _check_step(number: int, step: StepSpec) -> None:
    if step.task_count < 1:
        raise InvalidJobError(
            f'step {number}: task count {step.task_count} < 1'
        )
    if any(dependency < 0 or dependency >= number for dependency in step.after):
        raise InvalidJobError(
            f'step {number}: after must list earlier steps, not '
            f'{quote(step.after)}',
        )
    sizes = (
        step.size.cpu_millicores,
        step.size.memory_mb,
        step.size.accelerators,
    )
    if min(sizes) < 0:
        raise InvalidJobError(f'step {number}: task size must not be negative')
