"""Streams between this system's own processes: questions and pushes.

Both ends may ask. The end that connected numbers its questions odd, the other
one even, so an answer is told from a question by its parity. A stream on which
nothing was heard for the silence limit is closed; a client then connects anew.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec
from mode import Service

from .exceptions import BulrushcoveError, PeerUnreachableError, WireError
from .logs import log_event
from .messages import Hello, MessageType, parse_message
from .wire import Frame, encode, read_frame

FrameHandler = Callable[[Hello, Frame], Awaitable[msgspec.Struct | None]]

HELLO_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
RECONNECT_S = 0.5
SILENCE_S = 3.5
CLIENT_FIRST = 1
SERVER_FIRST = 2
PARITY = 2
# A reader that falls behind by this much is cut off.
MAX_UNSENT_BYTES = 8 * 1024 * 1024

logger = logging.getLogger(__name__)


class Connection:
    """One open stream; ``peer`` is known once its hello has come."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_frame: FrameHandler,
        first_correlation: int,
    ) -> None:
        """Wrap an open stream; ``run`` serves it."""
        self.peer: Hello | None = None
        self._reader = reader
        self._writer = writer
        self._on_frame = on_frame
        self._next = first_correlation
        self._own_parity = first_correlation % PARITY
        self._waiting: dict[int, asyncio.Future[Frame]] = {}
        self._handlers: set[asyncio.Task[None]] = set()

    async def greet(self, hello: Hello) -> Hello:
        """Exchange hellos; raises ``WireError`` or ``OSError``."""
        self.tell(hello)
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            frame = await read_frame(self._reader)
        if frame.kind != Hello.__name__:
            raise WireError(f'first frame is {frame.kind!r}, not a hello')
        self.peer = parse_message(Hello, frame.fields)
        return self.peer

    async def run(self, silence_s: float | None) -> None:
        """Serve frames until the stream ends, breaks or falls silent."""
        try:
            while True:
                async with asyncio.timeout(silence_s):
                    frame = await read_frame(self._reader)
                self._take(frame)
        finally:
            self.close()

    def tell(self, message: msgspec.Struct, correlation: int = 0) -> None:
        """Send ``message`` without waiting."""
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            raise PeerUnreachableError('peer does not read its stream')
        self._writer.write(encode(message, correlation))

    async def ask(
        self,
        message: msgspec.Struct,
        answer_type: type[MessageType],
        timeout_s: float,
    ) -> MessageType:
        """Send a question and return its answer.

        Raises ``PeerUnreachableError`` when none comes in time.
        """
        correlation = self._next
        self._next += PARITY
        future = asyncio.get_running_loop().create_future()
        self._waiting[correlation] = future
        try:
            self.tell(message, correlation)
            frame = await asyncio.wait_for(future, timeout_s)
        except (TimeoutError, OSError) as exc:
            raise PeerUnreachableError(
                f'no answer to {type(message).__name__} in {timeout_s} s',
            ) from exc
        finally:
            self._waiting.pop(correlation, None)
        return parse_message(answer_type, frame.fields)

    def close(self) -> None:
        """Close the stream; open questions end as unreachable."""
        self._writer.close()
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(PeerUnreachableError('stream closed'))
        for task in self._handlers:
            task.cancel()

    def _take(self, frame: Frame) -> None:
        if frame.correlation and frame.correlation % PARITY == self._own_parity:
            future = self._waiting.get(frame.correlation)
            if future is not None and not future.done():
                future.set_result(frame)
            return
        task = asyncio.create_task(self._serve(frame))
        self._handlers.add(task)
        task.add_done_callback(self._handlers.discard)

    async def _serve(self, frame: Frame) -> None:
        if self.peer is None:
            return
        try:
            answer = await self._on_frame(self.peer, frame)
            if answer is not None and frame.correlation:
                self.tell(answer, frame.correlation)
        except (BulrushcoveError, OSError) as exc:
            log_event(
                logger,
                'stream.frame_refused',
                level=logging.WARNING,
                peer=self.peer.vm,
                kind=frame.kind,
                error=exc,
            )
            if isinstance(exc, WireError):
                self.close()


