"""Liveness and readiness routes, and a count of requests in progress."""

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from .refusals import json_response

HEALTH_PATH = '/healthz'
READY_PATH = '/readyz'
UNAVAILABLE = 503


class HealthResponse(msgspec.Struct, frozen=True):
    """Body of both routes; ``reason`` is empty if ``ok``."""

    ok: bool
    reason: str = ''


class Health:
    """Whether the process is draining, and its requests in progress."""

    def __init__(self) -> None:
        """Start without requests, not draining."""
        self.is_draining = False
        self.in_progress = 0
        self._idle = asyncio.Event()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.in_progress:
            self._idle.clear()
            await self._idle.wait()

    def count_requests(self, application: web.Application) -> None:
        """Count the requests in progress of ``application``."""

        @web.middleware
        async def count(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            self.in_progress += 1
            try:
                return await handler(request)
            finally:
                self.in_progress -= 1
                self._idle.set()

        async def close_if_draining(
            _request: web.Request, response: web.StreamResponse
        ) -> None:
            if self.is_draining:
                # Makes the caller reconnect, to another VM.
                response.force_close()

        application.middlewares.append(count)
        application.on_response_prepare.append(close_if_draining)


def add_health_routes(
    router: web.UrlDispatcher,
    health: Health,
    find_unready_reason: Callable[[], str],
) -> None:
    """Serve ``/healthz`` and ``/readyz``."""

    async def get_health(_request: web.Request) -> web.Response:
        return json_response(HealthResponse(ok=True))

    async def get_readiness(_request: web.Request) -> web.Response:
        reason = 'leaving' if health.is_draining else find_unready_reason()
        if reason:
            return json_response(HealthResponse(False, reason), UNAVAILABLE)
        return json_response(HealthResponse(ok=True))

    router.add_get(HEALTH_PATH, get_health)
    router.add_get(READY_PATH, get_readiness)
