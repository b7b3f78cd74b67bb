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
FAILED_JOBS = 3
# A kind that failed on so many workers in a row is itself to blame.
FAILED_WORKERS = 3
FIRST_PROBE_S = 30.0
LONGEST_PROBE_S = 600.0

Kind = tuple[OrganisationId, str]


class _Suspect(msgspec.Struct):
    """Failures of one worker since its last success."""

    failed: dict[JobId, Kind] = msgspec.field(default_factory=dict)
    pause_s: float = FIRST_PROBE_S
    probe_at_s: float = 0.0


class WorkerReliability:
    """Ends of tasks by worker and by kind of job."""

    def __init__(self) -> None:
        """Trust every worker."""
        self._suspects: dict[WorkerId, _Suspect] = defaultdict(_Suspect)
        # Workers on which a kind failed since it last succeeded anywhere.
        self._failing_kinds: dict[Kind, set[WorkerId]] = defaultdict(set)

    def record_success(self, worker: WorkerId, record: JobRecord) -> None:
        """Take in a task that finished on ``worker``."""
        self._suspects.pop(worker, None)
        self._failing_kinds.pop(_kind(record), None)

    def record_failure(
        self, worker: WorkerId, record: JobRecord, now_s: float
    ) -> None:
        """Take in a task that failed by itself on ``worker``."""
        suspect = self._suspects[worker]
        if self.is_reliable(worker):
            suspect.pause_s = FIRST_PROBE_S
        else:
            suspect.pause_s = min(suspect.pause_s * 2, LONGEST_PROBE_S)
        suspect.probe_at_s = now_s + suspect.pause_s
        suspect.failed[record.job] = _kind(record)
        self._failing_kinds[_kind(record)].add(worker)

    def is_reliable(self, worker: WorkerId) -> bool:
        """Return whether new work may be placed on ``worker`` freely."""
        suspect = self._suspects.get(worker)
        if suspect is None:
            return True
        blamed = [
            kind
            for kind in suspect.failed.values()
            if len(self._failing_kinds.get(kind, ())) < FAILED_WORKERS
        ]
        return len(blamed) < FAILED_JOBS

    def is_probe_due(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether a distrusted worker may be tried by one task."""
        suspect = self._suspects.get(worker)
        return suspect is None or now_s >= suspect.probe_at_s

    def forget(self, worker: WorkerId) -> None:
        """Drop what is known of a worker that has left."""
        self._suspects.pop(worker, None)
        for workers in self._failing_kinds.values():
            workers.discard(worker)


def _kind(record: JobRecord) -> Kind:
    return record.organisation, record.spec.kind
