"""Admission control of requests by contract; does no I/O.

A contract limits how many requests of an organisation are in progress and how
many are queued. This VM applies its share: the limit divided by the number of
live entry VMs, rounded up. Queued requests start in the order of weighted fair
queueing between organisations, weighted by the contract's limit in progress;
urgent requests go first, up to the organisation's urgent share.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum, unique

import msgspec

from .contract import Contract
from .exceptions import RefusedError
from .ids import OrganisationId

TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
PERCENT = 100
# Weight of the newest service time in the exponential moving average.
SMOOTHING_FACTOR = 0.1
# A request is assumed to need at least this part of the mean service time.
MIN_SERVICE_RATIO = 0.5


@unique
class TicketState(Enum):
    """State of a ticket."""

    NEW = 'new'
    ADMITTED = 'arrived'
    QUEUED = 'queued'
    IN_PROGRESS = 'in progress'
    GONE = 'gone'


class Ticket(msgspec.Struct, eq=False):
    """One request; ``on_decision`` is called when its wait ends."""

    organisation: OrganisationId
    is_urgent: bool
    deadline_s: float
    on_decision: Callable[[], None]
    state: TicketState = TicketState.NEW


class _Tenant(msgspec.Struct, eq=False):
    """Limits, counts and queues of one organisation on this VM."""

    contract: Contract | None = None
    live_entries: int = 0
    in_progress_limit: int = 1
    queue_limit: int = 0
    urgent_limit: int = 1
    admitted: int = 0
    in_progress: int = 0
    urgent_in_progress: int = 0
    urgent_queue: deque[Ticket] = msgspec.field(default_factory=deque)
    normal_queue: deque[Ticket] = msgspec.field(default_factory=deque)
    # Weighted fair queueing: the lowest virtual time is served next.
    virtual_time: float = 0.0
    # Moving average; 0 until a service time was observed.
    mean_service_s: float = 0.0

    @property
    def queued(self) -> int:
        return len(self.urgent_queue) + len(self.normal_queue)

    @property
    def waiting(self) -> int:
        return self.admitted + self.queued


def share_per_vm(limit: int, live_entries: int) -> int:
    """Return ``limit`` divided by the live entry VMs, rounded up."""
    return -(-limit // max(1, live_entries))


class Admission:
    """Limits, queues and counts of all organisations on this VM."""

    def __init__(self) -> None:
        """Start without requests."""
        self._tenants: dict[OrganisationId, _Tenant] = {}
        self._virtual_time = 0.0
        self.in_progress = 0
        self.queued = 0

    def admit(
        self,
        contract: Contract,
        live_entries: int,
        now_s: float,
        ticket: Ticket,
    ) -> None:
        """Count ``ticket`` against its organisation's limits.

        Raises ``RefusedError`` when the queue is full (429) or the request
        cannot be served before its deadline (503).
        """
        tenant = self._tenant_of(contract, live_entries)
        free = tenant.in_progress_limit - tenant.in_progress
        if tenant.waiting - free >= tenant.queue_limit:
            raise _queue_full(contract, live_entries)
        _check_deadline(tenant, ticket, now_s)
        tenant.admitted += 1
        ticket.state = TicketState.ADMITTED

    def queue(self, ticket: Ticket) -> None:
        """Put an admitted ``ticket`` into its organisation's queue."""
        tenant = self._tenants[ticket.organisation]
        if not tenant.queued:
            tenant.virtual_time = max(tenant.virtual_time, self._virtual_time)
        tenant.admitted -= 1
        queue = tenant.urgent_queue if ticket.is_urgent else tenant.normal_queue
        queue.append(ticket)
        self.queued += 1
        ticket.state = TicketState.QUEUED

    def mean_service_s(self, organisation: OrganisationId) -> float:
        """Return the mean service time; 0 if none was observed yet."""
        tenant = self._tenants.get(organisation)
        return tenant.mean_service_s if tenant else 0.0

    def grant(self, now_s: float) -> Ticket | None:
        """Move the next queued ticket to in progress and return it.

        Returns None when no queued ticket is within its limits. Tickets that
        can no longer finish before their deadline are removed; while an
        organisation has nothing in progress they are started all the same,
        so that a wrong mean service time gets corrected.
        """
        while True:
            tenant = self._next_tenant()
            if tenant is None:
                return None
            ticket = self._pop_next(tenant)
            min_service_s = tenant.mean_service_s * MIN_SERVICE_RATIO
            if (
                now_s + min_service_s < ticket.deadline_s
                or not tenant.in_progress
            ):
                return self._start(tenant, ticket)
            ticket.state = TicketState.GONE
            ticket.on_decision()

    def remove(self, ticket: Ticket, service_s: float | None = None) -> None:
        """Remove ``ticket`` in whatever state it is.

        ``service_s`` is the observed service time of a request that ended.
        """
        tenant = self._tenants[ticket.organisation]
        if ticket.state is TicketState.ADMITTED:
            tenant.admitted -= 1
        elif ticket.state is TicketState.QUEUED:
            queue = (
                tenant.urgent_queue if ticket.is_urgent else tenant.normal_queue
            )
            queue.remove(ticket)
            self.queued -= 1
        elif ticket.state is TicketState.IN_PROGRESS:
            tenant.in_progress -= 1
            tenant.urgent_in_progress -= ticket.is_urgent
            self.in_progress -= 1
            _record_service_time(tenant, service_s)
        ticket.state = TicketState.GONE

    def _tenant_of(self, contract: Contract, live_entries: int) -> _Tenant:
        tenant = self._tenants.get(contract.organisation)
        if tenant is None:
            tenant = _Tenant()
            self._tenants[contract.organisation] = tenant
        if (
            tenant.contract is not contract
            or tenant.live_entries != live_entries
        ):
            _update_limits(tenant, contract, live_entries)
        return tenant

    def _next_tenant(self) -> _Tenant | None:
        eligible = [
            tenant
            for tenant in self._tenants.values()
            if tenant.queued and tenant.in_progress < tenant.in_progress_limit
        ]
        urgent = [tenant for tenant in eligible if _is_urgent_next(tenant)]
        return min(urgent or eligible, key=_virtual_time_of, default=None)

    def _pop_next(self, tenant: _Tenant) -> Ticket:
        self.queued -= 1
        is_urgent = _is_urgent_next(tenant) or not tenant.normal_queue
        return (
            tenant.urgent_queue if is_urgent else tenant.normal_queue
        ).popleft()

    def _start(self, tenant: _Tenant, ticket: Ticket) -> Ticket:
        self._virtual_time = max(self._virtual_time, tenant.virtual_time)
        tenant.virtual_time += 1 / tenant.in_progress_limit
        tenant.in_progress += 1
        tenant.urgent_in_progress += ticket.is_urgent
        self.in_progress += 1
        ticket.state = TicketState.IN_PROGRESS
        ticket.on_decision()
        return ticket


