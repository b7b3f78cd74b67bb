"""The HTTP port of a daemon, closed without cutting an answer."""

import asyncio
import contextlib
from collections.abc import Callable

from aiohttp import web

from .health import Health, add_health_routes
from .metrics import Metrics, add_metrics_route

ACCEPT_BACKLOG = 1024


class HttpServer:
    """One port; ``port`` is the one in use, also when 0 was asked for."""

    def __init__(
        self,
        metrics: Metrics,
        find_unready_reason: Callable[[], str],
    ) -> None:
        """Serve health, readiness and ``metrics``; routes may be added."""
        self.port = 0
        self.health = Health()
        application = web.Application()
        self.health.count_requests(application)
        self.router = application.router
        add_health_routes(self.router, self.health, find_unready_reason)
        add_metrics_route(self.router, metrics)
        self._runner = web.AppRunner(
            application, access_log=None, handle_signals=False
        )

    async def open(self, host: str, port: int) -> None:
        """Accept connections on ``host`` and ``port``."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, backlog=ACCEPT_BACKLOG)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self, timeout_s: float) -> None:
        """Accept nothing new, finish all in progress, close the port."""
        for site in tuple(self._runner.sites):
            await site.stop()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.health.wait_idle(), timeout_s)
        await self._runner.cleanup()
