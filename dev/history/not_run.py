"""Check: what was refused as not run did not run."""

from bulrushcove.states import Outcome
from dev.history.events import RequestStep, TaskStep
from dev.history.records import History


def find_false_not_run(history: History) -> list[str]:
    """Return each request or job that ran and was told not to have."""
    return [*_false_requests(history), *_false_jobs(history)]


def _false_requests(history: History) -> list[str]:
    ran = {
        (event.organisation, event.request)
        for event in history.requests
        if event.step is RequestStep.RUN
    }
    return [
        f'request {request.request} of {request.organisation} was answered'
        ' not-run and ran'
        for request in history.caller_requests
        if request.outcome is Outcome.NOT_RUN
        and (request.organisation, request.request) in ran
    ]


def _false_jobs(history: History) -> list[str]:
    started = {
        (event.organisation, event.job)
        for event in history.tasks
        if event.step is TaskStep.START
    }
    return [
        f'job {job.job} of {job.organisation} was refused as not-run and'
        ' started'
        for job in history.caller_jobs
        if job.outcome is Outcome.NOT_RUN
        and not job.accepted
        and (job.organisation, job.job) in started
    ]
