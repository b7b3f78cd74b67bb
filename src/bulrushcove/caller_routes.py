"""HTTP routes for callers' requests."""

import logging
from collections.abc import Callable
from typing import NamedTuple

import aioprometheus
from aiohttp import web

from .authentication import TokenIndex
from .backend_client import BackendAnswer, BackendCutError
from .body import read_body
from .clock import Clock
from .configuration import Configuration
from .exceptions import RefusedError
from .logs import log_event
from .metrics import Metrics
from .refusals import outcome_headers, refusal_response
from .request_head import parse_head
from .request_path import RequestPath
from .settings import EntrySettings
from .states import Outcome
from .tracing import (
    TRACEPARENT,
    current_trace_id,
    current_traceparent,
    span,
)
from .work import OCTETS, Work

REQUESTS_PATH = '/v1/requests'
logger = logging.getLogger(__name__)


class CallerContext(NamedTuple):
    """Collaborators of the routes."""

    settings: EntrySettings
    configuration: Callable[[], Configuration]
    tokens: TokenIndex
    path: RequestPath
    clock: Clock
    answered: aioprometheus.Counter
    completion: aioprometheus.Histogram


def new_caller_metrics(
    metrics: Metrics,
) -> tuple[aioprometheus.Counter, aioprometheus.Histogram]:
    """Register the counter of outcomes and the time to the whole answer."""
    return (
        metrics.counter(
            'bulrushcove_requests_total', 'Requests answered, by outcome.'
        ),
        metrics.histogram(
            'bulrushcove_request_completion_seconds',
            'Time from the head of a request to its whole answer.',
        ),
    )


def add_caller_routes(
    router: web.UrlDispatcher,
    context: CallerContext,
) -> None:
    """Serve ``POST /v1/requests``."""

    async def post_request(request: web.Request) -> web.StreamResponse:
        parent = request.headers.get(TRACEPARENT, '')
        started_s = context.clock.monotonic_s()
        with span('entry.request', traceparent=parent):
            response = await _answer(context, request)
        spent_s = context.clock.monotonic_s() - started_s
        context.completion.observe({}, spent_s)
        return response

    router.add_post(REQUESTS_PATH, post_request)


async def _answer(
    context: CallerContext,
    request: web.Request,
) -> web.StreamResponse:
    trace = current_trace_id()
    work: Work | None = None
    try:
        work = await _read_work(context, request)
        response = await _serve(context, request, work, trace)
    except RefusedError as exc:
        _log_refusal(work, exc, trace)
        response = refusal_response(exc, trace, work.attempts if work else 0)
        context.answered.inc({'outcome': exc.outcome.value})
    else:
        context.answered.inc({'outcome': Outcome.RAN.value})
    return response


async def _read_work(context: CallerContext, request: web.Request) -> Work:
    headers = request.headers
    contract = context.tokens.find(
        context.configuration(), headers.get('Authorization', '')
    )
    now_s = context.clock.monotonic_s()
    head = parse_head(headers, contract, context.settings, now_s)
    return Work(
        head=head,
        body=await read_body(request, context.settings),
        wanted=_still_wanted(request),
        content_type=headers.get('Content-Type', OCTETS),
        traceparent=current_traceparent(),
    )


def _still_wanted(request: web.Request) -> Callable[[], bool]:
    def wanted() -> bool:
        transport = request.transport
        return transport is not None and not transport.is_closing()

    return wanted


async def _serve(
    context: CallerContext,
    request: web.Request,
    work: Work,
    trace: str,
) -> web.StreamResponse:
    async with context.path.serve(work) as answer:
        headers = answer.headers
        headers.update(outcome_headers(Outcome.RAN, work.attempts, trace))
        if answer.rest is None:
            return web.Response(
                status=answer.status, body=answer.body, headers=headers
            )
        return await _stream(request, answer)


async def _stream(
    request: web.Request,
    answer: BackendAnswer,
) -> web.StreamResponse:
    """Pass a long answer on; a cut answer cuts the caller's connection."""
    response = web.StreamResponse(status=answer.status, headers=answer.headers)
    response.content_length = answer.length
    try:
        await response.prepare(request)
        await response.write(answer.body)
        async for part in answer.rest or ():
            await response.write(part)
    except (BackendCutError, OSError) as exc:
        log_event(logger, 'request.cut', level=logging.WARNING, reason=str(exc))
        if request.transport is not None:
            request.transport.abort()
        return response
    await response.write_eof()
    return response


def _log_refusal(work: Work | None, error: RefusedError, trace: str) -> None:
    head = work.head if work else None
    log_event(
        logger,
        'request.refused',
        organisation=head and head.contract.organisation,
        request=head and head.request,
        outcome=error.outcome.value,
        status=error.status,
        reason=str(error),
        trace=trace,
    )
