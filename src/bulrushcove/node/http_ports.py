"""HTTP servers of the node program: start of a server, metrics handler."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import cast

import aioprometheus
from aiohttp import web

from .chunk_turns import ChunkTurns
from .connection_guard import ConnectionGuard
from .metrics import NodeMetrics
from .request_intake import RequestIntake

# Listen backlog; a burst opens hundreds of connections at once.
BACKLOG = 1024
# Time for open connections to finish when the server stops.
SHUTDOWN_TIMEOUT_S = 0.4
# Then what is still handled is cancelled; zero would mean no limit.
CANCELLATION_TIMEOUT_S = 0.01
# All connections of an address read into one buffer of this size.
READ_BYTES = 65_536
# Beyond any head: its size was checked before the parser sees it.
PARSER_MAX_BYTES = 1_000_000_000

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _ConnectionHandler(web.RequestHandler):
    """Handles the whole requests of one connection."""

    __slots__ = ('finish_request',)

    def __init__(
        self, manager: web.Server, finish_request: Callable[[], None]
    ) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            access_log=None,
            max_line_size=PARSER_MAX_BYTES,
            max_field_size=PARSER_MAX_BYTES,
            max_headers=PARSER_MAX_BYTES,
        )
        self.finish_request = finish_request


class _BoundedServer(web.Server):
    """Server whose connections pass through ``RequestIntake``."""

    def __init__(
        self,
        handler: RequestHandler,
        guard: ConnectionGuard,
        *,
        is_internal: bool,
    ) -> None:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            try:
                return await handler(request)
            finally:
                cast(_ConnectionHandler, request.protocol).finish_request()

        super().__init__(handle)
        self._intakes: set[RequestIntake] = set()
        self._has_closed_all = asyncio.Event()
        self._has_closed_all.set()
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._guard = guard
        self._is_internal = is_internal
        self._turns = ChunkTurns(asyncio.get_running_loop().call_soon)

    def __call__(self) -> '_BoundedProtocol':
        return _BoundedProtocol(self)

    def open_intake(self, transport: asyncio.Transport) -> RequestIntake:
        """Take in the requests of an accepted connection."""
        intake = RequestIntake(
            transport,
            self._guard,
            self._turns,
            lambda: _ConnectionHandler(self, intake.finish_request),
            is_internal=self._is_internal,
        )
        self._intakes.add(intake)
        self._has_closed_all.clear()
        return intake

    def forget_intake(self, intake: RequestIntake) -> None:
        """Forget a connection that was closed."""
        self._intakes.discard(intake)
        if not self._intakes:
            self._has_closed_all.set()

    def pre_shutdown(self) -> None:
        # The handlers are not closed here: those whose whole request is still
        # decoded would not handle it any more.
        for intake in tuple(self._intakes):
            intake.stop()

    async def shutdown(self, timeout_s: float | None = None) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._has_closed_all.wait()
        for intake in tuple(self._intakes):
            intake.abort()
        await super().shutdown(CANCELLATION_TIMEOUT_S)


class _BoundedProtocol(asyncio.BufferedProtocol):
    """Connects the transport of one connection with its intake."""

    def __init__(self, server: _BoundedServer) -> None:
        self._server = server
        self._intake: RequestIntake | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._intake = self._server.open_intake(
            cast(asyncio.Transport, transport)
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._intake is not None:
            self._intake.receive(self._server.read_buffer[:nbytes])

    def eof_received(self) -> bool:
        return self._intake is not None and self._intake.receive_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._intake is not None:
            self._intake.end(exc)
            self._server.forget_intake(self._intake)

    def pause_writing(self) -> None:
        if self._intake is not None and self._intake.server is not None:
            self._intake.server.pause_writing()

    def resume_writing(self) -> None:
        if self._intake is not None and self._intake.server is not None:
            self._intake.server.resume_writing()
            self._intake.resume()


async def start_http_server(
    address: str,
    handler: RequestHandler,
    guard: ConnectionGuard,
    *,
    is_internal: bool = False,
) -> web.ServerRunner:
    """Serve ``handler`` at ``address`` (``host:port``); return the runner.

    ``guard`` keeps its connections within the limits of the machine;
    ``is_internal``: they are no callers'.
    """
    runner = web.ServerRunner(
        _BoundedServer(handler, guard, is_internal=is_internal),
        handle_signals=False,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    host, _, port = address.rpartition(':')
    listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    # asyncio accepts up to its backlog at a time, before any is counted.
    batch = min(BACKLOG, guard.accept_batch)
    await web.SockSite(runner, listener, backlog=batch).start()
    listener.listen(BACKLOG)
    return runner


def make_metrics_handler(metrics: NodeMetrics) -> RequestHandler:
    """Return a handler that renders ``metrics`` for a scrape."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        body, headers = aioprometheus.render(
            metrics.registry.registry, [request.headers.get('Accept', '')]
        )
        return web.Response(body=body, headers=headers)

    return handle
