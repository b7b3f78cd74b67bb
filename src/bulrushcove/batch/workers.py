"""A worker as the scheduler sees it: room, lease and evidence."""

from enum import Enum

import msgspec

from ..clock import MS_PER_S
from ..ids import DomainName, RackId, WorkerId
from .ids import PoolName, RunRef
from .job_spec import TaskSize
from .job_state import Allocation

# A worker's steady clock may run this much slow, as its owners state.
CLOCK_DRIFT = 0.02
# A task works at this share of its speed unless it is slowed.
FULL_SPEED_PERCENT = 100


class EndKind(Enum):
    """How a run ended."""

    DONE = 'done'
    # Through its own fault or the worker's.
    FAILED = 'failed'
    STOPPED = 'stopped'
    # The lease ran out.
    LEASE_EXPIRED = 'lapsed'
    # Another member of its gang ended.
    GANG_ABORTED = 'broken'
    # The other members of its gang did not come.
    GANG_INCOMPLETE = 'alone'
    # Known to be over without the worker's word on how.
    LOST = 'lost'
    # The start was refused, or can no longer be carried out.
    NEVER_STARTED = 'never-started'


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker says of itself in the list of workers."""

    worker: WorkerId
    pool: PoolName
    address: str
    domain: DomainName
    rack: RackId
    labels: frozenset[str]
    capacity: TaskSize
    # Identifies one life of a worker under its id, in Unix milliseconds.
    started_unix_ms: int = 0
    is_draining: bool = False
    # Shortest time until a leaving worker is gone.
    shutdown_in_ms: int = 0


class RunningTask(msgspec.Struct, frozen=True):
    """One run that goes on."""

    ref: RunRef
    checkpoint: str
    percent: int
    # Of a serving task the tail of its response times in milliseconds, of
    # another the processor time in use; over the last half second, roughly.
    load: float = 0


class EndedTask(msgspec.Struct, frozen=True):
    """One end; a worker numbers its ends from 1."""

    number: int
    ref: RunRef
    kind: EndKind
    checkpoint: str


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that runs on a worker and has ended there."""

    # The worker's steady clock as the report was made.
    clock_ms: int
    started_unix_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class Worker(msgspec.Struct, eq=False, kw_only=True):
    """State of one worker."""

    entry: WorkerEntry
    # Whether the entry stands in the list.
    is_listed: bool = True
    unlisted_since_s: float = 0.0
    draining_since_s: float = 0.0
    # Whether it has answered this scheduler: its runs are known.
    has_reported: bool = False
    allocations: dict[RunRef, Allocation] = msgspec.field(default_factory=dict)
    # Runs that no record names; they are stopped and hold unknown room.
    orphans: set[RunRef] = msgspec.field(default_factory=set)
    # Last end that was processed, and last one that is stored.
    processed_end: int = 0
    stored_end: int = 0
    # One reading of its clock and when it came.
    clock_ms: int = 0
    clock_read_at_s: float = 0.0
    # Latest lease end that it may have been given, on its clock.
    max_lease_end_ms: int = 0
    # When whatever it runs has surely lapsed, if it is not heard again.
    leases_expire_at_s: float = 0.0
    # Calls without a usable answer since the last good one.
    failed_polls: int = 0
    last_report_s: float = 0.0
    # Pace of the tasks that fill idle room, and when it last changed.
    speed_percent: int = FULL_SPEED_PERCENT
    speed_changed_at_s: float = 0.0

    @property
    def id(self) -> WorkerId:
        """Return the worker's id."""
        return self.entry.worker

    def matches_entry(self, entry: WorkerEntry) -> bool:
        """Return whether ``entry`` says nothing new."""
        known = msgspec.structs.replace(
            self.entry, shutdown_in_ms=entry.shutdown_in_ms
        )
        return self.is_listed and known == entry

    def free_capacity(self) -> TaskSize:
        """Return what is surely free."""
        free = self.entry.capacity
        for allocation in self.allocations.values():
            free = free.minus(allocation.unit.spec.requirements)
        return free

    def estimate_clock_ms(self, now_s: float) -> int:
        """Return about what its clock shows at ``now_s``, never too much."""
        elapsed_s = now_s - self.clock_read_at_s
        return self.clock_ms + int(elapsed_s * (1 - CLOCK_DRIFT) * MS_PER_S)

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Keep a reading that came at ``now_s``."""
        self.clock_ms = clock_ms
        self.clock_read_at_s = now_s
        self.last_report_s = now_s
        self.failed_polls = 0
        self._update_lease_expiry()

    def record_lease(self, deadline_ms: int) -> None:
        """Keep that a lease until ``deadline_ms`` may have been given."""
        self.max_lease_end_ms = max(self.max_lease_end_ms, deadline_ms)
        self._update_lease_expiry()

    def _update_lease_expiry(self) -> None:
        left_s = max(0, self.max_lease_end_ms - self.clock_ms) / MS_PER_S
        self.leases_expire_at_s = self.clock_read_at_s + left_s / (
            1 - CLOCK_DRIFT
        )
