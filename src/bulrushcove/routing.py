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

MAX_CONNECTIONS = 64
SLOTS = 8
# A server that said busy is left out for so long, doubled each time.
FIRST_PAUSE_S = 0.02
LAST_PAUSE_S = 0.64
GROWTH = 1.0
SHRINK = 0.8
LEAST_LIMIT = 1.0
CHOICES = 2
NONE_AVOIDED: frozenset[BackendId] = frozenset()


class Server(msgspec.Struct, eq=False):
    """A backend server as this entry VM knows it."""

    backend: BackendId
    domain: DomainName
    url: str
    in_progress: int = 0
    # Signs, each of which keeps new work away.
    listed_leaving: bool = False
    said_leaving: bool = False
    unreachable: bool = False
    silent: bool = False
    busy_until_s: float = 0.0
    pause_s: float = FIRST_PAUSE_S
    # Requests that this VM may have on it, adapted to what it answers.
    limit: float = LEAST_LIMIT
    # Last time that any byte came from it.
    heard_s: float = 0.0

    @property
    def usable(self) -> bool:
        """Return whether no sign keeps new work away."""
        return not (
            self.listed_leaving
            or self.said_leaving
            or self.unreachable
            or self.silent
        )


class Router:
    """Servers of the VM list and the work this entry VM has on each."""

    def __init__(self, domain: DomainName, rng: random.Random) -> None:
        """Route for an entry VM of ``domain``."""
        self._domain = domain
        self._random = rng
        self.servers: dict[BackendId, Server] = {}
        self.live_entries = 1
        self._near_entries = 1

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

    def note_served(self, server: Server) -> None:
        """Take more of ``server`` when what it may have was used up."""
        server.pause_s = FIRST_PAUSE_S
        if server.in_progress >= int(server.limit):
            more = server.limit + GROWTH / server.limit
            server.limit = min(more, self.per_server_limit())

    def note_busy(self, server: Server, now_s: float) -> None:
        """Take less of ``server`` and leave it alone for a while."""
        server.limit = max(LEAST_LIMIT, server.limit * SHRINK)
        server.busy_until_s = now_s + server.pause_s
        server.pause_s = min(LAST_PAUSE_S, server.pause_s * 2)

    def pick(
        self,
        now_s: float,
        avoid: frozenset[BackendId] = NONE_AVOIDED,
    ) -> Server | None:
        """Return the server for the next request; None: none has room.

        Servers in ``avoid`` are taken only when no other has room.
        """
        near: list[Server] = []
        far: list[Server] = []
        avoided: list[Server] = []
        for server in self.servers.values():
            if not _has_room(server, now_s):
                continue
            if server.backend in avoid:
                avoided.append(server)
            elif server.domain == self._domain:
                near.append(server)
            else:
                far.append(server)
        return self._less_loaded(near or far or avoided)

    def per_server_limit(self) -> int:
        """Return how many requests this VM may have on one server.

        All live entry VMs together stay within its connections, with one
        connection of each left for probes.
        """
        connections = MAX_CONNECTIONS // self.live_entries - 1
        return max(1, min(SLOTS, connections))

    def capacity(self, now_s: float) -> int:
        """Return how many requests may be in progress now."""
        return sum(
            _capacity_of(server, now_s)
            for server in self.servers.values()
            if server.usable
        )

    def _start_limit(self, domain: DomainName) -> float:
        if domain != self._domain:
            return LEAST_LIMIT
        share = SLOTS / max(1, self._near_entries)
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
        server.listed_leaving = vm.state is VmState.LEAVING
        return server

    def _less_loaded(self, servers: list[Server]) -> Server | None:
        if len(servers) > CHOICES:
            servers = self._random.sample(servers, CHOICES)
        return min(servers, key=_load, default=None)


def _has_room(server: Server, now_s: float) -> bool:
    return (
        server.busy_until_s <= now_s
        and server.in_progress < int(server.limit)
        and server.usable
    )


def _capacity_of(server: Server, now_s: float) -> int:
    if server.busy_until_s > now_s:
        return server.in_progress
    return max(server.in_progress, int(server.limit))


def _load(server: Server) -> int:
    return server.in_progress
