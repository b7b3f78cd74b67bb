"""Choice of a backend server: a core without I/O.

Near servers first, then the less loaded of two drawn at random. A server is
left out while any sign says that it is leaving or gone.
"""

import random
from collections.abc import Iterable

import msgspec

from .ids import BackendId, DomainName
from .states import VmRole, VmState
from .vm_list import VmEntry

MAX_CONNECTIONS = 64
SLOTS = 8
# A server that said busy is left out for so long.
BUSY_PAUSE_S = 0.02
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

    def update(self, vms: Iterable[VmEntry]) -> None:
        """Take over the VM list; what was learnt of a server is kept."""
        listed: dict[BackendId, Server] = {}
        entries = 0
        for vm in vms:
            if vm.role is VmRole.BACKEND:
                server = self._server_of(vm)
                listed[server.backend] = server
            elif vm.role is VmRole.ENTRY:
                entries += vm.state is VmState.LIVE
        self.servers = listed
        self.live_entries = max(1, entries)

    def pick(
        self,
        now_s: float,
        avoid: frozenset[BackendId] = NONE_AVOIDED,
    ) -> Server | None:
        """Return the server for the next request; None: none has room.

        Servers in ``avoid`` are taken only when no other has room.
        """
        most = self.per_server_limit()
        near: list[Server] = []
        far: list[Server] = []
        avoided: list[Server] = []
        for server in self.servers.values():
            if not _has_room(server, now_s, most):
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

    def capacity(self) -> int:
        """Return how many requests may be in progress at once."""
        usable = sum(server.usable for server in self.servers.values())
        return usable * self.per_server_limit()

    def _server_of(self, vm: VmEntry) -> Server:
        backend = BackendId(vm.vm)
        url = f'http://{vm.address}:{vm.port}'
        server = self.servers.get(backend)
        if server is None or server.url != url:
            server = Server(backend=backend, domain=vm.domain, url=url)
        server.listed_leaving = vm.state is VmState.LEAVING
        return server

    def _less_loaded(self, servers: list[Server]) -> Server | None:
        if len(servers) > CHOICES:
            servers = self._random.sample(servers, CHOICES)
        return min(servers, key=_load, default=None)


def _has_room(server: Server, now_s: float, most: int) -> bool:
    return (
        server.usable
        and server.in_progress < most
        and server.busy_until_s <= now_s
    )


def _load(server: Server) -> int:
    return server.in_progress
