"""Which workers stand still, and which runs are stopped for it.

Answers a load in which the tasks of some workers stand still for seconds,
although these report good health, beside tasks that are only long. On a worker
that stands still all runs stop showing progress at once; a run that is silent
beside others that go on is long, or stuck by itself.

A worker is suspected as soon as a run on it is silent for longer than expected
and no other one has gone on since. It gets nothing new for a moment, then one
unit at a time; any progress there ends the suspicion. A run is stopped once the
standstill is likely to cost more than the work that a stop throws away.
"""

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec

from ..ids import WorkerId
from .ids import QueueName, UnitRef
from .job_spec import StepSpec
from .job_state import Allocation, AllocationPhase, Unit, unstopped_allocations
from .progress_expectation import (
    COMPLETE_PERCENT,
    MAX_BLAMING_STALLS,
    Basis,
    Expectation,
    ProgressExpectations,
)
from .run_progress import silent_since_ms, unsaved_ms
from .worker_reliability import Standing
from .workers import Worker

# Reports come each 1.5 s, those of suspected workers more often; between two of
# them that are closer the clocks of reports and of work differ too much.
MIN_SUSPECT_MS = 1000.0
# A run is stopped after two reports without progress at the earliest.
MIN_STALL_MS = 2500.0
# Stop, placement and start of a run elsewhere; a gang needs room for all of
# its members at once.
RESTART_MS = 1000.0
GANG_RESTART_MS = 2000.0
# A run that is silent although its workers go on gets so many times as long,
# a gang of which nothing else tells where it stands so many times.
STUCK_FACTOR = 4.0
UNSURE_GANG_FACTOR = 2.0
# After a stop on a suspected worker its gangs are left alone for this long.
PROOF_S = 2.0
# A suspected worker gets nothing new for this long, then one unit at a time.
# Callers are promised a start within 3 s where there is room.
MAX_CLOSED_S = 2.0
# A suspected worker reports more often for this long, in which most standing
# runs are found.
MAX_SHORT_POLLS_S = 5.0
# Jobs that fall silent together before a standstill is certain.
CONFIRMING_JOBS = 2
# Past standstills that tell how long the present one will last.
MIN_SPELLS = 3
MAX_SPELLS = 32


class Suspicion(msgspec.Struct, frozen=True):
    """A run that makes its worker suspected of standing still."""

    allocation: Allocation
    silent_ms: float
    expectation: Expectation
    # Jobs that are silent there for longer than expected; 1 if another worker
    # may be the cause.
    silent_jobs: int


class Stall(msgspec.Struct, frozen=True):
    """A run to stop as it stands still, and what decided it."""

    allocations: list[Allocation]
    silent_ms: float
    limit_ms: float
    basis: Basis
    # Work that the stop throws away, of each task.
    unsaved_ms: float
    # Workers that are suspected, and those among them to quarantine.
    suspects: list[WorkerId]
    blamed: list[WorkerId]


class _JudgedUnit(msgspec.Struct, frozen=True):
    """What decides whether silent runs of one unit are stopped."""

    suspects: list[Worker]
    # Work that a stop throws away, the most of any task.
    lost_ms: float


