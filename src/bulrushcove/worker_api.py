"""Messages between a control and a worker (JSON over HTTP).

One ``POST /v1/sync`` a round carries everything for one worker: fencing
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
    """What a worker offers."""

    worker: WorkerId
    domain: DomainName
    rack: RackId
    accelerators: int
    cores: int
    memory_mb: int


class TaskReservation(msgspec.Struct, frozen=True):
    """One task to hold room for; runs only after a start of its attempt."""

    attempt: AttemptId
    job: JobId
    part: int
    organisation: OrganisationId
    accelerators: int
    cores: int
    memory_mb: int
    payload: str = ''
    # Where to go on from; empty: start anew.
    checkpoint: str = ''
    traceparent: str = ''


class SyncRequest(msgspec.Struct, frozen=True):
    """One round's instructions; refused whole when its epoch is fenced."""

    epoch: Epoch
    control: VmId
    # Lease granted to every attempt in ``start`` and ``renew``.
    lease_ms: int
    # A reservation not started within this time is dropped by the worker.
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
    """State of one task as the worker sees it."""

    attempt: AttemptId
    job: JobId
    part: int
    state: TaskState
    organisation: OrganisationId
    accelerators: int
    cores: int
    memory_mb: int
    # Answer of a finished task, or the reason of a failed or stopped one.
    result: str = ''
    # Last checkpoint, and the work it holds; empty and zero without one.
    checkpoint: str = ''
    checkpoint_run_ms: int = 0
    run_ms: int = 0


class SyncResponse(msgspec.Struct, frozen=True):
    """Answer to a round.

    ``accepted`` is false when a higher epoch was seen; then nothing was done
    and ``epoch`` is that higher one. ``refused`` gives a reason for each
    attempt whose reservation or start was not taken.
    """

    worker: WorkerId
    epoch: Epoch
    accepted: bool
    refused: dict[AttemptId, str] = msgspec.field(default_factory=dict)
    tasks: tuple[TaskReport, ...] = ()
    # Lagging usage of processors in thousandths and of memory.
    used_millicores: int = 0
    used_memory_mb: int = 0
