"""Job specifications and the durable records of jobs."""

from typing import Annotated

import msgspec

from .contract import Count, PositiveCount
from .ids import (
    AttemptId,
    DomainName,
    Epoch,
    JobId,
    OrganisationId,
    WorkerId,
)
from .states import Adjacency, JobState, Urgency

MAX_GANG_TASKS = 64
DEFAULT_MEMORY_MB = 512
DEFAULT_RUN_MS = 60_000

GangSize = Annotated[int, msgspec.Meta(ge=1, le=MAX_GANG_TASKS)]


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Specification of a job by its caller; a gang if ``tasks`` is above 1.

    All tasks run in one failure domain. Each task gets ``payload`` unchanged.
    """

    kind: str
    tasks: GangSize = 1
    accelerators_per_task: Count = 1
    cores_per_task: Count = 1
    memory_mb_per_task: PositiveCount = DEFAULT_MEMORY_MB
    adjacency: Adjacency = Adjacency.DOMAIN
    idempotent: bool = True
    urgency: Urgency = Urgency.NORMAL
    declared_run_ms: PositiveCount = DEFAULT_RUN_MS
    payload: str = ''

    @property
    def accelerators(self) -> int:
        """Return how many accelerators all tasks need together."""
        return self.tasks * self.accelerators_per_task


class WorkerPlacement(msgspec.Struct, frozen=True):
    """Tasks of one attempt on one worker; ``parts`` are numbers from 0."""

    worker: WorkerId
    parts: tuple[int, ...]


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to run all tasks of a job; stored before any task starts."""

    attempt: AttemptId
    epoch: Epoch
    placement: tuple[WorkerPlacement, ...]
    # Whether it exceeds the guarantee of the organisation; if so, it may be
    # preempted.
    borrowed: bool = False
    # Name of the guarantee slot that the attempt uses, if it is not borrowed.
    cover: str = ''
    # Set before the first task of a non-idempotent job is started: while it
    # is not set, no task of the attempt can have run.
    start_recorded: bool = False


class JobRecord(msgspec.Struct, frozen=True):
    """Durable state of a job; written by compare-and-swap only."""

    job: JobId
    organisation: OrganisationId
    spec: JobSpec
    state: JobState
    # Failure domain whose active control owns the record.
    domain: DomainName
    accepted_unix_ms: int
    # Digest of the submitted spec; the same id with another spec is refused.
    spec_sha256: str = ''
    attempts: int = 0
    # Attempts that ended because a task itself failed, not its worker.
    failures: int = 0
    # Workers on which a task failed; other workers are tried first.
    failed_on: tuple[WorkerId, ...] = ()
    current: Attempt | None = None
    # One result per task, in task order, once the job has succeeded.
    results: tuple[str, ...] = ()
    # Text for people: why the job waits, failed or is unrunnable.
    reason: str = ''
    # W3C trace context of the caller's submission.
    traceparent: str = ''
    cancel_requested: bool = False
    ended_unix_ms: int = 0
    # Last checkpoint of each task, in task order; empty if the job has to
    # start from the beginning.
    checkpoints: tuple[str, ...] = ()
