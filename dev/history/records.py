"""What callers, operators and probes saw during a run."""

import msgspec

from bulrushcove.ids import (
    BackendId,
    DomainName,
    JobId,
    OrganisationId,
    RequestId,
    Revision,
    VmId,
)
from bulrushcove.states import DomainState, JobState, Outcome, Urgency
from dev.history.events import RequestEvent, TaskEvent


class CallerRequest(msgspec.Struct, frozen=True):
    """One request as its caller saw it."""

    organisation: OrganisationId
    request: RequestId
    vm: VmId
    sent_at_s: float
    ended_at_s: float
    idempotent: bool
    urgency: Urgency = Urgency.NORMAL
    # None: no whole answer came.
    status: int | None = None
    outcome: Outcome | None = None
    # Whether the body is the one that belongs to this request.
    body_matches: bool = False
    # Why it was refused.
    message: str = ''

    @property
    def is_served(self) -> bool:
        """Return whether the caller holds a successful answer."""
        return self.status is not None and self.status < 300


class CallerJob(msgspec.Struct, frozen=True):
    """One job as its caller saw it."""

    organisation: OrganisationId
    job: JobId
    tasks: int
    idempotent: bool
    sent_at_s: float
    accepted: bool
    # Outcome told with a refusal.
    outcome: Outcome | None = None
    message: str = ''
    # Latest state seen, and when.
    state: JobState | None = None
    ended_at_s: float = 0.0
    results: tuple[str, ...] = ()
    expected_results: tuple[str, ...] = ()
    # Its shape was guaranteed and not in use when it was sent.
    guaranteed: bool = False
    cancelled: bool = False
    # It asks for a failure, or for more than there is.
    may_fail: bool = False


class DomainChange(msgspec.Struct, frozen=True):
    """A failure domain taken out or brought back by an operator."""

    domain: DomainName
    state: DomainState
    sent_at_s: float
    accepted_at_s: float


class AcceptedRevision(msgspec.Struct, frozen=True):
    """A change of the configuration that was said to be accepted."""

    revision: Revision
    accepted_at_s: float


class ObservedRevision(msgspec.Struct, frozen=True):
    """Revision in force in one process at a time.

    Recorded only while some other VM could reach the process.
    """

    at_s: float
    # VM and incarnation: a new process may start from nothing.
    process: str
    revision: Revision


class BackendDrain(msgspec.Struct, frozen=True):
    """A backend server that left; the first sign of it, and its return."""

    backend: BackendId
    first_signal_at_s: float
    returned_at_s: float | None = None


class PlannedStop(msgspec.Struct, frozen=True):
    """A planned stop of an entry VM."""

    vm: VmId
    at_s: float


class IsolationProbe(msgspec.Struct, frozen=True):
    """Asking for another organisation's thing, and for one that is not."""

    requester: OrganisationId
    target: str
    status: int
    body: str
    # Answer for an id that nobody has, with that id replaced.
    unknown_status: int
    unknown_body: str
    # Words that only the owner may see.
    secrets: tuple[str, ...] = ()


class History(msgspec.Struct, frozen=True):
    """Everything that the checks look at, on one monotonic clock."""

    tasks: tuple[TaskEvent, ...] = ()
    requests: tuple[RequestEvent, ...] = ()
    caller_requests: tuple[CallerRequest, ...] = ()
    caller_jobs: tuple[CallerJob, ...] = ()
    domain_changes: tuple[DomainChange, ...] = ()
    accepted_revisions: tuple[AcceptedRevision, ...] = ()
    observed_revisions: tuple[ObservedRevision, ...] = ()
    drains: tuple[BackendDrain, ...] = ()
    stops: tuple[PlannedStop, ...] = ()
    probes: tuple[IsolationProbe, ...] = ()
