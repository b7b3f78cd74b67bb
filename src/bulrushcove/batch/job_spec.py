"""What a caller asks for: jobs, steps, tasks and the terms of their queue."""

import msgspec

from ..ids import JobId, OrganisationId, RackId
from .exceptions import InvalidJobError
from .ids import PoolName, QueueName

MILLICORES_PER_CORE = 1000
# Weight of an accelerator in core-seconds, from the users' price list.
CORES_PER_ACCELERATOR = 8
# Most tasks in all occurrences of one job; bounds its record to a megabyte.
MAX_TASKS = 20_000


class TaskSize(msgspec.Struct, frozen=True):
    """Room that one task takes on its worker."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, free: 'TaskSize') -> bool:
        """Return whether a task of this size fits into ``free``."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def plus(self, other: 'TaskSize') -> 'TaskSize':
        """Return the sum of both."""
        return TaskSize(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'TaskSize') -> 'TaskSize':
        """Return what is left after ``other`` is taken; may be negative."""
        return TaskSize(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    @property
    def weight_cores(self) -> float:
        """Return the size in cores, accelerators counted as cores."""
        cores = self.cpu_millicores / MILLICORES_PER_CORE
        return cores + CORES_PER_ACCELERATOR * self.accelerators


class StepSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One step: ``task_count`` tasks of one size."""

    task_count: int
    size: TaskSize
    # The caller's guess of a task's duration; often far off.
    estimated_ms: int = 0
    # Numbers of the steps whose tasks must all be done before.
    after: tuple[int, ...] = ()
    is_gang: bool = False
    # The tasks are slow when they run on more than one rack.
    same_rack: bool = False
    required_label: str = ''
    # Rack of the data; empty: any.
    near_rack: RackId = RackId('')
    # Most tasks of the step on one worker; zero: no limit.
    max_per_worker: int = 0
    may_duplicate: bool = False
    writes_checkpoints: bool = False
    # Runs until the job is cancelled and is restarted however it ends.
    is_service: bool = False
    # Most tasks of a service step that planned work may keep away at once.
    max_absent: int = 0
    # Takes processor time only where others leave it unused.
    fills_idle: bool = False
    image: str = ''
    # Tail latency that the users of a service task must see.
    target_tail_ms: int = 0

    @property
    def requirements(self) -> TaskSize:
        """Return the room of one task as a worker counts it."""
        if not self.fills_idle:
            return self.size
        return msgspec.structs.replace(self.size, cpu_millicores=0)


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What the queue granted the job when it was accepted."""

    queue: QueueName
    pool: PoolName
    organisation: OrganisationId
    # 0 comes first and may displace others.
    priority: int = 1
    # Failed runs of a task after which the job fails.
    max_attempts: int = 1
    # The job is on time within stretch times its longest chain and target_ms.
    stretch: float = 1.0
    target_ms: int = 0
    # Whether starts need a ticket of the placement adviser.
    needs_advice: bool = False


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One job as accepted."""

    job: JobId
    payload: str
    steps: tuple[StepSpec, ...]
    terms: QueueTerms
    # Zero: one occurrence at once; else that many, each at its time.
    repeat_count: int = 0
    first_unix_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return max(1, self.repeat_count)

    def due_unix_ms(self, occurrence: int) -> int:
        """Return when ``occurrence`` may start; zero: at once."""
        if not self.repeat_count:
            return 0
        return self.first_unix_ms + occurrence * self.interval_ms


def check_job(spec: JobSpec) -> None:
    """Raise ``InvalidJobError`` naming what no worker could ever run."""
    if not spec.steps:
        raise InvalidJobError('a job needs at least one step')
    for number, step in enumerate(spec.steps):
        _check_step(number, step)
    counts = [each.task_count for each in spec.steps]
    tasks = sum(counts) * spec.occurrences
    if tasks > MAX_TASKS:
        raise InvalidJobError(f'{tasks} tasks are over the limit {MAX_TASKS}')


def _check_step(number: int, step: StepSpec) -> None:
    if step.task_count < 1:
        raise InvalidJobError(f'step {number}: count {step.task_count} < 1')
    if any(before < 0 or before >= number for before in step.after):
        raise InvalidJobError(
            f'step {number}: after {list(step.after)} names no earlier step',
        )
    sizes = (
        step.size.cpu_millicores,
        step.size.memory_mb,
        step.size.accelerators,
    )
    if min(sizes) < 0:
        raise InvalidJobError(f'step {number}: a size is below zero')
