"""Accepts callers' jobs: a job is stored before the caller gets a response."""

import hashlib

import msgspec
from aiohttp import web

from .body import read_whole
from .clock import MS_PER_S
from .contract import Contract
from .exceptions import (
    PeerUnreachableError,
    RefusedError,
)
from .job import JobRecord
from .job_context import JobContext
from .job_domain import choose_domain
from .job_messages import (
    JobSubmission,
    caller_job_id,
    make_job_answer,
    parse_submission,
    stored_job_id,
)
from .job_store import JobExistsError
from .messages import JobNotice
from .refusals import json_response
from .states import JobState
from .tracing import (
    current_traceparent,
)

CREATED = 201
CONFLICT = 409
TOO_MANY_REQUESTS = 429


async def submit_job(
    context: JobContext,
    request: web.Request,
    contract: Contract,
) -> web.Response:
    """Store a new job and return its state.

    Raises ``RefusedError`` and the store's errors.
    """
    settings = context.settings
    body = await read_whole(
        request,
        settings.retry_body_bytes,
        settings.default_deadline_ms / MS_PER_S,
    )
    record = _new_record(context, contract, parse_submission(body))
    await _check_queue_limit(context, contract, record)
    try:
        stored = await context.job_store.create(record)
    except JobExistsError as exc:
        return _respond_to_duplicate(record, exc.stored.record)
    context.watch.queued.update(stored.record)
    await notify_control(context, stored.record)
    return json_response(make_job_answer(stored.record), CREATED)


async def _check_queue_limit(
    context: JobContext,
    contract: Contract,
    record: JobRecord,
) -> None:
    """Refuse a new job over the contract's limit; allow a resubmission."""
    limit = contract.jobs.max_queued
    if context.watch.queued.count(contract.organisation) < limit:
        return
    if await context.job_store.load(record.job) is None:
        raise RefusedError(
            TOO_MANY_REQUESTS,
            f'{contract.organisation} already has {limit} jobs queued',
            field='jobs.max_queued',
            limit=f'{limit} jobs',
        )


def _new_record(
    context: JobContext,
    contract: Contract,
    submission: JobSubmission,
) -> JobRecord:
    spec = submission.spec
    view = context.control.view
    return JobRecord(
        job=stored_job_id(contract.organisation, submission.job),
        organisation=contract.organisation,
        spec=spec,
        state=JobState.QUEUED,
        domain=choose_domain(
            spec,
            contract,
            context.configuration(),
            view.domains if view else (),
            context.domain,
        ),
        accepted_unix_ms=context.clock.unix_ms(),
        spec_sha256=hashlib.sha256(msgspec.json.encode(spec)).hexdigest(),
        traceparent=current_traceparent(),
    )


def _respond_to_duplicate(
    submitted: JobRecord, existing: JobRecord
) -> web.Response:
    if existing.spec_sha256 == submitted.spec_sha256:
        return json_response(make_job_answer(existing))
    raise RefusedError(
        CONFLICT,
        f'job {caller_job_id(existing)!r} exists with another spec',
        field='job',
        limit='one spec for each id',
    )


async def notify_control(context: JobContext, record: JobRecord) -> None:
    """Notify the control that owns the job.

    If it cannot be reached, it finds the changed record in a later scan.
    """
    notice = JobNotice(record.job, record.domain, record.traceparent)
    try:
        await context.control.notify_job(notice)
    except PeerUnreachableError:
        return
