"""Quarantine of workers on which unrelated jobs fail or stall.

A worker that fails every task although it reports good health, or on which
tasks stall, looks idle and would attract the whole queue. It is quarantined
for a while, then on probation: it gets one unit at a time until one succeeds,
at most for a limited time. After that a single failure quarantines it again.

Where most workers of a pool are quarantined, the jobs are at fault rather than
the workers, which then get one unit at a time at once.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from ..ids import JobId, WorkerId
from .ids import PoolName
from .workers import Worker

# Different jobs that fail in a row before a worker is quarantined.
QUARANTINE_AFTER_JOBS = 2
# Each further quarantine is twice as long, up to the maximum.
FIRST_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 12.0
# A worker that gets no unit, or a long one, must not stay on probation.
MAX_PROBATION_S = 12.0
# Fewer quarantined workers do not open a pool of which they are the majority.
MIN_QUARANTINED_MAJORITY = 3
# For this long after a failure a worker is used only where no other one fits.
SUSPECT_S = 4.0


class _Evidence(msgspec.Struct):
    failed_jobs: set[JobId] = msgspec.field(default_factory=set)
    # Length of the last quarantine; 0: none since the last success.
    quarantine_s: float = 0.0
    quarantined_until_s: float = 0.0
    suspect_until_s: float = 0.0


class WorkerReliability:
    """Failures and stalls by worker since the last task that succeeded."""

    def __init__(self) -> None:
        """Start without any recorded failure."""
        self._evidence: dict[WorkerId, _Evidence] = {}

    def record_success(self, worker: WorkerId) -> None:
        """Record that a task succeeded: earlier failures no longer count."""
        self._evidence.pop(worker, None)

    def record_failure(
        self, worker: WorkerId, job: JobId, now_s: float
    ) -> None:
        """Record that a task of ``job`` failed or could not start."""
        evidence = self._evidence.setdefault(worker, _Evidence())
        evidence.failed_jobs.add(job)
        evidence.suspect_until_s = now_s + SUSPECT_S
        if (
            evidence.quarantine_s
            or len(evidence.failed_jobs) >= QUARANTINE_AFTER_JOBS
        ):
            _quarantine(evidence, now_s)

    def record_stall(self, worker: WorkerId, now_s: float) -> None:
        """Record that a task makes no progress on the worker."""
        _quarantine(self._evidence.setdefault(worker, _Evidence()), now_s)

    def is_quarantined(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether the worker gets no work now."""
        evidence = self._evidence.get(worker)
        return evidence is not None and now_s < evidence.quarantined_until_s

    def is_on_probation(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether the worker gets one unit at a time, if any."""
        evidence = self._evidence.get(worker)
        if evidence is None or not evidence.quarantine_s:
            return False
        return now_s < evidence.quarantined_until_s + MAX_PROBATION_S

    def is_suspect(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether other workers are preferred to this one."""
        evidence = self._evidence.get(worker)
        return evidence is not None and now_s < evidence.suspect_until_s

    def forget(self, worker: WorkerId) -> None:
        """Drop the failures of a worker that was restarted or removed."""
        self._evidence.pop(worker, None)


def find_mostly_quarantined_pools(
    reliability: WorkerReliability, in_service: Iterable[Worker], now_s: float
) -> frozenset[PoolName]:
    """Return the pools most of whose workers ``in_service`` are quarantined."""
    quarantined: Counter[PoolName] = Counter()
    total: Counter[PoolName] = Counter()
    for worker in in_service:
        pool = worker.entry.pool
        total[pool] += 1
        quarantined[pool] += reliability.is_quarantined(worker.id, now_s)
    return frozenset(
        pool
        for pool, count in quarantined.items()
        if count >= MIN_QUARANTINED_MAJORITY and 2 * count > total[pool]
    )


def _quarantine(evidence: _Evidence, now_s: float) -> None:
    if now_s < evidence.quarantined_until_s:
        return
    doubled_s = evidence.quarantine_s * 2 or FIRST_QUARANTINE_S
    evidence.quarantine_s = min(doubled_s, MAX_QUARANTINE_S)
    evidence.quarantined_until_s = now_s + evidence.quarantine_s
