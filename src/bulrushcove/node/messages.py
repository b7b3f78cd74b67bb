"""Messages on the streams between the VMs of one deployment.

The class name of a message is its frame kind, and its fields are named on the
wire as here.
"""

from enum import Enum

import msgspec

from ..batch.ids import QueueName
from ..batch.job_spec import JobSpec
from ..ids import Epoch, IncarnationId, JobId, OrganisationId, VmId
from ..store import Changes, Check, Scan, StoreLeaseId, Write, WriteAnswer


class LeaderRecord(msgspec.Struct, frozen=True):
    """Record of the leader, the VM that schedules, as stored in the store."""

    vm: VmId
    incarnation: IncarnationId
    # Where it accepts streams.
    address: str
    # Store lease of this record.
    lease: StoreLeaseId
    # Store revision of this record, greater for each new leader: the fencing
    # token of its orders and writes.
    epoch: Epoch = Epoch(0)


class Ping(msgspec.Struct, frozen=True):
    """Checks whether the peer is alive; answered by ``Pong``."""

    vm: VmId
    address: str
    # Whether the peer is to check that it reaches the leader before it
    # responds.
    checks_leader: bool = False


class Pong(msgspec.Struct, frozen=True):
    """Response to ``Ping``: what the responding VM knows of the leader."""

    # The leader that the responding VM follows or is.
    holder: LeaderRecord | None
    # Whether the responding VM is the leader and may send orders.
    is_active: bool = False
    # Whether the leader is the responding VM or answered its last ping.
    hears_holder: bool = False
    # Stream addresses of some VMs that it knows.
    addresses: tuple[str, ...] = ()


class HandOver(msgspec.Struct, frozen=True):
    """Announces that the leader of ``epoch`` has resigned.

    Another VM can campaign at once, without waiting for a timeout.
    """

    epoch: Epoch


class SubmitOutcome(Enum):
    """Outcome of a submission."""

    ACCEPTED = 'accepted'
    # Not accepted, and this submission will not be accepted later.
    REFUSED = 'refused'
    CONFLICT = 'conflict'
    # Not accepted: the store is unavailable, whatever the load.
    UNAVAILABLE = 'away'
    # It is unknown whether the job is, or will be, accepted.
    UNKNOWN = 'unknown'
    # Not accepted: no leader was reached. The sender may retry.
    NOT_LEADER = 'not-active'


class Submit(msgspec.Struct, frozen=True):
    """Submits a job; answered by ``Submitted``."""

    spec: JobSpec
    # How long the sender waits for the response.
    wait_ms: int
    # Whether the receiver may forward it to the leader.
    may_forward: bool = True


class Submitted(msgspec.Struct, frozen=True):
    """Response to ``Submit``."""

    outcome: SubmitOutcome
    message: str = ''
    retry_after_s: float = 0.0


class Inquiry(msgspec.Struct, frozen=True):
    """Queries or cancels a job; answered by ``JobAnswer``."""

    job: JobId
    organisation: OrganisationId
    # Whether to cancel the job before its state is returned.
    cancels: bool = False
    may_forward: bool = True


class JobAnswer(msgspec.Struct, frozen=True):
    """Response to ``Inquiry``; ``phase`` is empty if there is no such job."""

    phase: str
    # False: the responding VM does not know.
    is_known: bool = True
    # The leader that answered, and its epoch.
    leader: VmId = VmId('')
    epoch: Epoch = Epoch(0)


class CountPending(msgspec.Struct, frozen=True):
    """Queries how many jobs of a queue have not started."""

    queue: QueueName
    may_forward: bool = True


class PendingCount(msgspec.Struct, frozen=True):
    """Response to ``CountPending``; None: the responding VM does not know."""

    count: int | None


class StoreOperation(Enum):
    """Store operation that a VM runs for one that cannot reach the store."""

    READ = 'read'
    SCAN = 'scan'
    WATCH = 'watch'
    COMMIT = 'commit'
    GRANT = 'grant'
    RENEW = 'renew'
    END = 'end'


class StoreCall(msgspec.Struct, frozen=True):
    """One store operation; fields that it does not need are empty.

    Answered by ``StoreReply``.
    """

    operation: StoreOperation
    # Key or prefix.
    name: str = ''
    after: int = 0
    # How long a watch waits, or the time to live of a lease.
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
    REJECTED = 'rejected'


class StoreReply(msgspec.Struct, frozen=True):
    """Response to ``StoreCall``: a failure, or what the operation returned."""

    failure: StoreFailure = StoreFailure.NONE
    message: str = ''
    scan: Scan | None = None
    changes: Changes | None = None
    written: WriteAnswer | None = None
    lease: StoreLeaseId = StoreLeaseId(0)
    is_alive: bool = False
