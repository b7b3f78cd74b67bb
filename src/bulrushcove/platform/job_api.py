"""Callers' HTTP, decoded into the product's questions."""

import logging
import re
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from math import ceil
from types import MappingProxyType
from typing import Protocol

import msgspec
from aiohttp import web

from ..batch.exceptions import (
    BatchError,
    InvalidJobError,
    JobConflictError,
    JobRefusedError,
)
from ..batch.ids import QueueName
from ..batch.job_spec import JobSpec, StepSpec, TaskSize, check_job
from ..batch.job_state import JobPhase
from ..batch.policy import (
    DesiredState,
    Policy,
    Queue,
    find_organisation,
    find_queue,
    grant_terms,
)
from ..clock import MS_PER_S, Clock
from ..exceptions import BulrushcoveError
from ..ids import JobId, OrganisationId, RackId
from ..logs import log_event
from ..node.exceptions import (
    NodeError,
    OutcomeUnknownError,
    ServiceUnavailableError,
)
from .exceptions import TooLargeError, UndecodableError
from .http_client import decode

DEADLINE_HEADER = 'X-Deadline-Ms'
CREDENTIAL_HEADER = 'X-Credential'
RETRY_AFTER = 'Retry-After'
# Callers that name no deadline wait this long.
DEFAULT_DEADLINE_MS = 3000
MAX_PAYLOAD_BYTES = 4000
NO_POLICY_RETRY_S = 1.0
JOB_ID = re.compile('[0-9a-fA-F]{16}')

logger = logging.getLogger(__name__)


# Errors that are not listed are about the submission itself.
_STATUSES = MappingProxyType(
    {
        # Neither is accepted, so that it never runs.
        JobRefusedError: HTTPStatus.TOO_MANY_REQUESTS,
        ServiceUnavailableError: HTTPStatus.SERVICE_UNAVAILABLE,
        # It may be accepted: the caller sends the same id again.
        OutcomeUnknownError: HTTPStatus.GATEWAY_TIMEOUT,
        JobConflictError: HTTPStatus.CONFLICT,
        TooLargeError: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    }
)


class JobService(Protocol):
    """Answers what callers ask; errors as its methods say."""

    async def submit(self, spec: JobSpec, deadline_s: float) -> None:
        """Return once the job is accepted."""

    async def query_job(
        self,
        job: JobId,
        organisation: OrganisationId,
        *,
        should_cancel: bool,
        deadline_s: float,
    ) -> JobPhase | None:
        """Return a job's state; None: there is no such job."""

    async def count_pending(self, queue: QueueName, deadline_s: float) -> int:
        """Return how many jobs of a queue have not begun."""


class _Step(msgspec.Struct, rename='kebab'):
    count: int
    # Thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimated_ms: int = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    # Rack where the data is.
    affinity: str = ''
    max_per_server: int = 0
    allow_duplicates: bool = False
    perpetual: bool = False
    image: str = ''
    target_ms: int = 0
    # Its processor time is what others leave.
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct, rename='kebab'):
    # Opaque text that the workers get.
    spec: str
    steps: list[_Step]
    repeat_count: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0