class ProgressModel:
    """Progress expected of runs, silent runs and suspected workers."""

    def __init__(
        self,
        workers: Mapping[WorkerId, Worker],
        task_ms: Callable[[QueueName, StepSpec], float],
    ) -> None:
        """Start without any run.

        ``workers`` are all workers as known at any time. ``task_ms`` returns
        the expected milliseconds of a task.
        """
        self._workers = workers
        self._expectations = ProgressExpectations(workers, task_ms)
        # Runs that were silent for longer than expected when their worker
        # reported last.
        self._overdue: dict[WorkerId, list[Allocation]] = {}
        # Lengths of standstills that ended by themselves.
        self._spells_ms: deque[float] = deque(maxlen=MAX_SPELLS)
        self._last_stop_s: dict[WorkerId, float] = {}

    def relative_rate(self, allocation: Allocation) -> float | None:
        """Return the run's rate over the one expected of it.

        1 is as expected; None if either is not known.
        """
        return self._expectations.relative_rate(allocation)

    def observe(self, worker: Worker, now_s: float) -> list[Suspicion]:
        """Apply a report of ``worker``; returns what it is newly suspected by.

        Empty if it is not suspected, or was before.
        """
        runs = [
            allocation
            for allocation in worker.allocations.values()
            if _is_judged(allocation)
        ]
        for run in runs:
            self._expectations.record_rate(run)
        overdue = self._find_overdue(worker, runs)
        if not overdue:
            self._overdue.pop(worker.id, None)
        else:
            self._overdue[worker.id] = [one.allocation for one in overdue]
        evidence = _select_evidence(overdue, _last_progress_ms(worker, runs))
        if not evidence or _stands_elsewhere(evidence, worker, self._workers):
            self._end_suspicion(worker, runs)
            return []
        worker.silent_jobs = _count_telling_jobs(evidence)
        if worker.suspected_since_s:
            return []
        worker.suspected_since_s = now_s
        worker.suspected_report_ms = worker.clock_ms
        worker.suspected_clock_ms = min(
            silent_since_ms(one.allocation) for one in evidence
        )
        return [
            msgspec.structs.replace(one, silent_jobs=worker.silent_jobs)
            for one in evidence
        ]

    def find_stalls(self, now_s: float) -> list[Stall]:
        """Return the runs to stop, and count the stalls of their units."""
        for gone in self._overdue.keys() - self._workers.keys():
            self._overdue.pop(gone)
        self._last_stop_s = {
            worker_id: stopped_at_s
            for worker_id, stopped_at_s in self._last_stop_s.items()
            if now_s - stopped_at_s < PROOF_S
        }
        stalls = []
        # A gang of thousands is searched once, not for each silent member.
        judged: dict[UnitRef, _JudgedUnit | None] = {}
        for allocation in self._overdue_runs():
            unit = allocation.unit
            ref = unit.ref
            if ref not in judged:
                judged[ref] = _find_judged_unit(unit, self._workers)
            stall = self._judge(allocation, judged[ref], now_s)
            if stall is not None:
                judged[ref] = None
                _count_stall(allocation)
                self._last_stop_s.update(dict.fromkeys(stall.suspects, now_s))
                stalls.append(stall)
        return stalls

    def _overdue_runs(self) -> Iterator[Allocation]:
        """Yield the silent runs on workers whose last report is recent."""
        for worker_id, overdue in self._overdue.items():
            worker = self._workers.get(worker_id)
            if worker is None or worker.failed_polls or not worker.has_reported:
                continue
            for allocation in overdue:
                if worker.allocations.get(allocation.ref) is allocation:
                    yield allocation

    def _find_overdue(
        self, worker: Worker, runs: Iterable[Allocation]
    ) -> list[Suspicion]:
        overdue = []
        for run in runs:
            silent_ms = worker.clock_ms - silent_since_ms(run)
            if silent_ms > MIN_SUSPECT_MS:
                expected = self._expectations.expectation(run)
                if silent_ms > expected.limit_ms:
                    overdue.append(Suspicion(run, silent_ms, expected, 0))
        return overdue

    def _end_suspicion(self, worker: Worker, runs: list[Allocation]) -> None:
        """End the suspicion; learn its length if it was a standstill.

        One job may be long by itself; a gang is silent on all of its workers.
        """
        if not worker.suspected_since_s:
            return
        resumed = {
            run.unit.job.id
            for run in runs
            if run.progress_clock_ms > worker.suspected_report_ms
        }
        is_certain = worker.silent_jobs >= CONFIRMING_JOBS
        if is_certain and len(resumed) >= CONFIRMING_JOBS:
            resumed_ms = _last_progress_ms(worker, runs)
            self._spells_ms.append(resumed_ms - worker.suspected_clock_ms)
        worker.suspected_since_s = 0.0
        worker.silent_jobs = 0

    def _judge(
        self, allocation: Allocation, judged: '_JudgedUnit | None', now_s: float
    ) -> Stall | None:
        """Return the stall of the run of ``allocation``; None: let it go on.

        ``judged`` tells of its unit; None: that is not judged now.
        """
        unit = allocation.unit
        is_current = unit.allocations.get(allocation.index) is allocation
        if judged is None or not is_current:
            return None
        suspects = judged.suspects
        if self._is_trial_under_way(unit, suspects, now_s):
            return None
        expected = self._expectations.expectation(allocation)
        limit_ms = max(MIN_STALL_MS, expected.limit_ms)
        limit_ms *= _patience_factor(unit, expected, suspects)
        worker = self._workers[allocation.worker]
        silent_ms = worker.clock_ms - silent_since_ms(allocation)
        lost_ms = judged.lost_ms
        if silent_ms <= limit_ms or not self._is_stop_cheaper(
            unit, silent_ms, lost_ms, bool(suspects)
        ):
            return None
        return Stall(
            unstopped_allocations(unit),
            silent_ms,
            limit_ms,
            expected.basis,
            lost_ms,
            [suspect.id for suspect in suspects],
            _select_blamed(unit, suspects),
        )

    def _is_trial_under_way(
        self, unit: Unit, suspects: list[Worker], now_s: float
    ) -> bool:
        """Return whether a gang waits for what a stop there shows."""
        return unit.size > 1 and any(
            now_s - self._last_stop_s.get(suspect.id, -PROOF_S) < PROOF_S
            for suspect in suspects
        )

    def _is_stop_cheaper(
        self, unit: Unit, silent_ms: float, lost_ms: float, is_suspected: bool
    ) -> bool:
        """Return whether a standstill costs more than a stop and a new run.

        Both hold the same cores and delay the same job, so that times are
        compared. Unless past standstills tell more, one is expected to go on
        for as long as it has lasted.
        """
        restart_ms = GANG_RESTART_MS if unit.size > 1 else RESTART_MS
        rest_ms = silent_ms
        longer_ms = [spell for spell in self._spells_ms if spell > silent_ms]
        if is_suspected and len(longer_ms) >= MIN_SPELLS:
            rest_ms = sum(longer_ms) / len(longer_ms) - silent_ms
        return rest_ms > lost_ms + restart_ms


