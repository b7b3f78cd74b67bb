"""Decides in a pass which urgent units preempt other work.

A unit waits for capacity that runs are about to free. Within its
organisation's guarantee it preempts at once, if need be also urgent work of
organisations that have more than their own; beyond it only when that is
worth the loss. Decisions are cached by shape until capacity is allocated or
reserved, for bursts of urgent work on a full deployment.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..ids import OrganisationId
from .backfill_reservation import find_earliest_placement
from .capacity_forecast import CapacityForecast
from .guarantee import is_within_guarantee
from .job_spec import TaskSize
from .job_state import Unit
from .limit_gate import size_of
from .limit_preemption import OwnWork
from .placement import Candidate
from .preemption_plan import PreemptionPlan, is_worth_loss, plan_preemption
from .shapes import Shape, shape_of

if TYPE_CHECKING:
    from .engine import Engine

# How long an urgent unit waits for running work to end by itself; short enough
# that it still starts within its time limit if the work does not end.
MAX_RELEASE_WAIT_S = 0.8
# Most units that preempt in one pass. The next pass follows at once; requests
# that arrived meanwhile are handled between the two.
MAX_PREEMPTIONS = 8


class PreemptionDecider:
    """Decides what to stop for urgent units; valid for one pass."""

    def __init__(
        self, engine: Engine, forecast: CapacityForecast, now_s: float
    ) -> None:
        """Decide on the jobs and workers of ``engine``."""
        # Whether units were left for the next pass.
        self.is_partial = False
        self._engine = engine
        self._forecast = forecast
        self._now_s = now_s
        # Counts allocations and reservations of capacity. Cached decisions
        # are valid for the count that they were made at.
        self._changes = 0
        self._release_waits: dict[Shape, tuple[int, float]] = {}
        self._declined: dict[Shape, int] = {}
        self._is_guaranteed: dict[OrganisationId, bool] = {}
        # How many more units may preempt in this pass.
        self._preemptions_left = MAX_PREEMPTIONS
        # What organisations run, collected when they ask for it.
        self._own_work: dict[OrganisationId, OwnWork] = {}
        # Units that no workers would hold in time, like ``_declined``.
        self._placeless: dict[Shape, int] = {}

    def record_capacity_change(self) -> None:
        """Invalidate the cached decisions: capacity was used or reserved."""
        self._changes += 1

    def find_plan(
        self, unit: Unit, candidates: Sequence[Candidate]
    ) -> PreemptionPlan | None:
        """Return what to stop for ``unit``; None if nothing in this pass."""
        waited_s = self._now_s - unit.ready_since_s
        if (
            waited_s + self._release_wait_s(unit, candidates)
            <= MAX_RELEASE_WAIT_S
        ):
            return None
        terms = unit.job.spec.terms
        key = (shape_of(unit), terms.queue, terms.organisation)
        if self._declined.get(key) == self._changes:
            return None
        if not self._preemptions_left:
            self.is_partial = True
            return None
        found = self._plan_stops(unit, candidates)
        if found is not None and self._is_justified(unit, found):
            self._preemptions_left -= 1
            # Some of what it stops may be among it.
            self._own_work.clear()
            return found
        self._declined[key] = self._changes
        return None

    def find_own_plan(
        self,
        unit: Unit,
        excess: TaskSize,
        candidates: Sequence[Candidate],
        known: PreemptionPlan | None,
    ) -> PreemptionPlan | None:
        """Return what its organisation stops for ``unit``, above its limit.

        The placement is where the unit is expected to start then, that of
        ``known`` if its organisation stops work for it already. None if
        nothing is stopped: the guarantee does not cover ``unit``, it waits for
        runs that may end by themselves, no stop would help, or no worker would
        hold it.
        """
        name = unit.job.spec.terms.organisation
        waited_s = self._now_s - unit.ready_since_s
        if waited_s < MAX_RELEASE_WAIT_S or not self._is_covered(name):
            return None
        own_work = self._find_own_work(name)
        size = size_of(unit)
        if own_work.is_hopeless(size):
            return None
        if not (known or self._preemptions_left):
            self.is_partial = True
            return None
        placement = (
            known.placement if known else self._find_place(unit, candidates)
        )
        if not placement:
            return None
        victims = own_work.find_victims(size, excess)
        if victims is None:
            return None
        self._preemptions_left -= 0 if known else 1
        loss_core_s = sum(map(self._forecast.loss_core_s, victims))
        return PreemptionPlan(placement, tuple(victims), loss_core_s)

    def find_future_place(
        self, unit: Unit, candidates: Sequence[Candidate]
    ) -> tuple[Candidate, ...]:
        """Return where ``unit`` would start once others end or are stopped.

        Empty if it would not start soon, nor be worth what it stops.
        """
        soon = find_earliest_placement(
            unit, candidates, self._forecast, MAX_RELEASE_WAIT_S
        )
        if soon:
            return tuple(future.candidate for future in soon)
        plan = self._plan_stops(unit, candidates)
        if plan is None or not self._is_justified(unit, plan):
            return ()
        return plan.placement

    def _find_own_work(self, name: OrganisationId) -> OwnWork:
        if name not in self._own_work:
            running = (
                unit
                for job in self._engine.active.values()
                if job.spec.terms.organisation == name
                for unit in job.units
                if unit.allocations
            )
            self._own_work[name] = OwnWork(running, self._forecast.loss_core_s)
        return self._own_work[name]

    def _find_place(
        self, unit: Unit, candidates: Sequence[Candidate]
    ) -> tuple[Candidate, ...]:
        """Return where ``unit`` would start once it is within its limit.

        That is where it fits soon, also by preemption; empty if nowhere.
        """
        terms = unit.job.spec.terms
        key = (shape_of(unit), terms.queue, terms.organisation)
        if self._placeless.get(key) == self._changes:
            return ()
        soon = find_earliest_placement(
            unit, candidates, self._forecast, MAX_RELEASE_WAIT_S
        )
        if soon:
            return tuple(future.candidate for future in soon)
        plan = self._plan_stops(unit, candidates)
        if plan is None:
            self._placeless[key] = self._changes
            return ()
        return plan.placement

    def _plan_stops(
        self, unit: Unit, candidates: Sequence[Candidate]
    ) -> PreemptionPlan | None:
        """Return what to stop so that ``unit`` fits, whatever it costs."""
        plan = plan_preemption(unit, candidates, self._forecast)
        if plan is None and self._is_covered(unit.job.spec.terms.organisation):
            return plan_preemption(
                unit, candidates, self._forecast, self._borrowers()
            )
        return plan

    def _release_wait_s(
        self, unit: Unit, candidates: Sequence[Candidate]
    ) -> float:
        """Return in how many seconds ``unit`` fits without preemption.

        Infinite when that is later than ``MAX_RELEASE_WAIT_S``.
        """
        shape = shape_of(unit)
        changes, wait_s = self._release_waits.get(shape, (-1, math.inf))
        if changes != self._changes:
            placement = find_earliest_placement(
                unit, candidates, self._forecast, MAX_RELEASE_WAIT_S
            )
            wait_s = placement[-1].wait_s if placement else math.inf
            self._release_waits[shape] = (self._changes, wait_s)
        return wait_s

    def _is_justified(self, unit: Unit, found: PreemptionPlan) -> bool:
        """Return whether ``found`` may be carried out.

        Either a guarantee covers ``unit``, or the loss is acceptable.
        """
        if self._is_covered(unit.job.spec.terms.organisation):
            return True
        return is_worth_loss(unit, found, self._engine.estimates)

    def _is_covered(self, organisation: OrganisationId) -> bool:
        """Return whether its guarantee covers the urgent jobs it has."""
        if organisation not in self._is_guaranteed:
            self._is_guaranteed[organisation] = is_within_guarantee(
                organisation,
                self._engine.active.values(),
                self._engine.desired_state.policy,
            )
        return self._is_guaranteed[organisation]

    def _borrowers(self) -> frozenset[OrganisationId]:
        """Return the organisations with more urgent work than guaranteed."""
        organisations = {
            job.spec.terms.organisation for job in self._engine.active.values()
        }
        return frozenset(
            organisation
            for organisation in organisations
            if not self._is_covered(organisation)
        )