class StreamServer(Service):
    """Accepts streams of peers and of the own entry."""

    def __init__(
        self,
        host: str,
        port: int,
        hello: Hello,
        on_frame: FrameHandler,
    ) -> None:
        """Listen on ``host`` and ``port`` once started."""
        super().__init__()
        self.connections: set[Connection] = set()
        self._host = host
        self._port = port
        self._hello = hello
        self._on_frame = on_frame
        self._server: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Open the listening socket."""
        self._server = await asyncio.start_server(
            self._accept,
            self._host,
            self._port,
        )

    async def on_stop(self) -> None:
        """Close the listening socket and every stream."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close()

    def push(self, role: str, message: msgspec.Struct) -> None:
        """Send ``message`` on every open stream of peers of ``role``."""
        for connection in tuple(self.connections):
            if connection.peer and connection.peer.role == role:
                _push(connection, message)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = Connection(reader, writer, self._on_frame, SERVER_FIRST)
        self.connections.add(connection)
        try:
            await connection.greet(self._hello)
            await connection.run(silence_s=None)
        except (WireError, OSError, EOFError) as exc:
            _log_end(connection, exc)
        finally:
            self.connections.discard(connection)
            connection.close()


class StreamClient(Service):
    """Keeps one stream to a peer open, connecting anew when it is lost."""

    def __init__(
        self,
        host: str,
        port: int,
        hello: Hello,
        on_frame: FrameHandler,
    ) -> None:
        """Connect to ``host`` and ``port`` once started."""
        super().__init__()
        self._host = host
        self._port = port
        self._hello = hello
        self._on_frame = on_frame
        self._connection: Connection | None = None

    @property
    def is_connected(self) -> bool:
        """Return whether the stream is open and greeted."""
        return self._connection is not None

    @property
    def peer(self) -> Hello | None:
        """Return the hello of the peer; None while not connected."""
        return self._connection.peer if self._connection else None

    async def ask(
        self,
        message: msgspec.Struct,
        answer_type: type[MessageType],
        timeout_s: float,
    ) -> MessageType:
        """Ask the peer; raises ``PeerUnreachableError``.

        A question without an answer in time closes the stream, so that the
        next one goes over a fresh connection.
        """
        connection = self._connected()
        try:
            return await connection.ask(message, answer_type, timeout_s)
        except PeerUnreachableError:
            connection.close()
            raise

    def tell(self, message: msgspec.Struct) -> None:
        """Send without waiting; raises ``PeerUnreachableError``."""
        self._connected().tell(message)

    def drop(self) -> None:
        """Close the stream in use; a fresh one is opened."""
        if self._connection is not None:
            self._connection.close()

    async def on_stop(self) -> None:
        """Close the stream."""
        self.drop()

    @Service.task
    async def _keep_connected(self) -> None:
        while not self.should_stop:
            await self._connect_and_serve()
            await self.sleep(RECONNECT_S)

    async def _connect_and_serve(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self._host,
                    self._port,
                )
        except OSError:
            return
        connection = Connection(reader, writer, self._on_frame, CLIENT_FIRST)
        try:
            await connection.greet(self._hello)
            self._connection = connection
            await connection.run(SILENCE_S)
        except (WireError, OSError, EOFError) as exc:
            _log_end(connection, exc)
        finally:
            self._connection = None
            connection.close()

    def _connected(self) -> Connection:
        if self._connection is None:
            raise PeerUnreachableError(
                f'no stream to {self._host}:{self._port}',
            )
        return self._connection


def _push(connection: Connection, message: msgspec.Struct) -> None:
    try:
        connection.tell(message)
    except (PeerUnreachableError, OSError) as exc:
        _log_end(connection, exc)


def _log_end(connection: Connection, exc: BaseException) -> None:
    log_event(
        logger,
        'stream.closed',
        level=logging.WARNING if isinstance(exc, WireError) else logging.INFO,
        peer=connection.peer.vm if connection.peer else 'unknown',
        error=f'{type(exc).__name__}: {exc}',
    )
