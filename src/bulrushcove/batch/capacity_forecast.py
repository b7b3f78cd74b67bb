"""Forecast of when workers free capacity, and of what preemption loses.

Both are computed once per pass, and only for the workers that are asked for:
a pass may cover hundreds of waiting units and workers.
"""

from collections import defaultdict
from operator import itemgetter

import msgspec

from ..clock import MS_PER_S
from ..ids import OrganisationId, WorkerId
from .ids import UnitRef
from .job_spec import TaskSize
from .job_state import Allocation, AllocationPhase, Unit
from .preemption_cost import (
    RunningUnit,
    ends_soon,
    loss_core_s,
    preemption_cost,
)
from .runtime_estimates import COMPLETE_PERCENT, RuntimeEstimates
from .workers import Worker

# A stop that was ordered takes about this long to free its capacity.
STOP_DURATION_S = 0.5

NO_BORROWERS: frozenset[OrganisationId] = frozenset()

# Seconds from now and the capacity freed then.
_Release = tuple[float, TaskSize]


class VictimQuery(msgspec.Struct, frozen=True):
    """Which work may be stopped, or waited for."""

    # Work of lower priority, and that of the same one of ``borrowers``.
    priority: int
    borrowers: frozenset[OrganisationId] = NO_BORROWERS
    # Whether runs that are estimated to end soon are waited for.
    awaits_ends: bool = True


class Victim(msgspec.Struct, frozen=True):
    """A unit, its allocations on one worker, and the cost of stopping it.

    A unit that frees its capacity by itself (``is_ending``) costs nothing and
    is not stopped.
    """

    unit: Unit
    allocations: tuple[Allocation, ...]
    cost_core_s: float
    is_ending: bool = False


_VictimsByQuery = dict[VictimQuery, list[Victim]]


class CapacityForecast:
    """Cached releases and losses, valid for one pass."""

    def __init__(
        self,
        workers: dict[WorkerId, Worker],
        estimates: RuntimeEstimates,
        now_s: float,
    ) -> None:
        """Forecast from the state of ``workers`` at ``now_s``."""
        self.estimates = estimates
        self._workers = workers
        self._now_s = now_s
        self._releases: dict[WorkerId, list[_Release]] = {}
        self._victims: defaultdict[WorkerId, _VictimsByQuery] = defaultdict(
            dict
        )
        self._running: dict[UnitRef, RunningUnit] = {}
        self._ending: dict[UnitRef, bool] = {}

    def releases(self, worker: WorkerId) -> list[_Release]:
        """Return when how much capacity will be freed, earliest first.

        The first entry is for now and frees nothing.
        """
        cached = self._releases.get(worker)
        if cached is None:
            cached = self._compute_releases(self._workers[worker])
            self._releases[worker] = cached
        return cached

    def victims(self, worker: WorkerId, query: VictimQuery) -> list[Victim]:
        """Return what may free capacity on ``worker`` for urgent work.

        First what ends by itself or is being stopped, then the work that may
        be preempted: lowest priority first, of each priority the units with
        the least cost.
        """
        cached = self._victims[worker].get(query)
        if cached is None:
            cached = self._compute_victims(self._workers[worker], query)
            self._victims[worker][query] = cached
        return cached

    def loss_core_s(self, unit: Unit) -> float:
        """Return the core-seconds lost when ``unit`` is stopped now."""
        return loss_core_s(self._running_unit(unit))

    def cost_core_s(self, unit: Unit) -> float:
        """Return the cost of stopping ``unit`` now."""
        return preemption_cost(self._running_unit(unit))

    def invalidate(self, worker: WorkerId) -> None:
        """Drop what is cached of ``worker``, whose allocations changed."""
        self._releases.pop(worker, None)
        self._victims.pop(worker, None)

    def _compute_releases(self, worker: Worker) -> list[_Release]:
        releases = [
            (
                self._release_wait_s(allocation),
                allocation.unit.spec.requirements,
            )
            for allocation in worker.allocations.values()
        ]
        releases.sort(key=itemgetter(0))
        return [(0.0, TaskSize()), *releases]

    def _release_wait_s(self, allocation: Allocation) -> float:
        remaining_s = self.estimates.remaining_ms(allocation.unit) / MS_PER_S
        if _is_being_stopped(allocation):
            return min(STOP_DURATION_S, remaining_s)
        return remaining_s

    def _compute_victims(
        self, worker: Worker, query: VictimQuery
    ) -> list[Victim]:
        by_unit: dict[UnitRef, list[Allocation]] = defaultdict(list)
        for allocation in worker.allocations.values():
            by_unit[allocation.unit.ref].append(allocation)
        victims = []
        for allocations in by_unit.values():
            unit = allocations[0].unit
            is_stopping = all(map(_is_being_stopped, allocations))
            if not is_stopping and not _may_preempt(unit, query):
                continue
            if is_stopping or (query.awaits_ends and self._is_ending(unit)):
                victims.append(Victim(unit, tuple(allocations), 0, True))
            else:
                victims.append(
                    Victim(unit, tuple(allocations), self.cost_core_s(unit))
                )
        return sorted(victims, key=_sort_key)

    def _is_ending(self, unit: Unit) -> bool:
        """Return whether ``unit`` is about to end by itself."""
        if unit.ref not in self._ending:
            self._ending[unit.ref] = self._ends_soon(unit)
        return self._ending[unit.ref]

    def _ends_soon(self, unit: Unit) -> bool:
        if unit.spec.is_service:
            return False
        progress_age_s = max(
            self._now_s - one.last_progress_at_s
            for one in unit.allocations.values()
        )
        remaining_s = self.estimates.remaining_ms(unit) / MS_PER_S
        return ends_soon(remaining_s, progress_age_s)

    def _running_unit(self, unit: Unit) -> RunningUnit:
        cached = self._running.get(unit.ref)
        if cached is None:
            cached = RunningUnit(
                size=unit.size,
                weight_cores=unit.weight_cores,
                worked_s=self._worked_s(unit),
                saves_work=unit.spec.writes_checkpoints,
                interruptions=max(0, unit.run - 1 - unit.failures),
            )
            self._running[unit.ref] = cached
        return cached

    def _worked_s(self, unit: Unit) -> float:
        """Return how long the run of ``unit`` has been at work.

        The progress counts too: an earlier leader may have started the run.
        """
        done_s: list[float] = [0]
        task_s = self.estimates.task_ms(unit.job.spec.terms.queue, unit.spec)
        for allocation in unit.allocations.values():
            started_at_s = allocation.start_confirmed_at_s
            if started_at_s is not None:
                done_s.append(self._now_s - started_at_s)
            share = allocation.percent / COMPLETE_PERCENT
            done_s.append(share * task_s / MS_PER_S)
        return max(done_s)


def _is_being_stopped(allocation: Allocation) -> bool:
    is_stopping = allocation.phase is AllocationPhase.STOPPING
    return is_stopping or allocation.unit.is_aborting


def _may_preempt(unit: Unit, query: VictimQuery) -> bool:
    terms = unit.job.spec.terms
    if terms.priority == query.priority:
        return terms.organisation in query.borrowers
    return terms.priority > query.priority


def _sort_key(victim: Victim) -> tuple[bool, int, float]:
    priority = victim.unit.job.spec.terms.priority
    return (not victim.is_ending, -priority, victim.cost_core_s)
