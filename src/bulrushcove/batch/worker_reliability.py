"""Evidence that a worker is broken: failures and stalls of unrelated jobs.

A worker that fails every task although it reports good health, or on which
tasks stall, looks idle and would attract the whole queue. It is quarantined
for a while, then on probation. The same evidence is seen where jobs can never
be done and the workers are sound, so it is a preference for other workers and
a limit on harm, never a reason to leave the worker idle for long: while it is
quarantined it is tried again if the waiting unit has hardly any other worker.

A worker that is tried gets one unit. With each unit that runs on for a moment
it gets two more, so that a sound worker is in full use soon. Where a run has
stalled, a unit must show progress for that, unless another one has waited for
its preferences for long enough (see ``preferences``).
"""

from collections.abc import Collection
from enum import IntEnum

import msgspec

from ..ids import JobId, WorkerId
from .ids import UnitRef
from .job_state import Allocation, AllocationPhase
from .workers import Worker

# Different jobs that fail in a row before a worker is quarantined.
QUARANTINE_AFTER_JOBS = 2
# Each further quarantine is twice as long, up to the maximum.
FIRST_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 12.0
# A worker that gets no unit, or a long one, must not stay on probation.
MAX_PROBATION_S = 12.0
# For this long after a failure a worker is used only where no other one fits.
SUSPECT_S = 4.0
# A quarantined worker is not tried again earlier after a failure, so that one
# that fails at once harms few units.
TRIAL_PAUSE_S = 1.5
# So many quarantined workers, most of those that a unit may use, show that
# jobs are at fault: they are tried without a pause.
MIN_QUARANTINED_MAJORITY = 3
# A unit that has run for this long shows that its worker starts tasks.
PROVEN_AFTER_S = 0.5
UNITS_PER_PROVEN_UNIT = 2


class Standing(IntEnum):
    """How far a worker is trusted; lower ones are preferred."""

    TRUSTED = 0
    # It failed a task lately.
    SUSPECT = 1
    PROBATION = 2
    QUARANTINED = 3


class _Evidence(msgspec.Struct):
    failed_jobs: set[JobId] = msgspec.field(default_factory=set)
    # When the last failure or stall was recorded.
    updated_at_s: float = 0.0
    # Length of the last quarantine; 0: none since the last success.
    quarantine_s: float = 0.0
    quarantined_until_s: float = 0.0
    suspect_until_s: float = 0.0
    # Whether a run made no progress there.
    has_stalled: bool = False


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
        evidence.updated_at_s = now_s
        evidence.suspect_until_s = now_s + SUSPECT_S
        if (
            evidence.quarantine_s
            or len(evidence.failed_jobs) >= QUARANTINE_AFTER_JOBS
        ):
            _quarantine(evidence, now_s)

    def record_stall(self, worker: WorkerId, now_s: float) -> None:
        """Record that a task makes no progress on the worker."""
        evidence = self._evidence.setdefault(worker, _Evidence())
        evidence.updated_at_s = now_s
        evidence.has_stalled = True
        _quarantine(evidence, now_s)

    def standing(self, worker: WorkerId, now_s: float) -> Standing:
        """Return how far the worker is trusted now."""
        evidence = self._evidence.get(worker)
        if evidence is None:
            return Standing.TRUSTED
        if now_s < evidence.quarantined_until_s:
            return Standing.QUARANTINED
        probation_ends_at_s = evidence.quarantined_until_s + MAX_PROBATION_S
        if evidence.quarantine_s and now_s < probation_ends_at_s:
            return Standing.PROBATION
        is_suspect = now_s < evidence.suspect_until_s
        return Standing.SUSPECT if is_suspect else Standing.TRUSTED

    def is_quarantined(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether the worker is used only where others do not fit."""
        return self.standing(worker, now_s) is Standing.QUARANTINED

    def is_on_probation(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether the worker gets few units at a time, if any."""
        return self.standing(worker, now_s) >= Standing.PROBATION

    def has_stalled(self, worker: WorkerId) -> bool:
        """Return whether a run stalled there since the last success."""
        evidence = self._evidence.get(worker)
        return evidence is not None and evidence.has_stalled

    def is_trial_due(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether the last failure is long enough ago for a trial."""
        evidence = self._evidence.get(worker)
        return (
            evidence is None or now_s >= evidence.updated_at_s + TRIAL_PAUSE_S
        )

    def is_quarantined_since(
        self, worker: WorkerId, placed_at_s: float, now_s: float
    ) -> bool:
        """Return whether a quarantined worker has failed after a placement."""
        evidence = self._evidence.get(worker)
        return (
            evidence is not None
            and placed_at_s < evidence.updated_at_s
            and now_s < evidence.quarantined_until_s
        )

    def count_trial_units(self, worker: Worker, now_s: float) -> int | None:
        """Return how many more units the worker may get; None: any number.

        Units that were placed before the last failure do not count.
        """
        evidence = self._evidence.get(worker.id)
        if evidence is None or not self.is_on_probation(worker.id, now_s):
            return None
        units: set[UnitRef] = set()
        proven: set[UnitRef] = set()
        for allocation in worker.allocations.values():
            unit = allocation.unit
            if unit.placed_at_s < evidence.updated_at_s:
                continue
            units.add(unit.ref)
            if _is_proven(allocation, evidence, now_s):
                proven.add(unit.ref)
        limit = 1 + UNITS_PER_PROVEN_UNIT * len(proven)
        return max(0, limit - len(units))

    def forget(self, worker: WorkerId) -> None:
        """Drop the failures of a worker that was restarted or removed."""
        self._evidence.pop(worker, None)


def are_jobs_at_fault(standings: Collection[Standing]) -> bool:
    """Return whether failures on these workers speak against the jobs.

    ``standings`` are those of all workers that a unit may use.
    """
    count = _count_quarantined(standings)
    return count >= MIN_QUARANTINED_MAJORITY and 2 * count > len(standings)


def are_mostly_quarantined(standings: Collection[Standing]) -> bool:
    """Return whether most of the workers that a unit may use are."""
    return 2 * _count_quarantined(standings) > len(standings)


def _is_proven(
    allocation: Allocation, evidence: _Evidence, now_s: float
) -> bool:
    """Return whether the run shows that the worker is sound."""
    running_since_s = allocation.start_confirmed_at_s
    is_running = allocation.phase is AllocationPhase.RUNNING
    if not is_running or running_since_s is None:
        return False
    if evidence.has_stalled and not allocation.percent:
        return False
    return now_s - running_since_s >= PROVEN_AFTER_S


def _count_quarantined(standings: Collection[Standing]) -> int:
    return sum(each is Standing.QUARANTINED for each in standings)


def _quarantine(evidence: _Evidence, now_s: float) -> None:
    if now_s < evidence.quarantined_until_s:
        return
    doubled_s = evidence.quarantine_s * 2 or FIRST_QUARANTINE_S
    evidence.quarantine_s = min(doubled_s, MAX_QUARANTINE_S)
    evidence.quarantined_until_s = now_s + evidence.quarantine_s
