"""Fault injection for one hosted server, as an aiohttp middleware."""

import asyncio
from collections.abc import Awaitable, Callable
from weakref import WeakSet

import msgspec
from aiohttp import web

from bulrushcove.clock import MS_PER_S

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to inject; none by default."""

    # Refuses new connections and aborts the open ones.
    down: bool = False
    # Delay before the request is handled.
    slow_ms: int = 0
    # Delay after the request is handled, before the response.
    late_ms: int = 0
    # Handles the request and aborts the connection without a response.
    effect_without_answer: bool = False
    # Sends half of the response body and closes the connection.
    cut: bool = False
    # Accepts requests and never handles them.
    frozen: bool = False
    # Connections open when the fault is set never send anything again.
    silence_connections: bool = False
    # Responds with status 500; a worker fails each task instead.
    fails_everything: bool = False
    # Path prefix that limits all faults but ``down``.
    path_prefix: str = '/'


class FaultInjector:
    """Injects the faults of one server; remembers silenced connections."""

    def __init__(self, *, handles_fails_everything: bool = False) -> None:
        """Start without faults.

        ``handles_fails_everything``: the server simulates that fault itself.
        """
        self.faults = Faults()
        self._handles_fails_everything = handles_fails_everything
        self._silenced: WeakSet[asyncio.BaseTransport] = WeakSet()

    def silence(self, transports: list[asyncio.BaseTransport]) -> None:
        """Keep ``transports`` open without sending anything again."""
        for transport in transports:
            self._silenced.add(transport)

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Handle ``request`` under the current faults."""
        faults = self.faults
        await self._wait_if_silenced(request)
        if not request.path.startswith(faults.path_prefix):
            return await handler(request)
        if faults.frozen:
            await _wait_forever()
        await asyncio.sleep(faults.slow_ms / MS_PER_S)
        if faults.fails_everything and not self._handles_fails_everything:
            return web.Response(status=web.HTTPInternalServerError.status_code)
        response = await handler(request)
        await asyncio.sleep(faults.late_ms / MS_PER_S)
        await self._wait_if_silenced(request)
        return await _apply_response_fault(request, response, faults)

    async def _wait_if_silenced(self, request: web.Request) -> None:
        if request.transport in self._silenced:
            await _wait_forever()


async def _apply_response_fault(
    request: web.Request, response: web.StreamResponse, faults: Faults
) -> web.StreamResponse:
    if faults.effect_without_answer:
        _abort_connection(request)
    elif faults.cut and isinstance(response, web.Response):
        return await _send_truncated(request, response)
    return response


async def _send_truncated(
    request: web.Request, response: web.Response
) -> web.StreamResponse:
    body = response.body
    full_body = body if isinstance(body, bytes) else b''
    truncated = web.StreamResponse(
        status=response.status, headers=response.headers
    )
    truncated.content_length = max(len(full_body), 1)
    await truncated.prepare(request)
    await truncated.write(full_body[: len(full_body) // 2])
    if request.transport is not None:
        # close() flushes the buffer; abort() may drop it.
        request.transport.close()
    return truncated


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def _wait_forever() -> None:
    await asyncio.Event().wait()
