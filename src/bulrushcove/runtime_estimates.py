"""Run times expected from what was observed, not from what was declared."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable

from .clock import MS_PER_S
from .ids import OrganisationId
from .job import JobRecord
from .scheduling_model import ObservedRuns

# Fewer observations than this do not bound a run time.
MIN_RUNS = 5
# Declared run times are off by up to this factor, both ways.
DECLARED_FACTOR = 10
# A run may exceed the longest observed one by this factor.
LONGEST_FACTOR = 1.5

Kind = tuple[OrganisationId, str]


class RuntimeEstimates:
    """Expected run times in seconds during one pass."""

    def __init__(self, observed_runs: Iterable[ObservedRuns]) -> None:
        """Expect what was ``observed_runs``, and declared times without it."""
        self._runs: dict[Kind, list[float]] = defaultdict(list)
        for each in observed_runs:
            self._runs[each.organisation, each.kind] = sorted(each.runs_s)

    def median_s(self, record: JobRecord) -> float:
        """Return the median run time of the job's kind."""
        runs = self._runs_of(record)
        if runs:
            return runs[len(runs) // 2]
        return record.spec.declared_run_ms / MS_PER_S

    def upper_bound_s(self, record: JobRecord) -> float:
        """Return a run time that the job hardly exceeds."""
        runs = self._runs_of(record)
        if len(runs) >= MIN_RUNS:
            return runs[-1] * LONGEST_FACTOR
        declared_s = record.spec.declared_run_ms / MS_PER_S
        return max(declared_s * DECLARED_FACTOR, *runs, 0)

    def remaining_s(self, record: JobRecord, elapsed_s: float) -> float:
        """Return how much longer a job likely runs after ``elapsed_s``.

        That is the median over the observed runs that took longer; a job
        that has outrun them all is expected to double its time.
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
