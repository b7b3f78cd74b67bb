"""Calls over HTTP to one address of the platform."""

import socket
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypeVar

import aiohttp
import msgspec

from .exceptions import NoResponseError, NotSentError, UndecodableError

# A peer that acknowledges nothing for this long is given up by the kernel.
TCP_USER_TIMEOUT_MS = 3000
# Idle connections are closed before the other side does.
IDLE_CONNECTION_TIMEOUT_S = 12.0

JSON_HEADERS = MappingProxyType({'Content-Type': 'application/json'})

Decoded = TypeVar('Decoded')


class Reply(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes


class _ConnectionPool:
    """A set of connections; closed once retired and no longer in use."""

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
    """One address, with connections of its own.

    Open connections can go silent for good while new ones work: after a call
    without an answer new calls use fresh connections.
    """

    def __init__(self, address: str) -> None:
        """Call ``address``, a pair host:port; connects on first use."""
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
        """Return the answer; raises ``NotSentError``, ``NoResponseError``."""
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
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self._retire(pool)
            error_type = type(exc).__name__
            raise NoResponseError(
                f'{self._base_url}{path}: {error_type} {exc}'
            ) from exc
        finally:
            pool.in_progress -= 1
            await pool.close_if_idle()

    async def close(self) -> None:
        """Close all connections that are not in use."""
        pool = self._pool
        if pool is not None:
            self._retire(pool)
            await pool.close_if_idle()

    def _retire(self, pool: _ConnectionPool) -> None:
        pool.is_retired = True
        if self._pool is pool:
            self._pool = None


def decode(body: bytes, message_type: type[Decoded]) -> Decoded:
    """Return ``body`` as ``message_type``; raises ``UndecodableError``."""
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise UndecodableError(f'{message_type.__name__}: {exc}') from exc


def _make_socket(address: Any) -> socket.socket:
    family, socket_type, protocol, _, _ = address
    sock = socket.socket(family, socket_type, protocol)
    sock.setblocking(False)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    return sock
