"""Admission of requests by contract: a core without I/O.

Each organisation has limits on requests in progress and queued; this VM's
share of a limit is the limit over the live entry VMs, rounded up. Waiting
requests are granted room urgent first, and between organisations by weighted
fair queueing, the weight being the contract's limit in progress.
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
# Weight of the newest service time in the moving average.
SMOOTHING = 0.1
# Part of the observed service time that a request needs at the least.
LEAST_SERVICE_SHARE = 0.5


@unique
class TicketState(Enum):
    """Where an admitted request stands."""

    NEW = 'new'
    ARRIVED = 'arrived'
    QUEUED = 'queued'
    IN_PROGRESS = 'in progress'
    GONE = 'gone'


class Ticket(msgspec.Struct, eq=False):
    """One request; ``granted`` is called when its wait for room ends."""

    organisation: OrganisationId
    urgent: bool
    deadline_s: float
    granted: Callable[[], None]
    place: TicketState = TicketState.NEW


class _Tenant(msgspec.Struct, eq=False):
    """Counts and queues of one organisation."""

    contract: Contract | None = None
    entries: int = 0
    share: int = 1
    most_queued: int = 0
    urgent_share: int = 1
    arriving: int = 0
    in_progress: int = 0
    urgent_in_progress: int = 0
    urgent: deque[Ticket] = msgspec.field(default_factory=deque)
    normal: deque[Ticket] = msgspec.field(default_factory=deque)
    # Virtual time of weighted fair queueing.
    virtual: float = 0.0
    service_s: float = 0.0

    @property
    def queued(self) -> int:
        return len(self.urgent) + len(self.normal)

    @property
    def waiting(self) -> int:
        return self.arriving + self.queued


def share_per_vm(limit: int, live_entries: int) -> int:
    """Return this VM's share of a limit over all entry VMs, rounded up."""
    return -(-limit // max(1, live_entries))


class Admission:
    """Queues and counts of the requests on this VM."""

    def __init__(self) -> None:
        """Start empty."""
        self._tenants: dict[OrganisationId, _Tenant] = {}
        self._virtual = 0.0
        self.in_progress = 0
        self.queued = 0

    def admit(
        self,
        contract: Contract,
        live_entries: int,
        now_s: float,
        ticket: Ticket,
    ) -> None:
        """Count ``ticket``; raises ``RefusedError`` when it has no chance."""
        tenant = self._tenant_of(contract, live_entries)
        room = tenant.share - tenant.in_progress
        if tenant.waiting - room >= tenant.most_queued:
            raise _queue_full(contract, live_entries)
        _check_deadline(tenant, ticket, now_s)
        tenant.arriving += 1
        ticket.place = TicketState.ARRIVED

    def queue(self, ticket: Ticket) -> None:
        """Let an arrived ``ticket`` wait for room."""
        tenant = self._tenants[ticket.organisation]
        if not tenant.queued:
            tenant.virtual = max(tenant.virtual, self._virtual)
        tenant.arriving -= 1
        queue = tenant.urgent if ticket.urgent else tenant.normal
        queue.append(ticket)
        self.queued += 1
        ticket.place = TicketState.QUEUED

    def mean_service_s(self, organisation: OrganisationId) -> float:
        """Return the observed mean service time; 0: none was observed."""
        tenant = self._tenants.get(organisation)
        return tenant.service_s if tenant else 0.0

    def grant(self, now_s: float) -> Ticket | None:
        """Move the next ticket to in progress; None: none may go.

        A ticket that can no longer finish in time is told so and dropped.
        """
        while True:
            tenant = self._next_tenant()
            if tenant is None:
                return None
            ticket = self._take(tenant)
            least_s = tenant.service_s * LEAST_SERVICE_SHARE
            if now_s + least_s < ticket.deadline_s or not tenant.in_progress:
                return self._start(tenant, ticket)
            ticket.place = TicketState.GONE
            ticket.granted()

    def remove(self, ticket: Ticket, service_s: float | None = None) -> None:
        """Take ``ticket`` out; ``service_s`` is its observed service time."""
        tenant = self._tenants[ticket.organisation]
        if ticket.place is TicketState.ARRIVED:
            tenant.arriving -= 1
        elif ticket.place is TicketState.QUEUED:
            queue = tenant.urgent if ticket.urgent else tenant.normal
            queue.remove(ticket)
            self.queued -= 1
        elif ticket.place is TicketState.IN_PROGRESS:
            tenant.in_progress -= 1
            tenant.urgent_in_progress -= ticket.urgent
            self.in_progress -= 1
            _observe(tenant, service_s)
        ticket.place = TicketState.GONE

    def _tenant_of(self, contract: Contract, live_entries: int) -> _Tenant:
        tenant = self._tenants.get(contract.organisation)
        if tenant is None:
            tenant = _Tenant()
            self._tenants[contract.organisation] = tenant
        if tenant.contract is not contract or tenant.entries != live_entries:
            _derive_shares(tenant, contract, live_entries)
        return tenant

    def _next_tenant(self) -> _Tenant | None:
        open_tenants = [
            tenant
            for tenant in self._tenants.values()
            if tenant.queued and tenant.in_progress < tenant.share
        ]
        urgent = [tenant for tenant in open_tenants if _may_go_first(tenant)]
        return min(urgent or open_tenants, key=_virtual, default=None)

    def _take(self, tenant: _Tenant) -> Ticket:
        self.queued -= 1
        first = _may_go_first(tenant) or not tenant.normal
        return (tenant.urgent if first else tenant.normal).popleft()

    def _start(self, tenant: _Tenant, ticket: Ticket) -> Ticket:
        self._virtual = max(self._virtual, tenant.virtual)
        tenant.virtual += 1 / tenant.share
        tenant.in_progress += 1
        tenant.urgent_in_progress += ticket.urgent
        self.in_progress += 1
        ticket.place = TicketState.IN_PROGRESS
        ticket.granted()
        return ticket


def deadline_unreachable() -> RefusedError:
    """Return the refusal of work that cannot finish before its deadline."""
    return RefusedError(
        UNAVAILABLE,
        'the request cannot finish before its deadline',
        field='X-Bulrushcove-Deadline-Ms',
    )


def _derive_shares(
    tenant: _Tenant,
    contract: Contract,
    live_entries: int,
) -> None:
    limits = contract.requests
    tenant.contract = contract
    tenant.entries = live_entries
    tenant.share = share_per_vm(limits.max_in_progress, live_entries)
    tenant.most_queued = share_per_vm(limits.max_queued, live_entries)
    urgent = tenant.share * contract.urgent_share_percent
    tenant.urgent_share = -(-urgent // PERCENT)


def _queue_full(contract: Contract, live_entries: int) -> RefusedError:
    return RefusedError(
        TOO_MANY_REQUESTS,
        f'the queue of {contract.organisation} is full',
        field='requests.max_queued',
        limit=f'{contract.requests.max_queued} over {live_entries} entry VMs',
    )


def _check_deadline(tenant: _Tenant, ticket: Ticket, now_s: float) -> None:
    """Refuse what cannot be granted in time behind those that wait."""
    if not tenant.queued:
        return
    ahead = len(tenant.urgent) if ticket.urgent else tenant.queued
    rounds = ahead / tenant.share + 1
    if now_s + rounds * tenant.service_s > ticket.deadline_s:
        raise deadline_unreachable()


def _may_go_first(tenant: _Tenant) -> bool:
    return bool(tenant.urgent) and (
        tenant.urgent_in_progress < tenant.urgent_share
    )


def _virtual(tenant: _Tenant) -> float:
    return tenant.virtual


def _observe(tenant: _Tenant, service_s: float | None) -> None:
    if service_s is None:
        return
    if tenant.service_s:
        tenant.service_s += (service_s - tenant.service_s) * SMOOTHING
    else:
        tenant.service_s = service_s
