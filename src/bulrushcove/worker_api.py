"""Messages between a control and a worker (JSON over HTTP).

One ``POST /v1/sync`` per round carries everything for one worker: fencing
epoch, reservations, starts, lease renewals, checkpoints and stops.
"""

import msgspec

from .ids import (
    AttemptId,
    DomainName,
    Epoch,
    JobId,
    OrganisationId,
    RackId,
    VmId,
    WorkerId,
)
from .states import TaskState

SYNC_PATH = '/v1/sync'
DESCRIPTION_PATH = '/v1/description'


class WorkerDescription(msgspec.Struct, frozen=True):
    """Identity, location and total capacity of a worker."""

    worker: WorkerId
    domain: DomainName
    rack: RackId
    accelerators: int
    cores: int
    memory_mb: int


class TaskReservation(msgspec.Struct, frozen=True):
    """Reserves resources for one task; its attempt must be started to run."""

    attempt: AttemptId
    job: JobId
    part: int
    organisation: OrganisationId
    accelerators: int
    cores: int
    memory_mb: int
    payload: str = ''
    # Checkpoint to resume from; empty: run from the start.
    checkpoint: str = ''
    traceparent: str = ''


class SyncRequest(msgspec.Struct, frozen=True):
    """Instructions of one round; rejected as a whole if the epoch is fenced."""

    epoch: Epoch
    control: VmId
    # Lease granted to every attempt in ``start`` and ``renew``.
    lease_ms: int
    # The worker drops a reservation that is not started within this time.
    reservation_ms: int
    reserve: tuple[TaskReservation, ...] = ()
    start: tuple[AttemptId, ...] = ()
    renew: tuple[AttemptId, ...] = ()
    checkpoint: tuple[AttemptId, ...] = ()
    throttle: tuple[AttemptId, ...] = ()
    stop: tuple[AttemptId, ...] = ()
    # Ended attempts whose reports are stored: the worker forgets them.
    forget: tuple[AttemptId, ...] = ()


class TaskReport(msgspec.Struct, frozen=True):
    """State of one task at the worker."""

    attempt: AttemptId
    job: JobId
    part: int
    state: TaskState
    organisation: OrganisationId
    accelerators: int
    cores: int
    memory_mb: int
    # Result of a finished task, or why it failed or was stopped.
    result: str = ''
    # Latest checkpoint and the run time it saves; empty and 0 without one.
    checkpoint: str = ''
    checkpoint_run_ms: int = 0
    run_ms: int = 0


class SyncResponse(msgspec.Struct, frozen=True):
    """Response of one round.

    ``accepted`` is false if the worker has seen a higher epoch; it then did
    nothing, and ``epoch`` is that higher one. ``refused`` gives a reason for
    each attempt whose reservation or start it refused.
    """

    worker: WorkerId
    epoch: Epoch
    accepted: bool
    refused: dict[AttemptId, str] = msgspec.field(default_factory=dict)
    tasks: tuple[TaskReport, ...] = ()
    # Usage of processors, in thousandths of one, and of memory; both lag
    # behind the actual usage.
    used_millicores: int = 0
    used_memory_mb: int = 0
