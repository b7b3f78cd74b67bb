"""Run times expected from what was observed, not from what was declared."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable

from .clock import MS_PER_S
from .ids import OrganisationId
from .job import JobRecord
from .scheduling_model import ObservedRuns

# Fewer observations than this do not bound a run time.
MIN_RUNS_FOR_BOUND = 5
# Declared run times are off by up to this factor, both ways.
DECLARED_ERROR_FACTOR = 10
# A run may exceed the longest observed one by this factor.
OBSERVED_MARGIN_FACTOR = 1.5

JobKind = tuple[OrganisationId, str]


class RuntimeEstimates:
    """Expected run times in seconds during one pass."""

    def __init__(self, observed_runs: Iterable[ObservedRuns]) -> None:
        """Expect what was ``observed_runs``, and declared times without it."""
        self._runs_s: dict[JobKind, list[float]] = defaultdict(list)
        for each in observed_runs:
            self._runs_s[each.organisation, each.kind] = sorted(each.runs_s)

    def median_s(self, record: JobRecord) -> float:
        """Return the median run time of the job's kind."""
        runs_s = self._runs_of(record)
        if runs_s:
            return runs_s[len(runs_s) // 2]
        return record.spec.declared_run_ms / MS_PER_S

    def upper_bound_s(self, record: JobRecord) -> float:
        """Return a run time that the job hardly exceeds."""
        runs_s = self._runs_of(record)
        if len(runs_s) >= MIN_RUNS_FOR_BOUND:
            return runs_s[-1] * OBSERVED_MARGIN_FACTOR
        declared_s = record.spec.declared_run_ms / MS_PER_S
        return max(declared_s * DECLARED_ERROR_FACTOR, *runs_s, 0)

    def remaining_s(self, record: JobRecord, elapsed_s: float) -> float:
        """Return how much longer a job likely runs after ``elapsed_s``.

        That is the median over the observed runs that took longer; a job
        that has outrun them all is expected to double its time.
        """
        runs_s = self._runs_of(record)
        longer_runs_s = runs_s[bisect_right(runs_s, elapsed_s) :]
        if longer_runs_s:
            return longer_runs_s[len(longer_runs_s) // 2] - elapsed_s
        declared_s = record.spec.declared_run_ms / MS_PER_S
        if not runs_s and declared_s > elapsed_s:
            return declared_s - elapsed_s
        return elapsed_s

    def _runs_of(self, record: JobRecord) -> list[float]:
        return self._runs_s.get((record.organisation, record.spec.kind), [])
