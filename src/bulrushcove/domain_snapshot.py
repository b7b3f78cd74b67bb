"""Builds the input of a scheduling pass from the state of a domain."""

from collections.abc import Mapping

from .clock import MS_PER_S
from .contract import Contract
from .domain_jobs import DomainJobs
from .gang import GangAttempt, Phase
from .ids import OrganisationId, WorkerId
from .job import JobRecord
from .scheduling_model import DomainSnapshot, RunningGang, WorkerCapacity
from .states import JobState, TaskState
from .worker_liveness import WorkerLiveness

_HOLDING_STATES = frozenset((TaskState.RESERVED, TaskState.RUNNING))


def take_snapshot(
    domain_jobs: DomainJobs,
    contracts: Mapping[OrganisationId, Contract],
    now_s: float,
    now_unix_ms: int,
) -> DomainSnapshot:
    """Return the input of a scheduling pass over ``domain_jobs``."""
    allocated = _sum_allocations(domain_jobs)
    return DomainSnapshot(
        domain=domain_jobs.domain,
        now_s=now_s,
        now_unix_ms=now_unix_ms,
        workers=tuple(
            _worker_capacity(liveness, allocated[worker])
            for worker, liveness in domain_jobs.table.workers.items()
        ),
        running=tuple(
            _running_gang(gang) for gang in domain_jobs.table.gangs.values()
        ),
        queued=queued_records(domain_jobs),
        contracts=dict(contracts),
    )


def queued_records(domain_jobs: DomainJobs) -> tuple[JobRecord, ...]:
    """Return the queued records in order of acceptance.

    Jobs whose cancellation was requested are left out.
    """
    waiting = [
        stored.record
        for stored in domain_jobs.jobs.values()
        if stored.record.state is JobState.QUEUED
        and not stored.record.cancel_requested
    ]
    waiting.sort(key=lambda record: (record.accepted_unix_ms, record.job))
    return tuple(waiting)


def is_usable(liveness: WorkerLiveness) -> bool:
    """Return whether new tasks may be placed on the worker."""
    answered = (
        liveness.last_contact_at_s is not None and not liveness.is_unresponsive
    )
    return answered and not liveness.is_draining


def free_accelerators(domain_jobs: DomainJobs) -> int:
    """Return the number of free accelerators of all usable workers."""
    allocated = _sum_allocations(domain_jobs)
    return sum(
        liveness.description.accelerators - allocated[worker].accelerators
        for worker, liveness in domain_jobs.table.workers.items()
        if is_usable(liveness)
    )


class _Allocated:
    def __init__(self) -> None:
        self.accelerators = 0
        self.cores = 0
        self.memory_mb = 0

    def add(self, accelerators: int, cores: int, memory_mb: int) -> None:
        self.accelerators += accelerators
        self.cores += cores
        self.memory_mb += memory_mb


def _sum_allocations(domain_jobs: DomainJobs) -> dict[WorkerId, _Allocated]:
    allocated = {worker: _Allocated() for worker in domain_jobs.table.workers}
    for gang in domain_jobs.table.gangs.values():
        _add_gang(gang, allocated)
    for worker, liveness in domain_jobs.table.workers.items():
        _add_orphans(liveness, allocated[worker])
    return allocated


def _add_gang(
    gang: GangAttempt, allocated: Mapping[WorkerId, _Allocated]
) -> None:
    spec = gang.record.spec
    for worker, allocation in gang.allocations.items():
        if allocation.is_released or worker not in allocated:
            continue
        parts = len(allocation.parts) - allocation.ended_count
        allocated[worker].add(
            parts * spec.accelerators_per_task,
            parts * spec.cores_per_task,
            parts * spec.memory_mb_per_task,
        )


def _add_orphans(liveness: WorkerLiveness, allocated: _Allocated) -> None:
    for attempt in liveness.possible_orphans:
        for report in liveness.reports[attempt].values():
            if report.state in _HOLDING_STATES:
                allocated.add(
                    report.accelerators, report.cores, report.memory_mb
                )


def _worker_capacity(
    liveness: WorkerLiveness, allocated: _Allocated
) -> WorkerCapacity:
    description = liveness.description
    return WorkerCapacity(
        description=description,
        free_accelerators=description.accelerators - allocated.accelerators,
        free_cores=description.cores - allocated.cores,
        free_memory_mb=description.memory_mb - allocated.memory_mb,
        usable=is_usable(liveness),
    )


def _running_gang(gang: GangAttempt) -> RunningGang:
    return RunningGang(
        job=gang.record.job,
        attempt=gang.attempt_id,
        organisation=gang.record.organisation,
        record=gang.record,
        placement=gang.attempt.placement,
        borrowed=gang.attempt.borrowed,
        started_s=gang.began_at_s,
        unsaved_s=_unsaved_s(gang),
        stopping=gang.phase in {Phase.CHECKPOINTING, Phase.STOPPING},
    )


def _unsaved_s(gang: GangAttempt) -> float:
    unsaved_ms = [
        report.run_ms - report.checkpoint_run_ms
        for allocation in gang.allocations.values()
        for report in allocation.reports.values()
    ]
    return max(unsaved_ms, default=0) / MS_PER_S
