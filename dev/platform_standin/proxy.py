"""TCP proxy on loopback that injects network faults."""

import asyncio
from enum import Enum

CHUNK_BYTES = 65_536
HOST = '127.0.0.1'


class ProxyMode(Enum):
    """How a proxy treats the traffic that it forwards."""

    PASS_THROUGH = 'pass-through'
    SLOW = 'slow'
    # Drops the bytes of both directions; connections stay open.
    DROP_ALL = 'drop-all'
    # Forwards requests and drops responses.
    DROP_RESPONSES = 'drop-responses'
    # Resets open and new connections.
    RESET = 'reset'


CHUNK_DELAY_S = 0.15


class Proxy:
    """Forwards TCP connections from its own port to an upstream port."""

    def __init__(self, port: int, upstream_port: int) -> None:
        """Forward from ``port`` to ``upstream_port`` once started."""
        self.port = port
        self._upstream_port = upstream_port
        self._mode = ProxyMode.PASS_THROUGH
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start accepting connections."""
        self._server = await asyncio.start_server(
            self._handle_connection, HOST, self.port
        )

    async def close(self) -> None:
        """Stop accepting connections and abort the open ones."""
        if self._server is not None:
            self._server.close()
        self._abort_connections()

    def switch_mode(self, mode: ProxyMode) -> None:
        """Change how bytes are forwarded from now on.

        Dropped bytes are never sent later, so a connection that was open
        during a drop can stay silent after the mode is PASS_THROUGH again.
        """
        self._mode = mode
        if mode is ProxyMode.RESET:
            self._abort_connections()

    def _abort_connections(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        except OSError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        upstream_reader, upstream_writer = await asyncio.open_connection(
            HOST, self._upstream_port
        )
        await asyncio.gather(
            self._copy(reader, upstream_writer, is_response=False),
            self._copy(upstream_reader, writer, is_response=True),
        )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        try:
            chunk = await reader.read(CHUNK_BYTES)
            while chunk:
                if self._mode is ProxyMode.SLOW:
                    await asyncio.sleep(CHUNK_DELAY_S)
                if self._should_forward(is_response):
                    writer.write(chunk)
                chunk = await reader.read(CHUNK_BYTES)
        finally:
            writer.close()

    def _should_forward(self, is_response: bool) -> bool:
        if self._mode is ProxyMode.DROP_ALL:
            return False
        return not (is_response and self._mode is ProxyMode.DROP_RESPONSES)
