"""Fault switch of one hosted server, applied round its handlers."""

import asyncio
from collections.abc import Awaitable, Callable
from weakref import WeakSet

import msgspec
from aiohttp import web

from bulrushcove.clock import MS_PER_S

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which faults are on; all off by default."""

    # Refuses connections and drops the open ones.
    down: bool = False
    # Waits this long before the work.
    slow_ms: int = 0
    # Waits this long after the work, before the answer.
    late_ms: int = 0
    # Does the work and drops the connection instead of answering.
    effect_without_answer: bool = False
    # Sends half of the answer's body and drops the connection.
    cut: bool = False
    # Accepts requests and never does anything about them.
    frozen: bool = False
    # Connections open at the time of the switch say nothing ever again.
    silence_connections: bool = False
    # Answers 500, or fails each task of a worker.
    fails_everything: bool = False
    # Only paths that start so are affected by all but ``down``.
    path_prefix: str = '/'


class FaultInjector:
    """Faults of one server and the connections that they have silenced."""

    def __init__(self, *, handles_fails_everything: bool = False) -> None:
        """Start without faults.

        ``handles_fails_everything``: the server simulates it itself.
        """
        self.faults = Faults()
        self._handles_fails_everything = handles_fails_everything
        self._silenced: WeakSet[asyncio.BaseTransport] = WeakSet()

    def silence(self, transports: list[asyncio.BaseTransport]) -> None:
        """Let ``transports`` stay open and say nothing ever again."""
        for transport in transports:
            self._silenced.add(transport)

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Serve ``request`` under the faults that are on."""
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
        # close() sends what is buffered; abort() might not.
        request.transport.close()
    return truncated


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def _wait_forever() -> None:
    await asyncio.Event().wait()