def suspicion_standing(worker: Worker, now_s: float) -> Standing:
    """Return how far a suspicion lets the worker be trusted."""
    if not worker.suspected_since_s:
        return Standing.TRUSTED
    is_closed = now_s - worker.suspected_since_s < MAX_CLOSED_S
    return Standing.QUARANTINED if is_closed else Standing.PROBATION


def needs_short_polls(worker: Worker) -> bool:
    """Return whether progress there is to be known at once."""
    since_s = worker.suspected_since_s
    suspected_for_s = worker.last_report_at_s - since_s
    return bool(since_s) and suspected_for_s < MAX_SHORT_POLLS_S


def count_trial_units(worker: Worker) -> int | None:
    """Return how many more units a suspected worker may get; None: any."""
    if not worker.suspected_since_s:
        return None
    on_trial = {
        allocation.unit.ref
        for allocation in worker.allocations.values()
        if allocation.unit.placed_at_s >= worker.suspected_since_s
    }
    return max(0, 1 - len(on_trial))


def _find_judged_unit(
    unit: Unit, workers: Mapping[WorkerId, Worker]
) -> _JudgedUnit | None:
    """Return what decides on the runs of ``unit``; None: it is not judged."""
    members = list(unit.allocations.values())
    if unit.is_aborting or any(
        member.phase is not AllocationPhase.RUNNING for member in members
    ):
        return None
    suspects = _select_suspects(members, workers)
    return _JudgedUnit(suspects, max(map(unsaved_ms, members), default=0))


