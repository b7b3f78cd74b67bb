"""Choice of a backend server: a core without I/O.

Near servers first, then the less loaded of two drawn at random. A server is
left out while any sign says that it is leaving or gone.

Entry VMs share the slots of a server without talking: each starts at its
share of the servers of its own domain and at one slot of the others, takes
more while that goes well, and less after a busy answer. A server that keeps
saying busy is left alone for longer each time.
"""

import random
from collections.abc import Iterable

import msgspec

from .ids import BackendId, DomainName
from .states import VmRole, VmState
from .vm_list import VmEntry

MAX_CONNECTIONS_PER_SERVER = 64
SLOTS_PER_SERVER = 8
# A server that said busy is left out for so long, doubled each time.
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.64
GROWTH = 1.0
SHRINK = 0.8
LEAST_LIMIT = 1.0
NO_BACKENDS: frozenset[BackendId] = frozenset()


class Server(msgspec.Struct, eq=False):
    """A backend server as this entry VM knows it."""

    backend: BackendId
    domain: DomainName
    url: str
    in_progress: int = 0
    # Signs, each of which keeps new work away.
    listed_as_draining: bool = False
    reports_draining: bool = False
    is_unreachable: bool = False
    is_unresponsive: bool = False
    busy_until_s: float = 0.0
    backoff_s: float = MIN_BACKOFF_S
    # Requests that this VM may have on it, adapted to what it answers.
    limit: float = LEAST_LIMIT
    # Probes in a row that got no answer.
    failed_probes: int = 0

    @property
    def is_usable(self) -> bool:
        """Return whether no sign keeps new work away."""
        return not (
            self.listed_as_draining
            or self.reports_draining
            or self.is_unreachable
            or self.is_unresponsive
        )


class Router:
    """Servers of the VM list and the work this entry VM has on each."""

    def __init__(self, domain: DomainName, rng: random.Random) -> None:
        """Route for an entry VM of ``domain``."""
        self._domain = domain
        self._random = rng
        self.servers: dict[BackendId, Server] = {}
        self.live_entries = 1
        # Requests on servers, all together.
        self.active_requests = 0
        self._near_entries = 1
        self._near: list[Server] = []

    def update(self, vms: Iterable[VmEntry]) -> None:
        """Take over the VM list; what was learnt of a server is kept."""
        listed: dict[BackendId, Server] = {}
        entries = [
            vm.domain
            for vm in vms
            if vm.role is VmRole.ENTRY and vm.state is VmState.LIVE
        ]
        self.live_entries = max(1, len(entries))
        self._near_entries = entries.count(self._domain)
        for vm in vms:
            if vm.role is VmRole.BACKEND:
                server = self._server_of(vm)
                listed[server.backend] = server
        self.servers = listed
        self._near = [
            server
            for server in listed.values()
            if server.domain == self._domain
        ]

    def acquire(self, server: Server, acquired: list[Server]) -> None:
        """Count one request on ``server`` until ``acquired`` is given back."""
        server.in_progress += 1
        self.active_requests += 1
        acquired.append(server)

    def release(self, acquired: list[Server]) -> None:
        """Count the request on none of ``acquired`` any more."""
        while acquired:
            acquired.pop().in_progress -= 1
            self.active_requests -= 1

    def record_success(self, server: Server) -> None:
        """Take more of ``server`` when what it may have was used up."""
        server.backoff_s = MIN_BACKOFF_S
        if server.in_progress >= int(server.limit):
            more = server.limit + GROWTH / server.limit
            server.limit = min(more, self.per_server_limit())

    def record_busy(self, server: Server, now_s: float) -> None:
        """Take less of ``server`` and leave it alone for a while."""
        server.limit = max(LEAST_LIMIT, server.limit * SHRINK)
        server.busy_until_s = now_s + server.backoff_s
        server.backoff_s = min(MAX_BACKOFF_S, server.backoff_s * 2)

    def pick(
        self,
        now_s: float,
        avoid: frozenset[BackendId] = NO_BACKENDS,
    ) -> Server | None:
        """Return the server for the next request; None: none has room.

        Servers in ``avoid`` are taken only when no other has room.
        """
        if not avoid:
            drawn = self._draw_near(now_s)
            if drawn is not None:
                return drawn
        near: list[Server] = []
        far: list[Server] = []
        avoided: list[Server] = []
        for server in self.servers.values():
            if not _has_free_slot(server, now_s):
                continue
            if server.backend in avoid:
                avoided.append(server)
            elif server.domain == self._domain:
                near.append(server)
            else:
                far.append(server)
        return self._less_loaded(near or far or avoided)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether some server can be given one more request."""
        return any(
            _has_free_slot(server, now_s) for server in self.servers.values()
        )

    def per_server_limit(self) -> int:
        """Return how many requests this VM may have on one server.

        All live entry VMs together stay within its connections, with one
        connection of each left for probes.
        """
        connections = MAX_CONNECTIONS_PER_SERVER // self.live_entries - 1
        return max(1, min(SLOTS_PER_SERVER, connections))

    def is_local(self, server: Server) -> bool:
        """Return whether ``server`` is in this VM's own domain."""
        return server.domain == self._domain

    def capacity(self, now_s: float) -> int:
        """Return how many requests may be in progress now."""
        return sum(
            _capacity_of(server, now_s)
            for server in self.servers.values()
            if server.is_usable
        )

    def _start_limit(self, domain: DomainName) -> float:
        if domain != self._domain:
            return LEAST_LIMIT
        share = SLOTS_PER_SERVER / max(1, self._near_entries)
        return max(LEAST_LIMIT, min(share, self.per_server_limit()))

    def _server_of(self, vm: VmEntry) -> Server:
        backend = BackendId(vm.vm)
        url = f'http://{vm.address}:{vm.port}'
        server = self.servers.get(backend)
        if server is None or server.url != url:
            server = Server(
                backend=backend,
                domain=vm.domain,
                url=url,
                limit=self._start_limit(vm.domain),
            )
        server.listed_as_draining = vm.state is VmState.LEAVING
        return server

    def _draw_near(self, now_s: float) -> Server | None:
        """Return the less loaded of two near servers if both have room."""
        if not self._near:
            return None
        one = self._draw(self._near)
        other = self._draw(self._near)
        if not (_has_free_slot(one, now_s) and _has_free_slot(other, now_s)):
            return None
        return min(one, other, key=_load)

    def _less_loaded(self, servers: list[Server]) -> Server | None:
        if not servers:
            return None
        return min(self._draw(servers), self._draw(servers), key=_load)

    def _draw(self, servers: list[Server]) -> Server:
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
