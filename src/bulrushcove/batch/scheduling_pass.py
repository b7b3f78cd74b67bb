"""A scheduling pass: places waiting units, preempts and reserves for them."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..clock import MS_PER_S
from ..ids import WorkerId
from .advice import AdviceRequest, StepRef, needs_advice, step_ref_of
from .backfill_reservation import (
    MAX_RESERVATIONS,
    RESERVE_AFTER_S,
    find_earliest_placement,
)
from .capacity_forecast import CapacityForecast
from .headroom import GANG_HEADROOM_WAIT_S, select_headroom_workers
from .ids import PoolName
from .isolation import (
    find_isolated_placement,
    has_isolated_run,
    indices_to_isolate,
    isolate_runs,
    needs_stable_worker,
    reserve_idle_workers,
)
from .job_state import (
    Allocation,
    StopReason,
    Unit,
    UnitPhase,
    mark_for_stop,
    ready_units,
    unstopped_allocations,
)
from .placement import (
    REMOTE_RACK_WAIT_S,
    Candidate,
    count_fitting_tasks,
    deduct_requirements,
    find_placement,
    rank_candidates,
)
from .policy import find_adviser
from .preemption_decider import PreemptionDecider
from .preemption_plan import PreemptionPlan
from .queue_order import URGENT, sort_waiting_units
from .sampling import select_examined
from .shapes import Shape, shape_of
from .worker_crashes import is_stable
from .worker_reliability import find_mostly_quarantined_pools
from .workers import FULL_SPEED_PERCENT, Worker

if TYPE_CHECKING:
    from .engine import Engine

# Preempted capacity stays reserved for the preempting unit this long.
PREEMPTION_RESERVATION_S = 2.5
# Smaller units fit between small tasks without a reservation.
MIN_RESERVED_ACCELERATORS = 4
# A pool with a lower share in use has enough free capacity to run tasks
# outside their preferred rack.
LIGHT_LOAD_SHARE = 0.5


class SchedulingPass:
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
        self.waiting = waiting
        self._engine = engine
        self._candidates = candidates
        self._now_s = now_s
        # Workers kept free for urgent work, by pool; computed when the first
        # non-urgent unit of the pool is placed.
        self._headroom: dict[PoolName, frozenset[WorkerId]] = {}
        self._examined: dict[Shape, Sequence[Candidate]] = {}
        # Number of units with a backfill reservation in this pass.
        self._reservation_count = 0
        # Candidates for the next single tasks of a step, the best first.
        self._ranked: dict[StepRef, deque[Candidate]] = {}
        # Shapes that did not fit, so that equal units are not tried again.
        self._unplaceable: set[Shape] = set()
        self._forecast = CapacityForecast(engine.workers, engine.estimates)
        self.decider = PreemptionDecider(engine, self._forecast, now_s)
        self._is_lightly_loaded = {
            pool: _used_share(group) < LIGHT_LOAD_SHARE
            for pool, group in candidates.items()
        }

    def place(self, unit: Unit) -> list[Allocation]:
        """Place ``unit``; returns its allocations, none if it does not fit."""
        if unit.phase is not UnitPhase.WAITING or unit.job.has_ended:
            return []
        shape = shape_of(unit)
        if shape in self._unplaceable:
            self._deduct_preempted_capacity(unit)
            return []
        chosen = self._choose_candidates(unit)
        if chosen is None:
            self._unplaceable.add(shape)
            self._deduct_preempted_capacity(unit)
            return []
        deduct_requirements(chosen, unit.spec)
        self._engine.preemptions.pop(unit.ref, None)
        allocations = self._start_run(unit, chosen)
        isolate_runs(unit, indices_to_isolate(unit, self._now_s), chosen)
        return allocations

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
        return _stop_victims(plan)

    def reserve(self, unit: Unit) -> None:
        """Reserve the workers that will have capacity for ``unit`` first."""
        if indices_to_isolate(unit, self._now_s):
            if self._reservation_count < MAX_RESERVATIONS:
                self._reservation_count += reserve_idle_workers(
                    unit, self._allowed_candidates(unit), self._forecast
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
                    for candidate in self._allowed_candidates(unit)
                    if self._may_use(unit, candidate)
                ],
                placed=_count_placed_tasks(unit),
                allows_remote_rack=self._allows_remote_rack(unit),
            )
        needs_stable = needs_stable_worker(unit, self._now_s)
        is_single = unit.size == 1 and not unit.spec.max_per_worker
        if is_single and not needs_stable:
            candidate = self._choose_ranked(unit)
            return [candidate] if candidate else None
        return find_placement(
            unit,
            [
                candidate
                for candidate in self._usable_candidates(unit)
                if candidate.is_stable or not needs_stable
            ],
            placed=_count_placed_tasks(unit),
            allows_remote_rack=self._allows_remote_rack(unit),
        )

    def _choose_ranked(self, unit: Unit) -> Candidate | None:
        """Return the best candidate for a single task; None if there is none.

        Candidates are ranked once for the tasks of a step, which may be
        hundreds, and again when none of them fits any more.
        """
        step = step_ref_of(unit)
        ranked = self._ranked.get(step)
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
        self._ranked[step] = ranked
        return ranked[0] if ranked else None

    def _allows_remote_rack(self, unit: Unit) -> bool:
        waited_s = self._now_s - unit.ready_since_s
        pool = unit.job.spec.terms.pool
        return waited_s >= REMOTE_RACK_WAIT_S and self._is_lightly_loaded.get(
            pool, False
        )

    def _make_advice_request(self, unit: Unit) -> AdviceRequest | None:
        adviser = find_adviser(
            self._engine.desired_state.policy, unit.job.spec.terms.queue
        )
        group = self._candidates.get(unit.job.spec.terms.pool, [])
        workers = [
            self._engine.workers[candidate.worker] for candidate in group
        ]
        return self._engine.tickets.next_request(
            unit, adviser, workers, self._now_s
        )

    def _allowed_candidates(self, unit: Unit) -> list[Candidate]:
        """Return the candidates that the placement adviser allows ``unit``."""
        group = self._candidates.get(unit.job.spec.terms.pool, [])
        if not needs_advice(unit):
            return group
        find = self._engine.tickets.find
        workers = self._engine.workers
        step = step_ref_of(unit)
        return [
            candidate
            for candidate in group
            if find(step, workers[candidate.worker], self._now_s)
        ]

    def _examined_candidates(self, unit: Unit) -> Sequence[Candidate]:
        """Return the candidates to examine for capacity not free yet."""
        shape = shape_of(unit)
        examined = self._examined.get(shape)
        if examined is None:
            examined = select_examined(
                unit, self._allowed_candidates(unit), self._engine.pass_count
            )
            self._examined[shape] = examined
        return examined

    def _usable_candidates(self, unit: Unit) -> list[Candidate]:
        """Return the candidates that ``unit`` may use now.

        A non-urgent unit may not use the headroom, nor a reserved worker
        unless it ends before the reserved capacity is needed.
        """
        group = self._allowed_candidates(unit)
        if unit.job.spec.terms.priority == URGENT:
            return group
        headroom = self._headroom_workers(unit, group)
        remaining_s = self._engine.estimates.remaining_ms(unit) / MS_PER_S
        return [
            candidate
            for candidate in group
            if candidate.worker not in headroom
            and _ends_before_reservation(candidate, remaining_s)
        ]

    def _may_use(self, unit: Unit, candidate: Candidate) -> bool:
        """Return whether ``unit`` may still use a ranked candidate.

        It may have been reserved since it was ranked.
        """
        is_urgent = unit.job.spec.terms.priority == URGENT
        if is_urgent or candidate.reserved_after_s is None:
            return True
        remaining_s = self._engine.estimates.remaining_ms(unit) / MS_PER_S
        return _ends_before_reservation(candidate, remaining_s)

    def _headroom_workers(
        self, unit: Unit, group: list[Candidate]
    ) -> frozenset[WorkerId]:
        pool = unit.job.spec.terms.pool
        waited_s = self._now_s - unit.ready_since_s
        if unit.size > 1 and waited_s > GANG_HEADROOM_WAIT_S:
            return frozenset()
        if waited_s > REMOTE_RACK_WAIT_S and self._is_lightly_loaded.get(
            pool, False
        ):
            return frozenset()
        if pool not in self._headroom:
            rate = self._engine.urgent_demand.rate(self._now_s)
            self._headroom[pool] = select_headroom_workers(group, rate)
        return self._headroom[pool]

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
    )
    if engine.preemptions:
        # What is stopped for a unit must not take the capacity back.
        waiting.sort(key=lambda unit: unit.ref not in engine.preemptions)
    candidates: dict[PoolName, list[Candidate]] = defaultdict(list)
    engine.mostly_quarantined_pools = find_mostly_quarantined_pools(
        engine.reliability,
        [one for one in engine.workers.values() if is_in_service(engine, one)],
        now_s,
    )
    if waiting:
        for worker in engine.workers.values():
            is_open = is_schedulable(engine, worker, now_s)
            if is_open and not has_isolated_run(worker):
                candidates[worker.entry.pool].append(
                    _make_candidate(engine, worker, now_s)
                )
    return SchedulingPass(engine, waiting, candidates, now_s)


def is_schedulable(engine: Engine, worker: Worker, now_s: float) -> bool:
    """Return whether ``worker`` may be given new work."""
    is_responding = (
        worker.has_reported
        and not worker.failed_polls
        and not worker.unknown_incarnation_since_s
    )
    if not is_responding or worker.orphans or not is_in_service(engine, worker):
        return False
    if worker.id in engine.lease_expiry.named:
        return False
    if worker.entry.pool in engine.mostly_quarantined_pools:
        return True
    return not engine.reliability.is_quarantined(worker.id, now_s)


def is_in_service(engine: Engine, worker: Worker) -> bool:
    """Return whether ``worker`` is listed, not draining and its domain open."""
    entry = worker.entry
    is_listed = worker.is_listed and not entry.is_draining
    return is_listed and entry.domain not in engine.desired_state.closed_domains


def _make_candidate(engine: Engine, worker: Worker, now_s: float) -> Candidate:
    entry = worker.entry
    return Candidate(
        worker=worker.id,
        rack=entry.rack,
        labels=entry.labels,
        free=worker.free_capacity(),
        capacity=entry.capacity,
        is_suspect=engine.reliability.is_suspect(worker.id, now_s),
        is_on_probation=engine.reliability.is_on_probation(worker.id, now_s),
        is_idle=not worker.allocations,
        is_stable=is_stable(worker, now_s),
        is_throttled=worker.speed_percent < FULL_SPEED_PERCENT,
    )


def _ends_before_reservation(candidate: Candidate, remaining_s: float) -> bool:
    """Return whether a unit ends before the candidate's reservation begins."""
    reserved_after_s = candidate.reserved_after_s
    return reserved_after_s is None or remaining_s <= reserved_after_s


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


def _stop_victims(plan: PreemptionPlan) -> list[Allocation]:
    stops = []
    for victim in plan.victims:
        victim.is_aborting = True
        stops.extend(unstopped_allocations(victim))
    return mark_for_stop(stops, StopReason.PREEMPTED)


def _used_share(group: list[Candidate]) -> float:
    total = sum(candidate.capacity.weight_cores for candidate in group)
    free = sum(candidate.free.weight_cores for candidate in group)
    return 1 - free / total if total else 1
