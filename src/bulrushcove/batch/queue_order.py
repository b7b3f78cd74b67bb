"""Order in which waiting units are scheduled.

It matters in bursts of two to three times the usual load: urgent units come
first, then units that can still be on time, by priority and latest start, then
late ones, smallest first, so that a late large job never delays many small
ones. Last are the units of jobs that no caller gains by any more: their
remaining steps end too late in any case. They still run. So that this ends
also under lasting load, one such job of each pool at a time, the oldest, takes
the turn that it would have if it were not late, once it has waited twice as
long.
"""

from collections import defaultdict
from collections.abc import Iterable
from itertools import chain

import msgspec

from ..clock import MS_PER_S
from ..ids import JobId
from .ids import PoolName
from .job_state import Job, Unit
from .runtime_estimates import RuntimeEstimates

URGENT = 0
# By the users' price list a job that takes longer than this many objectives
# loses nothing more by a further delay.
MAX_LATE_OBJECTIVES = 3
# A job that has taken this many objectives waits no longer behind all others.
MAX_YIELDED_OBJECTIVES = 2 * MAX_LATE_OBJECTIVES

_ON_TIME = 0
_LATE = 1
_TOO_LATE = 2


class JobTimes(msgspec.Struct, frozen=True):
    """Expected times of a job, which hold for all its units."""

    objective_s: float
    # Time of a task of each step, and longest chain of steps after each.
    steps_s: tuple[float, ...]
    later_steps_s: tuple[float, ...]


def job_times(job: Job, estimates: RuntimeEstimates) -> JobTimes:
    """Return the expected times of ``job``."""
    spec = job.spec
    queue = spec.terms.queue
    return JobTimes(
        estimates.objective_s(spec),
        tuple(estimates.task_ms(queue, step) / MS_PER_S for step in spec.steps),
        tuple(ms / MS_PER_S for ms in estimates.later_steps_ms(spec)),
    )


def is_too_late(unit: Unit, times: JobTimes, now_s: float) -> bool:
    """Return whether no caller gains by an early start of waiting ``unit``."""
    return _lateness(unit, times, now_s) == _TOO_LATE


def sort_waiting_units(
    waiting: Iterable[Unit],
    estimates: RuntimeEstimates,
    now_s: float,
    running: Iterable[Unit] = (),
) -> list[Unit]:
    """Return the waiting units in the order in which they are scheduled.

    ``running`` are the units of all jobs that hold capacity.
    """
    groups = _group_by_step(waiting, estimates, now_s)
    yielding = [one.first for one in groups if one.lateness == _TOO_LATE]
    recalled = _recalled_jobs(yielding, running, estimates, now_s)
    for group in groups:
        if group.first.job.id in recalled:
            group.lateness = _ON_TIME
    groups.sort(key=_sort_key)
    return list(chain.from_iterable(one.units for one in groups))


def due_at_s(unit: Unit) -> float:
    """Return from when on the time of the unit's job counts.

    A timed job counts from the time of each occurrence, a service from the end
    of its last run.
    """
    job = unit.job
    if unit.spec.is_service or job.spec.repeat_count:
        return max(job.accepted_at_s, unit.ready_since_s)
    return job.accepted_at_s


class _Group(msgspec.Struct):
    """Waiting units of one step and occurrence, which are sorted alike."""

    units: list[Unit]
    times: JobTimes
    lateness: int

    @property
    def first(self) -> Unit:
        return self.units[0]


def _group_by_step(
    waiting: Iterable[Unit], estimates: RuntimeEstimates, now_s: float
) -> list[_Group]:
    by_step: dict[tuple[JobId, int, int], list[Unit]] = defaultdict(list)
    for unit in waiting:
        by_step[(unit.job.id, unit.occurrence, unit.step)].append(unit)
    # A look at all steps of the job, so it is computed once a job.
    times: dict[JobId, JobTimes] = {}
    groups = []
    for units in by_step.values():
        job = units[0].job
        if job.id not in times:
            times[job.id] = job_times(job, estimates)
        lateness = _lateness(units[0], times[job.id], now_s)
        groups.append(_Group(units, times[job.id], lateness))
    return groups


def _lateness(unit: Unit, times: JobTimes, now_s: float) -> int:
    finish_s = now_s + times.steps_s[unit.step] - due_at_s(unit)
    chain_s = times.later_steps_s[unit.step]
    if finish_s + chain_s > MAX_LATE_OBJECTIVES * times.objective_s:
        return _TOO_LATE
    return _ON_TIME if finish_s <= times.objective_s else _LATE


def _sort_key(group: _Group) -> tuple[float, ...]:
    unit = group.first
    job = unit.job
    lateness = group.lateness
    priority = job.spec.terms.priority
    remaining_s = group.times.steps_s[unit.step]
    latest_start_at_s = due_at_s(unit) + group.times.objective_s - remaining_s
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


def _recalled_jobs(
    yielding: Iterable[Unit],
    running: Iterable[Unit],
    estimates: RuntimeEstimates,
    now_s: float,
) -> frozenset[JobId]:
    """Return the oldest job of each pool that has yielded for too long.

    While such a job runs no other one of its pool is recalled.
    """
    overdue = [unit for unit in yielding if _is_overdue(unit, estimates, now_s)]
    if not overdue:
        return frozenset()
    at_work = [one for one in running if _is_overdue(one, estimates, now_s)]
    recalled: dict[PoolName, Unit] = {}
    for candidate in chain(
        sorted(at_work, key=due_at_s), sorted(overdue, key=due_at_s)
    ):
        recalled.setdefault(candidate.job.spec.terms.pool, candidate)
    return frozenset(unit.job.id for unit in recalled.values())


def _is_overdue(unit: Unit, estimates: RuntimeEstimates, now_s: float) -> bool:
    limit_s = MAX_YIELDED_OBJECTIVES * estimates.objective_s(unit.job.spec)
    return now_s - due_at_s(unit) > limit_s
