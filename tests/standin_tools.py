"""Small helpers of the tests that use stand-ins in their own process."""

import base64
from collections.abc import Sequence

from aiohttp import ClientSession, ClientTimeout, web
from aiohttp.test_utils import unused_port

from dev.standins.faults import FaultSwitch
from dev.standins.hosting import HostedServer


def encode_key(text: str) -> str:
    """Return ``text`` as the gateway wants bytes."""
    return base64.b64encode(text.encode()).decode()


def new_server(
    routes: Sequence[web.RouteDef],
) -> tuple[HostedServer, str]:
    """Return a server on a free port and its URL."""
    port = unused_port()
    server = HostedServer('server', port, routes, FaultSwitch())
    return server, f'http://127.0.0.1:{port}'


def short_session() -> ClientSession:
    """Return a session that gives up after half a second."""
    return ClientSession(timeout=ClientTimeout(total=0.5))
