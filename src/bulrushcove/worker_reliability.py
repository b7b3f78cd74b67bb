"""Detects workers on which every task fails; does no I/O.

Such a worker always looks idle and would get job after job. After several
jobs in a row have failed on it, it is quarantined: it gets no work but one
probe at a time. Failures of a kind of job that fails on all workers are not
counted.
"""

from collections import defaultdict

import msgspec

from .ids import JobId, OrganisationId, WorkerId
from .job import JobRecord

# Different jobs that fail in a row before a worker is quarantined.
MIN_FAILED_JOBS = 3
# A kind that failed on this many workers in a row is regarded as faulty.
MIN_FAILED_WORKERS = 3
FIRST_PROBE_DELAY_S = 30.0
MAX_PROBE_DELAY_S = 600.0

JobKind = tuple[OrganisationId, str]


class _Suspect(msgspec.Struct):
    """Failures of one worker since its last success."""

    failed_jobs: dict[JobId, JobKind] = msgspec.field(default_factory=dict)
    probe_delay_s: float = FIRST_PROBE_DELAY_S
    probe_at_s: float = 0.0


class WorkerReliability:
    """Task failures by worker and by kind of job."""

    def __init__(self) -> None:
        """Start with no failures, so that every worker is reliable."""
        self._suspects: dict[WorkerId, _Suspect] = defaultdict(_Suspect)
        # Workers on which a kind has failed since it last succeeded on any.
        self._failing_kinds: dict[JobKind, set[WorkerId]] = defaultdict(set)

    def record_success(self, worker: WorkerId, record: JobRecord) -> None:
        """Record that a task succeeded on ``worker``."""
        self._suspects.pop(worker, None)
        self._failing_kinds.pop(_kind(record), None)

    def record_failure(
        self, worker: WorkerId, record: JobRecord, now_s: float
    ) -> None:
        """Record that a task failed on ``worker``, and delay its next probe.

        Tasks that were stopped do not count as failed.
        """
        suspect = self._suspects[worker]
        if self.is_reliable(worker):
            suspect.probe_delay_s = FIRST_PROBE_DELAY_S
        else:
            suspect.probe_delay_s = min(
                suspect.probe_delay_s * 2, MAX_PROBE_DELAY_S
            )
        suspect.probe_at_s = now_s + suspect.probe_delay_s
        suspect.failed_jobs[record.job] = _kind(record)
        self._failing_kinds[_kind(record)].add(worker)

    def is_reliable(self, worker: WorkerId) -> bool:
        """Return whether ``worker`` is not quarantined."""
        suspect = self._suspects.get(worker)
        if suspect is None:
            return True
        counted = [
            kind
            for kind in suspect.failed_jobs.values()
            if len(self._failing_kinds.get(kind, ())) < MIN_FAILED_WORKERS
        ]
        return len(counted) < MIN_FAILED_JOBS

    def is_probe_due(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether a quarantined worker may run a probe now."""
        suspect = self._suspects.get(worker)
        return suspect is None or now_s >= suspect.probe_at_s

    def forget(self, worker: WorkerId) -> None:
        """Drop the failures of a worker that has been removed."""
        self._suspects.pop(worker, None)
        for workers in self._failing_kinds.values():
            workers.discard(worker)


def _kind(record: JobRecord) -> JobKind:
    return record.organisation, record.spec.kind
