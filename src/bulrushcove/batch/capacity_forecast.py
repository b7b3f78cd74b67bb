"""Forecast of when workers free capacity, and of what preemption loses.

Both are computed once per pass, and only for the workers that are asked for:
a pass may cover hundreds of waiting units and workers.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from operator import itemgetter

import msgspec

from ..clock import MS_PER_S
from ..ids import OrganisationId, WorkerId
from .ids import UnitRef
from .job_spec import TaskSize
from .job_state import Allocation, AllocationPhase, Unit
from .placement import Candidate
from .runtime_estimates import RuntimeEstimates
from .workers import Worker

# Cost of one task start by the users' price list.
START_COST_CORE_S = 3.0
# Longest time to read back a checkpoint, in which the task makes no progress.
CHECKPOINT_RESTORE_S = 0.6

NO_BORROWERS: frozenset[OrganisationId] = frozenset()

# Seconds from now and the capacity freed then.
_Release = tuple[float, TaskSize]
# Worker, priority and borrowers.
_VictimsKey = tuple[WorkerId, int, frozenset[OrganisationId]]


class Victim(msgspec.Struct, frozen=True):
    """A unit, its allocations on one worker, and the loss of stopping it."""

    unit: Unit
    allocations: tuple[Allocation, ...]
    loss_core_s: float


class CapacityForecast:
    """Cached releases and losses, valid for one pass."""

    def __init__(
        self, workers: dict[WorkerId, Worker], estimates: RuntimeEstimates
    ) -> None:
        """Forecast from the current state of ``workers``."""
        self.estimates = estimates
        self._workers = workers
        self._releases: dict[WorkerId, list[_Release]] = {}
        self._victims: dict[_VictimsKey, list[Victim]] = {}
        self._losses: dict[UnitRef, float] = {}

    def releases(self, worker: WorkerId) -> list[_Release]:
        """Return when how much capacity will be freed, earliest first.

        The first entry is for now and frees nothing. Services are not
        expected to end.
        """
        cached = self._releases.get(worker)
        if cached is None:
            cached = self._compute_releases(self._workers[worker])
            self._releases[worker] = cached
        return cached

    def idle_after_s(self, worker: WorkerId) -> float:
        """Return in how many seconds ``worker`` has no runs left.

        Infinite while it has services.
        """
        allocations = self._workers[worker].allocations.values()
        if any(_is_lasting(allocation) for allocation in allocations):
            return math.inf
        return self.releases(worker)[-1][0]

    def victims(
        self,
        worker: WorkerId,
        priority: int,
        borrowers: frozenset[OrganisationId] = NO_BORROWERS,
    ) -> list[Victim]:
        """Return what work of ``priority`` may preempt on ``worker``.

        That is work of lower priority, and that of the same priority which
        belongs to ``borrowers``. Of each kind the units with the least loss
        come first.
        """
        key = (worker, priority, borrowers)
        cached = self._victims.get(key)
        if cached is None:
            cached = self._compute_victims(
                self._workers[worker], priority, borrowers
            )
            self._victims[key] = cached
        return cached

    def loss_core_s(self, unit: Unit) -> float:
        """Return the cached loss of stopping ``unit`` now."""
        cached = self._losses.get(unit.ref)
        if cached is None:
            cached = loss_core_s(unit, self.estimates)
            self._losses[unit.ref] = cached
        return cached

    def invalidate(self, worker: WorkerId) -> None:
        """Drop the cached releases of ``worker``, which was given work."""
        self._releases.pop(worker, None)

    def _compute_releases(self, worker: Worker) -> list[_Release]:
        remaining_ms = self.estimates.remaining_ms
        releases = [
            (
                remaining_ms(allocation.unit) / MS_PER_S,
                allocation.unit.spec.requirements,
            )
            for allocation in worker.allocations.values()
            if not _is_lasting(allocation)
        ]
        releases.sort(key=itemgetter(0))
        return [(0.0, TaskSize()), *releases]

    def _compute_victims(
        self,
        worker: Worker,
        priority: int,
        borrowers: frozenset[OrganisationId],
    ) -> list[Victim]:
        by_unit: dict[UnitRef, list[Allocation]] = defaultdict(list)
        for allocation in worker.allocations.values():
            if (
                _may_preempt(allocation.unit, priority, borrowers)
                and allocation.phase is not AllocationPhase.STOPPING
            ):
                by_unit[allocation.unit.ref].append(allocation)
        victims = [
            Victim(
                allocations[0].unit,
                tuple(allocations),
                self.loss_core_s(allocations[0].unit),
            )
            for allocations in by_unit.values()
        ]
        return sorted(victims, key=_sort_key)


def _is_lasting(allocation: Allocation) -> bool:
    """Return whether the run goes on until something stops it."""
    is_stopping = allocation.phase is AllocationPhase.STOPPING
    return allocation.unit.spec.is_service and not is_stopping


def add_stopped_capacity(
    candidates: Iterable[Candidate], workers: dict[WorkerId, Worker]
) -> None:
    """Count what is being stopped as free capacity of ``candidates``."""
    for candidate in candidates:
        for allocation in workers[candidate.worker].allocations.values():
            if allocation.phase is AllocationPhase.STOPPING:
                candidate.free = candidate.free.plus(
                    allocation.unit.spec.requirements
                )


def _may_preempt(
    unit: Unit, priority: int, borrowers: frozenset[OrganisationId]
) -> bool:
    terms = unit.job.spec.terms
    if terms.priority == priority:
        return terms.organisation in borrowers
    return terms.priority > priority


def _sort_key(victim: Victim) -> tuple[int, float]:
    return (-victim.unit.job.spec.terms.priority, victim.loss_core_s)


def loss_core_s(unit: Unit, estimates: RuntimeEstimates) -> float:
    """Return the core-seconds lost when ``unit`` is stopped now.

    Counts the restart of each task, and the work done so far or, with
    checkpoints, the time to read one back.
    """
    start_cost = START_COST_CORE_S * unit.size
    if unit.spec.writes_checkpoints:
        return start_cost + CHECKPOINT_RESTORE_S * unit.weight_cores
    queue = unit.job.spec.terms.queue
    total_s = estimates.task_ms(queue, unit.spec) / MS_PER_S
    remaining_s = min(total_s, estimates.remaining_ms(unit) / MS_PER_S)
    return start_cost + (total_s - remaining_s) * unit.weight_cores
