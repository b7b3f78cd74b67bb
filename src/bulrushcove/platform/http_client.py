"""HTTP client shared by the adapter's calls to the platform."""

import asyncio
import socket
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypeVar

import aiohttp
import msgspec

from ..decoding import DECODE_ERRORS
from .exceptions import (
    NoResponseError,
    NotSentError,
    PartialResponseError,
    UndecodableError,
)

# The kernel closes a connection whose data stays unacknowledged this long.
TCP_USER_TIMEOUT_MS = 3000
# Closes idle connections before the other side does.
IDLE_CONNECTION_TIMEOUT_S = 12.0
# A smaller body arrives with its head, within the time limit of the call.
MIN_LARGE_BODY_BYTES = 65_536
# Longest pause between two parts of a large body: TCP sends a lost packet again
# after 0.2 s, and once more 0.4 s later.
MAX_BODY_PAUSE_S = 0.7
# A page of 1 MB takes 8 s on a link of 1 Mbit/s, the slowest worth waiting for.
MAX_BODY_S = 10.0
# A page of the store has 1 MB and one entry of 1 MB at most, in base64.
MAX_BODY_BYTES = 8 * 1024 * 1024
_NO_LIMIT = aiohttp.ClientTimeout(total=None)

# ValueError: the address, a header or the body cannot be encoded.
_NO_RESPONSE_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
JSON_HEADERS = MappingProxyType({'Content-Type': 'application/json'})

Decoded = TypeVar('Decoded')
# Takes what ``getaddrinfo`` returns for an address.
SocketFactory = Callable[[Any], socket.socket]


class Reply(NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes
    # How long a large body took to arrive, after its head.
    large_body_s: float = 0.0


class _ConnectionPool:
    """Connection pool that closes once it is retired and idle."""

    def __init__(self, make_socket: SocketFactory) -> None:
        self.client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S,
                socket_factory=make_socket,
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

    def __init__(
        self, address: str, make_socket: SocketFactory | None = None
    ) -> None:
        """Use ``address``, given as host:port; connects on the first call.

        ``make_socket`` may refuse a new connection by an ``OSError``.
        """
        self._base_url = f'http://{address}'
        self._make_socket = make_socket or _make_socket
        self._pool: _ConnectionPool | None = None
        self._large_body_count = 0

    @property
    def is_receiving_large_body(self) -> bool:
        """Return whether a large body is arriving, which may fill the link."""
        return self._large_body_count > 0

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
        ``NoResponseError``. A large body may take longer than ``timeout_s`` as
        long as it keeps arriving; ``PartialResponseError`` if it does not.
        """
        if self._pool is None:
            self._pool = _ConnectionPool(self._make_socket)
        pool = self._pool
        pool.in_progress += 1
        large_body = bytearray()
        try:
            async with (
                asyncio.timeout(timeout_s) as time_limit,
                pool.client.request(
                    method,
                    f'{self._base_url}{path}',
                    data=None if body is None else msgspec.json.encode(body),
                    params=query,
                    headers={**JSON_HEADERS, **(headers or {})},
                    timeout=_NO_LIMIT,
                ) as response,
            ):
                return await self._receive(response, time_limit, large_body)
        except aiohttp.ClientConnectorError as exc:
            raise NotSentError(f'{self._base_url}{path}: {exc}') from exc
        except _NO_RESPONSE_ERRORS as exc:
            self._retire(pool)
            message = f'{self._base_url}{path}: {type(exc).__name__} {exc}'
            if large_body:
                raise PartialResponseError(
                    f'{message} after {len(large_body)} bytes'
                ) from exc
            raise NoResponseError(message) from exc
        finally:
            pool.in_progress -= 1
            await pool.close_if_idle()

    async def close(self) -> None:
        """Close the connections, those in use after their current call."""
        pool = self._pool
        if pool is not None:
            self._retire(pool)
            await pool.close_if_idle()

    async def _receive(
        self,
        response: aiohttp.ClientResponse,
        time_limit: asyncio.Timeout,
        large_body: bytearray,
    ) -> Reply:
        length = response.content_length
        if length is not None and length < MIN_LARGE_BODY_BYTES:
            return Reply(response.status, await response.read())
        self._large_body_count += 1
        try:
            return await _receive_large_body(response, time_limit, large_body)
        finally:
            self._large_body_count -= 1

    def _retire(self, pool: _ConnectionPool) -> None:
        pool.is_retired = True
        if self._pool is pool:
            self._pool = None


class Connection:
    """One connection, for one call at a time.

    Once sealed it is never opened again, so that all calls on it reach the
    process that accepted it, or no process.
    """

    def __init__(self, address: str) -> None:
        """Use ``address``, given as host:port; connects on the first call."""
        # Whether a call is in progress or got no response.
        self.is_unusable = False
        self.is_sealed = False
        self._address = address
        self._endpoint = Endpoint(address, self._open_socket)

    async def call(
        self,
        path: str,
        *,
        timeout_s: float,
        body: object,
        headers: Mapping[str, str],
    ) -> Reply:
        """Post ``body`` and return the response; errors as ``Endpoint.call``.

        Raises ``NotSentError`` if the connection was sealed and is closed.
        """
        self.is_unusable = True
        reply = await self._endpoint.call(
            'POST', path, timeout_s=timeout_s, body=body, headers=headers
        )
        self.is_unusable = False
        return reply

    def seal(self) -> None:
        """Never open the connection again."""
        self.is_sealed = True

    async def close(self) -> None:
        """Close the connection."""
        await self._endpoint.close()

    def _open_socket(self, address_info: Any) -> socket.socket:
        if self.is_sealed:
            raise OSError(f'connection to {self._address} is closed')
        return _make_socket(address_info)


def decode(body: bytes, message_type: type[Decoded]) -> Decoded:
    """Decode JSON as ``message_type``; raises ``UndecodableError``."""
    try:
        return msgspec.json.decode(body, type=message_type)
    except DECODE_ERRORS as exc:
        raise UndecodableError(f'{message_type.__name__}: {exc}') from exc


async def _receive_large_body(
    response: aiohttp.ClientResponse,
    time_limit: asyncio.Timeout,
    body: bytearray,
) -> Reply:
    """Append the body to ``body`` for as long as it keeps arriving."""
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    time_limit.reschedule(began_at_s + MAX_BODY_PAUSE_S)
    async for chunk in response.content.iter_any():
        body.extend(chunk)
        if len(body) > MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError('response is too large')
        time_limit.reschedule(
            min(loop.time() + MAX_BODY_PAUSE_S, began_at_s + MAX_BODY_S)
        )
    return Reply(response.status, bytes(body), loop.time() - began_at_s)


def _make_socket(address: Any) -> socket.socket:
    family, socket_type, protocol, _, _ = address
    sock = socket.socket(family, socket_type, protocol)
    sock.setblocking(False)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    return sock
