"""Checks that each accepted job ends with its complete result."""

from collections.abc import Iterator

from bulrushcove.states import JobState
from dev.history.records import CallerJob, History


def find_lost_jobs(history: History) -> list[str]:
    """Return each accepted job that has not ended or ended wrongly."""
    return [
        violation
        for job in history.caller_jobs
        if job.accepted
        for violation in _check_job(job)
    ]


def _check_job(job: CallerJob) -> Iterator[str]:
    name = f'job {job.job} of {job.organisation}'
    if job.state is None or not job.state.is_final:
        yield f'{name} was accepted but has not ended: {job.state}'
    elif job.state is JobState.SUCCEEDED:
        if job.results != job.expected_results:
            yield f'{name} succeeded with the wrong result {job.results}'
    elif not _is_allowed_end(job):
        yield f'{name} ended as {job.state.value}'


def _is_allowed_end(job: CallerJob) -> bool:
    """Return whether the job may end in its state without a result."""
    allowed = {
        JobState.CANCELLED: job.cancelled,
        # Idempotent jobs are retried after an attempt of unknown outcome.
        JobState.UNKNOWN: not job.idempotent,
        JobState.FAILED: job.may_fail,
        JobState.UNRUNNABLE: job.may_fail,
    }
    return job.state is not None and allowed[job.state]
