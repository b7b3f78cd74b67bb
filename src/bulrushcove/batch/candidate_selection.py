"""Selects the workers that a unit may use in a scheduling pass.

First those that nothing speaks against; once the unit has waited, also those
that it would rather avoid or leave free for others (see ``preferences``).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from ..clock import MS_PER_S
from ..ids import WorkerId
from .advice import Advised, needs_advice, step_ref_of
from .headroom import GANG_HEADROOM_WAIT_S, select_headroom_workers
from .ids import PoolName
from .isolation import may_join_isolated_run
from .job_spec import TaskSize
from .job_state import Unit
from .placement import Candidate
from .preferences import (
    LIGHT_LOAD_SHARE,
    MAX_PREFERENCE_WAIT_S,
    TEMPORARY_PREFERENCES,
    Preference,
    can_run,
    used_share,
)
from .queue_order import URGENT
from .worker_reliability import (
    Standing,
    are_jobs_at_fault,
    are_mostly_quarantined,
)

if TYPE_CHECKING:
    from .engine import Engine

# A unit of a job that has failed leaves workers that are on trial to others for
# this long.
MAX_GIVING_WAY_S = 2.5

# What decides which workers can run a task: pool, label and size.
Requirements = tuple[PoolName, str, TaskSize]
# Which of its preferences a unit may have given up. Units of one shape fit on
# the same workers only if these are equal.
Patience = tuple[bool, bool, bool]


class CandidateSelection:
    """Selects the candidates for each unit; valid for one pass."""

    def __init__(
        self,
        engine: Engine,
        waiting: list[Unit],
        candidates: dict[PoolName, list[Candidate]],
        now_s: float,
    ) -> None:
        """Select among the ``candidates`` of each pool for ``waiting``."""
        self.waiting = waiting
        self._engine = engine
        self._candidates = candidates
        self._now_s = now_s
        # On which workers units that need advice are placed, and how much
        # later: tickets are asked for in time.
        self._advised = Advised.WITH_TICKET
        self._lead_s = 0.0
        # Workers kept free for urgent work, by pool; computed when the first
        # non-urgent unit of the pool is placed.
        self._headroom: dict[PoolName, frozenset[WorkerId]] = {}
        # Candidates by pool that evidence does not speak against.
        self._trusted = {
            pool: [one for one in group if _is_trusted(one)]
            for pool, group in candidates.items()
        }
        # Those and quarantined ones to try, by what a step requires.
        self._open: dict[Requirements, list[Candidate]] = {}
        self._has_trials = any(
            one.units_left is not None
            for group in candidates.values()
            for one in group
        )
        # What units of jobs that never failed require. The others give way to
        # them on workers that are on trial.
        self._tried_first = {
            _requirements_of(unit)
            for unit in waiting
            if not unit.job.has_failed_run
        }
        # Whether all waiting units have had their turn in this pass.
        self._has_tried_others = False
        self._is_lightly_loaded = {
            pool: used_share(group) < LIGHT_LOAD_SHARE
            for pool, group in candidates.items()
        }
        # The same for the workers that a unit may use.
        self._has_light_part: dict[Requirements, bool] = {}

    def _open_candidates(self, unit: Unit) -> list[Candidate]:
        """Return the candidates that ``unit`` need not wait for."""
        return self._with_tickets(unit, self._open_to_step(unit))

    def _usable_candidates(self, unit: Unit) -> list[Candidate]:
        """Return the candidates that ``unit`` may use now.

        A non-urgent unit may not use the headroom, nor a reserved worker
        unless it ends before the reserved capacity is needed.
        """
        group = self._open_candidates(unit)
        headroom = self._headroom_workers(unit)
        return [
            candidate
            for candidate in group
            if candidate.worker not in headroom
            and self._may_use(unit, candidate)
        ]

    def _distrusted_candidates(self, unit: Unit) -> list[Candidate]:
        """Return further candidates, for which ``unit`` has waited enough."""
        group = self._candidates.get(unit.job.spec.terms.pool, [])
        opened = self._open_to_step(unit)
        takes_quarantined = self._gives_up(Preference.NOT_QUARANTINED, unit)
        takes_isolated = self._gives_up(Preference.NOT_ISOLATED, unit)
        has_more = takes_quarantined or takes_isolated
        if not has_more or len(opened) == len(group):
            return []
        known = set(opened)
        return [
            candidate
            for candidate in group
            if candidate not in known
            and (takes_isolated or candidate.isolated_run_age_s is None)
            and may_join_isolated_run(unit, candidate)
            and (
                candidate.standing is not Standing.QUARANTINED
                or (takes_quarantined and candidate.is_trial_due)
            )
        ]

    def _exhausted_trials(self, unit: Unit) -> list[Candidate]:
        """Return workers without progress that ``unit`` need not spare.

        They take no more units for now, and it has waited enough for them.
        """
        if not self._gives_up(Preference.PROGRESSING, unit):
            return []
        return [
            candidate
            for candidate in self._candidates.get(unit.job.spec.terms.pool, [])
            if candidate.awaits_progress and candidate.units_left == 0
        ]

    def _may_use(self, unit: Unit, candidate: Candidate) -> bool:
        """Return whether the candidate is not kept for another unit."""
        if self._gives_way(unit, candidate):
            return False
        is_urgent = unit.job.spec.terms.priority == URGENT
        if is_urgent or candidate.reserved_after_s is None:
            return True
        remaining_s = self._engine.estimates.remaining_ms(unit) / MS_PER_S
        return remaining_s <= candidate.reserved_after_s or self._gives_up(
            Preference.NOT_RESERVED, unit
        )

    def _allows_remote_rack(self, unit: Unit) -> bool:
        """Return whether ``unit`` may run outside its preferred rack."""
        return self._gives_up(Preference.RACK, unit)

    def _patience(self, unit: Unit) -> Patience:
        """Return which of its preferences ``unit`` may have given up."""
        waited_s = self._now_s - unit.ready_since_s
        return (
            self._has_waited(unit),
            waited_s > GANG_HEADROOM_WAIT_S,
            self._is_tried_last(unit),
        )

    def _has_waited(self, unit: Unit) -> bool:
        """Return whether ``unit`` has waited for its preferences for long."""
        waited_s = self._now_s + self._lead_s - unit.ready_since_s
        return waited_s >= MAX_PREFERENCE_WAIT_S

    def _gives_up(self, preference: Preference, unit: Unit) -> bool:
        """Return whether ``unit`` no longer waits for ``preference``."""
        return (
            preference in TEMPORARY_PREFERENCES
            and self._has_waited(unit)
            and self._has_light_load(unit)
        )

    def _is_tried_last(self, unit: Unit) -> bool:
        """Return whether ``unit`` leaves workers on trial to other units."""
        if not self._has_trials or not unit.job.has_failed_run:
            return False
        waited_s = self._now_s - unit.ready_since_s
        return not self._has_tried_others or waited_s < MAX_GIVING_WAY_S

    def _with_tickets(
        self,
        unit: Unit,
        candidates: list[Candidate],
        advised: Advised | None = None,
    ) -> list[Candidate]:
        """Return the candidates that the placement adviser allows ``unit``.

        By default those that the pass places such units on.
        """
        if not needs_advice(unit):
            return candidates
        step = step_ref_of(unit)
        needed = advised or self._advised
        tickets = self._engine.advice.tickets
        if needed is not Advised.POSSIBLE and not tickets.has_tickets(step):
            return []
        is_allowed = tickets.make_test(step, needed, self._now_s)
        workers = self._engine.workers
        return [
            candidate
            for candidate in candidates
            if is_allowed(workers[candidate.worker])
        ]

    def _open_to_step(self, unit: Unit) -> list[Candidate]:
        """Return the trusted candidates, and quarantined ones to try.

        Where most of the workers that ``unit`` may use are quarantined, few
        or none are left that it could wait for.
        """
        pool = unit.job.spec.terms.pool
        group = self._candidates.get(pool, [])
        trusted = self._trusted.get(pool, [])
        if len(trusted) == len(group):
            return group
        requirements = _requirements_of(unit)
        if requirements not in self._open:
            eligible = _select_eligible(group, requirements)
            standings = [candidate.standing for candidate in eligible]
            in_pool = [candidate.standing for candidate in group]
            is_open = are_jobs_at_fault(standings) or are_jobs_at_fault(in_pool)
            may_try = are_mostly_quarantined(standings)
            self._open[requirements] = trusted + [
                candidate
                for candidate in eligible
                if candidate.standing is Standing.QUARANTINED
                and candidate.isolated_run_age_s is None
                and (is_open or (may_try and candidate.is_trial_due))
            ]
        return self._open[requirements]

    def _has_light_load(self, unit: Unit) -> bool:
        """Return whether the pool, or what ``unit`` may use, is half free."""
        pool = unit.job.spec.terms.pool
        if self._is_lightly_loaded.get(pool, False):
            return True
        requirements = _requirements_of(unit)
        if requirements not in self._has_light_part:
            eligible = _select_eligible(
                self._candidates.get(pool, []), requirements
            )
            self._has_light_part[requirements] = (
                used_share(eligible) < LIGHT_LOAD_SHARE
            )
        return self._has_light_part[requirements]

    def _gives_way(self, unit: Unit, candidate: Candidate) -> bool:
        """Return whether other units are better suited to try a worker.

        A failure of a job that has failed before tells little of the worker.
        """
        if candidate.units_left is None or not self._is_tried_last(unit):
            return False
        return any(
            can_run(candidate, label, size)
            for pool, label, size in self._tried_first
            if pool == unit.job.spec.terms.pool
        )

    def _headroom_workers(self, unit: Unit) -> frozenset[WorkerId]:
        """Return the workers that ``unit`` must leave to urgent work."""
        if unit.job.spec.terms.priority == URGENT:
            return frozenset()
        pool = unit.job.spec.terms.pool
        waited_s = self._now_s - unit.ready_since_s
        if unit.size > 1 and waited_s > GANG_HEADROOM_WAIT_S:
            return frozenset()
        if self._gives_up(Preference.NOT_HEADROOM, unit):
            return frozenset()
        if pool not in self._headroom:
            rate = self._engine.evidence.urgent_demand.rate(self._now_s)
            self._headroom[pool] = select_headroom_workers(
                self._trusted.get(pool, []), rate
            )
        return self._headroom[pool]


def choose_beyond_limits(
    exhausted: list[Candidate],
    choose: Callable[[], list[Candidate] | None],
) -> list[Candidate] | None:
    """Return what ``choose`` returns if ``exhausted`` take one unit more.

    Their limit is lifted for this call alone.
    """
    if not exhausted:
        return None
    for candidate in exhausted:
        candidate.units_left = 1
    chosen = choose()
    for candidate in exhausted:
        if chosen is None or candidate not in chosen:
            candidate.units_left = 0
    return chosen


def _select_eligible(
    candidates: Iterable[Candidate], requirements: Requirements
) -> list[Candidate]:
    """Return the candidates that could run a task if they were empty."""
    _, label, size = requirements
    return [
        candidate for candidate in candidates if can_run(candidate, label, size)
    ]


def _is_trusted(candidate: Candidate) -> bool:
    """Return whether nothing but a limit speaks against new work there."""
    is_quarantined = candidate.standing is Standing.QUARANTINED
    return not is_quarantined and candidate.isolated_run_age_s is None


def _requirements_of(unit: Unit) -> Requirements:
    """Return what decides which workers could run a task of ``unit``."""
    step = unit.spec
    pool = unit.job.spec.terms.pool
    return (pool, step.required_label, step.requirements)