class HttpJobApi:
    """Serves callers: jobs, their states, cancellations and queue counts."""

    def __init__(
        self,
        desk: JobService,
        desired_state: Callable[[], DesiredState],
        clock: Clock,
        answered: Callable[[str, int, float], None],
    ) -> None:
        """Take questions to ``desk`` under the newest ``desired_state``."""
        # Whether connections are closed after their next answer.
        self.is_draining = False
        self.in_progress = 0
        self._desk = desk
        self._desired_state = desired_state
        self._clock = clock
        self._answered = answered

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        self.in_progress += 1
        began_s = time.monotonic()
        try:
            response = await self._answer(request)
        finally:
            self.in_progress -= 1
        if self.is_draining:
            response.force_close()
        duration_s = time.monotonic() - began_s
        self._answered(request.method, response.status, duration_s)
        if response.status >= HTTPStatus.BAD_REQUEST:
            log_event(
                logger,
                'call.refused',
                method=request.method,
                path=request.path,
                status=response.status,
                reason=response.text,
                ms=round(duration_s * MS_PER_S),
            )
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        policy = self._desired_state().policy
        if policy is None:
            return _refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no configuration is known',
                NO_POLICY_RETRY_S,
            )
        host = request.headers.get('Host', '').partition(':')[0].lower()
        queue = find_queue(policy, host, request.path)
        if queue is None:
            return _refusal(HTTPStatus.NOT_FOUND, 'no such queue')
        organisation = _organisation(policy, queue, request)
        if organisation is None:
            return _refusal(HTTPStatus.UNAUTHORIZED, 'unknown credential')
        try:
            return await self._dispatch(request, policy, queue, organisation)
        except (BatchError, NodeError, UndecodableError) as exc:
            return _refusal_for(exc)

    async def _dispatch(
        self,
        request: web.BaseRequest,
        policy: Policy,
        queue: Queue,
        organisation: OrganisationId,
    ) -> web.Response:
        deadline_s = self._deadline_s(request)
        rest = request.path.removeprefix(queue.prefix)
        if not rest and request.method == 'GET':
            count = await self._desk.count_pending(queue.name, deadline_s)
            return _json({'pending': count})
        if not JOB_ID.fullmatch(rest):
            return _refusal(HTTPStatus.NOT_FOUND, f'no job id: {rest!r}')
        job = JobId(rest)
        if request.method == 'POST':
            body = await _read_body(request, policy.max_body_bytes)
            spec = decode_job(job, body, queue, organisation)
            await self._desk.submit(spec, deadline_s)
            return _json({})
        if request.method not in {'GET', 'DELETE'}:
            return _refusal(HTTPStatus.METHOD_NOT_ALLOWED, request.method)
        phase = await self._desk.query_job(
            job,
            organisation,
            should_cancel=request.method == 'DELETE',
            deadline_s=deadline_s,
        )
        return _job_answer(job, phase)

    def _deadline_s(self, request: web.BaseRequest) -> float:
        given = request.headers.get(DEADLINE_HEADER, '')
        wait_ms = int(given) if given.isdigit() else DEFAULT_DEADLINE_MS
        return self._clock.monotonic_s() + wait_ms / MS_PER_S


def decode_job(
    job: JobId, body: bytes, queue: Queue, organisation: OrganisationId
) -> JobSpec:
    """Return the submission in ``body``.

    Raises ``UndecodableError`` or ``InvalidJobError`` naming what is wrong.
    """
    wire = decode(body, _Job)
    if len(wire.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidJobError(f'spec is over {MAX_PAYLOAD_BYTES} bytes')
    spec = JobSpec(
        job=job,
        payload=wire.spec,
        steps=tuple(_step(step) for step in wire.steps),
        terms=grant_terms(queue, organisation),
        repeat_count=wire.repeat_count,
        first_unix_ms=wire.first_run_ms,
        interval_ms=wire.interval_ms,
    )
    check_job(spec)
    return spec


def _step(step: _Step) -> StepSpec:
    return StepSpec(
        task_count=step.count,
        size=TaskSize(step.cpu, step.mem_mb, step.gpu),
        estimated_ms=step.estimated_ms,
        after=tuple(step.after),
        is_gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.required_label,
        near_rack=RackId(step.affinity),
        max_per_worker=step.max_per_server,
        may_duplicate=step.allow_duplicates,
        writes_checkpoints=step.checkpointing,
        is_service=step.perpetual,
        max_absent=step.may_miss,
        fills_idle=step.fills,
        image=step.image,
        target_tail_ms=step.target_ms,
    )


def _organisation(
    policy: Policy, queue: Queue, request: web.BaseRequest
) -> OrganisationId | None:
    credential = request.headers.get(CREDENTIAL_HEADER, '')
    organisation = find_organisation(policy, credential)
    if organisation is not None:
        return organisation.name
    return OrganisationId('') if queue.is_public else None


async def _read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    body = b''
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            raise TooLargeError(f'body is over {limit_bytes} bytes')
    return body


def _job_answer(job: JobId, phase: JobPhase | None) -> web.Response:
    if phase is None:
        return _refusal(HTTPStatus.GONE, f'no job {job}')
    return _json({'state': phase.value})


def _refusal_for(exc: BulrushcoveError) -> web.Response:
    retry_after_s = 0.0
    if isinstance(exc, JobRefusedError | ServiceUnavailableError):
        retry_after_s = exc.retry_after_s
    status = _STATUSES.get(type(exc), HTTPStatus.BAD_REQUEST)
    return _refusal(status, str(exc), retry_after_s)


def _json(body: dict[str, object]) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type='application/json'
    )


def _refusal(
    status: HTTPStatus, reason: str, retry_after_s: float = 0
) -> web.Response:
    headers = {}
    if retry_after_s:
        headers[RETRY_AFTER] = str(max(1, ceil(retry_after_s)))
    return web.Response(
        status=status,
        headers=headers,
        body=msgspec.json.encode({'error': reason}),
        content_type='application/json',
    )


RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
READY_PATH = '/api/ready'


def make_ready_handler(is_ready: Callable[[], bool]) -> RequestHandler:
    """Return the handler of the balancer's question."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READY_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if is_ready():
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    return answer
