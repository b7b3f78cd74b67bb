"""Checks that non-idempotent requests and jobs run at most once."""

from collections import Counter, defaultdict

from bulrushcove.ids import AttemptId, JobId, OrganisationId
from dev.history.events import RequestStep, TaskStep
from dev.history.records import History


def find_repeated_runs(history: History) -> list[str]:
    """Return each non-idempotent request or job that ran more than once."""
    return [*_find_repeated_requests(history), *_find_repeated_jobs(history)]


def _find_repeated_requests(history: History) -> list[str]:
    non_idempotent = {
        (request.organisation, request.request)
        for request in history.caller_requests
        if not request.idempotent
    }
    runs = Counter(
        (event.organisation, event.request)
        for event in history.requests
        if event.step is RequestStep.RUN
    )
    return [
        f'request {request} of {organisation} is not idempotent and ran'
        f' {runs[organisation, request]} times'
        for organisation, request in sorted(non_idempotent)
        if runs[organisation, request] > 1
    ]


def _find_repeated_jobs(history: History) -> list[str]:
    attempts: dict[tuple[OrganisationId, JobId], set[AttemptId]] = defaultdict(
        set
    )
    for event in history.tasks:
        if event.step is TaskStep.START:
            attempts[event.organisation, event.job].add(event.attempt)
    return [
        f'job {job.job} of {job.organisation} is not idempotent and had'
        f' {len(attempts[job.organisation, job.job])} attempts'
        for job in history.caller_jobs
        if not job.idempotent and len(attempts[job.organisation, job.job]) > 1
    ]
