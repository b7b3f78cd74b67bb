"""Keeps the router's state of the backend servers up to date."""

import asyncio
from collections.abc import Callable, Iterable

from mode import Service

from .backend_client import BackendClient, BackendNotRunError
from .exceptions import BackendError
from .request_metrics import RequestMetrics
from .request_path import RequestPath
from .routing import Router, Server
from .vm_list import VmEntry

UPDATE_INTERVAL_S = 0.02
PROBE_INTERVAL_S = 1.0
MAX_PROBES_PER_S = 100.0
UNRESPONSIVE_AFTER_PROBES = 2
PUBLISH_INTERVAL_S = 0.5


class BackendWatch(Service):
    """Applies VM lists, probes servers and starts queued requests."""

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
        self._last_vms: Iterable[VmEntry] = ()

    @Service.task
    async def _apply_vm_lists(self) -> None:
        while not self.should_stop:
            vms = self._vms()
            if vms is not self._last_vms:
                self._last_vms = vms
                self._router.update(vms)
            self._path.dispatch()
            await asyncio.sleep(UPDATE_INTERVAL_S)

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
            min_interval_s = len(servers) / MAX_PROBES_PER_S
            await asyncio.sleep(max(PROBE_INTERVAL_S, min_interval_s))

    async def _probe(self, server: Server) -> None:
        """Update ``server`` from the response to a probe.

        A single probe without a response does not count: the delay may have
        been in this process.
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
