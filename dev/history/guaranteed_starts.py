"""Checks that guaranteed jobs start in time, by preemption if needed."""

from dev.history.bounds import GUARANTEED_START_S
from dev.history.records import CallerJob, History
from dev.history.runs import PartRun, collect_part_runs


def find_late_guaranteed_starts(history: History) -> list[str]:
    """Return each guaranteed job whose parts did not all start in time."""
    runs = collect_part_runs(history.tasks)
    return [
        f'job {job.job} of {job.organisation} is guaranteed but did not'
        f' start all parts within {GUARANTEED_START_S} s'
        for job in history.caller_jobs
        if job.guaranteed and not _started_in_time(job, runs)
    ]


def _started_in_time(job: CallerJob, runs: list[PartRun]) -> bool:
    parts = {
        run.part
        for run in runs
        if run.start.job == job.job
        and run.start.organisation == job.organisation
        and run.started_at_s <= job.sent_at_s + GUARANTEED_START_S
    }
    return len(parts) == job.tasks
