"""What callers, operators and probes observed during a run."""

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
    # None without a complete response.
    status: int | None = None
    outcome: Outcome | None = None
    # Whether the body is the complete response to this request.
    body_matches: bool = False
    # Reason of a refusal.
    message: str = ''

    @property
    def is_served(self) -> bool:
        """Return whether the caller received a successful response."""
        return self.status is not None and self.status < 300


class CallerJob(msgspec.Struct, frozen=True):
    """One job as its caller saw it."""

    organisation: OrganisationId
    job: JobId
    tasks: int
    idempotent: bool
    sent_at_s: float
    accepted: bool
    # Outcome reported with a refusal.
    outcome: Outcome | None = None
    message: str = ''
    # Latest observed state, and when it was observed.
    state: JobState | None = None
    ended_at_s: float = 0.0
    results: tuple[str, ...] = ()
    expected_results: tuple[str, ...] = ()
    # Whether its shape was guaranteed and unused when it was submitted.
    guaranteed: bool = False
    cancelled: bool = False
    # Set for a job made to fail or larger than the cluster.
    may_fail: bool = False


class DomainChange(msgspec.Struct, frozen=True):
    """A failure domain taken out of service or returned by an operator."""

    domain: DomainName
    state: DomainState
    sent_at_s: float
    accepted_at_s: float


class AcceptedRevision(msgspec.Struct, frozen=True):
    """A configuration change that was reported as accepted."""

    revision: Revision
    accepted_at_s: float


class ObservedRevision(msgspec.Struct, frozen=True):
    """Revision in force in one process at one time.

    Recorded only while another VM can reach the process.
    """

    at_s: float
    # VM and incarnation: a restarted process may have no configuration.
    process: str
    revision: Revision


class BackendDrain(msgspec.Struct, frozen=True):
    """The draining of a backend server: its first signal and its end."""

    backend: BackendId
    first_signal_at_s: float
    returned_at_s: float | None = None


class PlannedStop(msgspec.Struct, frozen=True):
    """A planned stop of an entry VM."""

    vm: VmId
    at_s: float


class IsolationProbe(msgspec.Struct, frozen=True):
    """Responses for another organisation's job and for an unknown job."""

    requester: OrganisationId
    target: str
    status: int
    body: str
    # Response for an unknown id, with that id replaced.
    unknown_status: int
    unknown_body: str
    # Texts that only the owner may see.
    secrets: tuple[str, ...] = ()


class History(msgspec.Struct, frozen=True):
    """Input of all checks; all times are on one monotonic clock."""

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
