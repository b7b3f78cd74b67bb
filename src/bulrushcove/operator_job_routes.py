"""Operators' HTTP routes for jobs and workers."""

from collections.abc import Callable

from aiohttp import web

from .exceptions import RefusedError
from .ids import JobId
from .job_explanation import explain
from .messages import ClusterView
from .names import unknown_name_message
from .operator_api import Explanation, JobList, JobSummary, WorkerList
from .operator_http import HTTP_BAD_REQUEST
from .operator_jobs import OperatorJobs, summarize
from .operator_status import build_workers
from .operators import OperatorService
from .states import JobState

DEFAULT_JOB_LIMIT = 200
MAX_JOB_LIMIT = 10_000

GetClusterView = Callable[[], ClusterView | None]


class JobRoutes:
    """Handlers of the requests about jobs and workers."""

    def __init__(
        self,
        operator_service: OperatorService,
        view: GetClusterView,
        jobs: OperatorJobs,
    ) -> None:
        """Use ``jobs``; ``view`` returns the control's last cluster view."""
        self._operator_service = operator_service
        self._view = view
        self._jobs = jobs

    async def workers(self, _request: web.Request) -> WorkerList:
        """Return the workers that respond."""
        workers = await self._operator_service.workers()
        return build_workers(
            workers, self._operator_service.active_configuration
        )

    async def list_jobs(self, request: web.Request) -> JobList:
        """Return the newest jobs that match the query."""
        state = _parse_job_state(request.query.get('state', ''))
        organisation = request.query.get('organisation', '')
        limit = _parse_limit(request.query.get('limit', str(DEFAULT_JOB_LIMIT)))
        matching = [
            summarize(record)
            for record in await self._jobs.load_all()
            if state in {None, record.state}
            and organisation in {'', record.organisation}
        ]
        left_out = max(0, len(matching) - limit)
        return JobList(jobs=tuple(matching[left_out:]), left_out=left_out)

    async def show(self, request: web.Request) -> JobSummary:
        """Return one job."""
        return summarize(await self._jobs.load(_parse_job_id(request)))

    async def explain(self, request: web.Request) -> Explanation:
        """Return why one job is in its current state."""
        record = await self._jobs.load(_parse_job_id(request))
        lines = explain(
            record,
            self._operator_service.active_configuration,
            self._view(),
            await self._jobs.load_all(),
        )
        reason = await self._jobs.wait_reason(record)
        if reason:
            lines = (*lines, f'Reason given by the scheduler: {reason}.')
        return Explanation(job=record.job, lines=lines)

    async def cancel(self, request: web.Request) -> JobSummary:
        """Request the cancellation of one job."""
        return summarize(await self._jobs.cancel(_parse_job_id(request)))


def _parse_job_id(request: web.Request) -> JobId:
    return JobId(request.match_info['job'])


def _parse_job_state(text: str) -> JobState | None:
    if not text:
        return None
    try:
        return JobState(text)
    except ValueError as exc:
        known = [state.value for state in JobState]
        raise RefusedError(
            HTTP_BAD_REQUEST,
            unknown_name_message('job state', text, known),
            field='state',
        ) from exc


def _parse_limit(text: str) -> int:
    if text.isdecimal() and 0 < int(text) <= MAX_JOB_LIMIT:
        return int(text)
    raise RefusedError(
        HTTP_BAD_REQUEST,
        f'limit: found {text!r}, allowed: 1 to {MAX_JOB_LIMIT}',
        field='limit',
        limit=str(MAX_JOB_LIMIT),
    )
