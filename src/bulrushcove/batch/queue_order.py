"""Order in which waiting units are scheduled.

It matters in bursts of two to three times the usual load: urgent units come
first, then units that can still be on time, by priority and latest start, then
late ones, smallest first, so that a late large job never delays many small
ones. Last are those so late that a further delay costs nothing.
"""

from ..clock import MS_PER_S
from .job_state import Unit
from .runtime_estimates import RuntimeEstimates

URGENT = 0
# By the users' price list a job that takes longer than this many objectives
# loses nothing more by a further delay.
MAX_LATE_OBJECTIVES = 3

_ON_TIME = 0
_LATE = 1
_TOO_LATE = 2


def queue_sort_key(
    unit: Unit, estimates: RuntimeEstimates, now_s: float
) -> tuple[float, ...]:
    """Return the sort key of a waiting unit; lower goes first."""
    job = unit.job
    priority = job.spec.terms.priority
    objective_s = estimates.objective_s(job.spec)
    remaining_s = estimates.remaining_ms(unit) / MS_PER_S
    lateness = _lateness(now_s + remaining_s - job.accepted_at_s, objective_s)
    latest_start_at_s = job.accepted_at_s + objective_s - remaining_s
    rank = URGENT if priority == URGENT else 1 + lateness
    if lateness == _ON_TIME:
        return (
            rank,
            lateness,
            priority,
            latest_start_at_s,
            not job.has_started,
        )
    return (rank, lateness, priority, unit.weight_cores, latest_start_at_s)


def _lateness(finish_s: float, objective_s: float) -> int:
    if finish_s <= objective_s:
        return _ON_TIME
    if finish_s <= MAX_LATE_OBJECTIVES * objective_s:
        return _LATE
    return _TOO_LATE
