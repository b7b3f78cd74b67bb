"""The entry daemon: HTTP for callers and operators."""

import asyncio
import gc
import random

from aiohttp import ClientSession
from mode import Service

from .authentication import TokenIndex
from .caller_routes import CallerContext, add_caller_routes
from .clock import MS_PER_S, Clock, SystemClock
from .control_link import ControlLink
from .hello import ENTRY_ROLE, new_hello
from .http_server import HttpServer
from .job_context import JobContext
from .job_routes import add_job_routes
from .job_store import JobStore
from .job_watch import JobWatch
from .metrics import new_metrics
from .operator_mount import OperatorContext, mount_operator_routes
from .program import run_program
from .request_metrics import RequestMetrics
from .request_parts import RequestParts, new_request_parts
from .routing import Router
from .settings import Settings
from .store import Store
from .store_etcd import EtcdStore

NAME = 'bulrushcove-entry'


class EntryApplication(Service):
    """Owns all parts of the daemon, starts them and stops them in order."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create the parts that need no event loop."""
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._router = Router(settings.vm.domain, rng)
        self._hello = new_hello(settings.vm, ENTRY_ROLE)
        self._control_link = ControlLink(settings, self._hello)
        self._metrics = new_metrics()
        self._request_metrics = RequestMetrics(self._metrics)

    async def on_start(self) -> None:
        """Start all parts; open the port for callers last."""
        self._platform_session = ClientSession()
        store = EtcdStore(self._platform_session, self._settings.platform)
        self._job_store = JobStore(store)
        self._job_watch = JobWatch(self._job_store, self._clock)
        parts = self._make_request_parts(store)
        self._client = parts.client
        self._path = parts.path
        for part in (
            self._control_link,
            parts.claims,
            parts.watch,
            self._job_watch,
        ):
            await self.add_runtime_dependency(part)
        entry = self._settings.entry
        self._server = HttpServer(self._metrics, self._find_unready_reason)
        self._add_routes(store)
        await self._server.open(entry.host, entry.port)
        # Modules and parts live until exit, so collections need not scan them.
        gc.collect()
        gc.freeze()

    async def on_stop(self) -> None:
        """Fail readiness for a balancer interval, then shut down gracefully."""
        entry = self._settings.entry
        self._server.health.is_draining = True
        await asyncio.sleep(entry.balancer_interval_ms / MS_PER_S)
        self._job_watch.release_waiters()
        await self._server.close(entry.stop_timeout_ms / MS_PER_S)

    async def on_shutdown(self) -> None:
        """Close the HTTP sessions, which are unused by now."""
        await self._client.close()
        await self._platform_session.close()

    def _add_routes(self, store: Store) -> None:
        tokens = TokenIndex()
        router = self._server.router
        mount_operator_routes(
            router,
            OperatorContext(
                store=store,
                session=self._platform_session,
                clock=self._clock,
                active_configuration=lambda: self._control_link.configuration,
                view=lambda: self._control_link.view,
                notify=self._control_link.notify_job,
                push=self._control_link.push_configuration,
                token_sha256=self._settings.entry.operator_token_sha256,
            ),
        )
        add_caller_routes(router, self._make_caller_context(tokens))
        add_job_routes(router, self._make_job_context(tokens))

    def _make_caller_context(self, tokens: TokenIndex) -> CallerContext:
        return CallerContext(
            settings=self._settings.entry,
            configuration=lambda: self._control_link.configuration,
            tokens=tokens,
            path=self._path,
            clock=self._clock,
            metrics=self._request_metrics,
        )

    def _make_job_context(self, tokens: TokenIndex) -> JobContext:
        return JobContext(
            settings=self._settings.entry,
            domain=self._settings.vm.domain,
            configuration=lambda: self._control_link.configuration,
            tokens=tokens,
            job_store=self._job_store,
            watch=self._job_watch,
            control=self._control_link,
            clock=self._clock,
        )

    def _make_request_parts(self, store: Store) -> RequestParts:
        return new_request_parts(
            self._settings,
            self._hello.incarnation,
            self._router,
            store,
            lambda: (
                self._control_link.view.vms if self._control_link.view else ()
            ),
            self._request_metrics,
            self._clock,
        )

    def _find_unready_reason(self) -> str:
        if not self._control_link.configuration.revision:
            return 'no configuration has been received yet'
        if not self._router.servers:
            return 'no backend server is known yet'
        return ''


def make_entry(settings: Settings) -> EntryApplication:
    """Return the daemon, using the system clock."""
    return EntryApplication(settings, SystemClock(), random.Random())


def main() -> None:
    """Run the daemon until a signal stops it."""
    run_program(make_entry, NAME, starts_traces=True)


if __name__ == '__main__':
    main()
