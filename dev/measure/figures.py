"""Computes the figures of a replay and formats them as a table."""

import statistics
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from bulrushcove.states import Urgency
from dev.measure.cluster_fake import Job
from dev.measure.replay import Replay
from dev.measure.tally import is_large

PERCENT = 100


class Figure(msgspec.Struct, frozen=True):
    """One measured figure and its goal relative to the naive scheduler."""

    name: str
    unit: str
    # Upper bound for the ratio of ours to naive; None: no goal.
    goal: float | None = None


FIGURES = (
    Figure('urgent completion p50', 's'),
    Figure('urgent completion p99', 's', goal=0.1),
    Figure('urgent completion p999', 's'),
    Figure('urgent run time p99', 's'),
    Figure('urgent wait p99', 's', goal=0.1),
    Figure('normal completion p50', 's'),
    Figure('normal completion p99', 's'),
    Figure('all completion mean', 's', goal=1),
    Figure('large wait mean', 's', goal=0.5),
    Figure('fragmentation', '%', goal=0.5),
    Figure('work lost in domain change', 'accelerator h', goal=0.25),
    Figure('work lost in total', 'accelerator h'),
    Figure('work done in domain change', '% of capacity'),
    Figure('guarantees missed', 'jobs', goal=0),
    Figure('jobs failed', 'jobs'),
)
SECONDS_PER_HOUR = 3600


def compute_figures(replay: Replay) -> dict[str, float]:
    """Return the figures of one replay by name."""
    completed_jobs = [
        job for job in replay.jobs if job.ended_s and not job.failed
    ]
    urgent = [job for job in completed_jobs if _is_urgent(job)]
    normal = [
        _completion_s(job) for job in completed_jobs if not _is_urgent(job)
    ]
    urgent_s = [_completion_s(job) for job in urgent]
    large = [job for job in completed_jobs if is_large(job)]
    tally = replay.tally
    return {
        'urgent completion p50': quantile(urgent_s, 0.5),
        'urgent completion p99': quantile(urgent_s, 0.99),
        'urgent completion p999': quantile(urgent_s, 0.999),
        'urgent run time p99': quantile(
            [job.arrival.run_s for job in urgent], 0.99
        ),
        'urgent wait p99': quantile(
            [_completion_s(job) - job.arrival.run_s for job in urgent], 0.99
        ),
        'normal completion p50': quantile(normal, 0.5),
        'normal completion p99': quantile(normal, 0.99),
        'all completion mean': _mean(
            _completion_s(job) for job in completed_jobs
        ),
        'large wait mean': _mean(
            _completion_s(job) - job.arrival.run_s for job in large
        ),
        'fragmentation': PERCENT
        * tally.fragmented_accelerator_s
        / max(tally.free_accelerator_s, 1),
        'work lost in domain change': tally.lost_in_change / SECONDS_PER_HOUR,
        'work lost in total': tally.lost / SECONDS_PER_HOUR,
        'work done in domain change': (
            PERCENT * tally.completed_in_change / tally.capacity_in_change
        ),
        'guarantees missed': len(tally.missed),
        'jobs failed': sum(job.failed for job in replay.jobs),
    }


def format_table(
    naive: Sequence[Mapping[str, float]],
    ours: Sequence[Mapping[str, float]],
) -> str:
    """Return a Markdown table of means and ranges over the seeds."""
    lines = [
        '| figure | naive | ours | ours / naive | goal |',
        '|---|---|---|---|---|',
    ]
    for figure in FIGURES:
        naive_values = [each[figure.name] for each in naive]
        our_values = [each[figure.name] for each in ours]
        goal = '' if figure.goal is None else f'<= {figure.goal}'
        lines.append(
            f'| {figure.name} ({figure.unit}) | {format_spread(naive_values)} '
            f'| {format_spread(our_values)} '
            f'| {format_ratio(naive_values, our_values)} '
            f'| {goal} |'
        )
    return '\n'.join(lines)


def format_spread(values: Sequence[float]) -> str:
    """Return the mean, the minimum and the maximum."""
    mean = statistics.mean(values)
    return f'{mean:.1f} ({min(values):.1f} to {max(values):.1f})'


def format_ratio(
    naive_values: Sequence[float], our_values: Sequence[float]
) -> str:
    """Return the ratio of the means and the median of the ratios."""
    mean = statistics.mean(naive_values)
    if not mean:
        return '-'
    by_seed = [
        new / old
        for old, new in zip(naive_values, our_values, strict=True)
        if old
    ]
    return (
        f'{statistics.mean(our_values) / mean:.2f} '
        f'({statistics.median(by_seed):.2f})'
    )


def quantile(values: Iterable[float], share: float) -> float:
    """Return the quantile of ``values`` at ``share``, from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _mean(values: Iterable[float]) -> float:
    return statistics.mean(list(values) or [0])


def _is_urgent(job: Job) -> bool:
    return job.record.spec.urgency is Urgency.URGENT


def _completion_s(job: Job) -> float:
    ended_s = job.ended_s or 0
    return ended_s - job.arrival.at_s
