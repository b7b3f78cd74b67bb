"""How far a job is: its units, their runs and the seats they hold."""

from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

from ..ids import JobId, WorkerId
from .ids import RunRef, TaskRef, UnitRef
from .job_spec import JobSpec, StepSpec

# Index of a unit that is a whole gang.
WHOLE_GANG = -1


class UnitPhase(Enum):
    """State of a unit."""

    WAITING = 0
    ACTIVE = 1
    DONE = 2


class JobPhase(Enum):
    """State of a job as callers see it."""

    QUEUED = 'queued'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class AllocationPhase(Enum):
    """What is known of one run on one worker."""

    # The start was sent, or may have been; its outcome is not known.
    STARTING = 0
    RUNNING = 1
    # A stop was sent.
    STOPPING = 2


class StopReason(Enum):
    """Why a run was ordered to stop."""

    # Its room goes to urgent work.
    PREEMPTED = 'displaced'
    # It made no progress.
    STALLED = 'standstill'
    # Its worker goes before it could end.
    WORKER_DRAINING = 'worker-leaves'
    # Another member of its gang ended or could not start.
    GANG_ABORTED = 'gang-broken'
    # Its job was cancelled or has failed.
    JOB_ENDED = 'job-ended'
    # Its start got no answer and may be carried out late.
    START_UNANSWERED = 'start-unanswered'


class Allocation(msgspec.Struct, eq=False, kw_only=True):
    """Room that a run holds, or may hold, on one worker."""

    unit: 'Unit'
    index: int
    run: int
    worker: WorkerId
    phase: AllocationPhase = AllocationPhase.STARTING
    # The start cannot be carried out after this time of the worker's clock;
    # None: it was sent by another scheduler.
    start_deadline_ms: int | None = None
    # When the worker was first known to run it.
    start_confirmed_s: float | None = None
    # When the worker confirmed a stop.
    stop_confirmed_s: float | None = None
    percent: int = 0
    # As last reported; see ``RunningTask.load``.
    load: float = 0
    # Pace that the worker has confirmed.
    speed_percent: int = 100
    # When percent last grew.
    last_progress_s: float = 0.0
    # Whether the start was handed to the worker link.
    is_start_sent: bool = False
    # Why a stop was first wanted; None: it is not.
    stop_reason: StopReason | None = None

    @property
    def ref(self) -> RunRef:
        """Return the name of the run."""
        unit = self.unit
        return RunRef(
            TaskRef(unit.job.id, unit.occurrence, unit.step, self.index),
            self.run,
        )


def mark_for_stop(
    allocations: Iterable[Allocation], reason: StopReason
) -> list[Allocation]:
    """Mark ``allocations`` to be stopped, for ``reason`` if not yet marked."""
    marked = list(allocations)
    for allocation in marked:
        allocation.stop_reason = allocation.stop_reason or reason
    return marked


class Unit(msgspec.Struct, eq=False, kw_only=True):
    """What is placed at once: a whole gang, or one task."""

    job: 'Job'
    occurrence: int
    step: int
    index: int
    phase: UnitPhase = UnitPhase.WAITING
    # Number of the last run; zero: none yet.
    run: int = 0
    # Runs that ended as failed.
    failures: int = 0
    checkpoint: str = ''
    # Seats of the last run that are not known to be over.
    allocations: dict[int, Allocation] = msgspec.field(default_factory=dict)
    # Run whose failure is counted already.
    failed_run: int = 0
    # A part of the run ended or could not start: the rest is being stopped.
    is_aborting: bool = False
    # When the unit's turn came, and when its last run was placed.
    ready_since_s: float = 0.0
    placed_at_s: float = 0.0

    @property
    def ref(self) -> UnitRef:
        """Return the name of the unit."""
        return UnitRef(self.job.id, self.occurrence, self.step, self.index)

    @property
    def spec(self) -> StepSpec:
        """Return the unit's step."""
        return self.job.spec.steps[self.step]

    @property
    def size(self) -> int:
        """Return how many tasks are placed at once."""
        return self.spec.task_count if self.index == WHOLE_GANG else 1

    @property
    def indices(self) -> range:
        """Return the indices of the unit's tasks."""
        if self.index == WHOLE_GANG:
            return range(self.spec.task_count)
        return range(self.index, self.index + 1)

    @property
    def weight_cores(self) -> float:
        """Return the room of all tasks, accelerators counted as cores."""
        return self.size * self.spec.size.weight_cores


def unstopped_allocations(unit: Unit) -> list[Allocation]:
    """Return the seats of ``unit`` that no stop was sent to."""
    return [
        allocation
        for allocation in unit.allocations.values()
        if allocation.phase is not AllocationPhase.STOPPING
    ]


class Job(msgspec.Struct, eq=False, kw_only=True):
    """One accepted job."""

    spec: JobSpec
    accepted_unix_ms: int
    # Scheduler time at which the job is counted from.
    accepted_s: float = 0.0
    phase: JobPhase = JobPhase.QUEUED
    ended_unix_ms: int = 0
    ended_s: float = 0.0
    units: list[Unit] = msgspec.field(default_factory=list)
    # Whether a task has ever been placed.
    has_started: bool = False
    # Why the job failed; empty while it has not.
    reason: str = ''

    @property
    def id(self) -> JobId:
        """Return the job's id."""
        return self.spec.job

    @property
    def has_ended(self) -> bool:
        """Return whether nothing more will be started."""
        return self.phase not in {JobPhase.QUEUED, JobPhase.RUNNING}


def new_job(spec: JobSpec, unix_ms: int, now_s: float) -> Job:
    """Return a job that has just been accepted, with all its units."""
    job = Job(spec=spec, accepted_unix_ms=unix_ms, accepted_s=now_s)
    job.units = list(_units(job))
    return job


def _units(job: Job) -> Iterator[Unit]:
    for occurrence in range(job.spec.occurrences):
        for number, step in enumerate(job.spec.steps):
            indices = (WHOLE_GANG,) if step.is_gang else range(step.task_count)
            for index in indices:
                yield Unit(
                    job=job, occurrence=occurrence, step=number, index=index
                )


def ready_units(job: Job, unix_ms: int, now_s: float) -> list[Unit]:
    """Return the waiting units that may start now."""
    if job.has_ended:
        return []
    waiting = [unit for unit in job.units if unit.phase is UnitPhase.WAITING]
    undone = _unfinished_steps(job) if waiting else set()
    ready = []
    for unit in waiting:
        if job.spec.due_unix_ms(unit.occurrence) > unix_ms:
            continue
        if any((unit.occurrence, step) in undone for step in unit.spec.after):
            continue
        unit.ready_since_s = unit.ready_since_s or now_s
        ready.append(unit)
    return ready


def _unfinished_steps(job: Job) -> set[tuple[int, int]]:
    return {
        (unit.occurrence, unit.step)
        for unit in job.units
        if unit.phase is not UnitPhase.DONE
    }


def is_complete(job: Job) -> bool:
    """Return whether every task has ended as done."""
    return all(unit.phase is UnitPhase.DONE for unit in job.units)
