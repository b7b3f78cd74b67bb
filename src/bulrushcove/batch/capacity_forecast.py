"""What ends when on each worker, and what stopping it loses.

Answers passes over hundreds of waiting units and workers: both are worked out
once a pass, for the workers that are asked about.
"""

from collections import defaultdict
from operator import itemgetter

import msgspec

from ..clock import MS_PER_S
from ..ids import WorkerId
from .ids import UnitRef
from .job_spec import TaskSize
from .job_state import Allocation, AllocationPhase, Unit
from .runtime_estimates import RuntimeEstimates
from .workers import Worker

# A start costs as much as this work, by the users' price list.
START_COST_CORE_S = 3.0
# Reading a checkpoint back takes up to this long, in which nothing is done.
RESTORE_S = 0.6

# When how much room comes free.
_Release = tuple[float, TaskSize]


class Victim(msgspec.Struct, frozen=True):
    """A unit, its seats on one worker, and the core-seconds a stop loses."""

    unit: Unit
    allocations: tuple[Allocation, ...]
    loss_core_s: float


class CapacityForecast:
    """Answers for the length of one pass."""

    def __init__(
        self, workers: dict[WorkerId, Worker], estimates: RuntimeEstimates
    ) -> None:
        """Look at ``workers`` as they are now."""
        self.estimates = estimates
        self._workers = workers
        self._releases: dict[WorkerId, list[_Release]] = {}
        self._victims: dict[tuple[WorkerId, int], list[Victim]] = {}
        self._losses: dict[UnitRef, float] = {}

    def releases(self, worker: WorkerId) -> list[_Release]:
        """Return when how much room comes free, beginning with now."""
        known = self._releases.get(worker)
        if known is None:
            known = self._release_times(self._workers[worker])
            self._releases[worker] = known
        return known

    def victims(self, worker: WorkerId, priority: int) -> list[Victim]:
        """Return what work of ``priority`` may stop, the least loss first."""
        key = (worker, priority)
        known = self._victims.get(key)
        if known is None:
            known = self._less_urgent(self._workers[worker], priority)
            self._victims[key] = known
        return known

    def loss_core_s(self, unit: Unit) -> float:
        """Return the core-seconds lost when ``unit`` is stopped now."""
        known = self._losses.get(unit.ref)
        if known is None:
            known = loss_core_s(unit, self.estimates)
            self._losses[unit.ref] = known
        return known

    def forget(self, worker: WorkerId) -> None:
        """Look at ``worker`` again: it was given work."""
        self._releases.pop(worker, None)

    def _release_times(self, worker: Worker) -> list[_Release]:
        remaining_ms = self.estimates.remaining_ms
        releases = [
            (
                remaining_ms(allocation.unit) / MS_PER_S,
                allocation.unit.spec.requirements,
            )
            for allocation in worker.allocations.values()
        ]
        releases.sort(key=itemgetter(0))
        return [(0.0, TaskSize()), *releases]

    def _less_urgent(self, worker: Worker, priority: int) -> list[Victim]:
        by_unit: dict[UnitRef, list[Allocation]] = defaultdict(list)
        for allocation in worker.allocations.values():
            is_less = allocation.unit.job.spec.terms.priority > priority
            if is_less and allocation.phase is not AllocationPhase.STOPPING:
                by_unit[allocation.unit.ref].append(allocation)
        victims = [
            Victim(
                allocations[0].unit,
                tuple(allocations),
                self.loss_core_s(allocations[0].unit),
            )
            for allocations in by_unit.values()
        ]
        return sorted(victims, key=lambda victim: victim.loss_core_s)


def loss_core_s(unit: Unit, estimates: RuntimeEstimates) -> float:
    """Return the core-seconds lost when ``unit`` is stopped now."""
    starts = START_COST_CORE_S * unit.size
    if unit.spec.writes_checkpoints:
        return starts + RESTORE_S * unit.weight_cores
    queue = unit.job.spec.terms.queue
    whole_s = estimates.task_ms(queue, unit.spec) / MS_PER_S
    left_s = min(whole_s, estimates.remaining_ms(unit) / MS_PER_S)
    return starts + (whole_s - left_s) * unit.weight_cores
