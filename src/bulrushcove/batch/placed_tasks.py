"""How many tasks of a step run on each worker, where the step limits them."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from ..ids import WorkerId
from .advice import StepRef, step_ref_of
from .job_state import Unit, units_of_step
from .placement import Candidate


class PlacedTasks:
    """Tasks by worker of the steps that limit them; valid for one pass.

    Each step is counted once, as its tasks may be thousands.
    """

    def __init__(self) -> None:
        """Start without a count."""
        self._counts: dict[StepRef, Counter[WorkerId]] = {}

    def of_step(self, unit: Unit) -> Counter[WorkerId]:
        """Return how many tasks of the unit's step run on each worker.

        Empty when the step does not limit the tasks of a worker.
        """
        if not unit.spec.max_per_worker:
            return Counter()
        step = step_ref_of(unit)
        if step not in self._counts:
            self._counts[step] = _count_placed_tasks(unit)
        return self._counts[step]

    def record_start(self, unit: Unit, chosen: Iterable[Candidate]) -> None:
        """Count ``unit``, which is started on ``chosen``."""
        counts = self._counts.get(step_ref_of(unit))
        if counts is not None:
            counts.update(candidate.worker for candidate in chosen)


def below_step_limit(
    unit: Unit, candidates: Sequence[Candidate], placed: Mapping[WorkerId, int]
) -> Sequence[Candidate]:
    """Return the candidates that have fewer tasks of the step than they may.

    ``placed`` counts these by worker.
    """
    limit = unit.spec.max_per_worker
    if not limit or not placed:
        return candidates
    return [
        candidate
        for candidate in candidates
        if placed.get(candidate.worker, 0) < limit
    ]


def _count_placed_tasks(unit: Unit) -> Counter[WorkerId]:
    return Counter(
        allocation.worker
        for other in units_of_step(unit)
        for allocation in other.allocations.values()
    )
