"""Decodes the entries that operators and workers write into the store.

Wire terms differ from those of this package: a route is a queue, a service a
pool, a tenant an organisation, a server a worker and a zone a failure domain.
"""

import logging
import re
from functools import lru_cache
from typing import Annotated, Literal

import msgspec

from ..batch.ids import PoolName, QueueName
from ..batch.job_spec import TaskSize
from ..batch.policy import (
    Adviser,
    Organisation,
    Policy,
    Pool,
    Queue,
    RequestLimits,
)
from ..batch.workers import WorkerEntry
from ..ids import DomainName, OrganisationId, RackId, WorkerId
from ..logs import MAX_LOGGED_ERRORS, log_event
from ..node.addresses import AddressError, split_address
from .exceptions import UndecodableError
from .http_client import decode
from .numbers import WireInt

OPERATORS_PREFIX = 'op/'
POLICY_KEY = 'op/config'
# Each key below this prefix takes one failure domain out of service.
CLOSED_DOMAINS_PREFIX = 'op/evacuate/'
WORKERS_PREFIX = 'servers/'

logger = logging.getLogger(__name__)

# Far above any machine, and each number and their sums are exact in a float: a
# capacity beyond would fail the scheduling pass or draw all work to it.
MAX_WORKER_MILLICORES = 10_000_000
MAX_WORKER_MEMORY_MB = 1_000_000_000
MAX_WORKER_ACCELERATORS = 10_000
# The last millisecond of the year 9999.
MAX_UNIX_MS = 253_402_300_799_999
# Far above any factor in use; with it a due time still fits a float.
MAX_STRETCH = 1_000_000
# Far above any pool of workers, and exact in a float.
MAX_LIMIT = 1_000_000_000_000
# Far above any share in use; its quotients are exact enough in a float.
MAX_WEIGHT = 1_000_000
# A week; a worker announces at most minutes.
MAX_DRAIN_MS = 604_800_000
# The id of a worker goes into an HTTP header: printable ASCII without spaces,
# at most as long as a key of the store.
_WORKER_ID_PATTERN = re.compile('[!-~]{1,200}')

# msgspec's name for lower case words joined by hyphens.
_HYPHENATED = 'kebab'


class _Advice(msgspec.Struct, rename=_HYPHENATED):
    decision_ms: WireInt = 0
    # Added to decision_ms for each worker in a request.
    period_ms: WireInt = 0
    validity_ms: WireInt = 0


