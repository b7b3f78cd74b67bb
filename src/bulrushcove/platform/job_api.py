"""HTTP API that callers use to submit, query and cancel jobs."""

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
from ..batch.ids import ImageName, QueueName
from ..batch.job_spec import (
    JobSpec,
    StepSpec,
    TaskSize,
    check_job,
    drop_repeated,
)
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
from .numbers import WireInt

# Time left until the caller's deadline, not a point in time.
DEADLINE_HEADER = 'X-Deadline-Ms'
CREDENTIAL_HEADER = 'X-Credential'
RETRY_AFTER_HEADER = 'Retry-After'
# Eleven days at most; ASCII digits only, as ``int`` does not read all others.
DEADLINE_PATTERN = re.compile('[0-9]{1,9}')
# Used when a request has no valid deadline header.
DEFAULT_DEADLINE_MS = 3000
MAX_PAYLOAD_BYTES = 4000
NO_POLICY_RETRY_S = 1.0
JOB_ID_PATTERN = re.compile('[0-9a-fA-F]{16}')

logger = logging.getLogger(__name__)


# Any other error is a fault of the submission: status 400.
_STATUS_BY_ERROR = MappingProxyType(
    {
        # The job was not accepted and never runs.
        JobRefusedError: HTTPStatus.TOO_MANY_REQUESTS,
        ServiceUnavailableError: HTTPStatus.SERVICE_UNAVAILABLE,
        # The job may have been accepted: callers retry with the same id.
        OutcomeUnknownError: HTTPStatus.GATEWAY_TIMEOUT,
        JobConflictError: HTTPStatus.CONFLICT,
        TooLargeError: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    }
)


class JobService(Protocol):
    """Handles the decoded requests of callers.

    Methods raise ``BatchError`` or ``NodeError`` if they fail or do not
    finish by ``deadline_s``, a point in time on the monotonic clock.
    """

    async def submit(self, spec: JobSpec, deadline_s: float) -> None:
        """Submit a job; return once it is accepted."""

    async def query_job(
        self,
        job: JobId,
        organisation: OrganisationId,
        *,
        should_cancel: bool,
        deadline_s: float,
    ) -> JobPhase | None:
        """Return the state of a job, or None if it does not exist.

        Cancels the job first if ``should_cancel``.
        """

    async def count_pending(self, queue: QueueName, deadline_s: float) -> int:
        """Return the number of jobs of a queue that have not started."""


class _Step(msgspec.Struct, rename='kebab'):
    count: WireInt
    # In millicores.
    cpu: WireInt = 0
    mem_mb: WireInt = 0
    gpu: WireInt = 0
    estimated_ms: WireInt = 0
    after: list[WireInt] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    # Preferred rack: the one that holds the data of the step.
    affinity: str = ''
    max_per_server: WireInt = 0
    allow_duplicates: bool = False
    # Service task: restarted whenever it ends, until the job is cancelled.
    perpetual: bool = False
    image: str = ''
    # Tail latency of the responses of a service task, not a run time.
    target_ms: WireInt = 0
    # Runs on processor time that other tasks leave idle.
    fills: bool = False
    # Disruption budget: tasks that planned stops may keep away at once.
    may_miss: WireInt = 0


class _Job(msgspec.Struct, rename='kebab'):
    # Payload that is passed to the workers unread, not the job's definition.
    spec: str
    steps: list[_Step]
    repeat_count: WireInt = 0
    # A point in Unix time, while interval-ms is a duration.
    first_run_ms: WireInt = 0
    interval_ms: WireInt = 0


