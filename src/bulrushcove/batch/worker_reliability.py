"""Which workers are given work, by what happened to unrelated jobs there.

Answers workers that fail whatever they start while their health is good, and
workers on which tasks stand still: such a worker always looks idle, so it
would draw the whole queue. It gets nothing for a while and then one unit at a
time until one ends well.
"""

import msgspec

from ..ids import JobId, WorkerId

# Failures of that many different jobs in a row cost a worker its trust.
DISTRUST_JOBS = 2
# A distrusted worker is tried again after this; doubles up to the maximum.
FIRST_PAUSE_S = 3.0
MAX_PAUSE_S = 12.0
# After one failure a worker is used only where no other has room.
SUSPECT_S = 4.0


class _Evidence(msgspec.Struct):
    failed_jobs: set[JobId] = msgspec.field(default_factory=set)
    pause_s: float = 0.0
    barred_until_s: float = 0.0
    suspect_until_s: float = 0.0


class WorkerReliability:
    """Evidence against workers; a worker without any is trusted."""

    def __init__(self) -> None:
        """Trust every worker."""
        self._evidence: dict[WorkerId, _Evidence] = {}

    def record_success(self, worker: WorkerId) -> None:
        """A task has ended as done."""
        self._evidence.pop(worker, None)

    def record_failure(
        self, worker: WorkerId, job: JobId, now_s: float
    ) -> None:
        """A task of ``job`` failed or could not start."""
        evidence = self._evidence.setdefault(worker, _Evidence())
        evidence.failed_jobs.add(job)
        evidence.suspect_until_s = now_s + SUSPECT_S
        if evidence.pause_s or len(evidence.failed_jobs) >= DISTRUST_JOBS:
            _pause(evidence, now_s)

    def record_stall(self, worker: WorkerId, now_s: float) -> None:
        """Tasks make no progress on the worker."""
        _pause(self._evidence.setdefault(worker, _Evidence()), now_s)

    def is_quarantined(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether the worker gets nothing now."""
        evidence = self._evidence.get(worker)
        return evidence is not None and now_s < evidence.barred_until_s

    def is_on_probation(self, worker: WorkerId) -> bool:
        """Return whether the worker gets one unit at a time."""
        evidence = self._evidence.get(worker)
        return evidence is not None and evidence.pause_s > 0

    def is_suspect(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether others go first."""
        evidence = self._evidence.get(worker)
        return evidence is not None and now_s < evidence.suspect_until_s

    def forget(self, worker: WorkerId) -> None:
        """The worker has begun a new life."""
        self._evidence.pop(worker, None)


def _pause(evidence: _Evidence, now_s: float) -> None:
    if now_s < evidence.barred_until_s:
        return
    doubled_s = evidence.pause_s * 2 or FIRST_PAUSE_S
    evidence.pause_s = min(doubled_s, MAX_PAUSE_S)
    evidence.barred_until_s = now_s + evidence.pause_s
