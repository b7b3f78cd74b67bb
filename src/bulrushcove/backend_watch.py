"""Keeps the router's picture of the backend servers up to date."""

import asyncio
from collections.abc import Callable, Iterable

from mode import Service

from .backend_client import BackendClient
from .clock import Clock
from .exceptions import BackendError
from .request_path import RequestPath
from .routing import Router, Server
from .vm_list import VmEntry

TICK_S = 0.02
PROBE_INTERVAL_S = 1.0
# A server from which nothing came for so long is probed.
QUIET_S = 2.0


class BackendWatch(Service):
    """Follows the VM list, probes quiet servers, wakes waiting requests."""

    def __init__(
        self,
        router: Router,
        client: BackendClient,
        path: RequestPath,
        vms: Callable[[], Iterable[VmEntry]],
        clock: Clock,
    ) -> None:
        """Update ``router`` from ``vms`` and from probes of ``client``."""
        super().__init__()
        self._router = router
        self._client = client
        self._path = path
        self._vms = vms
        self._clock = clock
        self._seen: Iterable[VmEntry] = ()

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            vms = self._vms()
            if vms is not self._seen:
                self._seen = vms
                self._router.update(vms)
            self._path.dispatch()
            await asyncio.sleep(TICK_S)

    @Service.task
    async def _probe_quiet_servers(self) -> None:
        while not self.should_stop:
            now_s = self._clock.monotonic_s()
            await asyncio.gather(
                *(
                    self._probe(server)
                    for server in self._router.servers.values()
                    if not server.usable or now_s - server.heard_s > QUIET_S
                )
            )
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, server: Server) -> None:
        try:
            state = await self._client.probe(server)
        except BackendError:
            server.unreachable = True
            return
        server.heard_s = self._clock.monotonic_s()
        server.unreachable = False
        server.silent = False
        server.said_leaving = state.leaving
