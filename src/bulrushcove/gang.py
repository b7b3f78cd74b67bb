"""State of one attempt to run a gang.

Points in time are in seconds of the monotonic clock.
"""

from enum import Enum, unique

import msgspec

from .ids import AttemptId, WorkerId
from .job import Attempt, JobRecord
from .states import TaskState
from .worker_api import TaskReport

# Largest fraction by which a worker's clock may run slower than this one.
MAX_CLOCK_DRIFT = 0.01
# Longest delay until a worker stops the tasks of an expired lease.
LEASE_CHECK_S = 1.0


@unique
class Phase(Enum):
    """Phase of an attempt."""

    # Started by a previous control; not every worker has reported yet.
    ADOPTING = 'adopting'
    RESERVING = 'reserving'
    STARTING = 'starting'
    RUNNING = 'running'
    # A checkpoint was requested; the attempt is stopped after it.
    CHECKPOINTING = 'saving'
    STOPPING = 'stopping'


@unique
class StopCause(Enum):
    """Why an attempt is stopped; the value is part of the job's reason."""

    REFUSED = 'a worker refused a part'
    LOST = 'a part was lost'
    UNRESPONSIVE = 'a worker fell silent'
    TASK_FAILED = 'a task failed'
    LATE = 'not all parts were reserved and started in time'
    NO_PERMIT = 'no start permit'
    CANCELLED = 'cancelled by its organisation'
    PREEMPTED = 'room reclaimed for a guarantee'
    DRAINED = 'failure domain taken out of service'
    ORPHANED = 'the record names another attempt'


class Timing(msgspec.Struct, frozen=True):
    """Durations that the state machine uses, in seconds."""

    lease_s: float
    reservation_s: float

    @property
    def max_lease_s(self) -> float:
        """Return the time after which a lease has certainly expired."""
        return self.lease_s * (1 + MAX_CLOCK_DRIFT) + LEASE_CHECK_S

    @property
    def max_report_age_s(self) -> float:
        """Return the report age above which no lease is renewed."""
        return self.lease_s / 2


class Allocation(msgspec.Struct):
    """Known state of an attempt's parts on one worker."""

    parts: tuple[int, ...]
    reports: dict[int, TaskReport] = msgspec.field(default_factory=dict)
    # When the last request that got a response was sent; None: there was none.
    last_contact_at_s: float | None = None
    # The parts certainly do not run after this time unless renewed.
    may_run_until_s: float = 0.0
    # The last request got no response.
    is_unresponsive: bool = False
    is_reserve_sent: bool = False
    # Run time of each part when the checkpoint was requested.
    run_ms_at_request: dict[int, int] = msgspec.field(default_factory=dict)
    # Number of parts that were reported to hold no resources any more.
    ended_count: int = 0
    # Whether no part runs or holds resources on the worker any more.
    is_released: bool = False

    @property
    def states(self) -> dict[int, TaskState]:
        """Return the last reported state of each part."""
        return {part: report.state for part, report in self.reports.items()}

    def all_in(self, *states: TaskState) -> bool:
        """Return whether the last report of every part is in ``states``."""
        return len(self.reports) == len(self.parts) and all(
            report.state in states for report in self.reports.values()
        )


class GangAttempt(msgspec.Struct):
    """An attempt and the known state of its parts."""

    record: JobRecord
    attempt: Attempt
    phase: Phase
    allocations: dict[WorkerId, Allocation]
    began_at_s: float
    # Starts are sent until this time; the reservations expire later.
    start_by_s: float = 0.0
    stop_cause: StopCause | None = None
    stop_detail: str = ''
    # Whether certainly no part has begun to run.
    never_started: bool = True
    # Latest checkpoint of each part; kept when the part's worker is lost.
    checkpoints: dict[int, str] = msgspec.field(default_factory=dict)
    # Deadline of the requested checkpoint, and why the attempt is then
    # stopped.
    checkpoint_by_s: float = 0.0
    cause_after_checkpoint: StopCause = StopCause.PREEMPTED

    @property
    def attempt_id(self) -> AttemptId:
        """Return the id of the attempt."""
        return self.attempt.attempt

    def all_parts_in(self, *states: TaskState) -> bool:
        """Return whether every part on every worker is in ``states``."""
        return all(
            allocation.all_in(*states)
            for allocation in self.allocations.values()
        )

    @property
    def is_finished(self) -> bool:
        """Return whether every part has finished."""
        return self.all_parts_in(TaskState.FINISHED)


def stop(gang: GangAttempt, cause: StopCause, detail: str = '') -> None:
    """Begin to stop every part; a later cause does not replace the first."""
    if gang.phase is Phase.STOPPING:
        return
    gang.phase = Phase.STOPPING
    gang.stop_cause = cause
    gang.stop_detail = detail
    for allocation in gang.allocations.values():
        if not allocation.is_reserve_sent:
            allocation.is_released = True
