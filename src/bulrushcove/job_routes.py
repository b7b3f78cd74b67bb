"""HTTP routes for callers' jobs."""

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from .clock import MS_PER_S
from .contract import Contract
from .exceptions import (
    RefusedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from .job_context import JobContext
from .job_messages import (
    make_job_answer,
    stored_job_id,
)
from .job_store import JobChangedError, StoredJob
from .job_submission import notify_control, submit_job
from .refusals import json_response, malformed, refusal_response
from .request_head import checked_id
from .states import Outcome
from .tracing import (
    TRACEPARENT,
    current_trace_id,
    span,
)

JOBS_PATH = '/v1/jobs'
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
MAX_CANCEL_TRIES = 8
JobHandler = Callable[[web.Request, Contract], Awaitable[web.Response]]


def add_job_routes(router: web.UrlDispatcher, context: JobContext) -> None:
    """Add the routes under ``/v1/jobs`` to ``router``."""

    def route(
        handle: Callable[..., Awaitable[web.Response]],
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handler(request: web.Request) -> web.Response:
            return await _handle_request(context, request, handle)

        return handler

    job_path = f'{JOBS_PATH}/{{job}}'
    router.add_post(JOBS_PATH, route(submit_job))
    router.add_get(JOBS_PATH, route(_list_jobs))
    router.add_get(job_path, route(_get_job))
    router.add_get(f'{job_path}/result', route(_get_result))
    router.add_post(f'{job_path}/cancel', route(_cancel_job))
    router.add_post(f'{job_path}/acknowledge', route(_acknowledge_job))


async def _handle_request(
    context: JobContext,
    request: web.Request,
    handle: Callable[..., Awaitable[web.Response]],
) -> web.Response:
    parent = request.headers.get(TRACEPARENT, '')
    with span('entry.job', traceparent=parent):
        try:
            return await _authenticate_and_call(context, request, handle)
        except RefusedError as exc:
            return refusal_response(exc, current_trace_id())


async def _authenticate_and_call(
    context: JobContext,
    request: web.Request,
    handle: Callable[..., Awaitable[web.Response]],
) -> web.Response:
    contract = context.tokens.find(
        context.configuration(), request.headers.get('Authorization', '')
    )
    try:
        return await handle(context, request, contract)
    except StoreUnavailableError as exc:
        raise RefusedError(UNAVAILABLE, f'platform store: {exc}') from exc
    except StoreOutcomeUnknownError as exc:
        raise RefusedError(
            UNAVAILABLE, f'platform store: {exc}', outcome=Outcome.UNKNOWN
        ) from exc


async def _list_jobs(
    context: JobContext,
    _request: web.Request,
    contract: Contract,
) -> web.Response:
    scan = await context.job_store.scan()
    return json_response(
        [
            make_job_answer(stored.record)
            for stored in scan.jobs
            if stored.record.organisation == contract.organisation
        ]
    )


async def _get_job(
    context: JobContext,
    request: web.Request,
    contract: Contract,
) -> web.Response:
    stored = await _load_job(context, request, contract)
    return json_response(make_job_answer(stored.record))


async def _get_result(
    context: JobContext,
    request: web.Request,
    contract: Contract,
) -> web.Response:
    wait_ms = _parse_wait_ms(request, context.settings.max_deadline_ms)
    stored = await _load_job(context, request, contract)
    record = stored.record
    if wait_ms and not record.state.is_final:
        record = await context.watch.wait(stored, wait_ms / MS_PER_S)
    return json_response(make_job_answer(record, with_results=True))


async def _cancel_job(
    context: JobContext,
    request: web.Request,
    contract: Contract,
) -> web.Response:
    for _ in range(MAX_CANCEL_TRIES):
        stored = await _load_job(context, request, contract)
        record = stored.record
        if record.state.is_final or record.cancel_requested:
            return json_response(make_job_answer(record))
        cancelled = msgspec.structs.replace(record, cancel_requested=True)
        try:
            stored = await context.job_store.replace(stored, cancelled)
        except JobChangedError:
            continue
        await notify_control(context, stored.record)
        return json_response(make_job_answer(stored.record))
    raise RefusedError(
        CONFLICT,
        'the job keeps changing; retry the cancellation',
        outcome=Outcome.UNKNOWN,
    )


async def _acknowledge_job(
    context: JobContext,
    request: web.Request,
    contract: Contract,
) -> web.Response:
    stored = await _load_job(context, request, contract)
    if not stored.record.state.is_final:
        raise RefusedError(
            CONFLICT,
            f'the job is {stored.record.state.value}; its result is not final',
            outcome=Outcome.UNKNOWN,
            field='job',
        )
    try:
        await context.job_store.delete(stored)
    except JobChangedError as exc:
        if exc.stored is not None:
            raise RefusedError(
                CONFLICT, str(exc), outcome=Outcome.UNKNOWN
            ) from exc
    return json_response(make_job_answer(stored.record))


async def _load_job(
    context: JobContext,
    request: web.Request,
    contract: Contract,
) -> StoredJob:
    """Load the job; another organisation's job counts as not existing."""
    caller_id = checked_id('job', request.match_info['job'])
    job = stored_job_id(contract.organisation, caller_id)
    stored = await context.job_store.load(job)
    if stored is None:
        raise RefusedError(
            NOT_FOUND,
            f'job {caller_id!r} does not exist',
            outcome=Outcome.UNKNOWN,
            field='job',
        )
    return stored


def _parse_wait_ms(request: web.Request, max_wait_ms: int) -> int:
    text = request.query.get('wait_ms', '0')
    if text.isascii() and text.isdigit() and int(text) <= max_wait_ms:
        return int(text)
    raise malformed(
        'wait_ms',
        f'{text!r} is not a valid wait time',
        f'0 to {max_wait_ms} ms',
    )
