"""Actions that follow from a scheduling pass, a report or a request."""

import msgspec

from ..ids import JobId
from .advice import AdviceRequest
from .job_state import Allocation, Job
from .progress_model import Stall, Suspicion
from .worker_crashes import AccusedRun


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
    # Runs that make their worker suspected of standing still, and those whose
    # stop follows from a standstill.
    suspicions: list[Suspicion] = msgspec.field(default_factory=list)
    stalls: list[Stall] = msgspec.field(default_factory=list)
    # Whether another pass must follow immediately.
    is_partial: bool = False
    # Request for the step whose turn at the adviser it is.
    advice_request: AdviceRequest | None = None

    def extend(self, other: 'Plan') -> None:
        """Append the actions of ``other``, which starts nothing."""
        self.changed.extend(other.changed)
        self.ended.extend(other.ended)
        self.stops.extend(other.stops)
        self.accused.extend(other.accused)
        self.suspicions.extend(other.suspicions)
        self.stalls.extend(other.stalls)

    def starts_by_job(self) -> dict[JobId, list[Allocation]]:
        """Return the starts that must wait until their job is stored."""
        starts: dict[JobId, list[Allocation]] = {}
        for allocation in self.starts:
            starts.setdefault(allocation.unit.job.id, []).append(allocation)
        return starts
