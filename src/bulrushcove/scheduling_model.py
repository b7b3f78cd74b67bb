"""Inputs and outputs of one scheduling pass over one failure domain."""

import msgspec

from .contract import Contract
from .ids import AttemptId, DomainName, JobId, OrganisationId
from .job import JobRecord, PlacedPart
from .worker_api import WorkerDescription


class WorkerCapacity(msgspec.Struct, frozen=True):
    """A worker and what is not taken by reserved or running tasks."""

    description: WorkerDescription
    free_accelerators: int
    free_cores: int
    free_memory_mb: int
    # False: silent, failing or leaving; nothing new is placed there.
    usable: bool = True
    # Usable by one small job only, to learn whether it still fails.
    is_probe_only: bool = False


class RunningGang(msgspec.Struct, frozen=True):
    """A gang that holds room, reserved or running."""

    job: JobId
    attempt: AttemptId
    organisation: OrganisationId
    record: JobRecord
    placement: tuple[PlacedPart, ...]
    borrowed: bool
    started_s: float
    # Work that a stop now would throw away, in seconds of the whole gang.
    unsaved_s: float = 0.0
    # A stop was asked for already; its room comes back soon.
    stopping: bool = False


class Reservation(msgspec.Struct, frozen=True):
    """Room that is kept for a large job until it can start whole."""

    job: JobId
    placement: tuple[PlacedPart, ...]
    since_s: float
    # When the room is expected to be free.
    expected_at_s: float
    # The room is being cleared for the job, which then goes first.
    awaits_preemption: bool = False
    # The guaranteed shape that the job will use there.
    slot_name: str = ''


class ObservedRuns(msgspec.Struct, frozen=True):
    """Latest run times of one kind of job of one organisation."""

    organisation: OrganisationId
    kind: str
    runs_s: tuple[float, ...]


class DomainSnapshot(msgspec.Struct, frozen=True):
    """Everything a scheduling pass looks at."""

    domain: DomainName
    now_s: float
    now_unix_ms: int
    workers: tuple[WorkerCapacity, ...]
    running: tuple[RunningGang, ...]
    # In the order of acceptance.
    queued: tuple[JobRecord, ...]
    contracts: dict[OrganisationId, Contract]
    observed_runs: tuple[ObservedRuns, ...] = ()
    # As the previous plan gave them.
    reservations: tuple[Reservation, ...] = ()


class JobStart(msgspec.Struct, frozen=True):
    """Start this job as one gang on these workers."""

    job: JobId
    placement: tuple[PlacedPart, ...]
    borrowed: bool = False
    # Kept in the attempt: the guaranteed shape that the gang uses.
    slot_name: str = ''


class Preemption(msgspec.Struct, frozen=True):
    """Stop this borrowed gang whole, after a checkpoint where possible."""

    attempt: AttemptId
    # The job whose guarantee asks for the room.
    preempting_job: JobId
    reason: str


class UnrunnableJob(msgspec.Struct, frozen=True):
    """This job can never run here; the reason says why."""

    job: JobId
    reason: str


class WaitingJob(msgspec.Struct, frozen=True):
    """This job stays queued; the reason is shown by explain."""

    job: JobId
    reason: str


class Plan(msgspec.Struct, frozen=True):
    """Decisions of one pass; jobs left out simply wait."""

    starts: tuple[JobStart, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    unrunnable_jobs: tuple[UnrunnableJob, ...] = ()
    waiting_jobs: tuple[WaitingJob, ...] = ()
    # To be handed to the next pass.
    reservations: tuple[Reservation, ...] = ()
