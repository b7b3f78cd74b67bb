"""The control daemon of a VM.

It is the active control of the domains that it is elected for.
"""

from aiohttp import ClientSession, web
from mode import Service

from .clock import SystemClock
from .configuration_holder import ConfigurationHolder
from .configuration_poll import ConfigurationPoll
from .control_metrics import ControlMetrics
from .controller_context import ControllerContext
from .domain_elections import DomainElections
from .election import Election
from .hello import CONTROL_ROLE, new_hello
from .job_store import JobStore
from .metrics import add_metrics_route, new_metrics
from .peers import Peers
from .permit import StartPermits
from .program import run_program
from .scheduling_pass import plan_in_steps
from .settings import Settings
from .store_etcd import EtcdStore
from .worker_client import WorkerClient

HEALTH_PATH = '/healthz'
READY_PATH = '/readyz'


class ControlApplication(Service):
    """Starts and stops all services of the daemon."""

    def __init__(self, settings: Settings) -> None:
        """Prepare the daemon of the VM that ``settings`` describe."""
        super().__init__()
        self._settings = settings
        self._clock = SystemClock()
        self._configuration_holder = ConfigurationHolder()
        self._permits = StartPermits()
        self._hello = new_hello(settings.vm, CONTROL_ROLE)
        self._metrics = new_metrics()
        self._sessions: list[ClientSession] = []
        self._runner: web.AppRunner | None = None
        self._peers: Peers | None = None
        self._elections: DomainElections | None = None

    async def on_start(self) -> None:
        """Start the services in the order of their dependencies."""
        store = EtcdStore(self._open_session(), self._settings.platform)
        poll = ConfigurationPoll(
            store,
            self._clock,
            self._settings.control.poll_ms,
            self._configuration_holder,
            self._permits,
        )
        peers = Peers(
            self._settings,
            self._clock,
            self._open_session(),
            self._hello,
            self._configuration_holder,
            self._permits,
        )
        client = WorkerClient(
            self._open_session(),
            self._settings.control.worker_timeout_ms,
        )
        elections = self._make_elections(store, peers, client)
        peers.on_notice = elections.handle_notice
        peers.platform_reachable = lambda: poll.platform_reachable
        self._peers = peers
        self._elections = elections
        await self._serve_http()
        await poll.poll()
        for service in (
            poll,
            peers,
            elections,
            ControlMetrics(self._metrics, store, client, elections),
        ):
            await self.add_runtime_dependency(service)

    async def on_stop(self) -> None:
        """Resign from all domains, so other controls take over at once."""
        if self._peers is not None:
            self._peers.is_draining = True
        if self._elections is not None:
            await self._elections.hand_over()

    async def on_shutdown(self) -> None:
        """Close the HTTP server and the client sessions."""
        if self._runner is not None:
            await self._runner.cleanup()
        for session in self._sessions:
            await session.close()

    def _open_session(self) -> ClientSession:
        session = ClientSession()
        self._sessions.append(session)
        return session

    def _make_elections(
        self, store: EtcdStore, peers: Peers, client: WorkerClient
    ) -> DomainElections:
        control = self._settings.control
        election = Election(
            store,
            self._clock,
            self._hello.vm,
            self._hello.incarnation,
            control.control_lease_ms,
        )
        context = ControllerContext(
            vm=self._hello.vm,
            settings=control,
            clock=self._clock,
            job_store=JobStore(store),
            client=client,
            configuration_holder=self._configuration_holder,
            permits=self._permits,
            vms=lambda: peers.vms,
            views=peers.domain_views,
            statuses=lambda: peers.statuses,
            publish=peers.publish,
            notify=peers.notify_job,
            plan=plan_in_steps,
        )
        return DomainElections(self._hello.domain, election, context)

    async def _serve_http(self) -> None:
        application = web.Application()
        application.router.add_get(HEALTH_PATH, _handle_health)
        application.router.add_get(READY_PATH, self._handle_ready)
        add_metrics_route(application.router, self._metrics)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        control = self._settings.control
        site = web.TCPSite(self._runner, control.host, control.http_port)
        await site.start()

    async def _handle_ready(self, _request: web.Request) -> web.Response:
        revision = self._configuration_holder.current.revision
        if revision:
            return web.Response(text=f'revision {revision}\n')
        raise web.HTTPServiceUnavailable(text='no configuration is known\n')


async def _handle_health(_request: web.Request) -> web.Response:
    return web.Response(text='ok\n')


def main() -> None:
    """Run the daemon."""
    run_program(ControlApplication, 'bulrushcove-control')


if __name__ == '__main__':
    main()
