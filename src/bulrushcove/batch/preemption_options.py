"""What to stop on one worker so that tasks of an urgent unit fit there."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

import msgspec

from .capacity_forecast import CapacityForecast, Victim, VictimQuery
from .ids import UnitRef
from .job_spec import TaskSize
from .job_state import Unit
from .placement import Candidate, count_fitting_tasks

# Victims that a plan has chosen so far.
ChosenVictims = Mapping[UnitRef, Victim]
NONE_CHOSEN: ChosenVictims = MappingProxyType({})


class VictimOption(msgspec.Struct):
    """A worker and the units to stop there, with the free capacity then."""

    candidate: Candidate
    victims: list[Victim]
    free: TaskSize

    def cost_core_s(self, chosen: ChosenVictims = NONE_CHOSEN) -> float:
        """Return the cost of the victims that are not ``chosen`` yet."""
        return sum(
            victim.cost_core_s
            for victim in self.victims
            if victim.unit.ref not in chosen
        )

    def add(self, victim: Victim) -> None:
        """Stop ``victim`` too, or wait for its end."""
        self.victims.append(victim)
        for allocation in victim.allocations:
            self.free = self.free.plus(allocation.unit.spec.requirements)

    def copy(self) -> 'VictimOption':
        """Return an independent copy."""
        return VictimOption(self.candidate, list(self.victims), self.free)


class OptionMaker:
    """Makes the options for one urgent unit."""

    def __init__(
        self, unit: Unit, forecast: CapacityForecast, query: VictimQuery
    ) -> None:
        """Offer the work that ``query`` names."""
        self._unit = unit
        self._forecast = forecast
        self._query = query

    def make(
        self, candidate: Candidate, chosen: ChosenVictims = NONE_CHOSEN
    ) -> VictimOption | None:
        """Return what to stop on ``candidate`` so that one more task fits.

        Takes what is ``chosen`` or ends anyway first, then the units of the
        lowest priority and the least cost; none if a task fits already.
        Returns None if stopping all of them is not enough.
        """
        step = self._unit.spec
        if step.required_label and step.required_label not in candidate.labels:
            return None
        option = VictimOption(candidate, [], candidate.free)
        if count_fitting_tasks(candidate, step):
            return option
        if candidate.units_left is not None:
            return None
        for victim in self._victims(candidate, chosen):
            option.add(victim)
            if step.requirements.fits(option.free):
                return _without_needless(option, step.requirements)
        return None

    def extend(self, option: VictimOption, wanted: int) -> VictimOption:
        """Return what to stop there so that up to ``wanted`` tasks fit."""
        best, best_count = option, self.count_tasks(option)
        extended = option.copy()
        known = {victim.unit.ref for victim in option.victims}
        for victim in self._victims(option.candidate, NONE_CHOSEN):
            if best_count >= wanted:
                break
            if victim.unit.ref in known:
                continue
            extended.add(victim)
            count = self.count_tasks(extended)
            if count > best_count:
                best, best_count = extended.copy(), count
        return best

    def count_tasks(self, option: VictimOption) -> int:
        """Return how many tasks of the unit fit then."""
        return count_fitting_tasks(
            option.candidate, self._unit.spec, future_free=option.free
        )

    def _victims(
        self, candidate: Candidate, chosen: ChosenVictims
    ) -> Iterable[Victim]:
        victims = self._forecast.victims(candidate.worker, self._query)
        if not chosen:
            return victims
        return sorted(victims, key=lambda one: one.unit.ref not in chosen)


def _without_needless(option: VictimOption, needed: TaskSize) -> VictimOption:
    """Return the option without the victims that the last one made needless.

    Those that cost most are left out first.
    """
    if len(option.victims) == 1:
        return option
    by_cost = sorted(
        option.victims, key=lambda one: one.cost_core_s, reverse=True
    )
    kept = list(option.victims)
    free = option.free
    for victim in by_cost:
        freed = free
        for allocation in victim.allocations:
            freed = freed.minus(allocation.unit.spec.requirements)
        if needed.fits(freed):
            kept.remove(victim)
            free = freed
    return VictimOption(option.candidate, kept, free)
