"""State of a worker as known to the scheduler."""

import math
from collections.abc import Iterable
from enum import Enum

import msgspec

from ..clock import MS_PER_S
from ..ids import DomainName, RackId, WorkerId
from .allocation_table import AllocationTable
from .ids import ImageName, PoolName, RunRef
from .job_spec import TaskSize
from .job_state import Allocation

# Largest share by which a worker's monotonic clock may run slow, as its
# operators state.
MAX_CLOCK_DRIFT = 0.02
# Start time of an incarnation that states none.
UNKNOWN_START = 0
# Speed of a task that is not throttled.
FULL_SPEED_PERCENT = 100
# Workers end a run within this time of a stop or of the end of its lease.
LAPSED_STOP_S = 1.0


class EndKind(Enum):
    """How a run ended."""

    DONE = 'done'
    # Because of a fault of the task or of the worker.
    FAILED = 'failed'
    STOPPED = 'stopped'
    # The lease of the worker expired.
    LEASE_EXPIRED = 'lapsed'
    # Another member of its gang ended.
    GANG_ABORTED = 'broken'
    # The other members of its gang did not start.
    GANG_INCOMPLETE = 'alone'
    # Ended, but the worker did not report how.
    LOST = 'lost'
    # The start was rejected, or can no longer be carried out.
    NEVER_STARTED = 'never-started'


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Entry that a worker writes about itself into the list of workers."""

    worker: WorkerId
    pool: PoolName
    address: str
    domain: DomainName
    rack: RackId
    labels: frozenset[str]
    capacity: TaskSize
    # Start time of the worker process; identifies its incarnation.
    started_unix_ms: int = UNKNOWN_START
    is_draining: bool = False
    # Minimum time until a draining worker shuts down.
    shutdown_in_ms: int = 0


class RunningTask(msgspec.Struct, frozen=True):
    """A run that the worker reports as running."""

    ref: RunRef
    checkpoint: str
    percent: int
    # For a service task its tail latency in milliseconds, for any other task
    # its CPU usage; over about the last half second.
    load: float = 0


class EndedTask(msgspec.Struct, frozen=True):
    """The end of a run; each worker numbers these from 1."""

    number: int
    ref: RunRef
    kind: EndKind
    checkpoint: str


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """All runs of a worker, and the ends not yet confirmed as stored.

    If the list of ends is cut, the worker lists more of them once these are
    acknowledged, and a run in neither list may have ended.
    """

    # The worker's monotonic clock when it made the report.
    clock_ms: int
    started_unix_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    is_cut: bool = False


class ReportedEnds(msgspec.Struct, eq=False):
    """Ends that one incarnation of a worker has reported to this leader.

    Each incarnation numbers its ends from 1, so these numbers are never used
    for another one.
    """

    # Numbers of the last end that was processed, and of the last that was
    # acknowledged to the worker.
    processed: int = 0
    acknowledged: int = 0
    # Numbers of the processed ends whose effects are not stored yet.
    unstored: set[int] = msgspec.field(default_factory=set)

    @property
    def stored(self) -> int:
        """Return the number up to which the effects of all ends are stored."""
        return min(self.unstored, default=self.processed + 1) - 1

    def begin_processing(self, number: int) -> None:
        """Record that an end is about to have its effect."""
        self.unstored.add(number)
        self.processed = number

    def finish_storing(self, numbers: Iterable[int]) -> None:
        """Record that the effects of the ends with ``numbers`` are stored."""
        self.unstored.difference_update(numbers)


class Worker(msgspec.Struct, eq=False, kw_only=True):
    """State of one worker."""

    entry: WorkerEntry
    # Largest capacity that the entries of an incarnation stated, and its start
    # time. The capacity may shrink for a while.
    full_capacity: TaskSize = TaskSize()
    full_capacity_unix_ms: int = 0
    # Whether the worker is in the list of workers.
    is_listed: bool = True
    unlisted_since_s: float = 0.0
    draining_since_s: float = 0.0
    # Whether it has sent a report to this leader, so that its runs are known.
    has_reported: bool = False
    # Whether this leader has received a report with all unacknowledged ends.
    has_complete_report: bool = False
    allocations: AllocationTable = msgspec.field(
        default_factory=AllocationTable
    )
    # Runs that ended as their lease expired while the worker was silent. They
    # may have crashed it: its next incarnation tells.
    expired: list[Allocation] = msgspec.field(default_factory=list)
    # Runs that the worker reports and no record names. They are stopped; the
    # resources that they hold are not known.
    orphans: set[RunRef] = msgspec.field(default_factory=set)
    # What the incarnation of ``entry`` has reported as ended.
    ends: ReportedEnds = msgspec.field(default_factory=ReportedEnds)
    # Since when what is known of the worker may be void, as another incarnation
    # may be up than the one that reported last; zero: it is not.
    unknown_incarnation_since_s: float = 0.0
    # Last reading of its clock, and when it was received.
    clock_ms: int = 0
    clock_read_at_s: float = 0.0
    # When the report with that reading was requested.
    clock_requested_at_s: float = 0.0
    # Latest lease end that it may have received, on its clock.
    max_lease_end_ms: int = 0
    # When all leases have certainly expired unless another report arrives.
    leases_expire_at_s: float = 0.0
    # Polls without a valid report since the last one that succeeded.
    failed_polls: int = 0
    # When the first of them failed.
    silent_since_s: float = 0.0
    last_report_at_s: float = 0.0
    # Since when it is suspected of standing still, 0: it is not; when its runs
    # progressed last, on its clock; how many silent jobs tell of it alone.
    suspected_since_s: float = 0.0
    suspected_clock_ms: int = 0
    # Its clock in the report that made it suspected.
    suspected_report_ms: int = 0
    silent_jobs: int = 0
    # When runs that have ended progressed last, on its clock; 0: not known.
    ended_progress_ms: int = 0
    # Images of best-effort tasks that certainly slow services there.
    harmful_images: frozenset[ImageName] = frozenset()
    # Speed of these and of all other best-effort tasks, and when one of them
    # was last changed.
    harmful_speed_percent: int = FULL_SPEED_PERCENT
    speed_percent: int = FULL_SPEED_PERCENT
    speed_changed_at_s: float = 0.0

    @property
    def id(self) -> WorkerId:
        """Return the worker's id."""
        return self.entry.worker

    @property
    def is_throttled(self) -> bool:
        """Return whether best-effort tasks are slowed down there."""
        slowest = min(self.speed_percent, self.harmful_speed_percent)
        return slowest < FULL_SPEED_PERCENT

    def matches_entry(self, entry: WorkerEntry) -> bool:
        """Return whether the worker is listed and ``entry`` has no change.

        The remaining time until shutdown is not compared.
        """
        known = msgspec.structs.replace(
            self.entry, shutdown_in_ms=entry.shutdown_in_ms
        )
        return self.is_listed and known == entry

    def free_capacity(self) -> TaskSize:
        """Return the capacity that no allocation of the worker holds."""
        return self.entry.capacity.minus(self.allocations.reserved)

    def exceeds_capacity(self) -> bool:
        """Return whether the allocations need more than the capacity.

        The capacity may shrink while the worker runs.
        """
        free = self.free_capacity()
        return min(free.cpu_millicores, free.memory_mb, free.accelerators) < 0

    def begin_incarnation(self, started_unix_ms: int) -> None:
        """Forget what is known of the incarnation before."""
        self.entry = msgspec.structs.replace(
            self.entry, started_unix_ms=started_unix_ms
        )
        self.ends = ReportedEnds()
        self.max_lease_end_ms = 0
        self.orphans.clear()
        self.suspected_since_s = 0.0
        self.silent_jobs = 0
        self.ended_progress_ms = 0

    def estimate_clock_ms(self, now_s: float) -> int:
        """Return an estimate of its clock at ``now_s``, never too high."""
        elapsed_s = now_s - self.clock_read_at_s
        return self.clock_ms + int(elapsed_s * (1 - MAX_CLOCK_DRIFT) * MS_PER_S)

    def latest_clock_ms(self, now_s: float) -> int:
        """Return the latest time that its clock may show at ``now_s``."""
        elapsed_s = now_s - self.clock_requested_at_s
        return self.clock_ms + math.ceil(elapsed_s * MS_PER_S)

    def record_clock(
        self, clock_ms: int, now_s: float, requested_at_s: float
    ) -> None:
        """Record a clock reading that was received at ``now_s``."""
        self.clock_ms = clock_ms
        self.clock_requested_at_s = requested_at_s
        self.clock_read_at_s = now_s
        self.last_report_at_s = now_s
        self.failed_polls = 0
        self._update_lease_expiry()

    def record_lease(self, deadline_ms: int) -> None:
        """Record that the worker may hold a lease until ``deadline_ms``."""
        self.max_lease_end_ms = max(self.max_lease_end_ms, deadline_ms)
        self._update_lease_expiry()

    def require_report(self, now_s: float) -> None:
        """Record at ``now_s`` that what is known of the worker may be void.

        It is polled, and gets no start before it has reported.
        """
        self.unknown_incarnation_since_s = (
            self.unknown_incarnation_since_s or now_s
        )

    def may_hold_lapsed_runs(self, now_s: float) -> bool:
        """Return whether runs may go on there without a further lease."""
        return now_s <= self.leases_expire_at_s + LAPSED_STOP_S

    def _update_lease_expiry(self) -> None:
        remaining_s = max(0, self.max_lease_end_ms - self.clock_ms) / MS_PER_S
        self.leases_expire_at_s = self.clock_read_at_s + remaining_s / (
            1 - MAX_CLOCK_DRIFT
        )


def find_silent_workers(workers: Iterable[Worker]) -> list[Worker]:
    """Return the workers with runs that do not respond to the leader now."""
    return [
        worker
        for worker in workers
        if worker.allocations
        and (worker.failed_polls or not worker.has_reported)
    ]


def find_expired_workers(
    workers: Iterable[Worker], now_s: float
) -> list[Worker]:
    """Return the silent workers whose leases have certainly expired."""
    return [
        worker
        for worker in find_silent_workers(workers)
        if now_s > worker.leases_expire_at_s
    ]
