"""Formats the summary table of a run."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType

import msgspec

from bulrushcove.states import JobState, Outcome, Urgency
from dev.history.events import TaskStep
from dev.history.records import CallerJob, CallerRequest, History

MS_PER_S = 1000
PERCENTILES = (50, 99)
WHOLE_PERCENT = 100
MAX_REASONS = 5
IDLE_MEMORY_BOUNDS_MB = MappingProxyType({'control': 48.0, 'entry': 64.0})


class MemoryUse(msgspec.Struct, frozen=True):
    """Resident memory of one daemon."""

    kind: str
    idle_mb: float
    end_mb: float


def compute_percentile(numbers: Sequence[float], percent: int) -> float:
    """Return the nearest-rank percentile; 0 for an empty sequence."""
    if not numbers:
        return 0.0
    rank = -(-len(numbers) * percent // WHOLE_PERCENT)
    return sorted(numbers)[max(rank, 1) - 1]


def format_completion_times(history: History) -> list[str]:
    """Return a line of completion times for each urgency and for jobs."""
    times_ms = {
        urgency.value: _request_times_ms(history.caller_requests, urgency)
        for urgency in Urgency
    }
    times_ms['job'] = [
        (job.ended_at_s - job.sent_at_s) * MS_PER_S
        for job in history.caller_jobs
        if job.state is JobState.SUCCEEDED
    ]
    lines = ['completion time    count    p50 ms    p99 ms']
    for name, numbers in times_ms.items():
        p50, p99 = (
            compute_percentile(numbers, percent) for percent in PERCENTILES
        )
        lines.append(f'  {name:14}{len(numbers):8}{p50:10.1f}{p99:10.1f}')
    return lines


def format_request_outcomes(requests: Sequence[CallerRequest]) -> list[str]:
    """Return the outcomes of the requests and the most frequent refusals."""
    outcomes = Counter(
        request.outcome.value if request.outcome else 'lost'
        for request in requests
    )
    return [
        f'requests {len(requests)}: {_format_counts(outcomes)}',
        *_format_refusals([request.message for request in requests]),
    ]


def format_job_states(history: History) -> list[str]:
    """Return the states of the jobs, refusals and started gang attempts."""
    jobs = history.caller_jobs
    states = Counter(_job_state(job) for job in jobs)
    gangs = {job.job for job in jobs if job.tasks > 1}
    attempts = {
        event.attempt
        for event in history.tasks
        if event.step is TaskStep.START and event.job in gangs
    }
    return [
        f'jobs {len(jobs)}: {_format_counts(states)}',
        *_format_refusals([job.message for job in jobs]),
        f'gangs {len(gangs)}: {len(attempts)} attempts started',
    ]


def format_platform_calls(
    calls: Mapping[str, int], seconds: float
) -> list[str]:
    """Return the platform calls per second, in total and by kind."""
    total = sum(calls.values()) / seconds
    kinds = ', '.join(
        f'{kind} {count / seconds:.1f}' for kind, count in sorted(calls.items())
    )
    return [f'platform calls per second: {total:.1f} ({kinds})']


def format_memory_uses(uses: Iterable[MemoryUse]) -> list[str]:
    """Return the largest resident memory of each kind of daemon."""
    lines = ['resident memory    idle MB    end MB    bound MB (idle)']
    by_kind: dict[str, list[MemoryUse]] = {}
    for one in uses:
        by_kind.setdefault(one.kind, []).append(one)
    for kind, found in by_kind.items():
        idle_mb = max([use.idle_mb for use in found])
        end_mb = max([use.end_mb for use in found])
        bound_mb = IDLE_MEMORY_BOUNDS_MB[kind]
        lines.append(
            f'  {kind:14}{idle_mb:12.1f}{end_mb:10.1f}{bound_mb:12.0f}'
        )
    return lines


def find_memory_violations(uses: Iterable[MemoryUse]) -> list[str]:
    """Return each daemon that reached its memory bound while idle."""
    return [
        f'{use.kind} daemon uses {use.idle_mb:.1f} MB idle, bound'
        f' {IDLE_MEMORY_BOUNDS_MB[use.kind]:.0f} MB'
        for use in uses
        if use.idle_mb >= IDLE_MEMORY_BOUNDS_MB[use.kind]
    ]


def find_lost_requests(requests: Sequence[CallerRequest]) -> list[str]:
    """Return each request that got no complete response."""
    return [
        f'request {request.request} sent to {request.vm} got no response'
        for request in requests
        if request.status is None
    ]


def _request_times_ms(
    requests: Sequence[CallerRequest], urgency: Urgency
) -> list[float]:
    return [
        (request.ended_at_s - request.sent_at_s) * MS_PER_S
        for request in requests
        if request.urgency is urgency and request.outcome is Outcome.RAN
    ]


def _job_state(job: CallerJob) -> str:
    if job.state is not None:
        return job.state.value
    return 'accepted' if job.accepted else 'refused'


def _format_refusals(messages: Sequence[str]) -> list[str]:
    reasons = Counter(message for message in messages if message)
    return [
        f'  {count} refused: {reason}'
        for reason, count in reasons.most_common(MAX_REASONS)
    ]


def _format_counts(counter: Counter[str]) -> str:
    return ', '.join(f'{count} {name}' for name, count in counter.most_common())
