"""Chooses for which step to ask the placement adviser, and for which workers.

Tickets expire, so that they are asked for only once a unit could start if all
were given: now, or after what is being stopped for it or would be.
"""

import math
from collections.abc import Callable, Iterable, Sequence

import msgspec

from ..clock import MS_PER_S
from ..ids import WorkerId
from .advice import (
    AdviceRequest,
    Advised,
    StepRef,
    needs_advice,
    step_ref_of,
)
from .advice_turns import PlacementAdvice, WaitingStep
from .job_state import Unit, UnitPhase
from .placement import Candidate, count_fitting_tasks
from .policy import Adviser, Policy, find_adviser
from .queue_order import URGENT
from .shapes import shape_of
from .workers import Worker

# Workers in a request, unless a unit needs more; users expect one request of 30
# for a step. The adviser takes at most as many as the second one.
USUAL_WORKERS = 30
MAX_WORKERS_PER_REQUEST = 100
# Workers asked for beyond those that are expected to be enough.
RESERVE_WORKERS = 2
# Steps that one pass examines of the urgent ones, and of the others.
MAX_EXAMINED_STEPS = 12
# Units of a step that it examines: suspects need workers of their own, and some
# have their tickets.
MAX_EXAMINED_UNITS = 8

Candidates = Sequence[Candidate]


class PassPlaces(msgspec.Struct, frozen=True):
    """Where a scheduling pass would place units after all have had their turn.

    Each returns no candidates if there is no place.
    """

    # Whether the limit of its organisation lets a unit start.
    admits: Callable[[Unit], bool]
    # The workers that are kept for a unit and free soon.
    find_kept: Callable[[Unit], Candidates]
    # Where it could start now on workers as advised.
    find_place: Callable[[Unit, Advised], Candidates]
    # Where it could start once others end or are stopped for it, also others of
    # its organisation.
    find_future: Callable[[Unit], Candidates]
    # All workers that it could have tickets for.
    find_possible: Callable[[Unit], Candidates]
    # Which preferences it has given up; part of what decides where it fits.
    find_patience: Callable[[Unit], object]


