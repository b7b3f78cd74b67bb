"""HTTP ports of the node program."""

from collections.abc import Awaitable, Callable

import aioprometheus
from aiohttp import web

from .metrics import NodeMetrics

# Idle connections of callers are kept longer than they keep them.
KEEP_ALIVE_TIMEOUT_S = 75.0
# Connections that wait to be accepted; a burst opens hundreds at once.
BACKLOG = 1024
# Time for connections to end when a port is closed.
SHUTDOWN_TIMEOUT_S = 0.4

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def start_http_server(
    address: str, handler: RequestHandler
) -> web.ServerRunner:
    """Serve ``handler`` at ``address``, a pair host:port."""
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
    """Return the handler that shows ``metrics``."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        body, headers = aioprometheus.render(
            metrics.registry.registry, [request.headers.get('Accept', '')]
        )
        return web.Response(body=body, headers=headers)

    return handle
