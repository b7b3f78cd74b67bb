"""Runs several HTTP servers in one process, with one admin port."""

import asyncio
import signal
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web

from dev.standins.faults import FaultInjector, Faults

HOST = '127.0.0.1'
MAX_BODY_BYTES = 64 * 1024 * 1024
STOP_TIMEOUT_S = 0.2


class HostedServer:
    """One HTTP server on its own port, with its own fault injection."""

    def __init__(
        self,
        name: str,
        port: int,
        routes: Sequence[web.RouteDef],
        fault_injector: FaultInjector,
    ) -> None:
        """Prepare the server; ``start`` opens its port."""
        self.name = name
        self.fault_injector = fault_injector
        self._port = port
        application = web.Application(
            middlewares=[fault_injector.middleware],
            client_max_size=MAX_BODY_BYTES,
        )
        application.add_routes(routes)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._site: web.TCPSite | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._transports())

    async def start(self) -> None:
        """Open the port."""
        if self._runner.server is None:
            await self._runner.setup()
        self._site = web.TCPSite(self._runner, HOST, self._port)
        await self._site.start()

    async def stop(self) -> None:
        """Close the port and every connection."""
        await self._runner.cleanup()

    async def apply_faults(self, faults: Faults) -> None:
        """Inject ``faults`` from now on; ``down`` closes the port."""
        self.fault_injector.faults = faults
        if faults.silence_connections:
            self.fault_injector.silence(self._transports())
        if faults.down and self._site is not None:
            await self._take_down(self._site)
        elif not faults.down and self._site is None:
            await self.start()

    async def _take_down(self, site: web.TCPSite) -> None:
        await site.stop()
        self._site = None
        for transport in self._transports():
            transport.abort()

    def _transports(self) -> list[asyncio.Transport]:
        server = self._runner.server
        if server is None:
            return []
        return [
            connection.transport
            for connection in server.connections
            if connection.transport is not None
        ]


def admin_routes(servers: Sequence[HostedServer]) -> list[web.RouteDef]:
    """Return the routes that read and change the faults of ``servers``."""
    by_name = {server.name: server for server in servers}

    def find_server(request: web.Request) -> HostedServer:
        server = by_name.get(request.match_info['server'])
        if server is None:
            raise web.HTTPNotFound(text='no server of this name is hosted here')
        return server

    async def put_faults(request: web.Request) -> web.Response:
        server = find_server(request)
        body = await request.read()
        try:
            faults = msgspec.json.decode(body, type=Faults)
        except msgspec.ValidationError as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        await server.apply_faults(faults)
        return web.Response(status=web.HTTPNoContent.status_code)

    async def get_faults(request: web.Request) -> web.Response:
        return json_response(find_server(request).fault_injector.faults)

    return [
        web.put('/faults/{server}', put_faults),
        web.get('/faults/{server}', get_faults),
    ]


def json_response(content: object, status: int = 200) -> web.Response:
    """Return ``content`` encoded as JSON."""
    return web.Response(
        body=msgspec.json.encode(content),
        status=status,
        content_type='application/json',
    )


@asynccontextmanager
async def running_servers(
    servers: Sequence[HostedServer],
    admin_port: int,
    extra_admin_routes: Sequence[web.RouteDef] = (),
) -> AsyncIterator[None]:
    """Run ``servers`` and an admin server within the context."""
    routes = [*admin_routes(servers), *extra_admin_routes]
    admin = HostedServer('admin', admin_port, routes, FaultInjector())
    all_servers = [*servers, admin]
    try:
        for server in all_servers:
            await server.start()
        yield
    finally:
        await asyncio.gather(*[hosted.stop() for hosted in all_servers])


async def wait_for_signal() -> None:
    """Return after SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
