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


class FaultSwitch:
    """Faults of one server and the connections that they have silenced."""

    def __init__(self, *, handles_failure: bool = False) -> None:
        """Start without faults.

        ``handles_failure``: the server acts on fails_everything itself.
        """
        self.faults = Faults()
        self._handles_failure = handles_failure
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
            await _wait_for_ever()
        await asyncio.sleep(faults.slow_ms / MS_PER_S)
        if faults.fails_everything and not self._handles_failure:
            return web.Response(status=web.HTTPInternalServerError.status_code)
        answer = await handler(request)
        await asyncio.sleep(faults.late_ms / MS_PER_S)
        await self._wait_if_silenced(request)
        return await _spoil(request, answer, faults)

    async def _wait_if_silenced(self, request: web.Request) -> None:
        if request.transport in self._silenced:
            await _wait_for_ever()


async def _spoil(
    request: web.Request, answer: web.StreamResponse, faults: Faults
) -> web.StreamResponse:
    if faults.effect_without_answer:
        _drop(request)
    elif faults.cut and isinstance(answer, web.Response):
        return await _send_half(request, answer)
    return answer


async def _send_half(
    request: web.Request, answer: web.Response
) -> web.StreamResponse:
    body = answer.body
    whole = body if isinstance(body, bytes) else b''
    half = web.StreamResponse(status=answer.status, headers=answer.headers)
    half.content_length = max(len(whole), 1)
    await half.prepare(request)
    await half.write(whole[: len(whole) // 2])
    if request.transport is not None:
        # close() sends what is buffered; abort() might not.
        request.transport.close()
    return half


def _drop(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def _wait_for_ever() -> None:
    await asyncio.Event().wait()
