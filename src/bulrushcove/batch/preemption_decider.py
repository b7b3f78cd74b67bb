"""What is cleared for urgent units in one pass.

Answers bursts of urgent work on a full deployment: room that frees by itself
soon is waited for, a guarantee is honoured at once, and beyond it only what
pays is stopped. What was found out for a shape holds for equal units until
room is taken or kept.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..ids import OrganisationId
from .backfill_reservation import soonest_places
from .capacity_forecast import CapacityForecast
from .guarantee import is_within_guarantee
from .job_state import Unit
from .placement import Candidate
from .preemption_plan import PreemptionPlan, is_worth_it, plan_preemption
from .scheduling_class import Shape, shape_of

if TYPE_CHECKING:
    from .engine import Engine

# An urgent unit waits for room that others leave by themselves this long; it
# still starts within its bound if they do not.
NATURAL_WAIT_S = 0.8
# Units that room is cleared for in one pass. The next pass follows at once;
# what arrived meanwhile is answered between them.
MAX_PREEMPTIONS = 8


class PreemptionDecider:
    """Finds what to stop for urgent units."""

    def __init__(
        self, engine: Engine, forecast: CapacityForecast, now_s: float
    ) -> None:
        """Look for room on the workers of ``engine``."""
        # Whether units were left to the next pass.
        self.is_partial = False
        self._engine = engine
        self._forecast = forecast
        self._now_s = now_s
        # Grows whenever room is taken or kept.
        self._changes = 0
        self._soonest: dict[Shape, tuple[int, float]] = {}
        self._declined: dict[Shape, int] = {}
        self._covered: dict[OrganisationId, bool] = {}
        # Units that this pass may still clear room for.
        self._left = MAX_PREEMPTIONS

    def note_change(self) -> None:
        """Room was taken or kept."""
        self._changes += 1

    def find(
        self, unit: Unit, candidates: Sequence[Candidate]
    ) -> PreemptionPlan | None:
        """Return what to stop for ``unit``; None: nothing, or not now."""
        waited_s = self._now_s - unit.ready_since_s
        if waited_s + self._soonest_s(unit, candidates) <= NATURAL_WAIT_S:
            return None
        terms = unit.job.spec.terms
        key = (shape_of(unit), terms.queue, terms.organisation)
        if self._declined.get(key) == self._changes:
            return None
        if not self._left:
            self.is_partial = True
            return None
        found = plan_preemption(unit, candidates, self._forecast)
        if found is not None and self._is_justified(unit, found):
            self._left -= 1
            return found
        self._declined[key] = self._changes
        return None

    def _soonest_s(self, unit: Unit, candidates: Sequence[Candidate]) -> float:
        """Return in how many seconds there is room for ``unit`` by itself.

        Infinite when that is later than it may wait.
        """
        shape = shape_of(unit)
        changes, in_s = self._soonest.get(shape, (-1, math.inf))
        if changes != self._changes:
            openings = soonest_places(
                unit, candidates, self._forecast, NATURAL_WAIT_S
            )
            in_s = openings[-1].in_s if openings else math.inf
            self._soonest[shape] = (self._changes, in_s)
        return in_s

    def _is_justified(self, unit: Unit, found: PreemptionPlan) -> bool:
        """Return whether its guarantee, or its worth, speaks for ``unit``."""
        organisation = unit.job.spec.terms.organisation
        if organisation not in self._covered:
            self._covered[organisation] = is_within_guarantee(
                unit.job,
                self._engine.active.values(),
                self._engine.desired_state.policy,
            )
        if self._covered[organisation]:
            return True
        return is_worth_it(unit, found, self._engine.estimates)
