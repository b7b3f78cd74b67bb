"""HTTP client for backend servers.

A failure is one of: not run (not sent, refused, busy, draining), unknown (bytes
may have been sent and no complete response came) and truncated (the response
ended early after a part of it was forwarded).
"""

import contextlib
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import aiohttp
import msgspec
from multidict import CIMultiDict

from .exceptions import BackendError
from .ids import BackendId
from .routing import Server

STATE_HEADER = 'X-Backend-State'
RUN_PATH = '/v1/run'
STATE_PATH = '/v1/state'
BUSY = 'busy'
DRAINING = 'leaving'
OK = 200
SERVICE_UNAVAILABLE = 503
CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
# Shorter than the idle timeout of servers, so that few are found closed.
IDLE_CONNECTION_S = 10.0
# Responses up to this size are read completely before they are forwarded.
MAX_BUFFERED_BYTES = 262_144
CHUNKED = 'chunked'
FORWARDED_HEADERS = ('Content-Type', 'Content-Encoding', 'Content-Language')


class BackendNotRunError(BackendError):
    """The request definitely did not run on the server."""

    def __init__(self, backend: BackendId, reason: str) -> None:
        """Set ``reason``: the state that the server sent, or the failure."""
        super().__init__(f'backend server {backend!r}: {reason}')
        self.reason = reason


class BackendOutcomeUnknownError(BackendError):
    """Bytes may have reached the server, but no complete response came."""


class BackendTruncatedError(BackendError):
    """The response ended early after its first part was forwarded."""


class BackendResponse(NamedTuple):
    """A response; ``rest`` streams what follows ``body``, or is None."""

    status: int
    headers: CIMultiDict[str]
    body: bytes
    rest: AsyncIterator[bytes] | None
    length: int | None
    state: str
    # Closes the connection without reading ``rest``.
    close: Callable[[], None]


class BackendState(msgspec.Struct, frozen=True):
    """Response of a backend server to a probe."""

    backend: BackendId
    slots: int
    busy: int
    leaving: bool


_state_decoder = msgspec.json.Decoder(BackendState)


class BackendClient:
    """Two HTTP sessions: one reuses connections, the other opens new ones."""

    def __init__(self) -> None:
        """Open the sessions; needs a running loop."""
        self._session = _new_session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S)
        )
        self._fresh_session = _new_session(
            aiohttp.TCPConnector(limit=0, force_close=True)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
        await self._fresh_session.close()

    async def send(
        self,
        server: Server,
        headers: CIMultiDict[str],
        body: bytes | AsyncIterator[bytes],
        *,
        fresh: bool = False,
    ) -> BackendResponse:
        """Run one request on ``server`` and return its response.

        ``fresh`` forces a new connection. Raises
        ``BackendNotRunError`` or ``BackendOutcomeUnknownError``.
        """
        session = self._fresh_session if fresh else self._session
        try:
            response = await session.post(
                f'{server.url}{RUN_PATH}',
                headers=headers,
                data=body,
                # A redirect would run the request a second time.
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise BackendNotRunError(
                server.backend, 'connection failed'
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise BackendOutcomeUnknownError(
                f'backend server {server.backend!r}: {exc!r}'
            ) from exc
        state = response.headers.get(STATE_HEADER, '')
        if response.status == SERVICE_UNAVAILABLE and state:
            await _discard_body(response)
            raise BackendNotRunError(server.backend, state)
        return await _read_response(server.backend, response, state)

    async def probe(self, server: Server) -> BackendState:
        """Return the state of ``server``, read over a new connection.

        Raises ``BackendNotRunError`` if the connection fails and
        ``BackendError`` if no valid response comes in time.
        """
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        try:
            async with self._fresh_session.get(
                f'{server.url}{STATE_PATH}', timeout=timeout
            ) as response:
                return _state_decoder.decode(await response.read())
        except aiohttp.ClientConnectorError as exc:
            raise BackendNotRunError(
                server.backend, 'connection failed'
            ) from exc
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as exc:
            raise BackendError(
                f'backend server {server.backend!r}: probe failed: {exc!r}'
            ) from exc

    async def is_alive(self, server: Server) -> bool:
        """Return whether ``server`` responds to a probe."""
        try:
            await self.probe(server)
        except BackendError:
            return False
        return True


def _new_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
    )


async def _discard_body(response: aiohttp.ClientResponse) -> None:
    """Read the rest of a rejection, so that its connection is reused."""
    with contextlib.suppress(aiohttp.ClientError, OSError):
        await response.read()


async def _read_response(
    backend: BackendId,
    response: aiohttp.ClientResponse,
    state: str,
) -> BackendResponse:
    length = response.content_length
    chunked = response.headers.get('Transfer-Encoding', '').lower() == CHUNKED
    if length is None and not chunked:
        response.close()
        # The end of the body would look the same as a broken connection.
        raise BackendOutcomeUnknownError(
            f'backend server {backend!r}: response without a length'
        )
    headers = CIMultiDict(
        (name, response.headers[name])
        for name in FORWARDED_HEADERS
        if name in response.headers
    )
    try:
        body, ended = await _read_first(response)
    except (aiohttp.ClientError, OSError) as exc:
        response.close()
        raise BackendOutcomeUnknownError(
            f'backend server {backend!r}: response was truncated: {exc!r}'
        ) from exc
    rest = None if ended else _read_rest(backend, response)
    return BackendResponse(
        status=response.status,
        headers=headers,
        body=body,
        rest=rest,
        length=length,
        state=state,
        close=response.close,
    )


async def _read_first(response: aiohttp.ClientResponse) -> tuple[bytes, bool]:
    """Return the first bytes of the body and whether that is all of it."""
    length = response.content_length
    if length is not None and length <= MAX_BUFFERED_BYTES:
        return await response.read(), True
    parts: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_BYTES:
        part = await response.content.readany()
        if not part:
            return b''.join(parts), True
        parts.append(part)
        size += len(part)
    return b''.join(parts), False


async def _read_rest(
    backend: BackendId,
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    try:
        async for part in response.content.iter_any():
            yield part
    except (aiohttp.ClientError, OSError) as exc:
        raise BackendTruncatedError(
            f'backend server {backend!r}: response was truncated: {exc!r}'
        ) from exc
    finally:
        response.close()
