"""Estimates run times of jobs from the observed runs of their kind.

Declared run times are used only where there are too few observations.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable

from .clock import MS_PER_S
from .ids import OrganisationId
from .job import JobRecord
from .scheduling_model import ObservedRuns

# Fewer observations than this give no upper bound of a run time.
MIN_RUNS_FOR_BOUND = 5
# Declared run times are too short or too long by up to this factor.
DECLARED_ERROR_FACTOR = 10
# A run may take up to this factor longer than the longest observed one.
OBSERVED_MARGIN_FACTOR = 1.5

JobKind = tuple[OrganisationId, str]


class RuntimeEstimates:
    """Expected run times in seconds, fixed during one pass."""

    def __init__(self, observed_runs: Iterable[ObservedRuns]) -> None:
        """Estimate from ``observed_runs``, else from declared run times."""
        self._runs: dict[JobKind, list[float]] = defaultdict(list)
        for each in observed_runs:
            self._runs[each.organisation, each.kind] = sorted(each.runs_s)

    def median_s(self, record: JobRecord) -> float:
        """Return the median run time of the job's kind.

        Without observed runs this is the declared run time.
        """
        runs = self._runs_of(record)
        if runs:
            return runs[len(runs) // 2]
        return record.spec.declared_run_ms / MS_PER_S

    def upper_bound_s(self, record: JobRecord) -> float:
        """Return a run time that the job is unlikely to exceed."""
        runs = self._runs_of(record)
        if len(runs) >= MIN_RUNS_FOR_BOUND:
            return runs[-1] * OBSERVED_MARGIN_FACTOR
        declared_s = record.spec.declared_run_ms / MS_PER_S
        return max(declared_s * DECLARED_ERROR_FACTOR, *runs, 0)

    def remaining_s(self, record: JobRecord, elapsed_s: float) -> float:
        """Return the expected remaining run time after ``elapsed_s``.

        It is based on the median of the observed runs that took longer. A job
        that has run longer than all of them is expected to take as long again.
        """
        runs = self._runs_of(record)
        longer = runs[bisect_right(runs, elapsed_s) :]
        if longer:
            return longer[len(longer) // 2] - elapsed_s
        declared_s = record.spec.declared_run_ms / MS_PER_S
        if not runs and declared_s > elapsed_s:
            return declared_s - elapsed_s
        return elapsed_s

    def _runs_of(self, record: JobRecord) -> list[float]:
        return self._runs.get((record.organisation, record.spec.kind), [])