class _Route(msgspec.Struct, rename=_HYPHENATED):
    """A queue; ``service`` is the pool that runs its tasks."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: WireInt = 0
    # Slack, not a duration: a job is on time if it ends within its longest
    # chain of steps times stretch plus this.
    target_duration_ms: WireInt = 0
    priority: WireInt = 1
    max_attempts: WireInt = 1
    stretch: Annotated[float, msgspec.Meta(ge=0, le=MAX_STRETCH)] = 1.0
    # Whether callers need no credential.
    public: bool = False
    advice: _Advice | None = None


class _Service(msgspec.Struct, rename=_HYPHENATED):
    name: str
    enforces_capacity: bool = False
    standby: bool = False


class _Limits(msgspec.Struct, rename=_HYPHENATED):
    max_header_bytes: WireInt = 16_384
    max_body_bytes: WireInt = 262_144
    header_timeout_ms: WireInt = 3000
    idle_timeout_ms: WireInt = 15_000


class _Guaranteed(msgspec.Struct, rename=_HYPHENATED):
    gpu: WireInt = 0


_Limit = Annotated[int, msgspec.Meta(ge=0, le=MAX_LIMIT)]


class _Cap(msgspec.Struct, rename=_HYPHENATED):
    """What may run over all servers; 0: no limit."""

    # In millicores.
    cpu: _Limit = 0
    mem_mb: _Limit = 0
    gpu: _Limit = 0


class _Tenant(msgspec.Struct, rename=_HYPHENATED):
    name: str
    api_keys: list[str] = []
    guaranteed: _Guaranteed | None = None
    weight: Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)] = 0
    cap: _Cap | None = None


class _Config(msgspec.Struct, rename=_HYPHENATED):
    version: WireInt
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Capacity(msgspec.Struct, rename=_HYPHENATED):
    # In millicores.
    cpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_WORKER_MILLICORES)]
    mem_mb: Annotated[int, msgspec.Meta(ge=0, le=MAX_WORKER_MEMORY_MB)]
    gpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_WORKER_ACCELERATORS)] = 0


class _Server(msgspec.Struct, rename=_HYPHENATED):
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: Literal['ready', 'draining']
    seq: int
    capacity: _Capacity
    # The kind of the worker, then its rack as the last label.
    labels: list[str]
    # Unix milliseconds at which this incarnation of the worker started.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)] = 0
    # Below zero: the announced time has passed.
    drain_remaining_ms: Annotated[float, msgspec.Meta(le=MAX_DRAIN_MS)] = 0


def decode_policy(stored: bytes) -> Policy | None:
    """Decode the operators' configuration.

    Logs an error and returns None if it cannot be decoded.
    """
    try:
        config = decode(stored, _Config)
    except UndecodableError as exc:
        log_event(logger, 'policy.undecodable', level=logging.ERROR, error=exc)
        return None
    return Policy(
        version=config.version,
        queues=tuple(_make_queue(route) for route in config.routes),
        organisations=tuple(
            _make_organisation(tenant) for tenant in config.tenants
        ),
        pools=tuple(_make_pool(service) for service in config.services),
        request_limits=_make_request_limits(config.limits),
    )


def decode_worker(key: str, stored: bytes) -> WorkerEntry | None:
    """Decode a worker's entry; None if it names no worker to use."""
    worker = WorkerId(key.removeprefix(WORKERS_PREFIX))
    try:
        server = _decode_server(worker, stored)
    except (UndecodableError, AddressError) as exc:
        _log_undecodable(worker, str(exc))
        return None
    labels = server.labels
    capacity = server.capacity
    return WorkerEntry(
        worker=worker,
        pool=PoolName(server.service),
        address=server.address,
        domain=DomainName(server.zone),
        rack=RackId(labels[-1] if labels else ''),
        labels=frozenset(labels),
        capacity=TaskSize(capacity.cpu, capacity.mem_mb, capacity.gpu),
        started_unix_ms=server.born,
        is_draining=server.state == 'draining',
        shutdown_in_ms=max(0, int(server.drain_remaining_ms)),
    )


@lru_cache(maxsize=MAX_LOGGED_ERRORS)
def _log_undecodable(worker: WorkerId, error: str) -> None:
    """Log an error once, although the entry is rewritten each second."""
    log_event(logger, 'worker.undecodable', worker=worker, error=error)


def _decode_server(worker: WorkerId, stored: bytes) -> _Server:
    if not _WORKER_ID_PATTERN.fullmatch(worker):
        raise UndecodableError('the id is not printable ASCII')
    server = decode(stored, _Server)
    split_address(server.address)
    return server


def parse_closed_domain(key: str) -> DomainName | None:
    """Return the failure domain that ``key`` takes out of service.

    None if ``key`` is another kind of entry.
    """
    if not key.startswith(CLOSED_DOMAINS_PREFIX):
        return None
    return DomainName(key.removeprefix(CLOSED_DOMAINS_PREFIX))


def _make_request_limits(limits: _Limits) -> RequestLimits:
    """Return the limits; one that is not above zero has its default."""
    stated = msgspec.structs.asdict(limits)
    return RequestLimits(
        **{name: limit for name, limit in stated.items() if limit > 0}
    )


def _make_queue(route: _Route) -> Queue:
    advice = route.advice
    return Queue(
        name=QueueName(route.name),
        host=route.host.lower(),
        prefix=route.prefix,
        pool=PoolName(route.service),
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_ms=route.target_duration_ms,
        timeout_ms=route.timeout_ms,
        is_public=route.public,
        adviser=advice
        and Adviser(
            decision_ms=advice.decision_ms,
            per_worker_ms=advice.period_ms,
            validity_ms=advice.validity_ms,
        ),
    )


def _make_organisation(tenant: _Tenant) -> Organisation:
    guaranteed = tenant.guaranteed
    cap = tenant.cap or _Cap()
    return Organisation(
        name=OrganisationId(tenant.name),
        credentials=frozenset(tenant.api_keys),
        guaranteed_accelerators=guaranteed.gpu if guaranteed else 0,
        limit=TaskSize(cap.cpu, cap.mem_mb, cap.gpu),
        weight=tenant.weight,
    )


def _make_pool(service: _Service) -> Pool:
    return Pool(
        name=PoolName(service.name),
        enforces_capacity=service.enforces_capacity,
        is_standby=service.standby,
    )