def deadline_unreachable() -> RefusedError:
    """Return the error for a request that would miss its deadline."""
    return RefusedError(
        UNAVAILABLE,
        'the request cannot finish before its deadline',
        field='X-Bulrushcove-Deadline-Ms',
    )


def _update_limits(
    tenant: _Tenant,
    contract: Contract,
    live_entries: int,
) -> None:
    limits = contract.requests
    tenant.contract = contract
    tenant.live_entries = live_entries
    tenant.in_progress_limit = share_per_vm(
        limits.max_in_progress, live_entries
    )
    tenant.queue_limit = share_per_vm(limits.max_queued, live_entries)
    urgent = tenant.in_progress_limit * contract.urgent_share_percent
    tenant.urgent_limit = -(-urgent // PERCENT)


def _queue_full(contract: Contract, live_entries: int) -> RefusedError:
    return RefusedError(
        TOO_MANY_REQUESTS,
        f'the request queue of {contract.organisation} is full',
        field='requests.max_queued',
        limit=f'{contract.requests.max_queued} over {live_entries} entry VMs',
    )


def _check_deadline(tenant: _Tenant, ticket: Ticket, now_s: float) -> None:
    """Raise ``RefusedError`` if the queue ahead takes past the deadline."""
    if not tenant.queued:
        return
    ahead = len(tenant.urgent_queue) if ticket.is_urgent else tenant.queued
    rounds = ahead / tenant.in_progress_limit + 1
    if now_s + rounds * tenant.mean_service_s > ticket.deadline_s:
        raise deadline_unreachable()


def _is_urgent_next(tenant: _Tenant) -> bool:
    return bool(tenant.urgent_queue) and (
        tenant.urgent_in_progress < tenant.urgent_limit
    )


def _virtual_time_of(tenant: _Tenant) -> float:
    return tenant.virtual_time


def _record_service_time(tenant: _Tenant, service_s: float | None) -> None:
    if service_s is None:
        return
    if tenant.mean_service_s:
        tenant.mean_service_s += (
            service_s - tenant.mean_service_s
        ) * SMOOTHING_FACTOR
    else:
        tenant.mean_service_s = service_s
