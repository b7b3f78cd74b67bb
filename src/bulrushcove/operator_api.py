"""JSON messages between the operators' command line and an entry VM."""

from typing import Annotated

import msgspec

from .configuration import Change
from .contract import Contract
from .ids import (
    AttemptId,
    DomainName,
    JobId,
    OperationId,
    OrganisationId,
    Revision,
    WorkerId,
)
from .messages import DomainView, VmStatus
from .states import Adjacency, DomainState, JobState, Outcome, Urgency

OPERATOR_PATH = '/v1/operator'
CONTRACTS_PATH = f'{OPERATOR_PATH}/contracts'
DOMAINS_PATH = f'{OPERATOR_PATH}/domains'
JOBS_PATH = f'{OPERATOR_PATH}/jobs'
WORKERS_PATH = f'{OPERATOR_PATH}/workers'
STATUS_PATH = f'{OPERATOR_PATH}/status'

MAX_OPERATION_CHARACTERS = 64
MAX_OPERATOR_CHARACTERS = 128

Operation = Annotated[
    OperationId,
    msgspec.Meta(
        pattern=f'^[0-9a-zA-Z._-]{{1,{MAX_OPERATION_CHARACTERS}}}$',
    ),
]
OperatorName = Annotated[
    str,
    msgspec.Meta(max_length=MAX_OPERATOR_CHARACTERS),
]


class ChangeOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters that every change by an operator has."""

    # Idempotency key: a change that is sent again is applied once.
    operation: Operation
    operator: OperatorName = ''
    # The change is refused if the same contract or domain changed after this
    # revision; None: the stored revision at the first attempt.
    based_on: Revision | None = None
    dry_run: bool = False
    # Take a domain out of service although that breaks guarantees.
    force: bool = False


class ContractChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a change of a contract."""

    order: ChangeOrder
    contract: Contract


class DomainChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a change of a failure domain's state."""

    order: ChangeOrder
    state: DomainState


class ChangeResponse(msgspec.Struct, frozen=True):
    """Result of a change."""

    # False after a dry run and when the change has no effect.
    changed: bool
    # Revision that holds the change.
    revision: Revision
    operation: OperationId
    differences: tuple[str, ...] = ()
    # Description of the previous change of the same contract or domain;
    # empty: none.
    previous: tuple[str, ...] = ()
    # Guarantees that the change breaks, or would break.
    broken_guarantees: tuple[str, ...] = ()
    # Jobs queued or running in a domain that is taken out of service.
    affected_jobs: tuple[JobId, ...] = ()


class ErrorResponse(msgspec.Struct, frozen=True):
    """Body of every error response."""

    outcome: Outcome
    message: str
    field: str = ''
    limit: str = ''
    trace: str = ''
    details: tuple[str, ...] = ()


class ConfigurationResponse(msgspec.Struct, frozen=True):
    """The configuration.

    ``stored`` is false when the store is unavailable: the configuration is
    then the one in force on the VM that responds.
    """

    revision: Revision
    stored: bool
    contracts: dict[OrganisationId, Contract]
    domains: dict[DomainName, DomainState]
    changes: tuple[Change, ...] = ()


class DomainStatus(msgspec.Struct, frozen=True):
    """The state of a failure domain and the last report of its control."""

    domain: DomainName
    # None: operators never set it.
    state: DomainState | None
    # None: no recent report from an active control.
    view: DomainView | None
    # None: no start permit, so no task starts.
    permit_age_ms: int | None


class StatusResponse(msgspec.Struct, frozen=True):
    """The state of the system as the control on the entry's VM sees it."""

    revision: Revision
    # Whether the entry has received a view from the control on its VM.
    control_linked: bool
    platform_reachable: bool
    vms: tuple[VmStatus, ...]
    domains: tuple[DomainStatus, ...]


class JobSummary(msgspec.Struct, frozen=True):
    """A job as shown to operators, without its payload and results."""

    job: JobId
    organisation: OrganisationId
    kind: str
    state: JobState
    domain: DomainName
    tasks: int
    accelerators: int
    adjacency: Adjacency
    urgency: Urgency
    idempotent: bool
    accepted_unix_ms: int
    ended_unix_ms: int
    attempts: int
    attempt: AttemptId | None
    workers: tuple[WorkerId, ...]
    borrowed: bool
    cancel_requested: bool
    reason: str


class JobList(msgspec.Struct, frozen=True):
    """Jobs, oldest first; ``left_out`` older ones exceed the limit."""

    jobs: tuple[JobSummary, ...]
    left_out: int


class Explanation(msgspec.Struct, frozen=True):
    """Why a job is in its current state, one sentence per line."""

    job: JobId
    lines: tuple[str, ...]


class WorkerStatus(msgspec.Struct, frozen=True):
    """A worker and the state of its failure domain."""

    worker: WorkerId
    domain: DomainName
    domain_state: DomainState | None
    rack: str
    accelerators: int
    cores: int
    memory_mb: int


class WorkerList(msgspec.Struct, frozen=True):
    """Workers that responded, sorted by domain, rack and name."""

    workers: tuple[WorkerStatus, ...]
