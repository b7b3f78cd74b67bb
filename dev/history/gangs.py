"""Checks that no gang runs partially or succeeds with parts missing."""

from collections.abc import Iterator

from bulrushcove.ids import AttemptId, JobId, OrganisationId
from bulrushcove.states import JobState
from dev.history.bounds import PARTIAL_GANG_S
from dev.history.records import History
from dev.history.runs import PartRun, group_runs_by_attempt

JobKey = tuple[OrganisationId, JobId]


def find_partial_gangs(history: History) -> list[str]:
    """Return each attempt that ran partially for longer than allowed."""
    sizes = {
        (job.organisation, job.job): job.tasks for job in history.caller_jobs
    }
    return [
        violation
        for attempt, runs in group_runs_by_attempt(history.tasks).items()
        for violation in _check_attempt(attempt, runs, sizes)
    ]


def find_results_of_partial_runs(history: History) -> list[str]:
    """Return each succeeded job without an attempt that finished all parts."""
    finished_jobs = {
        _job_key(runs[0])
        for runs in group_runs_by_attempt(history.tasks).values()
        if all(run.is_finished for run in runs)
    }
    return [
        f'job {job.job} of {job.organisation} succeeded but no attempt'
        ' finished all parts'
        for job in history.caller_jobs
        if job.state is JobState.SUCCEEDED
        and (job.organisation, job.job) not in finished_jobs
    ]


def _check_attempt(
    attempt: AttemptId, runs: list[PartRun], sizes: dict[JobKey, int]
) -> Iterator[str]:
    tasks = sizes.get(_job_key(runs[0]))
    if tasks is None:
        return
    partial_s = compute_longest_partial_s(runs, tasks)
    if partial_s > PARTIAL_GANG_S:
        yield (
            f'attempt {attempt} of job {runs[0].start.job} ran partially for'
            f' {partial_s:.1f} s'
        )


def compute_longest_partial_s(runs: list[PartRun], tasks: int) -> float:
    """Return the longest time during which only some of the parts ran.

    A part that has finished does not count as missing.
    """
    times = {run.started_at_s for run in runs} | {
        run.ended_at_s for run in runs
    }
    longest_s = 0.0
    since_s: float | None = None
    for time_s in sorted(times):
        if since_s is not None:
            longest_s = max(longest_s, time_s - since_s)
        if not _is_partial(runs, tasks, time_s):
            since_s = None
        elif since_s is None:
            since_s = time_s
    return longest_s


def _is_partial(runs: list[PartRun], tasks: int, time_s: float) -> bool:
    running = {
        run.part for run in runs if run.started_at_s <= time_s < run.ended_at_s
    }
    done = {
        run.part for run in runs if run.is_finished and run.ended_at_s <= time_s
    }
    return bool(running) and len(running | done) < tasks


def _job_key(run: PartRun) -> JobKey:
    return run.start.organisation, run.start.job
