"""Finds workers that fail whatever they start, without I/O.

Such a worker always looks idle and would eat the queue. It loses new work
once several jobs have failed on it in a row, and is then tried by one probe
at a time. Failures of a kind of job that fails everywhere do not count.
"""

from collections import defaultdict

import msgspec

from .ids import JobId, OrganisationId, WorkerId
from .job import JobRecord

# Different jobs that fail in a row before a worker loses new work.
MIN_FAILED_JOBS = 3
# A kind that failed on so many workers in a row is itself to blame.
MIN_FAILED_WORKERS = 3
FIRST_PROBE_DELAY_S = 30.0
MAX_PROBE_DELAY_S = 600.0

JobKind = tuple[OrganisationId, str]


class _WorkerFailures(msgspec.Struct):
    """Failures of one worker since its last success."""

    jobs: dict[JobId, JobKind] = msgspec.field(default_factory=dict)
    probe_delay_s: float = FIRST_PROBE_DELAY_S
    probe_at_s: float = 0.0


class WorkerReliability:
    """Ends of tasks by worker and by kind of job."""

    def __init__(self) -> None:
        """Trust every worker."""
        self._failures: dict[WorkerId, _WorkerFailures] = defaultdict(
            _WorkerFailures
        )
        # Workers on which a kind failed since it last succeeded anywhere.
        self._failing_kinds: dict[JobKind, set[WorkerId]] = defaultdict(set)

    def record_success(self, worker: WorkerId, record: JobRecord) -> None:
        """Take in a task that finished on ``worker``."""
        self._failures.pop(worker, None)
        self._failing_kinds.pop(_kind(record), None)

    def record_failure(
        self, worker: WorkerId, record: JobRecord, now_s: float
    ) -> None:
        """Take in a task that failed by itself on ``worker``."""
        failures = self._failures[worker]
        if self.is_reliable(worker):
            failures.probe_delay_s = FIRST_PROBE_DELAY_S
        else:
            failures.probe_delay_s = min(
                failures.probe_delay_s * 2, MAX_PROBE_DELAY_S
            )
        failures.probe_at_s = now_s + failures.probe_delay_s
        failures.jobs[record.job] = _kind(record)
        self._failing_kinds[_kind(record)].add(worker)

    def is_reliable(self, worker: WorkerId) -> bool:
        """Return whether new work may be placed on ``worker`` freely."""
        failures = self._failures.get(worker)
        if failures is None:
            return True
        counted = [
            kind
            for kind in failures.jobs.values()
            if len(self._failing_kinds.get(kind, ())) < MIN_FAILED_WORKERS
        ]
        return len(counted) < MIN_FAILED_JOBS

    def is_probe_due(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether a distrusted worker may be tried by one task."""
        failures = self._failures.get(worker)
        return failures is None or now_s >= failures.probe_at_s

    def forget(self, worker: WorkerId) -> None:
        """Drop what is known of a worker that has left."""
        self._failures.pop(worker, None)
        for workers in self._failing_kinds.values():
            workers.discard(worker)


def _kind(record: JobRecord) -> JobKind:
    return record.organisation, record.spec.kind