def _is_judged(allocation: Allocation) -> bool:
    """Return whether silence of the run tells of its worker or itself.

    A complete member of a gang waits for the others.
    """
    unit = allocation.unit
    is_complete = unit.size > 1 and allocation.percent >= COMPLETE_PERCENT
    if unit.spec.is_service or is_complete or not allocation.speed_percent:
        return False
    return bool(
        allocation.phase is AllocationPhase.RUNNING
        and allocation.progress_clock_ms
    )


def _last_progress_ms(worker: Worker, runs: Iterable[Allocation]) -> int:
    """Return when any run there progressed last; a start is no progress."""
    current_ms = (
        run.progress_clock_ms
        for run in runs
        if run.progress_clock_ms > run.started_clock_ms
    )
    return max((worker.ended_progress_ms, *current_ms))


def _select_evidence(
    overdue: Iterable[Suspicion], last_progress_ms: int
) -> list[Suspicion]:
    """Return the runs that no progress on the worker has explained.

    Best-effort tasks stand still whenever others need the whole worker.
    """
    return [
        one
        for one in overdue
        if not one.allocation.unit.spec.fills_idle
        and last_progress_ms
        <= silent_since_ms(one.allocation) + one.expectation.limit_ms
    ]


def _stands_elsewhere(
    evidence: Iterable[Suspicion],
    worker: Worker,
    workers: Mapping[WorkerId, Worker],
) -> bool:
    """Return whether another worker certainly holds up each silent run."""
    units = {one.allocation.unit.ref: one.allocation.unit for one in evidence}
    return all(
        any(
            other.id != worker.id and other.silent_jobs >= CONFIRMING_JOBS
            for other in _select_suspects(unit.allocations.values(), workers)
        )
        for unit in units.values()
    )


def _count_telling_jobs(evidence: Iterable[Suspicion]) -> int:
    """Return how many jobs tell that the worker holds them up.

    Gangs on the same workers tell no more than one of them: any worker that
    all of the silent runs share may be the cause.
    """
    units = {one.allocation.unit.ref: one.allocation.unit for one in evidence}
    shared = set.intersection(
        *(
            {run.worker for run in unit.allocations.values()}
            for unit in units.values()
        )
    )
    jobs = {unit.job.id for unit in units.values()}
    return len(jobs) if len(shared) == 1 else 1


def _select_suspects(
    members: Iterable[Allocation], workers: Mapping[WorkerId, Worker]
) -> list[Worker]:
    by_id = {member.worker: workers.get(member.worker) for member in members}
    return [
        worker
        for worker in by_id.values()
        if worker is not None and worker.suspected_since_s
    ]


def _patience_factor(
    unit: Unit, expected: Expectation, suspects: list[Worker]
) -> float:
    """Return how many times the usual silence the run may last."""
    if not suspects:
        return STUCK_FACTOR
    is_sure = expected.basis is Basis.OWN_RATE or any(
        suspect.silent_jobs >= CONFIRMING_JOBS for suspect in suspects
    )
    return 1.0 if is_sure or unit.size == 1 else UNSURE_GANG_FACTOR


def _select_blamed(unit: Unit, suspects: list[Worker]) -> list[WorkerId]:
    """Return the workers that the stall speaks against.

    A unit that stalls on one worker after the other is at fault itself.
    """
    if unit.stalls >= MAX_BLAMING_STALLS:
        return []
    certain = [
        suspect
        for suspect in suspects
        if suspect.silent_jobs >= CONFIRMING_JOBS
    ]
    return [suspect.id for suspect in certain or suspects]


def _count_stall(allocation: Allocation) -> None:
    unit = allocation.unit
    if unit.stalled_run != allocation.run:
        unit.stalled_run = allocation.run
        unit.stalls += 1