class AdviceSelection:
    """Selects the next request of a pass."""

    def __init__(
        self,
        advice: PlacementAdvice,
        places: PassPlaces,
        workers: dict[WorkerId, Worker],
        policy: Policy | None,
        now_s: float,
    ) -> None:
        """Select by ``places``, with the adviser settings of ``policy``."""
        self._tickets = advice.tickets
        self._turns = advice.turns
        self._places = places
        self._workers = workers
        self._policy = policy
        self._now_s = now_s
        # Keys of units without a place, so that equal ones are not tried again.
        self._placeless: set[tuple[object, ...]] = set()

    def next_request(self, waiting: Iterable[Unit]) -> AdviceRequest | None:
        """Return the request whose turn it is; None if there is none."""
        if not self._turns.is_free(self._now_s):
            return None
        units = self._waiting_by_step(waiting)
        steps = [
            WaitingStep(
                step,
                group[0].job.spec.terms.organisation,
                group[0].job.spec.terms.priority == URGENT,
                position,
                self._tickets.unused_rounds(step),
            )
            for position, (step, group) in enumerate(units.items())
        ]
        for in_turn in self._turns.in_order(steps, self._now_s):
            examined = [one.step for one in in_turn[:MAX_EXAMINED_STEPS]]
            for step in examined:
                request = self._request_for_step(units[step])
                if request is not None:
                    return request
            if len(examined) < len(in_turn):
                self._turns.pass_over(examined)
            else:
                self._turns.stop_passing_over(examined)
        return None

    def _waiting_by_step(
        self, waiting: Iterable[Unit]
    ) -> dict[StepRef, list[Unit]]:
        units: dict[StepRef, list[Unit]] = {}
        for unit in waiting:
            if unit.phase is UnitPhase.WAITING and needs_advice(unit):
                units.setdefault(step_ref_of(unit), []).append(unit)
        return {
            step: group
            for step, group in units.items()
            if self._tickets.may_request(step, self._now_s)
        }

    def _request_for_step(self, units: list[Unit]) -> AdviceRequest | None:
        """Return a request for one step; None if no unit of it could start."""
        for unit in _select_examined_units(units):
            request = self._request_for_unit(unit, len(units))
            if request is not None:
                return request
        return None

    def _request_for_unit(
        self, unit: Unit, unit_count: int
    ) -> AdviceRequest | None:
        """Return a request for ``unit``, and for others of its step."""
        needed = self._find_needed(unit)
        if not needed:
            return None
        possible = [
            candidate
            for candidate in self._places.find_possible(unit)
            if count_fitting_tasks(
                candidate, unit.spec, future_free=candidate.capacity
            )
        ]
        if unit.size == 1 and not unit.spec.max_per_worker:
            needed = _extend(needed, possible, unit, unit_count)
        missing = self._without_ticket(unit, needed)
        if not missing:
            return None
        others = [
            worker
            for worker in self._without_ticket(unit, possible)
            if worker not in missing
        ]
        step = step_ref_of(unit)
        was_allowed = self._tickets.make_test(
            step, Advised.ALLOWED, self._now_s
        )
        others.sort(
            key=lambda worker: (
                not was_allowed(worker),
                -worker.free_capacity().weight_cores,
                worker.id,
            )
        )
        return build_request(
            unit,
            missing,
            others,
            find_adviser(self._policy, unit.job.spec.terms.queue),
            self._tickets.allowed_share(step),
        )

    def _without_ticket(
        self, unit: Unit, candidates: Candidates
    ) -> list[Worker]:
        """Return the workers among ``candidates`` without a valid ticket."""
        has_ticket = self._tickets.make_test(
            step_ref_of(unit), Advised.WITH_TICKET, self._now_s
        )
        workers = {
            candidate.worker: self._workers[candidate.worker]
            for candidate in candidates
        }
        return [worker for worker in workers.values() if not has_ticket(worker)]

    def _find_needed(self, unit: Unit) -> Candidates:
        """Return the workers with which ``unit`` could start."""
        kept = self._places.find_kept(unit)
        if kept:
            return kept
        if not self._places.admits(unit):
            return self._places.find_future(unit)
        key = self._placeless_key(unit)
        if key in self._placeless:
            return ()
        needed = (
            self._places.find_place(unit, Advised.ALLOWED)
            or self._places.find_place(unit, Advised.POSSIBLE)
            or self._places.find_future(unit)
        )
        if not needed:
            self._placeless.add(key)
        return needed

    def _placeless_key(self, unit: Unit) -> tuple[object, ...]:
        """Return what decides whether ``unit`` has a place in this pass."""
        shape = shape_of(unit)
        has_disallowed = self._tickets.has_disallowed(step_ref_of(unit))
        if not (unit.spec.max_per_worker or has_disallowed):
            # The last part is the step, which decides nothing then.
            shape = shape[:-1]
        terms = unit.job.spec.terms
        patience = self._places.find_patience(unit)
        return (shape, patience, terms.queue, terms.organisation)


def build_request(
    unit: Unit,
    needed: Sequence[Worker],
    others: Sequence[Worker],
    adviser: Adviser,
    allowed_share: float,
) -> AdviceRequest:
    """Return a request for ``needed`` and a reserve of ``others``.

    ``allowed_share`` of the workers are expected to be allowed.
    """
    wanted = math.ceil(len(needed) / allowed_share) + RESERVE_WORKERS
    most = max(USUAL_WORKERS, len(needed) + RESERVE_WORKERS)
    count = min(wanted, most, MAX_WORKERS_PER_REQUEST)
    selected = tuple(worker.id for worker in (*needed, *others)[:count])
    terms = unit.job.spec.terms
    expected_ms = adviser.decision_ms + len(selected) * adviser.per_worker_ms
    return AdviceRequest(
        step_ref_of(unit),
        terms.organisation,
        terms.priority == URGENT,
        selected,
        expected_ms / MS_PER_S,
    )


def _select_examined_units(units: list[Unit]) -> list[Unit]:
    """Return the first ``units``, and one at least that is no suspect."""
    examined = units[:MAX_EXAMINED_UNITS]
    sound = next((unit for unit in units if not unit.crashes), None)
    return examined if sound is None else [*examined, sound]


def _extend(
    needed: Candidates, possible: Candidates, unit: Unit, tasks: int
) -> Candidates:
    """Return ``needed`` and more workers, for ``tasks`` single tasks."""
    chosen = list(needed)
    left = tasks - sum(
        max(1, count_fitting_tasks(candidate, unit.spec))
        for candidate in chosen
    )
    for candidate in possible:
        if left <= 0 or len(chosen) >= USUAL_WORKERS:
            break
        fitting = count_fitting_tasks(candidate, unit.spec)
        if fitting and candidate not in needed:
            chosen.append(candidate)
            left -= fitting
    return chosen
