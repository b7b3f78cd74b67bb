"""Messages between the operators' command line and an entry VM (JSON)."""

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
    """How an operator wants a change made."""

    # The same operation id is applied once, however often it is sent.
    operation: Operation
    operator: OperatorName = ''
    # Refuse when the thing changed after this revision; None: after the
    # revision that the write is first based on.
    based_on: Revision | None = None
    dry_run: bool = False
    # Take a domain out although that breaks guarantees.
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
    """What became of a change."""

    # False after a dry run and when everything was so already.
    changed: bool
    # Revision that holds the change.
    revision: Revision
    operation: OperationId
    differences: tuple[str, ...] = ()
    # The change of the same thing before this one, in words; empty: none.
    previous: tuple[str, ...] = ()
    # Guarantees that the change breaks, or would break.
    broken_guarantees: tuple[str, ...] = ()
    # Jobs queued or running in a domain that is taken out.
    affected_jobs: tuple[JobId, ...] = ()


class ErrorResponse(msgspec.Struct, frozen=True):
    """Body of each answer that is not a success."""

    outcome: Outcome
    message: str
    field: str = ''
    limit: str = ''
    trace: str = ''
    details: tuple[str, ...] = ()


class ConfigurationResponse(msgspec.Struct, frozen=True):
    """The configuration; ``stored`` is false where the store is unreachable.

    It is then the one in force on the VM that was asked.
    """

    revision: Revision
    stored: bool
    contracts: dict[OrganisationId, Contract]
    domains: dict[DomainName, DomainState]
    changes: tuple[Change, ...] = ()


class DomainStatus(msgspec.Struct, frozen=True):
    """A failure domain: what operators set and what its control reports."""

    domain: DomainName
    # None: operators never named it.
    state: DomainState | None
    # None: no active control has reported lately.
    view: DomainView | None
    # None: no start permit, so that no task starts.
    permit_age_ms: int | None


class StatusResponse(msgspec.Struct, frozen=True):
    """The system as the control next to the entry that was asked sees it."""

    revision: Revision
    # Whether the entry has heard from the control on its VM.
    control_linked: bool
    platform_reachable: bool
    vms: tuple[VmStatus, ...]
    domains: tuple[DomainStatus, ...]


class JobSummary(msgspec.Struct, frozen=True):
    """A job as operators see it: never its payload or results."""

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
    """Jobs, oldest first; ``left_out`` more are over the limit asked for."""

    jobs: tuple[JobSummary, ...]
    left_out: int


class Explanation(msgspec.Struct, frozen=True):
    """Why a job is where it is, a sentence a line."""

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
    """Workers that answered, by domain, rack and name."""

    workers: tuple[WorkerStatus, ...]
