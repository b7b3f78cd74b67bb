"""Order of waiting when more work is there than room.

Answers bursts of two to three times the usual load: urgent work first, then
what can still be on time, earliest due first, then what is late anyway, the
smallest first, so that late large jobs never hold up many small ones.
"""

from ..clock import MS_PER_S
from .job_state import Unit
from .runtime_estimates import RuntimeEstimates

URGENT = 0
# A job that takes longer than this many objectives is of no more use late
# than later; users' price list.
LATE_OBJECTIVES = 3

_ON_TIME = 0
_LATE = 1
_TOO_LATE = 2


def waiting_key(
    unit: Unit, estimates: RuntimeEstimates, now_s: float
) -> tuple[float, ...]:
    """Return the sort key of a waiting unit; lower goes first."""
    job = unit.job
    priority = job.spec.terms.priority
    objective_s = estimates.objective_s(job.spec)
    left_s = estimates.remaining_ms(unit) / MS_PER_S
    lateness = _lateness(now_s + left_s - job.accepted_at_s, objective_s)
    due_s = job.accepted_at_s + objective_s - left_s
    rank = URGENT if priority == URGENT else 1 + lateness
    if lateness == _ON_TIME:
        return (rank, lateness, priority, due_s, not job.has_started)
    return (rank, lateness, priority, unit.weight_cores, due_s)


def _lateness(finish_s: float, objective_s: float) -> int:
    if finish_s <= objective_s:
        return _ON_TIME
    if finish_s <= LATE_OBJECTIVES * objective_s:
        return _LATE
    return _TOO_LATE
