"""Turns the state of a domain into the input of a scheduling pass."""

from collections.abc import Mapping

from .clock import MS_PER_S
from .contract import Contract
from .domain_jobs import DomainJobs
from .gang import GangAttempt, Phase
from .ids import OrganisationId, WorkerId
from .job import JobRecord
from .scheduling_model import DomainSnapshot, RunningGang, WorkerCapacity
from .states import JobState, TaskState
from .worker_sight import WorkerSight

_HOLDING = frozenset((TaskState.RESERVED, TaskState.RUNNING))


def take_snapshot(
    domain_jobs: DomainJobs,
    contracts: Mapping[OrganisationId, Contract],
    now_s: float,
    now_unix_ms: int,
) -> DomainSnapshot:
    """Return what a scheduling pass over ``domain_jobs`` looks at."""
    taken = _take_all(domain_jobs)
    return DomainSnapshot(
        domain=domain_jobs.domain,
        now_s=now_s,
        now_unix_ms=now_unix_ms,
        workers=tuple(
            _room(sight, taken[worker])
            for worker, sight in domain_jobs.table.workers.items()
        ),
        running=tuple(
            _running(gang) for gang in domain_jobs.table.gangs.values()
        ),
        queued=queued_records(domain_jobs),
        contracts=dict(contracts),
    )


def queued_records(domain_jobs: DomainJobs) -> tuple[JobRecord, ...]:
    """Return the records that wait, in the order of their acceptance."""
    waiting = [
        stored.record
        for stored in domain_jobs.jobs.values()
        if stored.record.state is JobState.QUEUED
        and not stored.record.cancel_requested
    ]
    waiting.sort(key=lambda record: (record.accepted_unix_ms, record.job))
    return tuple(waiting)


def is_usable(sight: WorkerSight) -> bool:
    """Return whether something new may be placed on the worker."""
    answered = sight.seen_s is not None and not sight.silent
    return answered and not sight.leaving


def free_accelerators(domain_jobs: DomainJobs) -> int:
    """Return the accelerators that are free on usable workers."""
    taken = _take_all(domain_jobs)
    return sum(
        sight.description.accelerators - taken[worker].accelerators
        for worker, sight in domain_jobs.table.workers.items()
        if is_usable(sight)
    )


class _Taken:
    def __init__(self) -> None:
        self.accelerators = 0
        self.cores = 0
        self.memory_mb = 0

    def add(self, accelerators: int, cores: int, memory_mb: int) -> None:
        self.accelerators += accelerators
        self.cores += cores
        self.memory_mb += memory_mb


def _take_all(domain_jobs: DomainJobs) -> dict[WorkerId, _Taken]:
    taken = {worker: _Taken() for worker in domain_jobs.table.workers}
    for gang in domain_jobs.table.gangs.values():
        _take_gang(gang, taken)
    for worker, sight in domain_jobs.table.workers.items():
        _take_strangers(sight, taken[worker])
    return taken


def _take_gang(gang: GangAttempt, taken: Mapping[WorkerId, _Taken]) -> None:
    spec = gang.record.spec
    for worker, held in gang.held.items():
        if held.gone or worker not in taken:
            continue
        parts = len(held.parts) - held.ended
        taken[worker].add(
            parts * spec.accelerators_per_task,
            parts * spec.cores_per_task,
            parts * spec.memory_mb_per_task,
        )


def _take_strangers(sight: WorkerSight, taken: _Taken) -> None:
    for attempt in sight.strangers:
        for report in sight.reports[attempt].values():
            if report.state in _HOLDING:
                taken.add(report.accelerators, report.cores, report.memory_mb)


def _room(sight: WorkerSight, taken: _Taken) -> WorkerCapacity:
    description = sight.description
    return WorkerCapacity(
        description=description,
        free_accelerators=description.accelerators - taken.accelerators,
        free_cores=description.cores - taken.cores,
        free_memory_mb=description.memory_mb - taken.memory_mb,
        usable=is_usable(sight),
    )


def _running(gang: GangAttempt) -> RunningGang:
    return RunningGang(
        job=gang.record.job,
        attempt=gang.attempt_id,
        organisation=gang.record.organisation,
        record=gang.record,
        placement=gang.attempt.placement,
        borrowed=gang.attempt.borrowed,
        started_s=gang.began_s,
        unsaved_s=_unsaved_s(gang),
        stopping=gang.phase in {Phase.SAVING, Phase.STOPPING},
    )


def _unsaved_s(gang: GangAttempt) -> float:
    unsaved_ms = [
        report.run_ms - report.checkpoint_run_ms
        for held in gang.held.values()
        for report in held.reports.values()
    ]
    return max(unsaved_ms, default=0) / MS_PER_S
