"""HTTP servers of the node program: start of a server, metrics handler."""

from collections.abc import Awaitable, Callable

import aioprometheus
from aiohttp import web

from .metrics import NodeMetrics

# Longer than clients keep idle connections, so that the client closes first.
KEEP_ALIVE_TIMEOUT_S = 75.0
# Listen backlog; a burst opens hundreds of connections at once.
BACKLOG = 1024
# Time for open connections to finish when the server stops.
SHUTDOWN_TIMEOUT_S = 0.4

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def start_http_server(
    address: str, handler: RequestHandler
) -> web.ServerRunner:
    """Serve ``handler`` at ``address`` (``host:port``); return the runner."""
    server = web.Server(
        handler, keepalive_timeout=KEEP_ALIVE_TIMEOUT_S, access_log=None
    )
    runner = web.ServerRunner(
        server, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    host, _, port = address.rpartition(':')
    site = web.TCPSite(runner, host, int(port), backlog=BACKLOG)
    await site.start()
    return runner


def make_metrics_handler(metrics: NodeMetrics) -> RequestHandler:
    """Return a handler that renders ``metrics`` for a scrape."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        body, headers = aioprometheus.render(
            metrics.registry.registry, [request.headers.get('Accept', '')]
        )
        return web.Response(body=body, headers=headers)

    return handle
