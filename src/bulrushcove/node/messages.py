"""Messages on the streams between the VMs of one deployment."""

from enum import Enum

import msgspec

from ..batch.ids import QueueName
from ..batch.job_spec import JobSpec
from ..ids import Epoch, IncarnationId, JobId, OrganisationId, VmId
from ..store import Changes, Check, Scan, StoreLeaseId, Write, WriteAnswer


class LeaderRecord(msgspec.Struct, frozen=True):
    """Who the active scheduler is, as its record in the store says."""

    vm: VmId
    incarnation: IncarnationId
    # Where its streams are accepted.
    address: str
    # Store lease of its record.
    lease: StoreLeaseId
    # Store revision of its record; only grows from holder to holder.
    epoch: Epoch = Epoch(0)


class Ping(msgspec.Struct, frozen=True):
    """Asks whether the peer lives; answered by ``Pong``."""

    vm: VmId
    address: str


class Pong(msgspec.Struct, frozen=True):
    """What the answering VM knows."""

    holder: LeaderRecord | None
    # Whether the answering VM is the active scheduler with a fresh proof.
    is_active: bool = False
    # Whether the answering VM has lately heard the active scheduler.
    hears_holder: bool = False
    # Stream addresses of the VMs that it has heard of.
    addresses: tuple[str, ...] = ()


class HandOver(msgspec.Struct, frozen=True):
    """The active scheduler leaves: another may begin at once."""

    epoch: Epoch


class SubmitOutcome(Enum):
    """Fate of a submission."""

    ACCEPTED = 'accepted'
    # Not accepted, and never will be.
    REFUSED = 'refused'
    CONFLICT = 'conflict'
    # Not accepted: nothing can be stored now, whatever the load.
    UNAVAILABLE = 'away'
    # Whether it is or will be accepted is not known.
    UNKNOWN = 'unknown'
    NOT_LEADER = 'not-active'


class Submit(msgspec.Struct, frozen=True):
    """Hands a job in; answered by ``Submitted``."""

    spec: JobSpec
    # How long the asking side waits.
    wait_ms: int
    # Whether the receiver may pass it on to the active scheduler.
    may_forward: bool = True


class Submitted(msgspec.Struct, frozen=True):
    """Answer to ``Submit``."""

    outcome: SubmitOutcome
    message: str = ''
    retry_after_s: float = 0.0


class Inquiry(msgspec.Struct, frozen=True):
    """Asks for a job's state, or cancels it; answered by ``DesiredState``."""

    job: JobId
    organisation: OrganisationId
    cancels: bool = False
    may_forward: bool = True


class JobAnswer(msgspec.Struct, frozen=True):
    """Answer to ``Inquiry``; ``phase`` is empty for an unknown job."""

    phase: str
    # False: the answering VM does not know.
    is_known: bool = True


class CountPending(msgspec.Struct, frozen=True):
    """Asks how many jobs of a queue have not begun."""

    queue: QueueName
    may_forward: bool = True


class PendingCount(msgspec.Struct, frozen=True):
    """Answer to ``CountPending``; None: not known here."""

    count: int | None


class StoreOperation(Enum):
    """Operation that is carried out for a VM that the store turns away."""

    READ = 'read'
    SCAN = 'scan'
    WATCH = 'watch'
    COMMIT = 'commit'
    GRANT = 'grant'
    RENEW = 'renew'
    END = 'end'


class StoreCall(msgspec.Struct, frozen=True):
    """One store operation; the fields that it has no use for are empty."""

    operation: StoreOperation
    # Key or prefix.
    name: str = ''
    after: int = 0
    # Wait of a watch, or length of a lease.
    time_ms: int = 0
    lease: StoreLeaseId = StoreLeaseId(0)
    writes: tuple[Write, ...] = ()
    checks: tuple[Check, ...] = ()


class StoreFailure(Enum):
    """How a relayed operation failed."""

    NONE = 'none'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'
    HISTORY_GONE = 'history-gone'


class StoreReply(msgspec.Struct, frozen=True):
    """Answer to ``StoreCall``: a failure, or what the operation returned."""

    failure: StoreFailure = StoreFailure.NONE
    message: str = ''
    scan: Scan | None = None
    changes: Changes | None = None
    written: WriteAnswer | None = None
    lease: StoreLeaseId = StoreLeaseId(0)
    is_alive: bool = False
