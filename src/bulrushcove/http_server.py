"""HTTP server of a daemon, which shuts down gracefully."""

import asyncio
import contextlib
from collections.abc import Callable

from aiohttp import web

from .health import Health, add_health_routes
from .metrics import Metrics, add_metrics_route

ACCEPT_BACKLOG = 1024


class HttpServer:
    """Serves one port; ``port`` is the bound one, also if 0 was requested."""

    def __init__(
        self,
        metrics: Metrics,
        find_unready_reason: Callable[[], str],
    ) -> None:
        """Serve health, readiness and ``metrics``; add routes to ``router``."""
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
        """Stop accepting, wait for requests up to ``timeout_s``, then close."""
        for site in tuple(self._runner.sites):
            await site.stop()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.health.wait_idle(), timeout_s)
        await self._runner.cleanup()
