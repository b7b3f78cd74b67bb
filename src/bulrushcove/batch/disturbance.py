"""What the tasks of a pass cost each other on the candidates.

The load is a queue of hundreds of tasks of few images, of which some slow each
other: each one that is placed changes what the next one costs.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from ..ids import WorkerId
from .ids import ImageName
from .interference import InterferenceModel
from .job_spec import StepSpec
from .neighbour_changes import FULL_FREE_SHARE
from .placement import Candidate
from .workers import Worker

# Rankings of one pass that may be renewed as their first candidate costs more
# than before; keeps a pass over hundreds of workers short.
MAX_RENEWED_RANKINGS = 16


class PassDisturbance:
    """Costs of the candidates by image; valid for one pass."""

    def __init__(
        self, model: InterferenceModel, workers: Mapping[WorkerId, Worker]
    ) -> None:
        """Use the pairs that ``model`` names now."""
        self._model = model
        self._workers = workers
        self._is_known = bool(model.named_pairs)
        self._counts: dict[WorkerId, Counter[ImageName]] = {}
        self._renewals_left = MAX_RENEWED_RANKINGS

    def set_costs(
        self, step: StepSpec, candidates: Iterable[Candidate]
    ) -> None:
        """Set what a task of ``step`` costs on each of the candidates."""
        if not self._is_known:
            return
        is_concerned = self._model.concerns(step.image)
        for candidate in candidates:
            candidate.disturbance = (
                self._cost(step, candidate) if is_concerned else 0.0
            )

    def has_grown(
        self, step: StepSpec, candidate: Candidate, known_cost: float
    ) -> bool:
        """Return whether to renew a ranking, as its first one costs more.

        Each time counts; returns False once there were many in the pass.
        """
        if not self._renewals_left or not self._is_known:
            return False
        if self._cost(step, candidate) <= known_cost:
            return False
        self._renewals_left -= 1
        return True

    def record_start(self, worker: WorkerId) -> None:
        """Record that a task was placed on ``worker``."""
        self._counts.pop(worker, None)

    def _cost(self, step: StepSpec, candidate: Candidate) -> float:
        counts = self._counts.get(candidate.worker)
        if counts is None:
            allocations = self._workers[candidate.worker].allocations
            counts = Counter(
                each.unit.spec.image for each in allocations.values()
            )
            self._counts[candidate.worker] = counts
        return self._model.expected_slowdown(
            step.image, counts, fills_worker=_fills_worker(candidate, step)
        )


def _fills_worker(candidate: Candidate, step: StepSpec) -> bool:
    """Return whether the worker is full with a task of ``step``."""
    left_millicores = (
        candidate.free.cpu_millicores - step.requirements.cpu_millicores
    )
    return left_millicores < FULL_FREE_SHARE * candidate.capacity.cpu_millicores
