"""Keeps the router's picture of the backend servers up to date."""

import asyncio
from collections.abc import Callable, Iterable

from mode import Service

from .backend_client import BackendClient, BackendNotRunError
from .exceptions import BackendError
from .request_metrics import RequestMetrics
from .request_path import RequestPath
from .routing import Router, Server
from .vm_list import VmEntry

TICK_S = 0.02
PROBE_INTERVAL_S = 1.0
MAX_PROBES_PER_S = 100.0
UNRESPONSIVE_AFTER_PROBES = 2
PUBLISH_INTERVAL_S = 0.5


class BackendWatch(Service):
    """Follows the VM list, probes servers, wakes waiting requests."""

    def __init__(
        self,
        router: Router,
        client: BackendClient,
        path: RequestPath,
        vms: Callable[[], Iterable[VmEntry]],
        metrics: RequestMetrics,
    ) -> None:
        """Update ``router`` from ``vms`` and from probes of ``client``."""
        super().__init__()
        self._router = router
        self._client = client
        self._path = path
        self._vms = vms
        self._metrics = metrics
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
    async def _publish_metrics(self) -> None:
        while not self.should_stop:
            self._metrics.publish(self._path.in_progress, self._path.queued)
            await asyncio.sleep(PUBLISH_INTERVAL_S)

    @Service.task
    async def _probe_servers(self) -> None:
        while not self.should_stop:
            servers = tuple(self._router.servers.values())
            await asyncio.gather(*(self._probe(server) for server in servers))
            round_s = len(servers) / MAX_PROBES_PER_S
            await asyncio.sleep(max(PROBE_INTERVAL_S, round_s))

    async def _probe(self, server: Server) -> None:
        """Take over what ``server`` says of itself.

        One that says nothing is left out only after a second time: the delay
        may have been this process's own.
        """
        try:
            state = await self._client.probe(server)
        except BackendNotRunError:
            server.is_unreachable = True
        except BackendError:
            server.failed_probes += 1
            server.is_unresponsive = (
                server.failed_probes >= UNRESPONSIVE_AFTER_PROBES
            )
        else:
            server.failed_probes = 0
            server.is_unreachable = False
            server.is_unresponsive = False
            server.reports_draining = state.leaving
