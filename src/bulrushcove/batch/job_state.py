"""State of a job: its units, their runs and their allocations."""

from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

from ..ids import JobId, WorkerId
from .crash_history import CrashHistory
from .ids import RunRef, TaskRef, UnitRef
from .job_spec import JobSpec, StepSpec
from .step_progress import StepProgress

# Index of the unit of a gang step, which covers all tasks of the step.
WHOLE_GANG = -1
UNKNOWN_SPEED_PERCENT = -1


class UnitPhase(Enum):
    """Phase of a unit."""

    WAITING = 0
    ACTIVE = 1
    DONE = 2


class JobPhase(Enum):
    """Phase of a job as reported to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class AllocationPhase(Enum):
    """Phase of a run on one worker, as known to the scheduler."""

    # The start was sent or is about to be; its outcome is not known.
    STARTING = 0
    RUNNING = 1
    # A stop was sent.
    STOPPING = 2


class StopReason(Enum):
    """Why a run was ordered to stop."""

    # Preempted: its resources go to urgent work.
    PREEMPTED = 'displaced'
    # The run made no progress.
    STALLED = 'standstill'
    # The draining worker shuts down before the run can end.
    WORKER_DRAINING = 'worker-leaves'
    # Another member of the gang ended or could not be started.
    GANG_ABORTED = 'gang-broken'
    # The job was cancelled or has failed.
    JOB_ENDED = 'job-ended'
    # The start order got no reply and may still be carried out.
    START_UNANSWERED = 'start-unanswered'
    # An earlier run of the task, which had been given up, was done.
    TASK_DONE = 'task-done'


class Allocation(msgspec.Struct, eq=False, kw_only=True):
    """Resources that a run holds, or may hold, on one worker."""

    unit: 'Unit'
    index: int
    run: int
    worker: WorkerId
    phase: AllocationPhase = AllocationPhase.STARTING
    # Time on the worker's clock after which it rejects the start; None: not
    # known, as no start was sent yet or a previous leader sent it.
    start_deadline_ms: int | None = None
    # When the worker was first known to run the task.
    start_confirmed_at_s: float | None = None
    # When the worker confirmed that it stopped the run.
    stop_confirmed_at_s: float | None = None
    # Progress as last reported; 100 for a service that works at its full rate.
    percent: int = 0
    # Load as last reported; see ``RunningTask.load``.
    load: float = 0
    # Throttle setting that the worker has confirmed; ``UNKNOWN_SPEED_PERCENT``
    # if a previous leader may have set it.
    speed_percent: int = 100
    # When ``percent`` last increased.
    last_progress_at_s: float = 0.0
    # The worker's clock when the run was first reported, or about when it was
    # placed, and when its progress was last reported; 0: not known.
    started_clock_ms: int = 0
    progress_clock_ms: int = 0
    # Milliseconds that its last percents took, how many percents were timed,
    # and whether the rate was counted for its queue. 0: not known.
    # Part of its silence that tells nothing, as it was slowed down, halted or
    # not listed. Its speed at the last report, and the worker's clock then.
    excused_ms: float = 0.0
    reported_speed_percent: int = 100
    reported_clock_ms: int = 0
    percent_ms: float = 0.0
    rated_percents: int = 0
    is_rate_learnt: bool = False
    # Progress that its last checkpoint holds.
    saved_percent: int = 0
    # Last checkpoint that the worker reported for it, and when it was new.
    checkpoint: str = ''
    checkpointed_at_s: float = 0.0
    # Start time of the worker process at the placement, later at the start;
    # 0: not known.
    worker_started_unix_ms: int = 0
    # Whether the start may have been sent to the worker, and when this leader
    # sent it first.
    is_start_sent: bool = False
    start_sent_at_s: float | None = None
    # Whether the worker takes no other run, as this one may crash it.
    is_isolated: bool = False
    # Why the run is to be stopped, as first requested; None: it is not.
    stop_reason: StopReason | None = None

    @property
    def ref(self) -> RunRef:
        """Return the reference of the run."""
        unit = self.unit
        return RunRef(
            TaskRef(unit.job.id, unit.occurrence, unit.step, self.index),
            self.run,
        )


def mark_for_stop(
    allocations: Iterable[Allocation], reason: StopReason
) -> list[Allocation]:
    """Return ``allocations`` as a list, each with a stop reason.

    ``reason`` does not replace an earlier one.
    """
    to_stop = list(allocations)
    for allocation in to_stop:
        allocation.stop_reason = allocation.stop_reason or reason
    return to_stop


class Unit(msgspec.Struct, eq=False, kw_only=True):
    """Unit of scheduling: a whole gang or a single task."""

    job: 'Job'
    occurrence: int
    step: int
    index: int
    phase: UnitPhase = UnitPhase.WAITING
    # Number of the last run; 0: none yet.
    run: int = 0
    # Number of failed runs.
    failures: int = 0
    checkpoint: str = ''
    # Crashes of workers that ran a task of the unit, by index.
    crashes: dict[int, CrashHistory] = msgspec.field(default_factory=dict)
    # Allocations of the last run that are not known to have ended.
    allocations: dict[int, Allocation] = msgspec.field(default_factory=dict)
    # Number of the run whose failure was counted last: a gang that fails counts
    # once, whatever number of its members fail.
    failed_run: int = 0
    # Number of runs that stalled, and the last one that was counted.
    stalls: int = 0
    stalled_run: int = 0
    # A member of the run ended or could not start, or the unit is preempted:
    # its other tasks are being stopped.
    is_aborting: bool = False
    # When the unit became ready to start, and when its last run was placed.
    ready_since_s: float = 0.0
    placed_at_s: float = 0.0

    @property
    def ref(self) -> UnitRef:
        """Return the reference of the unit."""
        return UnitRef(self.job.id, self.occurrence, self.step, self.index)

    @property
    def spec(self) -> StepSpec:
        """Return the specification of the unit's step."""
        return self.job.spec.steps[self.step]

    @property
    def size(self) -> int:
        """Return the number of tasks of the unit."""
        return self.spec.task_count if self.index == WHOLE_GANG else 1

    @property
    def indices(self) -> range:
        """Return the indices of the unit's tasks."""
        if self.index == WHOLE_GANG:
            return range(self.spec.task_count)
        return range(self.index, self.index + 1)

    @property
    def weight_cores(self) -> float:
        """Return the size of all tasks in cores, accelerators converted."""
        return self.size * self.spec.size.weight_cores


