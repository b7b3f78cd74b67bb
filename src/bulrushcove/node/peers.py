"""Streams to the other VMs, opened on use."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec
from mode import Service

from ..connection import CLIENT_FIRST, Connection
from ..exceptions import PeerUnreachableError, WireError
from ..logs import log_event
from ..messages import Hello, MessageType
from ..streams import StreamServer
from ..wire import Frame
from .background_tasks import BackgroundTasks

CONNECT_TIMEOUT_S = 0.4
# An unused stream is closed after this.
IDLE_S = 8.0
STREAM_BACKLOG = 256

FrameHandler = Callable[[Hello, Frame], Awaitable[msgspec.Struct | None]]

logger = logging.getLogger(__name__)


class PeerNotConnectedError(PeerUnreachableError):
    """There is no stream to the peer: nothing was sent."""


class PeerRefusedError(PeerNotConnectedError):
    """Nothing listens at the peer's address: its process is gone."""


class Peers(Service):
    """Streams from this VM to others, and those that others opened."""

    def __init__(self, hello: Hello, address: str, on_frame: FrameHandler):
        """Accept streams at ``address`` and hand frames to ``on_frame``."""
        super().__init__()
        self.hello = hello
        self.address = address
        # Addresses worth asking, in no order.
        self.known_addresses: set[str] = set()
        self._on_frame = on_frame
        self._open: dict[str, Connection] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._readers = BackgroundTasks()

    async def on_start(self) -> None:
        """Accept streams."""
        host, _, port = self.address.rpartition(':')
        server = StreamServer(host, int(port), self.hello, self._on_frame)
        await self.add_runtime_dependency(server)

    async def on_stop(self) -> None:
        """Close all streams."""
        for connection in tuple(self._open.values()):
            connection.close()
        self._readers.cancel()

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Take note of other VMs."""
        self.known_addresses.update(addresses)
        self.known_addresses.discard(self.address)

    async def request(
        self,
        address: str,
        message: msgspec.Struct,
        answer_type: type[MessageType],
        timeout_s: float,
    ) -> tuple[Hello, MessageType]:
        """Ask the VM at ``address``; returns its greeting and its answer.

        Raises ``PeerRefusedError`` when nothing listens there, and
        ``PeerUnreachableError`` when no answer came in time.
        """
        connection = await self._connect(address)
        peer = connection.peer
        if peer is None:
            raise PeerUnreachableError(f'{address} did not greet')
        try:
            return peer, await connection.ask(message, answer_type, timeout_s)
        except PeerUnreachableError:
            # It may have gone silent; the next question opens a fresh one.
            self._drop(address, connection)
            raise

    async def _connect(self, address: str) -> Connection:
        lock = self._locks.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self._open.get(address)
            if connection is None:
                connection = await self._open_stream(address)
                self._open[address] = connection
            return connection

    async def _open_stream(self, address: str) -> Connection:
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                connection = Connection(
                    reader, writer, self._on_frame, CLIENT_FIRST
                )
                await connection.greet(self.hello)
        except ConnectionRefusedError as exc:
            raise PeerRefusedError(f'{address}: {exc}') from exc
        except (OSError, EOFError, WireError) as exc:
            raise PeerNotConnectedError(f'{address}: {exc!r}') from exc
        self._readers.spawn(self._serve(address, connection))
        return connection

    async def _serve(self, address: str, connection: Connection) -> None:
        try:
            await connection.run(IDLE_S)
        except (OSError, EOFError, WireError) as exc:
            # Silence ends a stream as a TimeoutError, which is an OSError.
            log_event(
                logger,
                'peer.stream_closed',
                level=logging.DEBUG,
                address=address,
                error=repr(exc),
            )
        finally:
            self._drop(address, connection)

    def _drop(self, address: str, connection: Connection) -> None:
        if self._open.get(address) is connection:
            self._open.pop(address)
        connection.close()
