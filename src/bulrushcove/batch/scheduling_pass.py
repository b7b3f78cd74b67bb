"""A scheduling pass: places waiting units, preempts and reserves for them."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from ..ids import WorkerId
from .advice import AdviceRequest, StepRef, needs_advice, step_ref_of
from .backfill_reservation import (
    MAX_RESERVATIONS,
    RESERVE_AFTER_S,
    find_earliest_placement,
)
from .candidate_selection import CandidateSelection, Patience
from .capacity_forecast import CapacityForecast
from .ids import PoolName
from .isolation import (
    find_isolated_placement,
    indices_to_isolate,
    isolate_runs,
    isolated_run_age_s,
    needs_stable_worker,
    reserve_idle_workers,
)
from .job_state import (
    Allocation,
    StopReason,
    Unit,
    UnitPhase,
    is_unstopped,
    mark_for_stop,
    ready_units,
    unstopped_allocations,
)
from .placement import (
    Candidate,
    count_fitting_tasks,
    deduct_requirements,
    find_placement,
    rank_candidates,
)
from .plan import PreemptedUnit
from .policy import find_adviser
from .preemption_decider import PreemptionDecider
from .queue_order import URGENT, sort_waiting_units
from .sampling import select_examined
from .shapes import Shape, shape_of
from .worker_crashes import is_stable
from .workers import FULL_SPEED_PERCENT, Worker, is_in_service

if TYPE_CHECKING:
    from .engine import Engine

# Preempted capacity stays reserved for the preempting unit this long.
PREEMPTION_RESERVATION_S = 2.5
# Runs that were expected to end within 0.5 s are stopped after this time, so
# that the unit still starts in time.
MAX_AWAITED_S = 0.6
# Smaller units fit between small tasks without a reservation.
MIN_RESERVED_ACCELERATORS = 4


class SchedulingPass(CandidateSelection):
    """One pass over the waiting units, in queue order.

    It tracks the free capacity that is left on the candidates.
    """

    def __init__(
        self,
        engine: Engine,
        waiting: list[Unit],
        candidates: dict[PoolName, list[Candidate]],
        now_s: float,
    ) -> None:
        """Schedule ``waiting`` onto the ``candidates`` of each pool."""
        super().__init__(engine, waiting, candidates, now_s)
        self._examined: dict[Shape, Sequence[Candidate]] = {}
        # Number of units with a backfill reservation in this pass.
        self._reservation_count = 0
        # Candidates for the next single tasks of a step, the best first.
        self._ranked: dict[tuple[StepRef, Patience], deque[Candidate]] = {}
        # Shapes that did not fit, so that equal units are not tried again.
        self._unplaceable: set[tuple[Shape, Patience]] = set()
        self._forecast = CapacityForecast(
            engine.workers, engine.estimates, now_s
        )
        self.decider = PreemptionDecider(engine, self._forecast, now_s)
        # Units that this pass preempts.
        self.preempted: list[PreemptedUnit] = []

    def place(self, unit: Unit) -> list[Allocation]:
        """Place ``unit``; returns its allocations, none if it does not fit."""
        if unit.phase is not UnitPhase.WAITING or unit.job.has_ended:
            return []
        # Of two equal units only the older one may give up preferences.
        key = (shape_of(unit), self._patience(unit))
        if key in self._unplaceable:
            self._deduct_preempted_capacity(unit)
            return []
        chosen = self._choose_candidates(unit)
        if chosen is None:
            self._unplaceable.add(key)
            self._deduct_preempted_capacity(unit)
            return []
        deduct_requirements(chosen, unit.spec)
        self._engine.preemptions.pop(unit.ref, None)
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
        plan = self.decider.find_plan(unit, self._examined_candidates(unit))
        if plan is None:
            return []
        reserved_until_s = self._now_s + PREEMPTION_RESERVATION_S
        self._engine.preemptions[unit.ref] = (plan, reserved_until_s)
        deduct_requirements(plan.placement, unit.spec)
        self.decider.record_capacity_change()
        return _stop_victims(unit, plan.victims, self._forecast, self.preempted)

    def stop_overdue(self) -> list[Allocation]:
        """Return the runs to stop that did not end as a plan expected."""
        stops: list[Allocation] = []
        preemptions = self._engine.preemptions
        if not any(plan.awaited for plan, _ in preemptions.values()):
            return stops
        for unit in self.waiting:
            if unit.ref not in preemptions:
                continue
            plan, reserved_until_s = preemptions[unit.ref]
            planned_at_s = reserved_until_s - PREEMPTION_RESERVATION_S
            if self._now_s - planned_at_s >= MAX_AWAITED_S:
                overdue = {
                    awaited.unit.ref: awaited.unit
                    for awaited in plan.awaited
                    if is_unstopped(awaited)
                }
                stops.extend(
                    _stop_victims(
                        unit,
                        overdue.values(),
                        self._forecast,
                        self.preempted,
                    )
                )
        return stops

    def reserve(self, unit: Unit) -> None:
        """Reserve the workers that will have capacity for ``unit`` first."""
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
            or unit.phase is not UnitPhase.WAITING
        ):
            return
        self._reservation_count += 1
        placement = find_earliest_placement(
            unit,
            self._examined_candidates(unit),
            self._forecast,
        )
        for future_capacity in placement:
            future_capacity.candidate.reserved_after_s = placement[-1].wait_s
        self.decider.record_capacity_change()

    def next_advice_request(self) -> AdviceRequest | None:
        """Return the next request to the adviser; None if none is needed.

        It is for the first waiting unit that lacks tickets.
        """
        for unit in self.waiting:
            if unit.phase is UnitPhase.WAITING and needs_advice(unit):
                request = self._make_advice_request(unit)
                if request is not None:
                    return request
        return None

    def _choose_candidates(self, unit: Unit) -> list[Candidate] | None:
        """Return a candidate for each task of ``unit``; None if none fit."""
        isolated = indices_to_isolate(unit, self._now_s)
        if isolated:
            return find_isolated_placement(
                unit,
                isolated,
                [
                    candidate
                    for candidate in self._open_candidates(unit)
                    if self._may_use(unit, candidate)
                ],
                placed=_count_placed_tasks(unit),
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
        return find_placement(
            unit,
            candidates,
            placed=_count_placed_tasks(unit),
            allows_remote_rack=self._allows_remote_rack(unit),
        )

    def _choose_ranked(self, unit: Unit) -> Candidate | None:
        """Return the best candidate for a single task; None if there is none.

        Candidates are ranked once for the tasks of a step, which may be
        hundreds, and again when none of them fits any more.
        """
        key = (step_ref_of(unit), self._patience(unit))
        ranked = self._ranked.get(key)
        while ranked:
            fits = count_fitting_tasks(ranked[0], unit.spec)
            if fits and self._may_use(unit, ranked[0]):
                return ranked[0]
            ranked.popleft()
        ranked = deque(
            rank_candidates(
                unit,
                self._usable_candidates(unit),
                allows_remote_rack=self._allows_remote_rack(unit),
            )
        )
        self._ranked[key] = ranked
        return ranked[0] if ranked else None

    def _make_advice_request(self, unit: Unit) -> AdviceRequest | None:
        adviser = find_adviser(
            self._engine.desired_state.policy, unit.job.spec.terms.queue
        )
        workers = [
            self._engine.workers[candidate.worker]
            for candidate in self._open_to_step(unit)
            + self._distrusted_candidates(unit)
        ]
        return self._engine.tickets.next_request(
            unit, adviser, workers, self._now_s
        )

    def _examined_candidates(self, unit: Unit) -> Sequence[Candidate]:
        """Return the candidates to examine for capacity not free yet."""
        shape = shape_of(unit)
        examined = self._examined.get(shape)
        if examined is None:
            examined = select_examined(
                unit, self._open_candidates(unit), self._engine.pass_count
            )
            self._examined[shape] = examined
        return examined

    def _deduct_preempted_capacity(self, unit: Unit) -> None:
        """Deduct the capacity that is being preempted for ``unit``."""
        reservation = self._engine.preemptions.get(unit.ref)
        if reservation is None:
            return
        plan, _ = reservation
        worker_ids = {target.worker for target in plan.placement}
        by_worker = {
            candidate.worker: candidate
            for candidate in self._candidates.get(unit.job.spec.terms.pool, [])
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

    def _start_run(
        self, unit: Unit, chosen: list[Candidate]
    ) -> list[Allocation]:
        unit.phase = UnitPhase.ACTIVE
        unit.run += 1
        unit.is_aborting = False
        unit.placed_at_s = self._now_s
        unit.job.has_started = True
        self.decider.record_capacity_change()
        for index, candidate in zip(unit.indices, chosen, strict=True):
            allocation = Allocation(
                unit=unit, index=index, run=unit.run, worker=candidate.worker
            )
            unit.allocations[index] = allocation
            self._forecast.invalidate(candidate.worker)
            worker = self._engine.workers[candidate.worker]
            allocation.worker_started_unix_ms = worker.entry.started_unix_ms
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
    waiting = sort_waiting_units(
        (
            unit
            for job in engine.active.values()
            for unit in ready_units(job, unix_ms, now_s)
        ),
        engine.estimates,
        now_s,
        running=(
            unit
            for job in engine.active.values()
            for unit in job.units
            if unit.allocations
        ),
    )
    if engine.preemptions:
        # What is stopped for a unit must not take the capacity back.
        waiting.sort(key=lambda unit: unit.ref not in engine.preemptions)
    candidates: dict[PoolName, list[Candidate]] = defaultdict(list)
    if waiting:
        for worker in engine.workers.values():
            if is_schedulable(engine, worker):
                candidates[worker.entry.pool].append(
                    _make_candidate(engine, worker, now_s)
                )
    return SchedulingPass(engine, waiting, candidates, now_s)


def is_schedulable(engine: Engine, worker: Worker) -> bool:
    """Return whether no promise would be broken by new work on ``worker``."""
    is_responding = (
        worker.has_reported
        and not worker.failed_polls
        and not worker.unknown_incarnation_since_s
    )
    closed_domains = engine.desired_state.closed_domains
    if (
        not is_responding
        or worker.orphans
        or not is_in_service(worker, closed_domains)
    ):
        return False
    return worker.id not in engine.lease_expiry.named


def _make_candidate(engine: Engine, worker: Worker, now_s: float) -> Candidate:
    entry = worker.entry
    reliability = engine.reliability
    return Candidate(
        worker=worker.id,
        rack=entry.rack,
        labels=entry.labels,
        free=worker.free_capacity(),
        capacity=entry.capacity,
        standing=reliability.standing(worker.id, now_s),
        units_left=reliability.count_trial_units(worker, now_s),
        is_trial_due=reliability.is_trial_due(worker.id, now_s),
        is_idle=not worker.allocations,
        is_stable=is_stable(worker, now_s),
        isolated_run_age_s=isolated_run_age_s(worker, now_s),
        is_throttled=worker.speed_percent < FULL_SPEED_PERCENT,
    )


def _count_placed_tasks(unit: Unit) -> dict[WorkerId, int]:
    """Return how many tasks of the unit's step run on each worker.

    Empty when the step does not limit the tasks of a worker.
    """
    counts: dict[WorkerId, int] = {}
    if not unit.spec.max_per_worker:
        return counts
    for other in unit.job.units:
        if other.occurrence == unit.occurrence and other.step == unit.step:
            for allocation in other.allocations.values():
                counts[allocation.worker] = counts.get(allocation.worker, 0) + 1
    return counts


def _stop_victims(
    unit: Unit,
    victims: Iterable[Unit],
    forecast: CapacityForecast,
    preempted: list[PreemptedUnit],
) -> list[Allocation]:
    """Return the allocations to stop so that ``unit`` can start.

    Adds the victims to ``preempted``.
    """
    stops = []
    for victim in victims:
        loss_core_s = forecast.loss_core_s(victim)
        preempted.append(
            PreemptedUnit(victim.ref, victim.run, unit.ref, loss_core_s)
        )
        victim.is_aborting = True
        stops.extend(unstopped_allocations(victim))
    for allocation in stops:
        forecast.invalidate(allocation.worker)
    return mark_for_stop(stops, StopReason.PREEMPTED)
