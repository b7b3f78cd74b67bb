"""A TCP proxy on loopback that misbehaves when told to."""

import asyncio
from enum import Enum

CHUNK_BYTES = 65_536
HOST = '127.0.0.1'


class Weather(Enum):
    """What a proxy does to the bytes that it carries."""

    CALM = 'calm'
    SLOW = 'slow'
    # Nothing passes; connections stay open.
    SILENT = 'silent'
    # Questions pass, answers do not.
    ONE_WAY = 'one-way'
    # Connections are reset.
    RESET = 'reset'


SLOW_S = 0.15


class Proxy:
    """Carries connections from its own port to another one."""

    def __init__(self, port: int, target_port: int) -> None:
        """Lead from ``port`` to ``target_port`` once started."""
        self.port = port
        self._target_port = target_port
        self._weather = Weather.CALM
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._carry, HOST, self.port)

    async def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        self._abort()

    def turn(self, weather: Weather) -> None:
        """Change what happens from now on.

        Bytes that were swallowed never arrive, so that what was open stays
        silent for good when calm returns.
        """
        self._weather = weather
        if weather is Weather.RESET:
            self._abort()

    def _abort(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._connect(reader, writer)
        except OSError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._weather is Weather.RESET:
            writer.transport.abort()
            return
        far_reader, far_writer = await asyncio.open_connection(
            HOST, self._target_port
        )
        await asyncio.gather(
            self._pump(reader, far_writer, is_answer=False),
            self._pump(far_reader, writer, is_answer=True),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            chunk = await reader.read(CHUNK_BYTES)
            while chunk:
                if self._weather is Weather.SLOW:
                    await asyncio.sleep(SLOW_S)
                if self._passes(is_answer):
                    writer.write(chunk)
                chunk = await reader.read(CHUNK_BYTES)
        finally:
            writer.close()

    def _passes(self, is_answer: bool) -> bool:
        if self._weather is Weather.SILENT:
            return False
        return not (is_answer and self._weather is Weather.ONE_WAY)
