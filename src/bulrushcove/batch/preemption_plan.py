"""Selects the units to stop in a full pool so that urgent work starts in time.

Answers bursts of urgent units. Victims are whole units, as a gang that loses
one member loses all; its loss counts once, on however many workers it frees
capacity. They are chosen to lose the least unsaved work.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from itertools import repeat

import msgspec

from ..clock import MS_PER_S
from ..ids import RackId
from .capacity_forecast import CapacityForecast, Victim, VictimQuery
from .disruption_budget import is_within_disruption_budget
from .ids import UnitRef
from .job_state import Allocation, Unit, unstopped_allocations
from .placement import Candidate
from .preemption_options import OptionMaker, VictimOption
from .runtime_estimates import RuntimeEstimates

# Beyond its organisation's guarantee an urgent unit may make others lose up to
# this many times its own work; a larger loss outweighs the early start.
MAX_LOSS_RATIO = 4.0
# The same while more work waits than there is room for: what is lost then
# delays other callers by as much as the early start saves.
MAX_OVERCOMMITTED_LOSS_RATIO = 1.0
# Gangs for which a plan that stops them first is compared with the others.
MAX_COMPARED_GANGS = 3


class PreemptionPlan(msgspec.Struct, frozen=True):
    """Where an urgent unit will run, and the victims to stop for it."""

    placement: tuple[Candidate, ...]
    victims: tuple[Unit, ...]
    total_loss_core_s: float
    # The losses, multiplied for units that were stopped before.
    total_cost_core_s: float = 0
    # Runs that must end for it and are not stopped yet.
    awaited: tuple[Allocation, ...] = ()


def plan_preemption(
    unit: Unit,
    candidates: Sequence[Candidate],
    forecast: CapacityForecast,
    query: VictimQuery,
) -> PreemptionPlan | None:
    """Return the cheapest plan that lets ``unit`` run; None if there is none.

    Only work that ``query`` names is stopped. A gang that wants one rack gets
    one if preemption can free enough of any rack. The rack of the unit's data
    is tried first.
    """
    step = unit.spec
    groups: dict[RackId, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        groups[candidate.rack].append(candidate)
    near = groups.get(step.near_rack)
    if near is not None:
        near_plan = _plan_on(unit, near, forecast, query)
        if near_plan is not None:
            return near_plan
    elif step.same_rack and unit.size > 1:
        plans = [
            _plan_on(unit, group, forecast, query) for group in groups.values()
        ]
        possible = [plan for plan in plans if plan is not None]
        if possible:
            return min(possible, key=_cost_of)
    return _plan_on(unit, candidates, forecast, query)


def is_worth_loss(
    unit: Unit,
    plan: PreemptionPlan,
    estimates: RuntimeEstimates,
    *,
    is_overcommitted: bool = False,
) -> bool:
    """Return whether the plan's loss is acceptable for the work of ``unit``."""
    queue = unit.job.spec.terms.queue
    work_s = estimates.task_ms(queue, unit.spec) / MS_PER_S
    work_core_s = work_s * unit.weight_cores
    max_ratio = (
        MAX_OVERCOMMITTED_LOSS_RATIO if is_overcommitted else MAX_LOSS_RATIO
    )
    return plan.total_loss_core_s <= max_ratio * work_core_s


def _cost_of(plan: PreemptionPlan) -> float:
    return plan.total_cost_core_s


def _plan_on(
    unit: Unit,
    candidates: Sequence[Candidate],
    forecast: CapacityForecast,
    query: VictimQuery,
) -> PreemptionPlan | None:
    maker = OptionMaker(unit, forecast, query)
    options = [
        option for candidate in candidates if (option := maker.make(candidate))
    ]
    plan = _PlanBuilder(unit, maker, forecast, options).build()
    if plan is not None:
        return min(
            (plan, *_gang_plans(unit, maker, forecast, options)), key=_cost_of
        )
    if unit.size <= len(options):
        return None
    # A gang with more tasks than there are workers.
    options.sort(key=VictimOption.cost_core_s)
    extended = []
    missing = unit.size
    for option in options:
        extended.append(maker.extend(option, missing))
        missing -= min(missing, maker.count_tasks(extended[-1]))
    return _PlanBuilder(unit, maker, forecast, extended).build()


