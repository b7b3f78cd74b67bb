"""Checks that requests and jobs refused as not run did not run."""

from collections import defaultdict
from collections.abc import Sequence

from bulrushcove.ids import OrganisationId, RequestId
from bulrushcove.states import Outcome
from dev.history.events import RequestStep, TaskStep
from dev.history.records import CallerRequest, History

RequestKey = tuple[OrganisationId, RequestId]


def find_false_not_run(history: History) -> list[str]:
    """Return each request or job that ran although it was reported not run."""
    return [
        *_find_contradicted_requests(history),
        *_find_contradicted_jobs(history),
    ]


def _find_contradicted_requests(history: History) -> list[str]:
    runs_s = _collect_run_times(history)
    sent: dict[RequestKey, list[CallerRequest]] = defaultdict(list)
    for request in history.caller_requests:
        sent[request.organisation, request.request].append(request)
    return [
        f'request {key[1]} of {key[0]} was reported not-run but ran'
        for key, requests in sent.items()
        if any(_contradicts_refusal(run_s, requests) for run_s in runs_s[key])
    ]


def _collect_run_times(history: History) -> dict[RequestKey, list[float]]:
    times_s: dict[RequestKey, list[float]] = defaultdict(list)
    for event in history.requests:
        if event.step is RequestStep.RUN:
            times_s[event.organisation, event.request].append(event.at_s)
    return times_s


def _contradicts_refusal(
    run_s: float, requests: Sequence[CallerRequest]
) -> bool:
    """Return whether the run at ``run_s`` contradicts a refusal as not run.

    A caller may retry after a refusal. A run contradicts a refusal that came
    after it, and it contradicts all of them when every request sent before
    the run was refused.
    """
    refused = [each for each in requests if each.outcome is Outcome.NOT_RUN]
    if any(run_s <= each.ended_at_s for each in refused):
        return True
    return all(
        each.outcome is Outcome.NOT_RUN
        for each in requests
        if each.sent_at_s <= run_s
    )


def _find_contradicted_jobs(history: History) -> list[str]:
    started = {
        (event.organisation, event.job)
        for event in history.tasks
        if event.step is TaskStep.START
    }
    return [
        f'job {job.job} of {job.organisation} was refused as not-run but'
        ' started'
        for job in history.caller_jobs
        if job.outcome is Outcome.NOT_RUN
        and not job.accepted
        and (job.organisation, job.job) in started
    ]
