"""Updates units and jobs when their runs end."""

from collections.abc import Iterable, Mapping

from ..ids import JobId
from .job_state import (
    Allocation,
    Job,
    JobPhase,
    StopReason,
    Unit,
    UnitPhase,
    find_unit,
    is_complete,
    mark_done,
    mark_for_stop,
    unstopped_allocations,
)
from .plan import Plan
from .reconcile import AllocationEnd
from .workers import EndedTask, EndKind

# Ends after which the other members of a gang keep running.
_NON_ABORTING_ENDS = frozenset((EndKind.DONE,))


def apply_run_end(
    end: AllocationEnd, unix_ms: int, now_s: float
) -> list[Allocation]:
    """Apply ``end``; returns the allocations that must be stopped for it."""
    allocation = end.allocation
    unit = allocation.unit
    if unit.allocations.get(allocation.index) is allocation:
        unit.allocations.pop(allocation.index)
    if unit.run != allocation.run:
        return []
    if end.checkpoint and unit.phase is not UnitPhase.DONE:
        unit.checkpoint = end.checkpoint
    if end.kind is EndKind.DONE and not unit.spec.is_service:
        mark_done(unit)
    elif end.kind is EndKind.FAILED and unit.failed_run != allocation.run:
        unit.failed_run = allocation.run
        unit.failures += 1
    # What was left to stop of a job was stopped when the job ended.
    had_ended = unit.job.has_ended
    stops = [] if had_ended else _abort_gang(unit, end.kind)
    _reset_unit(unit, now_s)
    if had_ended:
        return stops
    _end_job_if_decided(unit.job, (unit,), unix_ms, now_s)
    return stops + _allocations_of_stopped_job(unit.job)


def apply_unmatched_ends(
    jobs: Mapping[JobId, Job],
    ends: Iterable[EndedTask],
    unix_ms: int,
    now_s: float,
) -> Plan:
    """Apply ends of runs that the leader has given up or does not know.

    The worker was silent for longer than its lease, or reports an end that an
    earlier leader has applied. The jobs count as changed in either case, so
    that the ends are acknowledged only once their effect is stored.
    """
    plan = Plan()
    changed: dict[JobId, Job] = {}
    for ended in ends:
        job = jobs.get(ended.ref.task.job)
        unit = find_unit(job, ended.ref.task) if job else None
        if unit is not None:
            changed[unit.job.id] = unit.job
            plan.stops.extend(_apply_unmatched_end(unit, ended))
    plan.changed = list(changed.values())
    for job in plan.changed:
        if not job.has_ended:
            _end_job_if_decided(job, job.units, unix_ms, now_s)
            plan.ended.extend([job] if job.has_ended else ())
    return plan


def _apply_unmatched_end(unit: Unit, ended: EndedTask) -> list[Allocation]:
    """Apply ``ended``; returns the newer runs, if the task is done.

    A failure does not count as an attempt: as a rule the run was given up since
    its lease had expired.
    """
    is_over = unit.job.has_ended or unit.phase is UnitPhase.DONE
    if is_over or unit.spec.is_service or ended.ref.run > unit.run:
        return []
    if ended.checkpoint and ended.ref.run == unit.run:
        unit.checkpoint = ended.checkpoint
    if ended.kind is not EndKind.DONE:
        return []
    mark_done(unit)
    return mark_for_stop(unstopped_allocations(unit), StopReason.TASK_DONE)


def give_up_if_deadly(job: Job, unix_ms: int, now_s: float) -> list[Allocation]:
    """Give up ``job`` if one of its tasks certainly crashes its workers.

    Returns the allocations that must be stopped for it.
    """
    _end_job_if_decided(job, job.units, unix_ms, now_s)
    return _allocations_of_stopped_job(job)


def cancel_job(job: Job, unix_ms: int, now_s: float) -> list[Allocation]:
    """Cancel ``job`` unless it has ended; returns the allocations to stop."""
    if not job.has_ended:
        _end_job(job, JobPhase.CANCELLED, unix_ms, now_s)
    return _allocations_of_stopped_job(job)


def _abort_gang(unit: Unit, kind: EndKind) -> list[Allocation]:
    """Abort the run unless ``kind`` permits it to continue.

    Returns the allocations of the other gang members, which must be stopped.
    """
    if kind in _NON_ABORTING_ENDS or unit.phase is not UnitPhase.ACTIVE:
        return []
    if unit.is_aborting:
        # The others were stopped then; a search for each end of thousands
        # would hold up the event loop.
        return []
    unit.is_aborting = True
    return mark_for_stop(unstopped_allocations(unit), StopReason.GANG_ABORTED)


def _reset_unit(unit: Unit, now_s: float) -> None:
    if unit.allocations or unit.phase is not UnitPhase.ACTIVE:
        return
    unit.phase = UnitPhase.WAITING
    unit.is_aborting = False
    unit.ready_since_s = now_s


def _end_job_if_decided(
    job: Job, changed: Iterable[Unit], unix_ms: int, now_s: float
) -> None:
    """End ``job`` if one of its ``changed`` units failed or all are done."""
    if job.has_ended:
        return
    limit = job.spec.terms.max_attempts
    for unit in changed:
        reason = _failure_reason(unit, limit)
        if reason:
            job.reason = reason
            _end_job(job, JobPhase.FAILED, unix_ms, now_s)
            return
    if is_complete(job):
        _end_job(job, JobPhase.SUCCEEDED, unix_ms, now_s)


def _failure_reason(unit: Unit, max_attempts: int) -> str:
    """Return why ``unit`` fails its job; empty if it does not."""
    if unit.phase is UnitPhase.DONE:
        return ''
    for index, history in unit.crashes.items():
        if history.is_conclusive:
            return (
                f'step {unit.step}: task {index} crashed '
                f'{history.crashes} workers'
            )
    if unit.failures >= max_attempts and not unit.spec.is_service:
        return f'step {unit.step}: {unit.failures} runs failed'
    return ''


def _end_job(job: Job, phase: JobPhase, unix_ms: int, now_s: float) -> None:
    job.phase = phase
    job.ended_unix_ms = unix_ms
    job.ended_at_s = now_s


def _allocations_of_stopped_job(job: Job) -> list[Allocation]:
    """Return the allocations to stop if the job failed or was cancelled."""
    if job.phase not in {JobPhase.FAILED, JobPhase.CANCELLED}:
        return []
    allocations = [
        allocation
        for unit in job.units
        for allocation in unstopped_allocations(unit)
    ]
    return mark_for_stop(allocations, StopReason.JOB_ENDED)
