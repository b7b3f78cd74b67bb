"""Helpers for tests that run stand-in servers in the test process."""

import base64
from collections.abc import Sequence

from aiohttp import ClientSession, ClientTimeout, web
from aiohttp.test_utils import unused_port

from dev.standins.faults import FaultInjector
from dev.standins.hosting import HostedServer


def encode_key(text: str) -> str:
    """Encode a key in base64, as the etcd JSON gateway expects it."""
    return base64.b64encode(text.encode()).decode()


def new_server(
    routes: Sequence[web.RouteDef],
) -> tuple[HostedServer, str]:
    """Return an unstarted server on a free port, and its URL."""
    port = unused_port()
    server = HostedServer('server', port, routes, FaultInjector())
    return server, f'http://127.0.0.1:{port}'


def new_short_timeout_session() -> ClientSession:
    """Return an HTTP client session with a timeout of half a second."""
    return ClientSession(timeout=ClientTimeout(total=0.5))
