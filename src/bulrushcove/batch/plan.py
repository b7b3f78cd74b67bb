"""Actions that follow from a scheduling pass, a report or a request."""

import msgspec

from ..ids import JobId
from .advice import AdviceRequest
from .ids import UnitRef
from .job_state import Allocation, Job
from .worker_crashes import AccusedRun


class PreemptedUnit(msgspec.Struct, frozen=True):
    """A unit that is stopped for an urgent one, and what that loses."""

    unit: UnitRef
    run: int
    urgent_unit: UnitRef
    loss_core_s: float


class Plan(msgspec.Struct):
    """Actions to carry out, in the order of the fields."""

    # Jobs whose changed progress must be stored first.
    changed: list[Job] = msgspec.field(default_factory=list)
    # The jobs among them that have just ended.
    ended: list[Job] = msgspec.field(default_factory=list)
    starts: list[Allocation] = msgspec.field(default_factory=list)
    stops: list[Allocation] = msgspec.field(default_factory=list)
    # Runs that a crash of their worker was counted against.
    accused: list[AccusedRun] = msgspec.field(default_factory=list)
    # Units that the stops preempt.
    preempted: list[PreemptedUnit] = msgspec.field(default_factory=list)
    # Whether another pass must follow immediately.
    is_partial: bool = False
    # Request for the first waiting unit that lacks tickets.
    advice_request: AdviceRequest | None = None

    def extend(self, other: 'Plan') -> None:
        """Append the actions of ``other``, which starts nothing."""
        self.changed.extend(other.changed)
        self.ended.extend(other.ended)
        self.stops.extend(other.stops)
        self.accused.extend(other.accused)

    def starts_by_job(self) -> dict[JobId, list[Allocation]]:
        """Return the starts that must wait until their job is stored."""
        starts: dict[JobId, list[Allocation]] = {}
        for allocation in self.starts:
            starts.setdefault(allocation.unit.job.id, []).append(allocation)
        return starts
