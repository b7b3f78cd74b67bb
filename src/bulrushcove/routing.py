"""Chooses backend servers for requests; does no I/O.

Local servers (of this VM's failure domain) come first; among those with a
free slot the less loaded of two random choices is taken. A server gets no new
requests while it is draining, unreachable or unresponsive.

Entry VMs share the slots of a server without communicating: each starts with
its share of the slots of a local server and with one slot of any other server,
raises its limit additively while requests succeed and lowers it by a factor
after a busy response. Repeated busy responses back off exponentially.
"""

import random
from collections.abc import Iterable

import msgspec

from .ids import BackendId, DomainName
from .states import VmRole, VmState
from .vm_list import VmEntry

MAX_CONNECTIONS_PER_SERVER = 64
SLOTS_PER_SERVER = 8
# Backoff after a busy response; doubles with each further one.
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.64
LIMIT_INCREASE = 1.0
LIMIT_DECREASE_FACTOR = 0.8
MIN_LIMIT = 1.0
NO_BACKENDS: frozenset[BackendId] = frozenset()


class Server(msgspec.Struct, eq=False):
    """A backend server as this entry VM knows it."""

    backend: BackendId
    domain: DomainName
    url: str
    in_progress: int = 0
    # No new requests are sent while any of the next four is set.
    listed_as_draining: bool = False
    reports_draining: bool = False
    is_unreachable: bool = False
    is_unresponsive: bool = False
    busy_until_s: float = 0.0
    backoff_s: float = MIN_BACKOFF_S
    # Requests that this VM may have on it, adapted to its responses.
    limit: float = MIN_LIMIT
    # Consecutive probes without a response.
    failed_probes: int = 0

    @property
    def is_usable(self) -> bool:
        """Return whether the server may be given new requests."""
        return not (
            self.listed_as_draining
            or self.reports_draining
            or self.is_unreachable
            or self.is_unresponsive
        )


class Router:
    """Backend servers of the VM list, with this VM's requests on each."""

    def __init__(self, domain: DomainName, rng: random.Random) -> None:
        """Route for an entry VM of ``domain``."""
        self._domain = domain
        self._random = rng
        self.servers: dict[BackendId, Server] = {}
        self.live_entries = 1
        # Requests on all servers together.
        self.active_requests = 0
        self._local_entries = 1
        self._local_servers: list[Server] = []

    def update(self, vms: Iterable[VmEntry]) -> None:
        """Apply a VM list; the state of servers still listed is kept."""
        listed: dict[BackendId, Server] = {}
        entries = [
            vm.domain
            for vm in vms
            if vm.role is VmRole.ENTRY and vm.state is VmState.LIVE
        ]
        self.live_entries = max(1, len(entries))
        self._local_entries = entries.count(self._domain)
        for vm in vms:
            if vm.role is VmRole.BACKEND:
                server = self._server_of(vm)
                listed[server.backend] = server
        self.servers = listed
        self._local_servers = [
            server
            for server in listed.values()
            if server.domain == self._domain
        ]

    def acquire(self, server: Server, acquired: list[Server]) -> None:
        """Count one request on ``server`` and append it to ``acquired``."""
        server.in_progress += 1
        self.active_requests += 1
        acquired.append(server)

    def release(self, acquired: list[Server]) -> None:
        """Remove the request from the counts of all servers ``acquired``."""
        while acquired:
            acquired.pop().in_progress -= 1
            self.active_requests -= 1

    def record_success(self, server: Server) -> None:
        """Reset the backoff, and raise the limit if it was reached."""
        server.backoff_s = MIN_BACKOFF_S
        if server.in_progress >= int(server.limit):
            raised = server.limit + LIMIT_INCREASE / server.limit
            server.limit = min(raised, self.per_server_limit())

    def record_busy(self, server: Server, now_s: float) -> None:
        """Lower the limit of ``server`` and back off from it."""
        server.limit = max(MIN_LIMIT, server.limit * LIMIT_DECREASE_FACTOR)
        server.busy_until_s = now_s + server.backoff_s
        server.backoff_s = min(MAX_BACKOFF_S, server.backoff_s * 2)

    def pick(
        self,
        now_s: float,
        avoid: frozenset[BackendId] = NO_BACKENDS,
    ) -> Server | None:
        """Return the server for the next request; None if no slot is free.

        Servers in ``avoid`` are chosen only if no other has a free slot.
        """
        if not avoid:
            chosen = self._pick_local(now_s)
            if chosen is not None:
                return chosen
        local: list[Server] = []
        remote: list[Server] = []
        avoided: list[Server] = []
        for server in self.servers.values():
            if not _has_free_slot(server, now_s):
                continue
            if server.backend in avoid:
                avoided.append(server)
            elif server.domain == self._domain:
                local.append(server)
            else:
                remote.append(server)
        return self._less_loaded(local or remote or avoided)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether any server has a free slot for this VM."""
        return any(
            _has_free_slot(server, now_s) for server in self.servers.values()
        )

    def per_server_limit(self) -> int:
        """Return the most requests that this VM may have on one server.

        All live entry VMs together stay within the connections of the server,
        with one connection of each VM left for probes.
        """
        connections = MAX_CONNECTIONS_PER_SERVER // self.live_entries - 1
        return max(1, min(SLOTS_PER_SERVER, connections))

    def is_local(self, server: Server) -> bool:
        """Return whether ``server`` is in this VM's own failure domain."""
        return server.domain == self._domain

    def capacity(self, now_s: float) -> int:
        """Return how many requests all servers together may have now."""
        return sum(
            _capacity_of(server, now_s)
            for server in self.servers.values()
            if server.is_usable
        )

    def _initial_limit(self, domain: DomainName) -> float:
        if domain != self._domain:
            return MIN_LIMIT
        share = SLOTS_PER_SERVER / max(1, self._local_entries)
        return max(MIN_LIMIT, min(share, self.per_server_limit()))

    def _server_of(self, vm: VmEntry) -> Server:
        backend = BackendId(vm.vm)
        url = f'http://{vm.address}:{vm.port}'
        server = self.servers.get(backend)
        if server is None or server.url != url:
            server = Server(
                backend=backend,
                domain=vm.domain,
                url=url,
                limit=self._initial_limit(vm.domain),
            )
        server.listed_as_draining = vm.state is VmState.LEAVING
        return server

    def _pick_local(self, now_s: float) -> Server | None:
        """Return the less loaded of two local servers if both have a slot."""
        if not self._local_servers:
            return None
        one = self._choose(self._local_servers)
        other = self._choose(self._local_servers)
        if not (_has_free_slot(one, now_s) and _has_free_slot(other, now_s)):
            return None
        return min(one, other, key=_load)

    def _less_loaded(self, servers: list[Server]) -> Server | None:
        if not servers:
            return None
        return min(self._choose(servers), self._choose(servers), key=_load)

    def _choose(self, servers: list[Server]) -> Server:
        return servers[int(self._random.random() * len(servers))]


def _has_free_slot(server: Server, now_s: float) -> bool:
    return (
        server.busy_until_s <= now_s
        and server.in_progress < int(server.limit)
        and server.is_usable
    )


def _capacity_of(server: Server, now_s: float) -> int:
    if server.busy_until_s > now_s:
        return server.in_progress
    return max(server.in_progress, int(server.limit))


def _load(server: Server) -> int:
    return server.in_progress
