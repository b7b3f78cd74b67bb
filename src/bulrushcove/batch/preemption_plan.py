"""What is stopped so that urgent work starts within its bound.

Answers a pool full of other work as an urgent job arrives: victims are whole
units (a gang that loses one member loses all), chosen to lose the least work
that no checkpoint keeps.
"""

from collections import defaultdict
from collections.abc import Sequence
from itertools import repeat

import msgspec

from ..clock import MS_PER_S
from ..ids import RackId
from .capacity_forecast import CapacityForecast
from .disruption_budget import is_within_disruption_budget
from .ids import UnitRef
from .job_spec import TaskSize
from .job_state import Unit
from .placement import Candidate, fitting_tasks
from .runtime_estimates import RuntimeEstimates

# Beyond its organisation's guarantee an urgent unit is worth this many times
# its own work: then stopping others costs more than it brings.
MAX_LOSS_TO_WORK = 4.0


class PreemptionPlan(msgspec.Struct, frozen=True):
    """Workers on which an urgent unit will find room, and what goes first."""

    places: tuple[Candidate, ...]
    victims: tuple[Unit, ...]
    cost_core_s: float


class _Option(msgspec.Struct):
    """One worker and the units to stop so that tasks fit there."""

    candidate: Candidate
    victims: list[Unit]
    free: TaskSize
    cost_core_s: float


def plan_preemption(
    unit: Unit,
    candidates: Sequence[Candidate],
    forecast: CapacityForecast,
) -> PreemptionPlan | None:
    """Return the cheapest way to make room for ``unit``; None: there is none.

    A gang that wants one rack is given one where any rack can be cleared.
    """
    step = unit.spec
    groups: dict[RackId, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        groups[candidate.rack].append(candidate)
    near = groups.get(step.near_rack)
    if near is not None:
        found = _clear(unit, near, forecast)
        if found is not None:
            return found
    elif step.same_rack and unit.size > 1:
        plans = [_clear(unit, group, forecast) for group in groups.values()]
        possible = [plan for plan in plans if plan is not None]
        if possible:
            return min(possible, key=lambda plan: plan.cost_core_s)
    return _clear(unit, candidates, forecast)


def is_worth_it(
    unit: Unit, found: PreemptionPlan, estimates: RuntimeEstimates
) -> bool:
    """Return whether ``unit`` brings more than its victims lose."""
    queue = unit.job.spec.terms.queue
    work_s = estimates.task_ms(queue, unit.spec) / MS_PER_S
    own_core_s = work_s * unit.weight_cores
    return found.cost_core_s <= MAX_LOSS_TO_WORK * own_core_s


def _clear(
    unit: Unit,
    candidates: Sequence[Candidate],
    forecast: CapacityForecast,
) -> PreemptionPlan | None:
    chosen: dict[UnitRef, Unit] = {}
    places: list[Candidate] = []
    options = [
        option
        for candidate in candidates
        if (option := _option(unit, candidate, forecast))
    ]
    options.sort(key=lambda option: option.cost_core_s)
    for option in options:
        count = _count(option, unit)
        extended = chosen | {victim.ref: victim for victim in option.victims}
        if not count or not is_within_disruption_budget(extended.values()):
            continue
        missing = unit.size - len(places)
        places.extend(repeat(option.candidate, min(count, missing)))
        chosen = extended
        if len(places) == unit.size:
            victims = tuple(chosen.values())
            cost = sum(forecast.loss_core_s(victim) for victim in victims)
            return PreemptionPlan(tuple(places), victims, cost)
    return None


def _option(
    unit: Unit,
    candidate: Candidate,
    forecast: CapacityForecast,
) -> _Option | None:
    """Return the fewest victims with which one more task fits."""
    step = unit.spec
    if step.required_label and step.required_label not in candidate.labels:
        return None
    if candidate.on_probation:
        return None
    option = _Option(candidate, [], candidate.free, 0)
    if fitting_tasks(candidate, step):
        return option
    priority = unit.job.spec.terms.priority
    for victim in forecast.victims(candidate.worker, priority):
        option.victims.append(victim.unit)
        option.cost_core_s += victim.loss_core_s
        for allocation in victim.allocations:
            option.free = option.free.plus(allocation.unit.spec.requirements)
        if step.requirements.fits(option.free):
            return option
    return None


def _count(option: _Option, unit: Unit) -> int:
    probe = msgspec.structs.replace(option.candidate, free=option.free)
    return fitting_tasks(probe, unit.spec)
