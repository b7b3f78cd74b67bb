"""Stand-in for the network between failure domains: TCP relays.

A cut link keeps its connections open and forwards nothing. What was sent
meanwhile arrives when the link is restored, as with TCP retransmission.
"""

import asyncio
from pathlib import Path

import msgspec
from absl import app, flags
from aiohttp import web

from bulrushcove.clock import MS_PER_S
from dev.standins import standin_flags
from dev.standins.hosting import HOST, running_servers, wait_for_signal

CHUNK_BYTES = 65_536


class Link(msgspec.Struct, frozen=True):
    """Port used by ``source`` that is relayed to a port of ``target``."""

    source: str
    target: str
    port: int
    target_port: int


class LinkState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of all links between two places, in both directions.

    A place is a failure domain or the platform.
    """

    places: tuple[str, str]
    cut: bool = True
    # One-way delay of each chunk of bytes.
    delay_ms: int = 0


class Relay:
    """Relays the connections of one link."""

    def __init__(self, link: Link) -> None:
        """Start connected and without delay."""
        self.link = link
        self.delay_ms = 0
        self._is_up = asyncio.Event()
        self._is_up.set()
        self._writers: set[asyncio.StreamWriter] = set()

    def apply_state(self, state: LinkState) -> None:
        """Cut or restore the link and set its delay."""
        self.delay_ms = state.delay_ms
        if state.cut:
            self._is_up.clear()
        else:
            self._is_up.set()

    async def relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until an end closes it."""
        await self._is_up.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self.link.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        async with asyncio.TaskGroup() as group:
            group.create_task(self._forward(reader, target_writer))
            group.create_task(self._forward(target_reader, writer))

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._copy_chunks(reader, writer)
        except OSError:
            writer.transport.abort()

    async def _copy_chunks(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            await asyncio.sleep(self.delay_ms / MS_PER_S)
            await self._is_up.wait()
            if not chunk:
                writer.close()
                return
            writer.write(chunk)
            await writer.drain()


def cut_routes(relays: list[Relay]) -> list[web.RouteDef]:
    """Return the admin route that cuts and restores links."""

    async def put_cut(request: web.Request) -> web.Response:
        state = msgspec.json.decode(await request.read(), type=LinkState)
        for relay in relays:
            if {relay.link.source, relay.link.target} == set(state.places):
                relay.apply_state(state)
        return web.Response(status=web.HTTPNoContent.status_code)

    return [web.put('/cut', put_cut)]


async def _run() -> None:
    links = msgspec.json.decode(
        Path(standin_flags.HOSTED.value).read_bytes(), type=list[Link]
    )
    relays = [Relay(link) for link in links]
    listeners = [
        await asyncio.start_server(
            relay.relay_connection, HOST, relay.link.port
        )
        for relay in relays
    ]
    routes = cut_routes(relays)
    async with running_servers([], standin_flags.ADMIN_PORT.value, routes):
        await wait_for_signal()
    for listener in listeners:
        listener.close()


def main(_arguments: list[str]) -> None:
    """Relay connections until SIGTERM or SIGINT."""
    asyncio.run(_run())


if __name__ == '__main__':
    flags.mark_flag_as_required('hosted')
    app.run(main)