def unstopped_allocations(unit: Unit) -> list[Allocation]:
    """Return the allocations of ``unit`` to which no stop was sent."""
    return [
        allocation
        for allocation in unit.allocations.values()
        if allocation.phase is not AllocationPhase.STOPPING
    ]


class Job(msgspec.Struct, eq=False, kw_only=True):
    """One accepted job."""

    spec: JobSpec
    accepted_unix_ms: int
    # When the job was accepted, on the clock of the current leader.
    accepted_at_s: float = 0.0
    phase: JobPhase = JobPhase.QUEUED
    ended_unix_ms: int = 0
    ended_at_s: float = 0.0
    units: list[Unit] = msgspec.field(default_factory=list)
    # Whether a task of the job has ever been placed.
    has_started: bool = False
    # Whether a run of the job has failed under the current leader.
    has_failed_run: bool = False
    # Why the job failed; empty if it has not.
    reason: str = ''
    progress: StepProgress
    # Whether so many units are ready that a pass looks at a part of them; the
    # position of the first one of it among them, and that one.
    is_large: bool = False
    window_start: int = 0
    window_head: Unit | None = None

    @property
    def id(self) -> JobId:
        """Return the job's id."""
        return self.spec.job

    @property
    def has_ended(self) -> bool:
        """Return whether the job succeeded, failed or was cancelled."""
        return self.phase not in {JobPhase.QUEUED, JobPhase.RUNNING}


def new_job(spec: JobSpec, unix_ms: int, now_s: float) -> Job:
    """Return a newly accepted job with all its units."""
    job = new_parked_job(spec, unix_ms, now_s)
    unpark(job)
    return job


def unpark(job: Job) -> None:
    """Give ``job``, of which nothing has run, its units."""
    job.units = list(_units(job))


def new_parked_job(spec: JobSpec, unix_ms: int, now_s: float) -> Job:
    """Return an accepted job without units, none of which starts yet."""
    return Job(
        spec=spec,
        accepted_unix_ms=unix_ms,
        accepted_at_s=now_s,
        progress=StepProgress(spec),
    )


def _units(job: Job) -> Iterator[Unit]:
    for occurrence in range(job.spec.occurrences):
        for number, step in enumerate(job.spec.steps):
            indices = (WHOLE_GANG,) if step.is_gang else range(step.task_count)
            for index in indices:
                yield Unit(
                    job=job, occurrence=occurrence, step=number, index=index
                )


def ready_units(job: Job, unix_ms: int, now_s: float) -> list[Unit]:
    """Return the waiting units that are due and whose dependencies are done."""
    if job.has_ended or not job.units:
        return []
    ready = []
    for occurrence in range(job.spec.occurrences):
        if job.spec.due_unix_ms(occurrence) > unix_ms:
            continue
        for unit in _open_units(job, occurrence):
            unit.ready_since_s = unit.ready_since_s or now_s
            ready.append(unit)
    return ready


def _open_units(job: Job, occurrence: int) -> Iterator[Unit]:
    """Yield the waiting units of the steps that may start."""
    progress = job.progress
    for number, step in enumerate(job.spec.steps):
        if progress.count_missing(occurrence, number) and progress.may_start(
            occurrence, number, step.after
        ):
            for position in progress.unit_range(occurrence, number):
                unit = job.units[position]
                if unit.phase is UnitPhase.WAITING:
                    yield unit


def mark_done(unit: Unit) -> None:
    """Record that ``unit`` is done."""
    if unit.phase is not UnitPhase.DONE:
        unit.phase = UnitPhase.DONE
        unit.job.progress.record_done(unit.occurrence, unit.step)


def find_unit(job: Job, task: TaskRef) -> Unit | None:
    """Return the unit of ``task``; None if the job has no such task.

    The units of a job that has ended may be gone; then it is a new one.
    """
    steps = job.spec.steps
    is_step_known = task.occurrence < job.spec.occurrences and task.step < len(
        steps
    )
    if not is_step_known or task.index >= steps[task.step].task_count:
        return None
    if not job.units:
        return _gone_unit(job, task) if job.has_ended else None
    offset = 0 if steps[task.step].is_gang else task.index
    positions = job.progress.unit_range(task.occurrence, task.step)
    return job.units[positions.start + offset]


def _gone_unit(job: Job, task: TaskRef) -> Unit:
    is_gang = job.spec.steps[task.step].is_gang
    index = WHOLE_GANG if is_gang else task.index
    return Unit(
        job=job, occurrence=task.occurrence, step=task.step, index=index
    )


def units_of_step(unit: Unit) -> list[Unit]:
    """Return all units of the step that ``unit`` belongs to."""
    job = unit.job
    positions = job.progress.unit_range(unit.occurrence, unit.step)
    return job.units[positions.start : positions.stop]


def is_complete(job: Job) -> bool:
    """Return whether all tasks of the job are done."""
    return not job.progress.missing
