"""Selects the units to stop in a full pool so that urgent work starts in time.

Victims are whole units, as a gang that loses one member loses all. They are
chosen to lose the least work that is not saved in a checkpoint.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import repeat

import msgspec

from ..clock import MS_PER_S
from ..ids import OrganisationId, RackId
from .capacity_forecast import NO_BORROWERS, CapacityForecast, Victim
from .disruption_budget import is_within_disruption_budget
from .ids import UnitRef
from .job_spec import TaskSize
from .job_state import Unit
from .placement import Candidate, count_fitting_tasks
from .runtime_estimates import RuntimeEstimates

# Beyond its organisation's guarantee an urgent unit may make others lose up to
# this many times its own work; a larger loss outweighs the early start.
MAX_LOSS_RATIO = 4.0


class PreemptionPlan(msgspec.Struct, frozen=True):
    """Where an urgent unit will run, and the victims to stop for it."""

    placement: tuple[Candidate, ...]
    victims: tuple[Unit, ...]
    total_loss_core_s: float


class _VictimOption(msgspec.Struct):
    """A worker and the units to stop there, with the free capacity then."""

    candidate: Candidate
    victims: list[Unit]
    free: TaskSize
    total_loss_core_s: float


def plan_preemption(
    unit: Unit,
    candidates: Sequence[Candidate],
    forecast: CapacityForecast,
    borrowers: frozenset[OrganisationId] = NO_BORROWERS,
) -> PreemptionPlan | None:
    """Return the cheapest plan that lets ``unit`` run; None if there is none.

    Work of the same priority is stopped only if it belongs to ``borrowers``.
    A gang that wants one rack gets one if preemption can free enough of any
    rack. The rack of the unit's data is tried first.
    """
    step = unit.spec
    groups: dict[RackId, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        groups[candidate.rack].append(candidate)
    near = groups.get(step.near_rack)
    if near is not None:
        near_plan = _plan_on(unit, near, forecast, borrowers)
        if near_plan is not None:
            return near_plan
    elif step.same_rack and unit.size > 1:
        plans = [
            _plan_on(unit, group, forecast, borrowers)
            for group in groups.values()
        ]
        possible = [plan for plan in plans if plan is not None]
        if possible:
            return min(possible, key=lambda plan: plan.total_loss_core_s)
    return _plan_on(unit, candidates, forecast, borrowers)


def is_worth_loss(
    unit: Unit, plan: PreemptionPlan, estimates: RuntimeEstimates
) -> bool:
    """Return whether the plan's loss is acceptable for the work of ``unit``."""
    queue = unit.job.spec.terms.queue
    work_s = estimates.task_ms(queue, unit.spec) / MS_PER_S
    work_core_s = work_s * unit.weight_cores
    return plan.total_loss_core_s <= MAX_LOSS_RATIO * work_core_s


def _plan_on(
    unit: Unit,
    candidates: Sequence[Candidate],
    forecast: CapacityForecast,
    borrowers: frozenset[OrganisationId],
) -> PreemptionPlan | None:
    options = [
        option
        for candidate in candidates
        if (option := _make_option(unit, candidate, forecast, borrowers))
    ]
    options.sort(key=lambda option: option.total_loss_core_s)
    plan = _fill_plan(unit, options, forecast)
    if plan is not None or unit.size <= len(options):
        return plan
    # A gang with more tasks than there are workers.
    extended = []
    missing = unit.size
    for option in options:
        extended.append(
            _extend_option(option, unit, forecast, borrowers, missing)
        )
        missing -= min(missing, _count_tasks(extended[-1], unit))
    return _fill_plan(unit, extended, forecast)


def _fill_plan(
    unit: Unit,
    options: Iterable[_VictimOption],
    forecast: CapacityForecast,
) -> PreemptionPlan | None:
    """Return a plan of the first of ``options`` that hold ``unit``."""
    chosen: dict[UnitRef, Unit] = {}
    placement: list[Candidate] = []
    for option in options:
        count = _count_tasks(option, unit)
        extended = chosen | {victim.ref: victim for victim in option.victims}
        if not count or not is_within_disruption_budget(extended.values()):
            continue
        missing = unit.size - len(placement)
        placement.extend(repeat(option.candidate, min(count, missing)))
        chosen = extended
        if len(placement) == unit.size:
            victims = tuple(chosen.values())
            victims_loss_core_s = sum(
                forecast.loss_core_s(victim) for victim in victims
            )
            return PreemptionPlan(
                tuple(placement), victims, victims_loss_core_s
            )
    return None


def _make_option(
    unit: Unit,
    candidate: Candidate,
    forecast: CapacityForecast,
    borrowers: frozenset[OrganisationId],
) -> _VictimOption | None:
    """Return what to stop on ``candidate`` so that one more task fits.

    Takes the units of the lowest priority and the least loss first; none if a
    task fits already. Returns None if stopping all of them is not enough.
    """
    step = unit.spec
    if step.required_label and step.required_label not in candidate.labels:
        return None
    option = _VictimOption(candidate, [], candidate.free, 0)
    if count_fitting_tasks(candidate, step):
        return option
    is_closed = candidate.is_closed and candidate.units_left
    if candidate.units_left is not None and not is_closed:
        return None
    priority = unit.job.spec.terms.priority
    for victim in forecast.victims(candidate.worker, priority, borrowers):
        _add_victim(option, victim)
        if step.requirements.fits(option.free):
            return option
    return None


def _extend_option(
    option: _VictimOption,
    unit: Unit,
    forecast: CapacityForecast,
    borrowers: frozenset[OrganisationId],
    wanted: int,
) -> _VictimOption:
    """Return what to stop there so that up to ``wanted`` tasks fit."""
    worker = option.candidate.worker
    priority = unit.job.spec.terms.priority
    victims = forecast.victims(worker, priority, borrowers)
    best, best_count = option, _count_tasks(option, unit)
    extended = _copy_option(option)
    for victim in victims[len(option.victims) :]:
        if best_count >= wanted:
            break
        _add_victim(extended, victim)
        count = _count_tasks(extended, unit)
        if count > best_count:
            best, best_count = _copy_option(extended), count
    return best


def _copy_option(option: _VictimOption) -> _VictimOption:
    return msgspec.structs.replace(option, victims=list(option.victims))


def _add_victim(option: _VictimOption, victim: Victim) -> None:
    option.victims.append(victim.unit)
    option.total_loss_core_s += victim.loss_core_s
    for allocation in victim.allocations:
        option.free = option.free.plus(allocation.unit.spec.requirements)


def _count_tasks(option: _VictimOption, unit: Unit) -> int:
    return count_fitting_tasks(
        option.candidate, unit.spec, future_free=option.free
    )
