"""State of one attempt to run a gang; times are monotonic seconds."""

from enum import Enum, unique

import msgspec

from .ids import AttemptId, WorkerId
from .job import Attempt, JobRecord
from .states import TaskState
from .worker_api import TaskReport

# Bound on how much slower than ours a worker's clock may run.
MAX_CLOCK_DRIFT = 0.01
# Longest delay between a lease's end and the worker's stop of its tasks.
LEASE_CHECK_S = 1.0


@unique
class Phase(Enum):
    """Where an attempt stands in its life."""

    # Taken over from an earlier control; not every worker has reported.
    ADOPTING = 'adopting'
    RESERVING = 'reserving'
    STARTING = 'starting'
    RUNNING = 'running'
    # Asked for a checkpoint, to be stopped after it.
    CHECKPOINTING = 'saving'
    STOPPING = 'stopping'


@unique
class StopCause(Enum):
    """Why an attempt is stopped."""

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
    """Durations that the state machine goes by, in seconds."""

    lease_s: float
    reservation_s: float

    @property
    def max_lease_s(self) -> float:
        """Return the time after which a lease has surely lapsed."""
        return self.lease_s * (1 + MAX_CLOCK_DRIFT) + LEASE_CHECK_S

    @property
    def max_report_age_s(self) -> float:
        """Return the age of a report above which nothing is renewed."""
        return self.lease_s / 2


class Allocation(msgspec.Struct):
    """What is known of an attempt's parts on one worker."""

    parts: tuple[int, ...]
    reports: dict[int, TaskReport] = msgspec.field(default_factory=dict)
    # When the last answered request was sent; None: never answered.
    last_contact_at_s: float | None = None
    # The parts surely do not run after this time unless renewed.
    may_run_until_s: float = 0.0
    # The last request got no answer.
    is_unresponsive: bool = False
    reserve_sent: bool = False
    # Run time of each part when a checkpoint was asked for.
    run_ms_at_request: dict[int, int] = msgspec.field(default_factory=dict)
    # Parts that were reported to hold no room any more.
    ended_count: int = 0
    # No part runs or holds room here any more.
    is_released: bool = False

    @property
    def states(self) -> dict[int, TaskState]:
        """Return the last reported state of each part."""
        return {part: report.state for part, report in self.reports.items()}

    def all_in(self, *states: TaskState) -> bool:
        """Return whether every part was last reported in one of states."""
        return len(self.reports) == len(self.parts) and all(
            report.state in states for report in self.reports.values()
        )


class GangAttempt(msgspec.Struct):
    """An attempt with everything that is known of its parts."""

    record: JobRecord
    attempt: Attempt
    phase: Phase
    allocations: dict[WorkerId, Allocation]
    began_at_s: float
    # Starts are sent until then; the reservations lapse later.
    start_by_s: float = 0.0
    cause: StopCause | None = None
    detail: str = ''
    # Surely no part has begun to run.
    never_started: bool = True
    # Newest checkpoint of each part, kept when its worker is lost.
    checkpoints: dict[int, str] = msgspec.field(default_factory=dict)
    # Why it is stopped once it has saved, and by when it has to have.
    checkpoint_by_s: float = 0.0
    cause_after_checkpoint: StopCause = StopCause.PREEMPTED

    @property
    def attempt_id(self) -> AttemptId:
        """Return the id of the attempt."""
        return self.attempt.attempt

    def all_parts_in(self, *states: TaskState) -> bool:
        """Return whether every part on every worker is in one of states."""
        return all(
            allocation.all_in(*states)
            for allocation in self.allocations.values()
        )

    @property
    def is_finished(self) -> bool:
        """Return whether every part has finished."""
        return self.all_parts_in(TaskState.FINISHED)


def stop(gang: GangAttempt, cause: StopCause, detail: str = '') -> None:
    """Stop every part; the first cause stays."""
    if gang.phase is Phase.STOPPING:
        return
    gang.phase = Phase.STOPPING
    gang.cause = cause
    gang.detail = detail
    for allocation in gang.allocations.values():
        if not allocation.reserve_sent:
            allocation.is_released = True
