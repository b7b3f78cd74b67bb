"""One pass over the waiting work: the order, the room and the choices."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ..clock import MS_PER_S
from ..ids import WorkerId
from .advice import AdviceRequest, needs_advice, step_ref_of
from .backfill_reservation import HOLD_AFTER_S, MAX_HOLDS, soonest_places
from .capacity_forecast import CapacityForecast
from .headroom import GANG_PATIENCE_S, reserved_workers
from .ids import PoolName
from .job_state import (
    Allocation,
    StopReason,
    Unit,
    UnitPhase,
    mark_for_stop,
    ready_units,
    unstopped_allocations,
)
from .placement import FAR_PATIENCE_S, Candidate, find_places, take_room
from .policy import find_adviser
from .preemption_decider import PreemptionDecider
from .preemption_plan import PreemptionPlan
from .queue_order import URGENT, waiting_key
from .scheduling_class import Shape, shape_of
from .workers import FULL_SPEED_PERCENT, Worker

if TYPE_CHECKING:
    from .engine import Engine

# Room that is being cleared is kept for its unit this long.
RECLAIM_HOLD_S = 2.5
# Smaller units find room among the small ones.
MIN_HELD_ACCELERATORS = 4
# Below this share in use a pool has room enough for tasks far from their rack.
HALF = 0.5


class SchedulingPass:
    """Waiting units in order, and the room that is left for them."""

    def __init__(
        self,
        engine: Engine,
        waiting: list[Unit],
        candidates: dict[PoolName, list[Candidate]],
        now_s: float,
    ) -> None:
        """Place ``waiting`` on ``candidates``."""
        self.waiting = waiting
        self._engine = engine
        self._candidates = candidates
        self._now_s = now_s
        # Workers left to urgent work, by pool, as of the first other unit.
        self._urgent_only: dict[PoolName, frozenset[WorkerId]] = {}
        # Units that room is kept for.
        self._holds = 0
        # Shapes that found no room, so that equal ones are not tried again.
        self._without_room: set[Shape] = set()
        self._forecast = CapacityForecast(engine.workers, engine.estimates)
        self.decider = PreemptionDecider(engine, self._forecast, now_s)
        self._is_roomy = {
            pool: _used_share(group) < HALF
            for pool, group in candidates.items()
        }

    def place(self, unit: Unit) -> list[Allocation]:
        """Return the seats of a new run of ``unit``; empty: no room."""
        if unit.phase is not UnitPhase.WAITING or unit.job.has_ended:
            return []
        shape = shape_of(unit)
        if shape in self._without_room:
            self._keep_reclaimed(unit)
            return []
        pool = unit.job.spec.terms.pool
        waited_s = self._now_s - unit.ready_since_s
        may_go_far = waited_s >= FAR_PATIENCE_S and self._is_roomy.get(
            pool, False
        )
        chosen = find_places(
            unit,
            self._usable(unit),
            placed=_placed(unit),
            may_go_far=may_go_far,
        )
        if chosen is None:
            self._without_room.add(shape)
            self._keep_reclaimed(unit)
            return []
        take_room(chosen, unit.spec)
        self._engine.preemptions.pop(unit.ref, None)
        return self._seat(unit, chosen)

    def preempt(self, unit: Unit) -> list[Allocation]:
        """Return what is stopped for ``unit``, once, if it is urgent."""
        terms = unit.job.spec.terms
        if terms.priority != URGENT or unit.phase is not UnitPhase.WAITING:
            return []
        if unit.ref in self._engine.preemptions:
            return []
        found = self.decider.find(unit, self._open_to(unit))
        if found is None:
            return []
        until_s = self._now_s + RECLAIM_HOLD_S
        self._engine.preemptions[unit.ref] = (found, until_s)
        take_room(found.places, unit.spec)
        self.decider.note_change()
        return _stop(found)

    def reserve(self, unit: Unit) -> None:
        """Keep room for ``unit`` where it will find it soonest."""
        terms = unit.job.spec.terms
        waited_s = self._now_s - unit.ready_since_s
        if terms.priority == URGENT or waited_s < HOLD_AFTER_S:
            return
        if unit.size * unit.spec.size.accelerators < MIN_HELD_ACCELERATORS:
            return
        if self._holds >= MAX_HOLDS or unit.phase is not UnitPhase.WAITING:
            return
        self._holds += 1
        openings = soonest_places(
            unit,
            self._open_to(unit),
            self._forecast,
        )
        for opening in openings:
            opening.candidate.reserved_after_s = openings[-1].in_s
        self.decider.note_change()

    def next_advice_request(self) -> AdviceRequest | None:
        """Return what the adviser is to be asked next, for what still waits."""
        for unit in self.waiting:
            if unit.phase is UnitPhase.WAITING and needs_advice(unit):
                found = self._question_for(unit)
                if found is not None:
                    return found
        return None

    def _question_for(self, unit: Unit) -> AdviceRequest | None:
        adviser = find_adviser(
            self._engine.desired_state.policy, unit.job.spec.terms.queue
        )
        group = self._candidates.get(unit.job.spec.terms.pool, [])
        workers = [self._engine.workers[one.worker] for one in group]
        return self._engine.tickets.next_request(
            unit, adviser, workers, self._now_s
        )

    def _open_to(self, unit: Unit) -> list[Candidate]:
        """Return the candidates that the queue's policy allows ``unit``."""
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

    def _usable(self, unit: Unit) -> list[Candidate]:
        """Return the candidates that are not kept from ``unit``."""
        group = self._open_to(unit)
        if unit.job.spec.terms.priority == URGENT:
            return group
        kept = self._kept_for_urgent(unit, group)
        left_s = self._engine.estimates.remaining_ms(unit) / MS_PER_S
        return [
            candidate
            for candidate in group
            if candidate.worker not in kept
            and (
                candidate.reserved_after_s is None
                or left_s <= candidate.reserved_after_s
            )
        ]

    def _kept_for_urgent(
        self, unit: Unit, group: list[Candidate]
    ) -> frozenset[WorkerId]:
        pool = unit.job.spec.terms.pool
        waited_s = self._now_s - unit.ready_since_s
        if unit.size > 1 and waited_s > GANG_PATIENCE_S:
            return frozenset()
        if waited_s > FAR_PATIENCE_S and self._is_roomy.get(pool, False):
            return frozenset()
        if pool not in self._urgent_only:
            rate = self._engine.urgent_demand.rate(self._now_s)
            self._urgent_only[pool] = reserved_workers(group, rate)
        return self._urgent_only[pool]

    def _keep_reclaimed(self, unit: Unit) -> None:
        """Keep others off the room that is being cleared for ``unit``."""
        known = self._engine.preemptions.get(unit.ref)
        if known is None:
            return
        found, _ = known
        wanted = {place.worker for place in found.places}
        by_worker = {
            candidate.worker: candidate
            for candidate in self._candidates.get(unit.job.spec.terms.pool, [])
            if candidate.worker in wanted
        }
        take_room(
            [
                by_worker[place.worker]
                for place in found.places
                if place.worker in by_worker
            ],
            unit.spec,
        )

    def _seat(self, unit: Unit, chosen: list[Candidate]) -> list[Allocation]:
        unit.phase = UnitPhase.ACTIVE
        unit.run += 1
        unit.is_aborting = False
        unit.placed_at_s = self._now_s
        unit.job.has_started = True
        self.decider.note_change()
        for index, candidate in zip(unit.indices, chosen, strict=True):
            allocation = Allocation(
                unit=unit, index=index, run=unit.run, worker=candidate.worker
            )
            unit.allocations[index] = allocation
            self._forecast.forget(candidate.worker)
            self._engine.workers[candidate.worker].allocations[
                allocation.ref
            ] = allocation
        return list(unit.allocations.values())


