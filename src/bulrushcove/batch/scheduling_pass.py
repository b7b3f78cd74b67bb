"""A scheduling pass: places waiting units, preempts and reserves for them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

from .advice import AdviceRequest, Advised, needs_advice, step_ref_of
from .advice_requests import AdviceSelection, PassPlaces
from .backfill_reservation import (
    MAX_PLACELESS_UNITS,
    MAX_RESERVATIONS,
    RESERVE_AFTER_S,
    find_earliest_placement,
)
from .candidate_selection import Patience
from .capacity_forecast import CapacityForecast, add_stopped_capacity
from .ids import PoolName, UnitRef
from .isolation import (
    indices_to_isolate,
    isolate_runs,
    reserve_idle_workers,
)
from .job_state import (
    Allocation,
    StopReason,
    Unit,
    UnitPhase,
    mark_for_stop,
    unstopped_allocations,
)
from .limit_gate import LimitGate, find_limits
from .pass_candidates import find_candidates
from .placed_tasks import PlacedTasks, below_step_limit
from .placement import Candidate, deduct_requirements, fits_when_idle
from .placement_choice import PlacementChoice
from .preemption_decider import PreemptionDecider
from .preemption_plan import PreemptionPlan
from .queue_order import URGENT
from .sampling import select_examined
from .shapes import Shape, shape_of
from .waiting_units import sort_ready_units, sum_usage

if TYPE_CHECKING:
    from .engine import Engine

# Preemptions in progress, and until when their capacity is reserved.
Preemptions = dict[UnitRef, tuple[PreemptionPlan, float]]

# Preempted capacity stays reserved for the preempting unit this long.
PREEMPTION_RESERVATION_S = 2.5
# Smaller units fit between small tasks without a reservation.
MIN_RESERVED_ACCELERATORS = 4
# Tickets are asked for this long before a unit gives up its preferences, or
# before the workers reserved for it are free.
ADVICE_LEAD_S = 0.5


class SchedulingPass(PlacementChoice):
    """One pass over the waiting units, in queue order.

    It tracks the free capacity that is left on the candidates.
    """

    def __init__(
        self,
        engine: Engine,
        waiting: list[Unit],
        candidates: dict[PoolName, list[Candidate]],
        limit_gate: LimitGate,
        now_s: float,
    ) -> None:
        """Schedule ``waiting`` onto the ``candidates`` of each pool.

        Only what ``limit_gate`` admits may start.
        """
        super().__init__(engine, waiting, candidates, now_s)
        self._limit_gate = limit_gate
        self._freed_for = engine.organisation_usage.freed_for
        self._examined: dict[Shape, Sequence[Candidate]] = {}
        # Number of units with a backfill reservation in this pass.
        self._reservation_count = 0
        # Where the units with one that need advice will start soon.
        self._reserved_soon: dict[UnitRef, list[Candidate]] = {}
        # Units that could have had one and were found to have no place.
        self._placeless_count = 0
        # Shapes that did not fit, so that equal units are not tried again.
        self._unplaceable: set[tuple[Shape, Patience]] = set()
        self._forecast = CapacityForecast(engine.workers, engine.estimates)
        self.decider = PreemptionDecider(engine, self._forecast, now_s)

    def place(self, unit: Unit) -> list[Allocation]:
        """Place ``unit``; returns its allocations, none if it does not fit."""
        if unit.phase is not UnitPhase.WAITING or unit.job.has_ended:
            return []
        if not self._limit_gate.admits(unit):
            # Others must not be kept from what was preempted for it.
            self._engine.preemptions.pop(unit.ref, None)
            return []
        # Of two equal units only the older one may give up preferences.
        key = (shape_of(unit), self._patience(unit))
        if key in self._unplaceable:
            self._keep_what_was_freed(unit)
            return []
        chosen = self._choose(unit)
        if chosen is None:
            self._unplaceable.add(key)
            self._keep_what_was_freed(unit)
            return []
        deduct_requirements(chosen, unit.spec)
        self._engine.preemptions.pop(unit.ref, None)
        self._freed_for.pop(unit.ref, None)
        self._limit_gate.record_start(unit)
        if needs_advice(unit):
            self._engine.advice.tickets.record_start(step_ref_of(unit))
        allocations = self._start_run(unit, chosen)
        isolate_runs(unit, indices_to_isolate(unit, self._now_s), chosen)
        return allocations

    def units_tried_last(self) -> list[Unit]:
        """Return the units to place again, after all others were placed.

        They may use workers that are on trial from now on.
        """
        left_out = [unit for unit in self.waiting if self._is_tried_last(unit)]
        self._has_tried_others = True
        return [
            unit
            for unit in left_out
            if unit.phase is UnitPhase.WAITING
            and unit.ref not in self._engine.preemptions
            and not self._is_tried_last(unit)
        ]

    def preempt(self, unit: Unit) -> list[Allocation]:
        """Preempt for ``unit``; returns the allocations to stop.

        Only urgent units preempt, and only once until the reservation of the
        preempted capacity expires.
        """
        terms = unit.job.spec.terms
        if terms.priority != URGENT or unit.phase is not UnitPhase.WAITING:
            return []
        if unit.ref in self._engine.preemptions or indices_to_isolate(
            unit, self._now_s
        ):
            return []
        if not self._limit_gate.admits(unit):
            return self._stop_own_work(unit)
        plan = self.decider.find_plan(unit, self._examined_candidates(unit))
        if plan is None:
            return []
        reserved_until_s = self._now_s + PREEMPTION_RESERVATION_S
        self._engine.preemptions[unit.ref] = (plan, reserved_until_s)
        deduct_requirements(plan.placement, unit.spec)
        self._limit_gate.record_start(unit)
        self.decider.record_capacity_change()
        return _stop_units(plan.victims)

    def reserve(self, unit: Unit) -> None:
        """Reserve the workers that will have capacity for ``unit`` first."""
        if not self._limit_gate.admits(unit):
            return
        if indices_to_isolate(unit, self._now_s):
            if self._reservation_count < MAX_RESERVATIONS:
                self._reservation_count += reserve_idle_workers(
                    unit, self._open_candidates(unit), self._forecast
                )
            return
        terms = unit.job.spec.terms
        waited_s = self._now_s - unit.ready_since_s
        if terms.priority == URGENT or waited_s < RESERVE_AFTER_S:
            return
        if unit.size * unit.spec.size.accelerators < MIN_RESERVED_ACCELERATORS:
            return
        if (
            self._reservation_count >= MAX_RESERVATIONS
            or self._placeless_count >= MAX_PLACELESS_UNITS
            or unit.phase is not UnitPhase.WAITING
            or shape_of(unit) in self._engine.pass_history.placeless
        ):
            return
        placement = find_earliest_placement(
            unit,
            self._reservable_candidates(unit),
            self._forecast,
        )
        if not placement:
            self._placeless_count += 1
            self._engine.pass_history.placeless.record(
                shape_of(unit), self._now_s
            )
            return
        self._reservation_count += 1
        reserved = [future_capacity.candidate for future_capacity in placement]
        wait_s = placement[-1].wait_s
        for candidate in reserved:
            candidate.reserved_after_s = wait_s
        if needs_advice(unit) and wait_s <= ADVICE_LEAD_S:
            self._reserved_soon[unit.ref] = reserved
        self.decider.record_capacity_change()

    def next_advice_request(self) -> AdviceRequest | None:
        """Return the next request to the adviser; None if none is needed.

        To be called last: it counts what is being stopped as free.
        """
        if not any(map(needs_advice, self.waiting)):
            return None
        self._lead_s = ADVICE_LEAD_S
        for group in self._candidates.values():
            add_stopped_capacity(group, self._engine.workers)
        self.decider.record_capacity_change()
        selection = AdviceSelection(
            self._engine.advice,
            PassPlaces(
                admits=self._limit_gate.admits,
                find_kept=self._find_kept,
                find_place=self._find_place,
                find_future=self._find_future,
                find_possible=self._possible_candidates,
                find_patience=self._patience,
            ),
            self._engine.workers,
            self._engine.desired_state.policy,
            self._now_s,
        )
        return selection.next_request(self.waiting)

    def _find_kept(self, unit: Unit) -> Sequence[Candidate]:
        """Return the workers that are kept for ``unit`` and free soon."""
        reserved = self._reserved_soon.get(unit.ref)
        if reserved:
            return reserved
        kept = self._engine.preemptions.get(unit.ref) or self._freed_for.get(
            unit.ref
        )
        if kept is None:
            return ()
        workers = {target.worker for target in kept[0].placement}
        return [
            candidate
            for candidate in self._possible_candidates(unit)
            if candidate.worker in workers
        ]

    def _find_future(self, unit: Unit) -> Sequence[Candidate]:
        """Return where an urgent unit could start once others end."""
        if unit.job.spec.terms.priority != URGENT:
            return ()
        possible = self._possible_examined(unit)
        if self._limit_gate.admits(unit):
            return self.decider.find_future_place(unit, possible)
        excess = self._limit_gate.excess(unit)
        plan = self.decider.find_own_plan(unit, excess, possible, None)
        return plan.placement if plan else ()

    def _stop_own_work(self, unit: Unit) -> list[Allocation]:
        """Stop other work of the organisation, whose limit ``unit`` waits for.

        The unit holds what is freed, as if it ran, and a place for a while.
        """
        known, kept_until_s = self._freed_for.get(
            unit.ref, (None, self._now_s + PREEMPTION_RESERVATION_S)
        )
        plan = self.decider.find_own_plan(
            unit,
            self._limit_gate.excess(unit),
            () if known else self._examined_candidates(unit),
            known,
        )
        if plan is None:
            return []
        self._freed_for[unit.ref] = (plan, kept_until_s)
        self._limit_gate.record_start(unit)
        _deduct_placement(unit, plan, self._candidates)
        if not known:
            self.decider.record_capacity_change()
        return _stop_units(plan.victims)

    def _examined_candidates(self, unit: Unit) -> Sequence[Candidate]:
        """Return the candidates to examine for capacity not free yet."""
        shape = shape_of(unit)
        examined = self._examined.get(shape)
        if examined is None:
            examined = select_examined(
                unit,
                self._open_candidates(unit),
                self._engine.pass_history.count,
            )
            self._examined[shape] = examined
        return self._below_step_limit(unit, examined)

    def _possible_examined(self, unit: Unit) -> Sequence[Candidate]:
        """Return the same, as if ``unit`` had all tickets that it could."""
        examined = select_examined(
            unit,
            self._possible_candidates(unit),
            self._engine.pass_history.count,
        )
        return self._below_step_limit(unit, examined)

    def _below_step_limit(
        self, unit: Unit, candidates: Sequence[Candidate]
    ) -> Sequence[Candidate]:
        """Return the candidates that may have another task of the step.

        Tasks count that others are being stopped for.
        """
        if not unit.spec.max_per_worker:
            return candidates
        step = step_ref_of(unit)
        placed = self._placed.of_step(unit) + Counter(
            target.worker
            for ref, (plan, _) in self._engine.preemptions.items()
            if ref != unit.ref and step == (ref.job, ref.occurrence, ref.step)
            for target in plan.placement
        )
        return below_step_limit(unit, candidates, placed)

    def _reservable_candidates(self, unit: Unit) -> Sequence[Candidate]:
        """Return the candidates to reserve for ``unit``.

        Tickets would expire before the capacity is free. While the adviser is
        down, what is reserved could not be used.
        """
        turns = self._engine.advice.turns
        if not needs_advice(unit) or turns.is_down(self._now_s):
            return self._examined_candidates(unit)
        return self._possible_examined(unit)

    def _keep_what_was_freed(self, unit: Unit) -> None:
        """Keep room and capacity that others leave for ``unit``."""
        reservation = self._engine.preemptions.get(unit.ref)
        if reservation is not None or unit.ref in self._freed_for:
            self._limit_gate.hold_room(unit)
        if reservation is not None:
            _deduct_placement(unit, reservation[0], self._candidates)

    def _start_run(
        self, unit: Unit, chosen: list[Candidate]
    ) -> list[Allocation]:
        unit.phase = UnitPhase.ACTIVE
        unit.run += 1
        unit.is_aborting = False
        unit.placed_at_s = self._now_s
        unit.job.has_started = True
        self.decider.record_capacity_change()
        self._placed.record_start(unit, chosen)
        for index, candidate in zip(unit.indices, chosen, strict=True):
            allocation = Allocation(
                unit=unit, index=index, run=unit.run, worker=candidate.worker
            )
            unit.allocations[index] = allocation
            self._forecast.invalidate(candidate.worker)
            self._disturbance.record_start(candidate.worker)
            worker = self._engine.workers[candidate.worker]
            allocation.worker_started_unix_ms = worker.entry.started_unix_ms
            allocation.started_clock_ms = worker.estimate_clock_ms(self._now_s)
            worker.allocations[allocation.ref] = allocation
        return list(unit.allocations.values())


def prepare_pass(
    engine: Engine, *, unix_ms: int, now_s: float
) -> SchedulingPass:
    """Return a pass over the units that are ready to start now.

    Expired reservations of preempted capacity are dropped.
    """
    engine.preemptions = {
        ref: reservation
        for ref, reservation in engine.preemptions.items()
        if now_s <= reservation[1]
    }
    freed_for = engine.organisation_usage.freed_for
    engine.organisation_usage.freed_for = {
        ref: kept for ref, kept in freed_for.items() if now_s <= kept[1]
    }
    engine.pass_history.begin_pass(now_s)
    used = sum_usage(engine, now_s)
    waiting = sort_ready_units(engine, used, unix_ms, now_s)
    engine.organisation_usage.waiting = waiting
    candidates = find_candidates(engine, now_s) if waiting else {}
    limit_gate = LimitGate(find_limits(engine.desired_state.policy), used)
    engine.organisation_usage.held = limit_gate.hold_for_waiting(
        waiting,
        now_s,
        _make_idle_test(engine, candidates, now_s),
        engine.organisation_usage.held,
    )
    return SchedulingPass(engine, waiting, candidates, limit_gate, now_s)


def _deduct_placement(
    unit: Unit,
    plan: PreemptionPlan,
    candidates: dict[PoolName, list[Candidate]],
) -> None:
    """Deduct the capacity where ``plan`` places ``unit``."""
    worker_ids = {target.worker for target in plan.placement}
    by_worker = {
        candidate.worker: candidate
        for candidate in candidates.get(unit.job.spec.terms.pool, [])
        if candidate.worker in worker_ids
    }
    deduct_requirements(
        [
            by_worker[target.worker]
            for target in plan.placement
            if target.worker in by_worker
        ],
        unit.spec,
    )


def _make_idle_test(
    engine: Engine,
    candidates: dict[PoolName, list[Candidate]],
    now_s: float,
) -> Callable[[Unit], bool]:
    """Return a test whether a unit fits ``candidates`` without any runs.

    Those count that the placement adviser may allow it, and that have fewer
    tasks of its step than they may.
    """
    known: dict[Shape, bool] = {}

    def fits(unit: Unit) -> bool:
        shape = shape_of(unit)
        if shape not in known:
            possible = below_step_limit(
                unit,
                candidates.get(unit.job.spec.terms.pool, []),
                PlacedTasks().of_step(unit),
            )
            if needs_advice(unit):
                is_possible = engine.advice.tickets.make_test(
                    step_ref_of(unit), Advised.POSSIBLE, now_s
                )
                possible = [
                    candidate
                    for candidate in possible
                    if is_possible(engine.workers[candidate.worker])
                ]
            known[shape] = fits_when_idle(unit, possible)
        return known[shape]

    return fits


def _stop_units(victims: Iterable[Unit]) -> list[Allocation]:
    stops = []
    for victim in victims:
        victim.is_aborting = True
        stops.extend(unstopped_allocations(victim))
    return mark_for_stop(stops, StopReason.PREEMPTED)
