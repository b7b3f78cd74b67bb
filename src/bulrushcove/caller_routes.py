"""HTTP route for callers' requests."""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from aiohttp import web

from .authentication import TokenIndex
from .backend_client import BackendResponse, BackendTruncatedError
from .body import read_body
from .clock import Clock
from .configuration import Configuration
from .exceptions import RefusedError
from .logs import log_event
from .pending_request import OCTET_STREAM, PendingRequest
from .refusals import outcome_headers, refusal_response
from .request_head import is_retry, parse_head
from .request_metrics import RequestMetrics
from .request_path import RequestPath
from .settings import EntrySettings
from .states import Outcome
from .tracing import (
    TRACEPARENT,
    current_trace_id,
    current_traceparent,
    span,
)

REQUESTS_PATH = '/v1/requests'
logger = logging.getLogger(__name__)


class CallerContext(NamedTuple):
    """Objects that the route uses."""

    settings: EntrySettings
    configuration: Callable[[], Configuration]
    tokens: TokenIndex
    path: RequestPath
    clock: Clock
    metrics: RequestMetrics


def add_caller_routes(
    router: web.UrlDispatcher,
    context: CallerContext,
) -> None:
    """Serve ``POST /v1/requests``."""

    async def post_request(request: web.Request) -> web.StreamResponse:
        parent = request.headers.get(TRACEPARENT, '')
        with span('entry.request', traceparent=parent):
            return await _handle(context, request)

    router.add_post(REQUESTS_PATH, post_request)


async def _handle(
    context: CallerContext,
    request: web.Request,
) -> web.StreamResponse:
    started_s = context.clock.monotonic_s()
    trace = current_trace_id()
    pending: PendingRequest | None = None
    outcome = Outcome.RAN
    try:
        pending = await _read_request(context, request)
        response = await _serve(context, request, pending, trace)
    except RefusedError as exc:
        if is_retry(request.headers):
            # An earlier attempt, unknown to this VM, may have run.
            exc.outcome = Outcome.UNKNOWN
        outcome = exc.outcome
        _log_refusal(pending, exc, trace)
        response = refusal_response(
            exc, trace, pending.attempts if pending else 0
        )
    context.metrics.record_response(
        outcome,
        pending.attempts if pending else 0,
        context.clock.monotonic_s() - started_s,
    )
    return response


async def _read_request(
    context: CallerContext, request: web.Request
) -> PendingRequest:
    headers = request.headers
    contract = context.tokens.find(
        context.configuration(), headers.get('Authorization', '')
    )
    now_s = context.clock.monotonic_s()
    head = parse_head(headers, contract, context.settings, now_s)
    return PendingRequest(
        head=head,
        body=await read_body(
            request, context.settings, head.deadline_s - now_s
        ),
        is_caller_connected=_make_connection_check(request),
        content_type=headers.get('Content-Type', OCTET_STREAM),
        traceparent=current_traceparent(),
    )


def _make_connection_check(request: web.Request) -> Callable[[], bool]:
    def is_caller_connected() -> bool:
        transport = request.transport
        return transport is not None and not transport.is_closing()

    return is_caller_connected


async def _serve(
    context: CallerContext,
    request: web.Request,
    pending: PendingRequest,
    trace: str,
) -> web.StreamResponse:
    async with context.path.serve(pending) as backend_response:
        headers = backend_response.headers
        headers.update(outcome_headers(Outcome.RAN, pending.attempts, trace))
        if backend_response.rest is None:
            return web.Response(
                status=backend_response.status,
                body=backend_response.body,
                headers=headers,
            )
        left_s = pending.head.deadline_s - context.clock.monotonic_s()
        return await _forward_stream(request, backend_response, left_s)


async def _forward_stream(
    request: web.Request,
    backend_response: BackendResponse,
    timeout_s: float,
) -> web.StreamResponse:
    """Forward a long response within ``timeout_s``.

    Aborts the caller's connection if the response is truncated or late, so
    that the caller does not take it for complete.
    """
    response = web.StreamResponse(
        status=backend_response.status, headers=backend_response.headers
    )
    response.content_length = backend_response.length
    try:
        async with asyncio.timeout(timeout_s):
            await _write_body(request, response, backend_response)
    except (BackendTruncatedError, OSError) as exc:
        backend_response.close()
        log_event(
            logger, 'request.cut', level=logging.WARNING, reason=repr(exc)
        )
        if request.transport is not None:
            request.transport.abort()
    return response


async def _write_body(
    request: web.Request,
    response: web.StreamResponse,
    backend_response: BackendResponse,
) -> None:
    await response.prepare(request)
    await response.write(backend_response.body)
    async for part in backend_response.rest or ():
        await response.write(part)
    await response.write_eof()


def _log_refusal(
    pending: PendingRequest | None, error: RefusedError, trace: str
) -> None:
    head = pending.head if pending else None
    log_event(
        logger,
        'request.refused',
        organisation=head and head.contract.organisation,
        request=head and head.request_id,
        outcome=error.outcome.value,
        status=error.status,
        reason=str(error),
        trace=trace,
    )
