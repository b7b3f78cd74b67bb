"""HTTP client shared by the adapter's calls to the platform."""

import socket
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypeVar

import aiohttp
import msgspec

from ..decoding import DECODE_ERRORS
from .exceptions import NoResponseError, NotSentError, UndecodableError

# The kernel closes a connection whose data stays unacknowledged this long.
TCP_USER_TIMEOUT_MS = 3000
# Closes idle connections before the other side does.
IDLE_CONNECTION_TIMEOUT_S = 12.0

# ValueError: the address, a header or the body cannot be encoded.
_NO_RESPONSE_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
JSON_HEADERS = MappingProxyType({'Content-Type': 'application/json'})

Decoded = TypeVar('Decoded')


class Reply(NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes


class _ConnectionPool:
    """Connection pool that closes once it is retired and idle."""

    def __init__(self) -> None:
        self.client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S,
                socket_factory=_make_socket,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.in_progress = 0
        self.is_retired = False

    async def close_if_idle(self) -> None:
        if self.is_retired and not self.in_progress:
            await self.client.close()


class Endpoint:
    """HTTP client of one address with its own connection pool.

    An open connection can stop delivering data for good while new ones work.
    After a call without a response, later calls therefore use a new pool.
    """

    def __init__(self, address: str) -> None:
        """Use ``address``, given as host:port; connects on the first call."""
        self._base_url = f'http://{address}'
        self._pool: _ConnectionPool | None = None

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: object = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send a request with a JSON body and return the response.

        Raises ``NotSentError`` or, after ``timeout_s`` or a lost connection,
        ``NoResponseError``.
        """
        if self._pool is None:
            self._pool = _ConnectionPool()
        pool = self._pool
        pool.in_progress += 1
        try:
            async with pool.client.request(
                method,
                f'{self._base_url}{path}',
                data=None if body is None else msgspec.json.encode(body),
                params=query,
                headers={**JSON_HEADERS, **(headers or {})},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return Reply(response.status, await response.read())
        except aiohttp.ClientConnectorError as exc:
            raise NotSentError(f'{self._base_url}{path}: {exc}') from exc
        except _NO_RESPONSE_ERRORS as exc:
            self._retire(pool)
            error_type = type(exc).__name__
            raise NoResponseError(
                f'{self._base_url}{path}: {error_type} {exc}'
            ) from exc
        finally:
            pool.in_progress -= 1
            await pool.close_if_idle()

    async def close(self) -> None:
        """Close the connections, those in use after their current call."""
        pool = self._pool
        if pool is not None:
            self._retire(pool)
            await pool.close_if_idle()

    def _retire(self, pool: _ConnectionPool) -> None:
        pool.is_retired = True
        if self._pool is pool:
            self._pool = None


def decode(body: bytes, message_type: type[Decoded]) -> Decoded:
    """Decode JSON as ``message_type``; raises ``UndecodableError``."""
    try:
        return msgspec.json.decode(body, type=message_type)
    except DECODE_ERRORS as exc:
        raise UndecodableError(f'{message_type.__name__}: {exc}') from exc


def _make_socket(address: Any) -> socket.socket:
    family, socket_type, protocol, _, _ = address
    sock = socket.socket(family, socket_type, protocol)
    sock.setblocking(False)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    return sock
