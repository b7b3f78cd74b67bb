"""The operators' configuration as far as the scheduler needs it."""

import msgspec

from ..ids import DomainName, OrganisationId
from .ids import PoolName, QueueName
from .job_spec import QueueTerms, TaskSize


class Adviser(msgspec.Struct, frozen=True, kw_only=True):
    """Response times and ticket validity of the adviser of one queue."""

    decision_ms: int
    per_worker_ms: int
    # Read from the configuration, but not used by the scheduler.
    validity_ms: int


# For a queue without a configured adviser; they only limit the wait for the
# response.
DEFAULT_DECISION_MS = 500
DEFAULT_PER_WORKER_MS = 20
DEFAULT_ADVISER = Adviser(
    decision_ms=DEFAULT_DECISION_MS,
    per_worker_ms=DEFAULT_PER_WORKER_MS,
    validity_ms=0,
)


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue and the host and path prefix at which callers reach it."""

    name: QueueName
    host: str
    prefix: str
    pool: PoolName
    priority: int = 1
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    # Read from the configuration, but not used by the scheduler.
    timeout_ms: int = 0
    # Whether requests need no credential.
    is_public: bool = False
    adviser: Adviser | None = None


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """An organisation, its credentials and its capacity."""

    name: OrganisationId
    credentials: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0
    # What it may have running over all domains; 0: no limit.
    limit: TaskSize = TaskSize()
    # Its share in proportion to others when all is full; 0: none is set.
    weight: float = 0.0


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of workers."""

    name: PoolName
    # Whether its workers reject tasks that exceed their capacity; not used by
    # the scheduler.
    enforces_capacity: bool = False
    # Read from the configuration, but not used by the scheduler.
    is_standby: bool = False


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that callers are granted; in force until operators set others."""

    # From the request line to the empty line after the header fields.
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    # From the first byte of a head to its last.
    header_timeout_ms: int = 3000
    # Longest silence between two requests, or within a body.
    idle_timeout_ms: int = 15_000


DEFAULT_REQUEST_LIMITS = RequestLimits()


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration; version numbers only increase."""

    version: int
    queues: tuple[Queue, ...]
    organisations: tuple[Organisation, ...]
    pools: tuple[Pool, ...]
    request_limits: RequestLimits = DEFAULT_REQUEST_LIMITS


def find_queue(policy: Policy, host: str, path: str) -> Queue | None:
    """Return the queue of ``host`` whose prefix is the longest for ``path``.

    Returns ``None`` when no queue matches.
    """
    best = None
    for queue in policy.queues:
        if queue.host != host or not path.startswith(queue.prefix):
            continue
        if best is None or len(queue.prefix) > len(best.prefix):
            best = queue
    return best


def find_organisation(policy: Policy, credential: str) -> Organisation | None:
    """Return the organisation that ``credential`` belongs to, if any."""
    for organisation in policy.organisations:
        if credential in organisation.credentials:
            return organisation
    return None


def find_adviser(policy: Policy | None, name: QueueName) -> Adviser:
    """Return the adviser settings of the queue ``name``, or defaults.

    The defaults also serve jobs whose queue is no longer configured; such
    jobs still run to their end.
    """
    for queue in policy.queues if policy else ():
        if queue.name == name and queue.adviser is not None:
            return queue.adviser
    return DEFAULT_ADVISER


def grant_terms(queue: Queue, organisation: OrganisationId) -> QueueTerms:
    """Return the terms for a job that ``queue`` accepts now."""
    return QueueTerms(
        queue=queue.name,
        pool=queue.pool,
        organisation=organisation,
        priority=queue.priority,
        max_attempts=max(1, queue.max_attempts),
        stretch=queue.stretch,
        target_ms=queue.target_ms,
        needs_advice=queue.adviser is not None,
    )


class DesiredState(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration and closed domains that the operators have set."""

    policy: Policy | None = None
    # Failure domains in which no run may be started.
    closed_domains: frozenset[DomainName] = frozenset()
    # Store revision up to which this state is complete.
    revision: int = 0


def newer_desired_state(
    known: DesiredState, update: DesiredState
) -> DesiredState:
    """Return the state with the higher revision.

    The policy keeps the higher version: it never reverts to an older one.
    """
    if update.revision < known.revision:
        return known
    policy = update.policy
    if policy is None or (
        known.policy is not None and policy.version < known.policy.version
    ):
        policy = known.policy
    return msgspec.structs.replace(update, policy=policy)