class HttpJobApi:
    """Serves the requests of callers: submit, query, cancel and count jobs."""

    def __init__(
        self,
        service: JobService,
        get_desired_state: Callable[[], DesiredState],
        clock: Clock,
        record_response: Callable[[str, int, float], None],
    ) -> None:
        """Pass requests to ``service``.

        ``get_desired_state`` returns the newest desired state of the operators;
        ``record_response`` gets the method, status and seconds of each call.
        """
        # While draining, each connection is closed after its next response.
        self.is_draining = False
        # Number of requests that are being handled.
        self.in_progress = 0
        self._service = service
        self._get_desired_state = get_desired_state
        self._clock = clock
        self._record_response = record_response

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request: record its metrics, log it if it failed."""
        self.in_progress += 1
        started_at_s = time.monotonic()
        try:
            response = await self._respond(request)
        finally:
            self.in_progress -= 1
        if self.is_draining:
            response.force_close()
        duration_s = time.monotonic() - started_at_s
        self._record_response(request.method, response.status, duration_s)
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

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        policy = self._get_desired_state().policy
        if policy is None:
            return _error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no configuration is known',
                NO_POLICY_RETRY_S,
            )
        host = request.headers.get('Host', '').partition(':')[0].lower()
        queue = find_queue(policy, host, request.path)
        if queue is None:
            return _error_response(
                HTTPStatus.NOT_FOUND, 'no queue serves this host and path'
            )
        organisation = _find_organisation_id(policy, queue, request)
        if organisation is None:
            return _error_response(
                HTTPStatus.UNAUTHORIZED, 'unknown credential'
            )
        try:
            return await self._dispatch(request, policy, queue, organisation)
        except (BatchError, NodeError, UndecodableError) as exc:
            return _error_response_for(exc)

    async def _dispatch(
        self,
        request: web.BaseRequest,
        policy: Policy,
        queue: Queue,
        organisation: OrganisationId,
    ) -> web.Response:
        deadline_s = self._deadline_s(request)
        path_suffix = request.path.removeprefix(queue.prefix)
        if not path_suffix and request.method == 'GET':
            count = await self._service.count_pending(queue.name, deadline_s)
            return _json_response({'pending': count})
        if not JOB_ID_PATTERN.fullmatch(path_suffix):
            return _error_response(
                HTTPStatus.NOT_FOUND, f'invalid job id: {path_suffix!r}'
            )
        job = JobId(path_suffix)
        if request.method == 'POST':
            limit_bytes = policy.request_limits.max_body_bytes
            spec = decode_job(
                job, await _read_body(request, limit_bytes), queue, organisation
            )
            await self._service.submit(spec, deadline_s)
            return _json_response({})
        if request.method not in {'GET', 'DELETE'}:
            return _error_response(
                HTTPStatus.METHOD_NOT_ALLOWED, request.method
            )
        phase = await self._service.query_job(
            job,
            organisation,
            should_cancel=request.method == 'DELETE',
            deadline_s=deadline_s,
        )
        return _job_state_response(job, phase)

    def _deadline_s(self, request: web.BaseRequest) -> float:
        header_text = request.headers.get(DEADLINE_HEADER, '')
        is_valid = DEADLINE_PATTERN.fullmatch(header_text)
        wait_ms = int(header_text) if is_valid else DEFAULT_DEADLINE_MS
        return self._clock.monotonic_s() + wait_ms / MS_PER_S


def decode_job(
    job: JobId, body: bytes, queue: Queue, organisation: OrganisationId
) -> JobSpec:
    """Decode and validate a submission.

    Raises ``UndecodableError`` for a malformed body and ``InvalidJobError``
    for a job that breaks a rule.
    """
    decoded_job = decode(body, _Job)
    if len(decoded_job.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidJobError(f'spec is longer than {MAX_PAYLOAD_BYTES} bytes')
    spec = JobSpec(
        job=job,
        payload=decoded_job.spec,
        steps=tuple(_decode_step(step) for step in decoded_job.steps),
        terms=grant_terms(queue, organisation),
        repeat_count=decoded_job.repeat_count,
        first_unix_ms=decoded_job.first_run_ms,
        interval_ms=decoded_job.interval_ms,
    )
    check_job(spec)
    return spec


def _decode_step(step: _Step) -> StepSpec:
    return StepSpec(
        task_count=step.count,
        size=TaskSize(step.cpu, step.mem_mb, step.gpu),
        estimated_ms=step.estimated_ms,
        after=drop_repeated(step.after),
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
        image=ImageName(step.image),
        target_tail_ms=step.target_ms,
    )


def _find_organisation_id(
    policy: Policy, queue: Queue, request: web.BaseRequest
) -> OrganisationId | None:
    credential = request.headers.get(CREDENTIAL_HEADER, '')
    organisation = find_organisation(policy, credential)
    if organisation is not None:
        return organisation.name
    return OrganisationId('') if queue.is_public else None


async def _read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            raise TooLargeError(f'body is larger than {limit_bytes} bytes')
    return bytes(body)


def _job_state_response(job: JobId, phase: JobPhase | None) -> web.Response:
    if phase is None:
        return _error_response(HTTPStatus.GONE, f'job {job} does not exist')
    return _json_response({'state': phase.value})


def _error_response_for(exc: BulrushcoveError) -> web.Response:
    retry_after_s = 0.0
    if isinstance(exc, JobRefusedError | ServiceUnavailableError):
        retry_after_s = exc.retry_after_s
    status = _STATUS_BY_ERROR.get(type(exc), HTTPStatus.BAD_REQUEST)
    return _error_response(status, str(exc), retry_after_s)


def _json_response(body: dict[str, object]) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type='application/json'
    )


def _error_response(
    status: HTTPStatus, reason: str, retry_after_s: float = 0
) -> web.Response:
    headers = {}
    if retry_after_s:
        headers[RETRY_AFTER_HEADER] = str(max(1, ceil(retry_after_s)))
    return web.Response(
        status=status,
        headers=headers,
        body=msgspec.json.encode({'error': reason}),
        content_type='application/json',
    )


RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
READINESS_PATH = '/api/ready'


def make_ready_handler(is_ready: Callable[[], bool]) -> RequestHandler:
    """Return the handler of the load balancer's readiness check."""

    async def handle_readiness(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READINESS_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if is_ready():
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    return handle_readiness