def prepare_pass(
    engine: Engine, *, unix_ms: int, now_s: float
) -> SchedulingPass:
    """Return a pass over what waits now."""
    engine.preemptions = {
        ref: known
        for ref, known in engine.preemptions.items()
        if now_s <= known[1]
    }
    waiting = [
        unit
        for job in engine.active.values()
        for unit in ready_units(job, unix_ms, now_s)
    ]
    estimates = engine.estimates
    waiting.sort(key=lambda unit: waiting_key(unit, estimates, now_s))
    candidates: dict[PoolName, list[Candidate]] = defaultdict(list)
    if waiting:
        for worker in engine.workers.values():
            if is_schedulable(engine, worker, now_s):
                candidates[worker.entry.pool].append(
                    _candidate(engine, worker, now_s)
                )
    return SchedulingPass(engine, waiting, candidates, now_s)


def is_schedulable(engine: Engine, worker: Worker, now_s: float) -> bool:
    """Return whether ``worker`` is given new work."""
    answers = worker.has_reported and not worker.failed_polls
    if not answers or worker.orphans or not is_in_service(engine, worker):
        return False
    return not engine.reliability.is_quarantined(worker.id, now_s)


def is_in_service(engine: Engine, worker: Worker) -> bool:
    """Return whether ``worker`` is neither leaving nor out of service."""
    entry = worker.entry
    is_listed = worker.is_listed and not entry.is_draining
    return is_listed and entry.domain not in engine.desired_state.closed_domains


def _candidate(engine: Engine, worker: Worker, now_s: float) -> Candidate:
    entry = worker.entry
    return Candidate(
        worker=worker.id,
        rack=entry.rack,
        labels=entry.labels,
        free=worker.free_capacity(),
        capacity=entry.capacity,
        is_suspect=engine.reliability.is_suspect(worker.id, now_s),
        on_probation=engine.reliability.is_on_probation(worker.id),
        is_throttled=worker.speed_percent < FULL_SPEED_PERCENT,
    )


def _placed(unit: Unit) -> dict[WorkerId, int]:
    """Return how many tasks of the unit's step each worker has."""
    counts: dict[WorkerId, int] = {}
    if not unit.spec.max_per_worker:
        return counts
    for other in unit.job.units:
        if other.occurrence == unit.occurrence and other.step == unit.step:
            for allocation in other.allocations.values():
                counts[allocation.worker] = counts.get(allocation.worker, 0) + 1
    return counts


def _stop(found: PreemptionPlan) -> list[Allocation]:
    stops = []
    for victim in found.victims:
        victim.is_aborting = True
        stops.extend(unstopped_allocations(victim))
    return mark_for_stop(stops, StopReason.PREEMPTED)


def _used_share(group: list[Candidate]) -> float:
    whole = sum(candidate.capacity.weight_cores for candidate in group)
    free = sum(candidate.free.weight_cores for candidate in group)
    return 1 - free / whole if whole else 1
