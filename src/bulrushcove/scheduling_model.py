"""Inputs and outputs of one scheduling pass over one failure domain."""

import msgspec

from .contract import Contract
from .ids import AttemptId, DomainName, JobId, OrganisationId
from .job import JobRecord, WorkerPlacement
from .worker_api import WorkerDescription


class WorkerCapacity(msgspec.Struct, frozen=True):
    """A worker and what its reserved and running tasks leave free."""

    description: WorkerDescription
    free_accelerators: int
    free_cores: int
    free_memory_mb: int
    # False for silent, failing and draining workers; they get no new tasks.
    usable: bool = True
    # Takes one small job only, to find out whether the worker still fails.
    is_probe_only: bool = False


class RunningGang(msgspec.Struct, frozen=True):
    """A gang with reserved or running tasks."""

    job: JobId
    attempt: AttemptId
    organisation: OrganisationId
    record: JobRecord
    placement: tuple[WorkerPlacement, ...]
    borrowed: bool
    started_s: float
    # Run time since the last checkpoint, the longest of all tasks of the
    # gang; lost if the gang stops now.
    unsaved_s: float = 0.0
    # A stop is in progress, so its capacity becomes free soon.
    stopping: bool = False


class Reservation(msgspec.Struct, frozen=True):
    """Capacity that is reserved for a job until all its tasks can start."""

    job: JobId
    placement: tuple[WorkerPlacement, ...]
    since_s: float
    # When the capacity is expected to be free.
    expected_at_s: float
    # Gangs are being preempted for the job; it is placed before other jobs.
    awaits_preemption: bool = False
    # The guarantee slot that the job will use; empty for borrowed work.
    slot_name: str = ''


class ObservedRuns(msgspec.Struct, frozen=True):
    """Latest run times of a kind of job of an organisation."""

    organisation: OrganisationId
    kind: str
    runs_s: tuple[float, ...]


class DomainSnapshot(msgspec.Struct, frozen=True):
    """Input of a scheduling pass."""

    domain: DomainName
    now_s: float
    now_unix_ms: int
    workers: tuple[WorkerCapacity, ...]
    running: tuple[RunningGang, ...]
    # In order of acceptance.
    queued: tuple[JobRecord, ...]
    contracts: dict[OrganisationId, Contract]
    observed_runs: tuple[ObservedRuns, ...] = ()
    # Those of the previous plan.
    reservations: tuple[Reservation, ...] = ()


class JobStart(msgspec.Struct, frozen=True):
    """Decision to start a job as one gang on the workers of ``placement``."""

    job: JobId
    placement: tuple[WorkerPlacement, ...]
    borrowed: bool = False
    # The guarantee slot that the gang uses; stored as ``Attempt.cover``.
    slot_name: str = ''


class Preemption(msgspec.Struct, frozen=True):
    """Decision to stop a whole gang, after a checkpoint if possible."""

    attempt: AttemptId
    # The job that needs the capacity.
    preempting_job: JobId
    reason: str


class UnrunnableJob(msgspec.Struct, frozen=True):
    """A job that can never run in this domain, and why."""

    job: JobId
    reason: str


class WaitingJob(msgspec.Struct, frozen=True):
    """A job that stays queued, and the reason that ``explain`` shows."""

    job: JobId
    reason: str


class Plan(msgspec.Struct, frozen=True):
    """Output of a scheduling pass; jobs that it does not name wait."""

    starts: tuple[JobStart, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    unrunnable_jobs: tuple[UnrunnableJob, ...] = ()
    waiting_jobs: tuple[WaitingJob, ...] = ()
    # Input of the next pass.
    reservations: tuple[Reservation, ...] = ()
