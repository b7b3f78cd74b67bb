"""Server and client of the streams between processes of this system.

A client closes a stream on which no frame arrives for ``IDLE_TIMEOUT_S`` and
reconnects.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Protocol

import msgspec
from mode import Service

from .connection import (
    FIRST_CLIENT_CORRELATION,
    FIRST_SERVER_CORRELATION,
    Connection,
    FrameHandler,
)
from .exceptions import PeerUnreachableError, WireError
from .logs import log_event
from .messages import Hello, MessageType

CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.5
IDLE_TIMEOUT_S = 3.5
# Connections that wait to be accepted.
BACKLOG = 100

logger = logging.getLogger(__name__)


class Admission(Protocol):
    """An accepted stream as the limits of its process see it."""

    def set_arriving(self, kept_bytes: int) -> None:
        """Set how much is kept of a frame that is arriving."""

    def release(self) -> None:
        """End with the stream."""


# Admits a stream that the function passed in closes at once.
Admit = Callable[[Callable[[], None]], Admission]


class Unlimited:
    """Admission where nothing limits streams."""

    def set_arriving(self, kept_bytes: int) -> None:
        """Let a frame be of any legal size."""

    def release(self) -> None:
        """Do nothing."""


def admit_all(_close: Callable[[], None]) -> Admission:
    """Admit a stream without limits."""
    return Unlimited()


class StreamServer(Service):
    """Accepts streams from peers and from the entry of the own VM."""

    def __init__(
        self,
        host: str,
        port: int,
        hello: Hello,
        on_frame: FrameHandler,
        *,
        admit: Admit = admit_all,
        accept_batch: int = BACKLOG,
    ) -> None:
        """Listen on ``host`` and ``port`` once started.

        ``on_frame`` handles a received frame and returns the response;
        ``admit`` is told of each stream, after at most ``accept_batch`` were
        accepted at a time.
        """
        super().__init__()
        self.connections: set[Connection] = set()
        self._host = host
        self._port = port
        self._hello = hello
        self._on_frame = on_frame
        self._admit = admit
        self._accept_batch = accept_batch
        self._server: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Open the listening socket."""
        listener = socket.create_server(
            (self._host, self._port), backlog=BACKLOG
        )
        # asyncio accepts up to its backlog at a time.
        self._server = await asyncio.start_server(
            self._accept, sock=listener, backlog=self._accept_batch
        )
        listener.listen(BACKLOG)

    async def on_stop(self) -> None:
        """Close the listening socket and all streams."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close()

    def push(self, role: str, message: msgspec.Struct) -> None:
        """Send ``message`` to each connected peer of ``role``."""
        for connection in tuple(self.connections):
            if connection.peer and connection.peer.role == role:
                _push(connection, message)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        admission = self._admit(writer.transport.abort)
        connection = Connection(
            reader,
            writer,
            self._on_frame,
            FIRST_SERVER_CORRELATION,
            admission.set_arriving,
        )
        self.connections.add(connection)
        try:
            await connection.exchange_hellos(self._hello)
            await connection.run(idle_timeout_s=None)
        except (WireError, OSError, EOFError) as exc:
            _log_closed(connection, exc)
        except asyncio.CancelledError:
            # At shutdown; asyncio would log the cancellation of this callback
            # as an error.
            return
        finally:
            admission.release()
            self.connections.discard(connection)
            connection.close()


class StreamClient(Service):
    """Keeps a stream to one peer open; reconnects when it is lost."""

    def __init__(
        self,
        host: str,
        port: int,
        hello: Hello,
        on_frame: FrameHandler,
    ) -> None:
        """Connect to ``host`` and ``port`` once started.

        ``on_frame`` handles a received frame and returns the response.
        """
        super().__init__()
        self._host = host
        self._port = port
        self._hello = hello
        self._on_frame = on_frame
        self._connection: Connection | None = None

    @property
    def is_connected(self) -> bool:
        """Return whether the stream is open and hellos were exchanged."""
        return self._connection is not None

    @property
    def peer(self) -> Hello | None:
        """Return the hello of the peer; None if not connected."""
        return self._connection.peer if self._connection else None

    async def request(
        self,
        message: msgspec.Struct,
        response_type: type[MessageType],
        timeout_s: float,
    ) -> MessageType:
        """Send a request to the peer and return its response.

        Raises ``PeerUnreachableError`` if there is no stream or no response
        in time. A timeout closes the stream, so that the next request uses a
        new connection.
        """
        connection = self._require_connection()
        try:
            return await connection.request(message, response_type, timeout_s)
        except PeerUnreachableError:
            connection.close()
            raise

    def send(self, message: msgspec.Struct) -> None:
        """Send ``message`` without waiting for a response.

        Raises ``PeerUnreachableError`` if there is no stream.
        """
        self._require_connection().send(message)

    def disconnect(self) -> None:
        """Close the current stream; a new one is opened."""
        if self._connection is not None:
            self._connection.close()

    async def on_stop(self) -> None:
        """Close the stream."""
        self.disconnect()

    @Service.task
    async def _keep_connected(self) -> None:
        while not self.should_stop:
            await self._connect_and_serve()
            await self.sleep(RECONNECT_DELAY_S)

    async def _connect_and_serve(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self._host,
                    self._port,
                )
        except OSError:
            return
        connection = Connection(
            reader, writer, self._on_frame, FIRST_CLIENT_CORRELATION
        )
        try:
            await connection.exchange_hellos(self._hello)
            self._connection = connection
            await connection.run(IDLE_TIMEOUT_S)
        except (WireError, OSError, EOFError) as exc:
            _log_closed(connection, exc)
        finally:
            self._connection = None
            connection.close()

    def _require_connection(self) -> Connection:
        if self._connection is None:
            raise PeerUnreachableError(
                f'no stream to {self._host}:{self._port}',
            )
        return self._connection


def _push(connection: Connection, message: msgspec.Struct) -> None:
    try:
        connection.send(message)
    except (PeerUnreachableError, OSError) as exc:
        _log_closed(connection, exc)


def _log_closed(connection: Connection, exc: BaseException) -> None:
    log_event(
        logger,
        'stream.closed',
        level=logging.WARNING if isinstance(exc, WireError) else logging.INFO,
        peer=connection.peer.vm if connection.peer else 'unknown',
        incarnation=connection.peer.incarnation if connection.peer else None,
        error=f'{type(exc).__name__}: {exc}',
    )
