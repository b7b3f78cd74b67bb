"""Order in which waiting units are scheduled.

It matters in bursts of two to three times the usual load: urgent units come
first, then units that can still be on time, by priority and latest start, then
late ones, smallest first and units of large jobs after all others, so that a
late large job never delays many small ones. Last are those so late that a
further delay costs nothing.
"""

from collections.abc import Callable, Iterable

from ..clock import MS_PER_S
from ..ids import JobId
from .job_state import Unit
from .runtime_estimates import RuntimeEstimates

URGENT = 0
# By the users' price list a job that takes longer than this many objectives
# loses nothing more by a further delay.
MAX_LATE_OBJECTIVES = 3

# Parts of a sort key that do not depend on when a unit came or how large it is.
_CLASS_PARTS = 3
_ON_TIME = 0
_LATE = 1
_TOO_LATE = 2


def sort_waiting_units(
    waiting: Iterable[Unit], estimates: RuntimeEstimates, now_s: float
) -> list[Unit]:
    """Return the waiting units in the order in which they are scheduled."""
    # Looks at all steps of the job, so it is computed once for all its units.
    objectives_s: dict[JobId, float] = {}

    def sort_key(unit: Unit) -> tuple[float, ...]:
        job = unit.job
        objective_s = objectives_s.get(job.id)
        if objective_s is None:
            objective_s = estimates.objective_s(job.spec)
            objectives_s[job.id] = objective_s
        return _sort_key(unit, estimates, now_s, objective_s)

    return sorted(waiting, key=sort_key)


def make_classifier(
    estimates: RuntimeEstimates, now_s: float
) -> Callable[[Unit], tuple[float, ...]]:
    """Return a function that tells the class of a waiting unit.

    Units of a lower class go first, whatever organisations they are of.
    """
    classes: dict[tuple[JobId, int], tuple[float, ...]] = {}
    objectives_s: dict[JobId, float] = {}

    def class_of(unit: Unit) -> tuple[float, ...]:
        step = (unit.job.id, unit.step)
        known = classes.get(step)
        if known is None:
            job = unit.job
            objective_s = objectives_s.get(job.id)
            if objective_s is None:
                objective_s = estimates.objective_s(job.spec)
                objectives_s[job.id] = objective_s
            key = _sort_key(unit, estimates, now_s, objective_s)
            known = key[:_CLASS_PARTS]
            classes[step] = known
        return known

    return class_of


def _sort_key(
    unit: Unit, estimates: RuntimeEstimates, now_s: float, objective_s: float
) -> tuple[float, ...]:
    job = unit.job
    priority = job.spec.terms.priority
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
    smallest_first = (job.is_large, unit.weight_cores, latest_start_at_s)
    return (rank, lateness, priority, *smallest_first)


def _lateness(finish_s: float, objective_s: float) -> int:
    if finish_s <= objective_s:
        return _ON_TIME
    if finish_s <= MAX_LATE_OBJECTIVES * objective_s:
        return _LATE
    return _TOO_LATE
