"""Jobs: what a caller asks for and the durable record of it."""

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
    """Job as its caller describes it; a gang when tasks is above one.

    All tasks run in one failure domain. ``payload`` reaches each task as is.
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
        """Return the accelerators of the whole gang."""
        return self.tasks * self.accelerators_per_task


class Allocation(msgspec.Struct, frozen=True):
    """Tasks of one attempt on one worker: ``parts`` are task numbers."""

    worker: WorkerId
    parts: tuple[int, ...]


class Attempt(msgspec.Struct, frozen=True):
    """One try to run a job whole; recorded before any part is started."""

    attempt: AttemptId
    epoch: Epoch
    placement: tuple[Allocation, ...]
    # Beyond the guarantee of the organisation: may be reclaimed.
    borrowed: bool = False
    # The guaranteed shape that the attempt uses, when it is not borrowed.
    cover: str = ''
    # Set before the first start of a job that is not idempotent: while it
    # is not set, no part of the attempt can have run.
    start_recorded: bool = False


class JobRecord(msgspec.Struct, frozen=True):
    """Durable state of a job, changed by compare-and-swap only."""

    job: JobId
    organisation: OrganisationId
    spec: JobSpec
    state: JobState
    # The domain whose active control owns the record.
    domain: DomainName
    accepted_unix_ms: int
    # Digest of the submitted spec: the same id with another spec is refused.
    spec_sha256: str = ''
    attempts: int = 0
    # Attempts that ended because a task failed by itself.
    failures: int = 0
    # Workers on which a task failed; other workers are tried first.
    failed_on: tuple[WorkerId, ...] = ()
    current: Attempt | None = None
    # One result per task, in task order, once the job has succeeded.
    results: tuple[str, ...] = ()
    # Plain words: why it waits, failed or was set aside.
    reason: str = ''
    # W3C trace context of the caller's submission.
    traceparent: str = ''
    cancel_requested: bool = False
    ended_unix_ms: int = 0
    # Last checkpoint of each task, in task order; empty: start anew.
    checkpoints: tuple[str, ...] = ()