def _gang_plans(
    unit: Unit,
    maker: OptionMaker,
    forecast: CapacityForecast,
    options: Sequence[VictimOption],
) -> Iterable[PreemptionPlan]:
    """Return plans that each stop one gang first, on several workers."""
    if unit.size == 1:
        return
    gangs = {
        victim.unit.ref: victim
        for option in options
        for victim in option.victims
        if victim.unit.size > 1 and not victim.is_ending
    }
    counts = Counter(
        victim.unit.ref for option in options for victim in option.victims
    )
    cheapest = sorted(
        gangs.values(), key=lambda one: one.cost_core_s / counts[one.unit.ref]
    )
    for gang in cheapest[:MAX_COMPARED_GANGS]:
        plan = _PlanBuilder(unit, maker, forecast, options).build(gang)
        if plan is not None:
            yield plan


class _PlanBuilder:
    """Takes the cheapest options until they hold the unit.

    What an option costs depends on the units that are stopped for those
    before it.
    """

    def __init__(
        self,
        unit: Unit,
        maker: OptionMaker,
        forecast: CapacityForecast,
        options: Sequence[VictimOption],
    ) -> None:
        self._unit = unit
        self._maker = maker
        self._forecast = forecast
        self._options = list(options)
        self._chosen: dict[UnitRef, Victim] = {}
        self._placement: list[Candidate] = []
        self._awaited: dict[UnitRef, Victim] = {}
        # Positions of the options that stop a unit, and of those tried.
        self._positions: dict[UnitRef, list[int]] = defaultdict(list)
        self._tried: set[int] = set()
        # Cost and position; an entry whose cost has changed is void.
        self._queue: list[tuple[float, int]] = []

    def build(self, first: Victim | None = None) -> PreemptionPlan | None:
        """Return the plan, which stops ``first``; None if it is impossible."""
        for number, option in enumerate(self._options):
            for victim in option.victims:
                self._positions[victim.unit.ref].append(number)
            self._queue.append((option.cost_core_s(), number))
        heapq.heapify(self._queue)
        if first is not None:
            self._choose({first.unit.ref: first})
        while self._queue and len(self._placement) < self._unit.size:
            cost, position = heapq.heappop(self._queue)
            cheapest = self._options[position]
            is_current = cost == cheapest.cost_core_s(self._chosen)
            if is_current and position not in self._tried:
                self._tried.add(position)
                self._take(cheapest)
        if len(self._placement) < self._unit.size:
            return None
        return self._make_plan()

    def _take(self, option: VictimOption) -> None:
        count = self._maker.count_tasks(option)
        added = {
            victim.unit.ref: victim
            for victim in option.victims
            if not victim.is_ending
        }
        stopped = (self._chosen | added).values()
        if not count or not is_within_disruption_budget(
            victim.unit for victim in stopped
        ):
            return
        missing = self._unit.size - len(self._placement)
        self._placement.extend(repeat(option.candidate, min(count, missing)))
        for victim in option.victims:
            if victim.is_ending:
                self._awaited[victim.unit.ref] = victim
        self._choose(added)

    def _choose(self, added: dict[UnitRef, Victim]) -> None:
        """Stop ``added``; the options that they are part of become cheaper."""
        new = [ref for ref in added if ref not in self._chosen]
        self._chosen.update(added)
        positions = {at for ref in new for at in self._positions[ref]}
        for position in sorted(positions - self._tried):
            old = self._options[position]
            option = self._maker.make(old.candidate, self._chosen) or old
            self._options[position] = option
            cost = option.cost_core_s(self._chosen)
            heapq.heappush(self._queue, (cost, position))

    def _make_plan(self) -> PreemptionPlan:
        victims = tuple(victim.unit for victim in self._chosen.values())
        return PreemptionPlan(
            tuple(self._placement),
            victims,
            sum(map(self._forecast.loss_core_s, victims)),
            sum(victim.cost_core_s for victim in self._chosen.values()),
            tuple(
                allocation
                for victim in self._awaited.values()
                for allocation in unstopped_allocations(victim.unit)
                if not victim.unit.is_aborting
            ),
        )
