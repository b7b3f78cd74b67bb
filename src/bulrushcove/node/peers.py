"""Streams to the other VMs, opened on first use."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from functools import lru_cache

import msgspec
from mode import Service

from ..connection import FIRST_CLIENT_CORRELATION, Connection
from ..exceptions import PeerUnreachableError, WireError
from ..logs import MAX_LOGGED_ERRORS, log_event
from ..messages import Hello, MessageType
from ..streams import BACKLOG, Admit, StreamServer, admit_all
from ..wire import Frame
from .addresses import AddressError, split_address
from .background_tasks import BackgroundTasks

CONNECT_TIMEOUT_S = 0.4
# A stream on which no frame arrives for this long is closed.
IDLE_TIMEOUT_S = 8.0
# A stream that delivered a frame within this time is alive, although a request
# on it timed out. Shorter than the time limit of a ping.
MAX_SILENCE_S = 0.25
STREAM_BACKLOG = 256
# Addresses that a VM passes on at a time; the list of all VMs is in the store.
SAMPLE_SIZE = 8
_OPEN_ERRORS = (AddressError, OSError, EOFError, WireError)

FrameHandler = Callable[[Hello, Frame], Awaitable[msgspec.Struct | None]]

logger = logging.getLogger(__name__)


class PeerNotConnectedError(PeerUnreachableError):
    """The stream to the peer could not be opened; nothing was sent."""


class PeerRefusedError(PeerNotConnectedError):
    """The connection was refused: nothing listens at the peer's address."""


class Peers(Service):
    """Streams that this VM opens to others, and those that others open."""

    def __init__(
        self,
        hello: Hello,
        address: str,
        on_frame: FrameHandler,
        *,
        admit: Admit = admit_all,
        accept_batch: int = BACKLOG,
    ) -> None:
        """Accept streams at ``address`` and pass frames to ``on_frame``.

        ``admit`` is told of each stream that others open, after at most
        ``accept_batch`` were accepted at a time.
        """
        super().__init__()
        self.hello = hello
        self.address = address
        # Stream addresses of other VMs, some of which may be gone.
        self.known_addresses: set[str] = set()
        self._on_frame = on_frame
        self._admit = admit
        self._accept_batch = accept_batch
        self._connections: dict[str, Connection] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._reader_tasks = BackgroundTasks()

    async def on_start(self) -> None:
        """Accept streams."""
        host, _, port = self.address.rpartition(':')
        server = StreamServer(
            host,
            int(port),
            self.hello,
            self._on_frame,
            admit=self._admit,
            accept_batch=self._accept_batch,
        )
        await self.add_runtime_dependency(server)

    async def on_stop(self) -> None:
        """Close all streams."""
        for connection in tuple(self._connections.values()):
            connection.close()
        self._reader_tasks.cancel()

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Add the stream addresses of other VMs to the known ones."""
        self.known_addresses.update(filter(_is_usable, addresses))
        self.known_addresses.discard(self.address)

    def sample_addresses(self) -> tuple[str, ...]:
        """Return a few random addresses of other VMs."""
        known = tuple(self.known_addresses)
        return tuple(random.sample(known, min(SAMPLE_SIZE, len(known))))

    async def request(
        self,
        address: str,
        message: msgspec.Struct,
        response_type: type[MessageType],
        timeout_s: float,
        *,
        waits_for_frame: bool = False,
    ) -> tuple[Hello, MessageType]:
        """Send a request to ``address``; return the peer's hello and response.

        With ``waits_for_frame`` a frame that is arriving at the time limit,
        maybe the response, is waited for.

        Raises ``PeerNotConnectedError`` if no stream could be opened (its
        subclass ``PeerRefusedError`` if nothing listens there), and
        ``PeerUnreachableError`` if no response arrives in time.
        """
        connection = await self._connect(address)
        peer = connection.peer
        if peer is None:
            raise PeerUnreachableError(f'{address}: peer sent no hello')
        sent_at_s = asyncio.get_running_loop().time()
        try:
            return peer, await connection.request(
                message,
                response_type,
                timeout_s,
                waits_for_frame=waits_for_frame,
            )
        except WireError as exc:
            # Does not match the message, or could not be sent.
            raise PeerUnreachableError(f'{address}: {exc}') from exc
        except PeerUnreachableError:
            if _is_silent(connection, sent_at_s):
                # The stream may be dead; the next request opens a new one.
                self._drop(address, connection, 'no response')
            raise

    def close_stream(self, address: str) -> None:
        """Close the stream to ``address``; pending requests fail at once."""
        connection = self._connections.get(address)
        if connection is not None:
            self._drop(address, connection, 'closed by this VM')

    async def _connect(self, address: str) -> Connection:
        lock = self._locks.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self._connections.get(address)
            if connection is None:
                connection = await self._open_stream(address)
                self._connections[address] = connection
            return connection

    async def _open_stream(self, address: str) -> Connection:
        try:
            host, port = split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
                connection = Connection(
                    reader, writer, self._on_frame, FIRST_CLIENT_CORRELATION
                )
                await connection.exchange_hellos(self.hello)
        except ConnectionRefusedError as exc:
            raise PeerRefusedError(f'{address}: {exc}') from exc
        except _OPEN_ERRORS as exc:
            raise PeerNotConnectedError(f'{address}: {exc!r}') from exc
        self._reader_tasks.spawn(self._serve(address, connection))
        return connection

    async def _serve(self, address: str, connection: Connection) -> None:
        try:
            await connection.run(IDLE_TIMEOUT_S)
        except TimeoutError:
            self._drop(address, connection, 'idle')
        except (OSError, EOFError, WireError) as exc:
            log_event(
                logger,
                'peer.stream_closed',
                level=logging.DEBUG,
                address=address,
                error=repr(exc),
            )
        finally:
            self._drop(address, connection)

    def _drop(
        self, address: str, connection: Connection, reason: str = ''
    ) -> None:
        """Close ``connection``; log the ``reason`` if this VM has one."""
        if self._connections.get(address) is connection:
            self._connections.pop(address)
            if reason:
                _log_dropped(connection, address, reason)
        connection.close()


def _is_usable(address: str) -> bool:
    """Return whether ``address``, which another program wrote, can be used."""
    try:
        split_address(address)
    except AddressError as exc:
        _log_unusable(str(exc))
        return False
    return True


@lru_cache(maxsize=MAX_LOGGED_ERRORS)
def _log_unusable(error: str) -> None:
    """Log an error once, although pings repeat the address."""
    log_event(logger, 'peer.address_unusable', error=error)


def _log_dropped(connection: Connection, address: str, reason: str) -> None:
    """Log that this VM closes a stream: the process of its peer may live."""
    log_event(
        logger,
        'peer.stream_dropped',
        peer=connection.peer.vm if connection.peer else 'unknown',
        address=address,
        reason=reason,
    )


def _is_silent(connection: Connection, sent_at_s: float) -> bool:
    """Return whether nothing arrived for too long on ``connection``.

    Other requests share the stream and fail with it, so a request with a short
    time limit, or one that its receiver cannot answer yet, must not close it.
    """
    heard_at_s = max(sent_at_s, connection.received_at_s)
    now_s = asyncio.get_running_loop().time()
    return now_s - heard_at_s >= MAX_SILENCE_S
