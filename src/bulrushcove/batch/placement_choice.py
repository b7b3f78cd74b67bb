"""Chooses the workers for each task of a unit in a scheduling pass."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import TYPE_CHECKING

from .advice import Advised, StepRef, step_ref_of
from .candidate_selection import (
    CandidateSelection,
    Patience,
    choose_beyond_limits,
)
from .disturbance import PassDisturbance
from .ids import PoolName
from .isolation import (
    find_isolated_placement,
    indices_to_isolate,
    needs_stable_worker,
)
from .job_state import Unit
from .placed_tasks import PlacedTasks
from .placement import (
    Candidate,
    count_fitting_tasks,
    find_placement,
    rank_candidates,
)

if TYPE_CHECKING:
    from .engine import Engine

# Candidates, the best first, and how much a task costs there.
Ranking = deque[tuple[Candidate, float]]


class PlacementChoice(CandidateSelection):
    """Chooses among the selected candidates; valid for one pass."""

    def __init__(
        self,
        engine: Engine,
        waiting: list[Unit],
        candidates: dict[PoolName, list[Candidate]],
        now_s: float,
    ) -> None:
        """Choose among the ``candidates`` of each pool for ``waiting``."""
        super().__init__(engine, waiting, candidates, now_s)
        # Candidates for the next single tasks of a step.
        self._ranked: dict[tuple[StepRef, Patience, Advised], Ranking] = {}
        self._placed = PlacedTasks()
        self._disturbance = PassDisturbance(engine.interference, engine.workers)

    def _find_place(self, unit: Unit, advised: Advised) -> Sequence[Candidate]:
        """Return where ``unit`` could start now; empty if it does not fit.

        On workers as ``advised``.
        """
        self._advised = advised
        try:
            return self._choose(unit) or ()
        finally:
            self._advised = Advised.WITH_TICKET

    def _possible_candidates(self, unit: Unit) -> list[Candidate]:
        """Return the candidates that ``unit`` could have tickets for."""
        return self._with_tickets(
            unit,
            self._open_to_step(unit) + self._distrusted_candidates(unit),
            Advised.POSSIBLE,
        )

    def _choose(self, unit: Unit) -> list[Candidate] | None:
        """Return a candidate for each task of ``unit``; None if none fit.

        If need be on workers that take no more units for now.
        """
        chosen = self._choose_candidates(unit)
        if chosen is None:
            return choose_beyond_limits(
                self._exhausted_trials(unit),
                lambda: self._choose_candidates(unit),
            )
        return chosen

    def _choose_candidates(self, unit: Unit) -> list[Candidate] | None:
        """Return a candidate for each task of ``unit``; None if none fit."""
        isolated = indices_to_isolate(unit, self._now_s)
        if isolated:
            usable = [
                candidate
                for candidate in self._open_candidates(unit)
                if self._may_use(unit, candidate)
            ]
            self._disturbance.set_costs(unit.spec, usable)
            return find_isolated_placement(
                unit,
                isolated,
                usable,
                placed=self._placed.of_step(unit),
                allows_remote_rack=self._allows_remote_rack(unit),
            )
        chosen = self._choose_trusted(unit)
        if chosen is None and self._has_waited(unit):
            return self._choose_distrusted(unit)
        return chosen

    def _choose_trusted(self, unit: Unit) -> list[Candidate] | None:
        """Return candidates that evidence does not speak against."""
        needs_stable = needs_stable_worker(unit, self._now_s)
        is_single = unit.size == 1 and not unit.spec.max_per_worker
        if is_single and not needs_stable:
            candidate = self._choose_ranked(unit)
            return [candidate] if candidate else None
        return self._find_placement(
            unit,
            [
                candidate
                for candidate in self._usable_candidates(unit)
                if candidate.is_stable or not needs_stable
            ],
        )

    def _choose_distrusted(self, unit: Unit) -> list[Candidate] | None:
        """Return candidates for a unit that the trusted ones do not hold."""
        distrusted = self._distrusted_candidates(unit)
        if not distrusted:
            return None
        needs_stable = needs_stable_worker(unit, self._now_s)
        return self._find_placement(
            unit,
            [
                candidate
                for candidate in self._usable_candidates(unit)
                + self._with_tickets(unit, distrusted)
                if (candidate.is_stable or not needs_stable)
                and not self._gives_way(unit, candidate)
            ],
        )

    def _find_placement(
        self, unit: Unit, candidates: list[Candidate]
    ) -> list[Candidate] | None:
        self._disturbance.set_costs(unit.spec, candidates)
        return find_placement(
            unit,
            candidates,
            placed=self._placed.of_step(unit),
            allows_remote_rack=self._allows_remote_rack(unit),
        )

    def _choose_ranked(self, unit: Unit) -> Candidate | None:
        """Return the best candidate for a single task; None if there is none.

        Candidates are ranked once for the tasks of a step, which may be
        hundreds, and again when none of them fits any more.
        """
        key = (step_ref_of(unit), self._patience(unit), self._advised)
        ranked = self._ranked.get(key)
        while ranked:
            candidate, cost = ranked[0]
            fits = count_fitting_tasks(candidate, unit.spec)
            if fits and self._may_use(unit, candidate):
                if self._disturbance.has_grown(unit.spec, candidate, cost):
                    break
                return candidate
            ranked.popleft()
        candidates = self._usable_candidates(unit)
        self._disturbance.set_costs(unit.spec, candidates)
        best_first = rank_candidates(
            unit,
            candidates,
            allows_remote_rack=self._allows_remote_rack(unit),
        )
        self._ranked[key] = deque(
            (candidate, candidate.disturbance) for candidate in best_first
        )
        return best_first[0] if best_first else None
