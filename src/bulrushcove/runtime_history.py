"""Observed run times by kind of job, as declared ones are often wrong."""

from collections import OrderedDict, deque

from .ids import OrganisationId
from .scheduling_model import ObservedRuns

RUNS_PER_KIND = 20
MAX_KINDS = 1000


class RuntimeHistory:
    """Latest run times by organisation and kind of job.

    Beyond ``MAX_KINDS`` the kind whose last run is the oldest is dropped.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._runs_s: OrderedDict[tuple[OrganisationId, str], deque[float]] = (
            OrderedDict()
        )

    def record_run(
        self, organisation: OrganisationId, kind: str, run_s: float
    ) -> None:
        """Record the run time of a job that has succeeded."""
        key = (organisation, kind)
        runs_s = self._runs_s.setdefault(key, deque(maxlen=RUNS_PER_KIND))
        runs_s.append(run_s)
        self._runs_s.move_to_end(key)
        if len(self._runs_s) > MAX_KINDS:
            self._runs_s.popitem(last=False)

    def observed_runs(self) -> tuple[ObservedRuns, ...]:
        """Return the observations as input of a scheduling pass."""
        return tuple(
            ObservedRuns(organisation, kind, tuple(runs_s))
            for (organisation, kind), runs_s in self._runs_s.items()
        )
