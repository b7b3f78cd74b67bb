"""State and decisions of the leader's scheduler, without input or output.

The caller passes in submissions, cancellations, the list of workers, their
reports and the operators' desired state, and carries out the returned plans.
The record of a job must be stored before its starts are sent.
"""

from collections.abc import Callable, Iterable

from ..ids import JobId, WorkerId
from .admission import check_same_job, refuse_unplaceable
from .advice_turns import PlacementAdvice
from .cancellations import Cancellations
from .completion import apply_run_end, apply_unmatched_ends, cancel_job
from .evidence import Evidence
from .held_jobs import HeldJobs
from .ids import QueueName
from .interference import InterferenceModel
from .job_spec import JobSpec
from .job_state import (
    Allocation,
    AllocationPhase,
    Job,
    JobPhase,
    StopReason,
    UnitPhase,
    mark_for_stop,
    new_job,
)
from .lease_expiry import LeaseExpiryTable
from .membership import placeholder_worker
from .organisation_usage import OrganisationUsage
from .pass_runner import (
    PassHistory,
    run_pass,
    stop_outlasting_runs,
    stop_stalled_runs,
)
from .plan import Plan
from .policy import DesiredState
from .reconcile import (
    AllocationEnd,
    ReportChanges,
    confirm_running,
    reconcile_worker,
)
from .runtime_estimates import RuntimeEstimates
from .scheduling_pass import Preemptions, prepare_pass
from .start_limits import limit_starts
from .worker_reliability import WorkerReliability
from .workers import EndKind, Worker, WorkerReport, find_expired_workers

# Ended jobs stay in memory and in the store for this long. Callers are
# promised 120 s.
ENDED_JOB_RETENTION_S = 600.0
_FAILED_ENDS = frozenset((EndKind.FAILED,))


class Engine:
    """Jobs, workers and the statistics that placement is based on."""

    def __init__(self, memory_mb: int = 0) -> None:
        """Create an engine without jobs and workers.

        ``memory_mb`` is what the process may use; 0: not known.
        """
        self.jobs: dict[JobId, Job] = {}
        self._held = HeldJobs(memory_mb)
        # Of jobs that were not known then; their submissions are refused.
        self.cancellations = Cancellations()
        # Jobs that have not ended or still hold allocations.
        self.active: dict[JobId, Job] = {}
        self.workers: dict[WorkerId, Worker] = {}
        self.desired_state = DesiredState()
        self.estimates = RuntimeEstimates()
        self.evidence = Evidence(self.workers, self.estimates.task_ms)
        self.reliability = WorkerReliability()
        self.advice = PlacementAdvice()
        self.lease_expiry = LeaseExpiryTable()
        self.interference = InterferenceModel()
        self.organisation_usage = OrganisationUsage()
        self.pass_history = PassHistory()
        # Preemptions in progress, and until when their capacity is reserved.
        self.preemptions: Preemptions = {}

    def restore(self, jobs: Iterable[Job], leases_expire_at_s: float) -> None:
        """Add ``jobs`` that were loaded from the store.

        Those without units wait until the budget has room for them. The runs
        of workers that do not report expire at ``leases_expire_at_s``.
        """
        for job in sorted(jobs, key=_accepted_unix_ms):
            self.jobs[job.id] = job
            self.interference.record_job(job.spec)
            if not job.has_ended or any(unit.allocations for unit in job.units):
                self.active[job.id] = job
            self._held.restore(job)
            for unit in job.units:
                for allocation in unit.allocations.values():
                    self._restore_allocation(allocation, leases_expire_at_s)
        self._held.unpark(self.active)

    def submit(
        self, spec: JobSpec, *, unix_ms: int, now_s: float
    ) -> tuple[Job, bool]:
        """Return the accepted job and whether it is new.

        Raises ``JobRefusedError`` if no worker can ever run it,
        ``JobConflictError`` if its id is used with different content, and
        ``JobCancelledError`` if it was cancelled before.
        """
        known = self.jobs.get(spec.job)
        if known is not None:
            check_same_job(known.spec, spec)
            return known, False
        self.cancellations.refuse_cancelled(spec.job, spec.terms.organisation)
        refuse_unplaceable(spec, self, now_s)
        self._held.accept(spec)
        job = new_job(spec, unix_ms, now_s)
        self.jobs[job.id] = job
        self.active[job.id] = job
        self.evidence.urgent_demand.record_job(spec, now_s)
        self.interference.record_job(spec)
        return job, True

    def discard_job(self, job: Job) -> None:
        """Remove ``job``, of which nothing has been stored or sent."""
        if self.jobs.pop(job.id, None) is not None:
            self._held.release((job.id,))
        self.active.pop(job.id, None)
        job.phase = JobPhase.CANCELLED
        for unit in job.units:
            for allocation in unit.allocations.values():
                worker = self.workers.get(allocation.worker)
                if worker is not None:
                    worker.allocations.pop(allocation.ref, None)
            unit.allocations.clear()

    def cancel(
        self, job: Job, *, unix_ms: int, now_s: float
    ) -> list[Allocation]:
        """Cancel ``job``; returns the allocations to stop."""
        return cancel_job(job, unix_ms, now_s)

    def count_queued(self, queue: QueueName) -> int:
        """Return how many accepted jobs of ``queue`` do not run yet."""
        return sum(
            1
            for job in self.active.values()
            if job.phase is JobPhase.QUEUED and job.spec.terms.queue == queue
        )

    def apply_report(
        self,
        worker: Worker,
        report: WorkerReport,
        *,
        requested_at_s: float,
        now_s: float,
        unix_ms: int,
    ) -> tuple[Plan, ReportChanges]:
        """Apply a worker's report; returns the resulting plan and changes.

        ``requested_at_s`` is the time at which the report was requested.
        """
        report_changes = reconcile_worker(
            worker, report, requested_at_s=requested_at_s, now_s=now_s
        )
        if self.interference.sees_images:
            report_changes.interference = self.interference.observe(
                worker, now_s
            )
        plan = self.evidence.crashes.apply(
            report_changes.crash,
            self.workers.values(),
            unix_ms=unix_ms,
            now_s=now_s,
        )
        plan.extend(
            self.end_allocations(
                report_changes.ends, unix_ms=unix_ms, now_s=now_s
            )
        )
        plan.extend(
            apply_unmatched_ends(
                self.jobs, report_changes.unmatched_ends, unix_ms, now_s
            )
        )
        plan.changed.extend(one.unit.job for one in report_changes.survived)
        started = self.confirm_starts(report_changes.confirmed, now_s)
        plan.stops.extend(started.stops)
        plan.changed.extend(started.changed)
        plan.stops.extend(
            mark_for_stop(
                report_changes.unconfirmed, StopReason.START_UNANSWERED
            )
        )
        plan.suspicions = self.evidence.progress.observe(worker, now_s)
        return plan, report_changes

    def confirm_starts(
        self, allocations: Iterable[Allocation], now_s: float
    ) -> Plan:
        """Record that the runs of ``allocations`` have started.

        The plan stops those whose job or gang was stopped in the meantime.
        """
        plan = Plan()
        for allocation in allocations:
            confirm_running(allocation, now_s)
            job = allocation.unit.job
            if job.phase is JobPhase.QUEUED:
                job.phase = JobPhase.RUNNING
                plan.changed.append(job)
            reason = _reason_to_stop(allocation)
            if reason is not None:
                plan.stops.extend(mark_for_stop((allocation,), reason))
        return plan

    def end_allocations(
        self, ends: Iterable[AllocationEnd], *, unix_ms: int, now_s: float
    ) -> Plan:
        """Apply the ends of allocations to their units and jobs."""
        plan = Plan()
        changed: dict[JobId, Job] = {}
        for end in ends:
            self._update_statistics(end, now_s)
            job = end.allocation.unit.job
            had_ended = job.has_ended
            plan.stops.extend(apply_run_end(end, unix_ms, now_s))
            changed[job.id] = job
            if job.has_ended and not had_ended:
                plan.ended.append(job)
        plan.changed = list(changed.values())
        return plan

    def end_incarnation(
        self,
        worker: Worker,
        *,
        unix_ms: int,
        now_s: float,
        is_replaced: bool = False,
    ) -> Plan:
        """End all runs on ``worker``, whose process is gone.

        ``is_replaced``: another worker has taken its address.
        """
        plan = Plan()
        if is_replaced:
            plan = self.evidence.crashes.apply_replacement(
                worker, self.workers.values(), unix_ms=unix_ms, now_s=now_s
            )
        ends = [
            AllocationEnd(allocation, EndKind.LOST)
            for allocation in worker.allocations.values()
        ]
        if is_replaced or worker.entry.is_draining:
            worker.expired.clear()
        else:
            worker.expired.extend(worker.allocations.values())
        worker.allocations.clear()
        worker.orphans.clear()
        # Its next report is handled like the first one to a new leader.
        worker.has_reported = False
        worker.has_complete_report = False
        plan.extend(self.end_allocations(ends, unix_ms=unix_ms, now_s=now_s))
        return plan

    def expire_leases(self, *, unix_ms: int, now_s: float) -> Plan:
        """End the runs of unreachable workers whose leases have expired."""
        plan = Plan()
        for worker in find_expired_workers(self.workers.values(), now_s):
            plan.extend(
                self.end_incarnation(worker, unix_ms=unix_ms, now_s=now_s)
            )
        return plan

    def plan(
        self,
        *,
        unix_ms: int,
        now_s: float,
        open_starts: int = 0,
    ) -> Plan:
        """Place waiting units and select the runs to stop.

        ``open_starts`` are not answered yet: the more, the fewer are placed.
        Stops are for preemption, stalled runs and draining workers.
        """
        current = prepare_pass(self, unix_ms=unix_ms, now_s=now_s)
        plan = run_pass(current, limit_starts(open_starts))
        stop_stalled_runs(plan, self.evidence.progress, self.reliability, now_s)
        stop_outlasting_runs(plan, self, now_s)
        return plan

    def remove_ended_jobs(self, now_s: float) -> list[JobId]:
        """Remove jobs past their retention time; returns their ids."""
        expired = [
            job.id
            for job in self.jobs.values()
            if job.has_ended and now_s - job.ended_at_s > ENDED_JOB_RETENTION_S
        ]
        for job_id in expired:
            self.jobs.pop(job_id)
            self.active.pop(job_id, None)
        self._held.release(expired)
        return expired

    def prune_active_jobs(
        self, is_stored: Callable[[Job], bool], now_s: float
    ) -> None:
        """Drop jobs that ended and hold no allocation from later passes.

        Their units go once ``is_stored``, which makes room for parked jobs.
        These also have their turn if others start nothing.
        """
        inactive = [
            job.id
            for job in self.active.values()
            if job.has_ended and not any(unit.allocations for unit in job.units)
        ]
        for job_id in inactive:
            self._held.record_ended(self.active.pop(job_id))
            self.advice.forget(job_id)
        self._held.drop_units(is_stored)
        self._held.end_turn(now_s)
        self._held.unpark(self.active)

    def _update_statistics(self, end: AllocationEnd, now_s: float) -> None:
        allocation = end.allocation
        unit = allocation.unit
        if end.kind is EndKind.DONE:
            self.reliability.record_success(allocation.worker)
            is_complete_run = (
                allocation.start_confirmed_at_s is not None
                and not unit.checkpoint
            )
            if is_complete_run and not unit.spec.is_service:
                duration_s = now_s - allocation.start_confirmed_at_s
                self.estimates.record_run(unit.job.spec.terms.queue, duration_s)
        elif end.kind in _FAILED_ENDS:
            unit.job.has_failed_run = True
            self.reliability.record_failure(
                allocation.worker, unit.job.id, now_s
            )

    def _restore_allocation(
        self, allocation: Allocation, leases_expire_at_s: float
    ) -> None:
        worker = self.workers.get(allocation.worker)
        if worker is None:
            worker = placeholder_worker(allocation.worker)
            self.workers[allocation.worker] = worker
        worker.leases_expire_at_s = leases_expire_at_s
        worker.allocations[allocation.ref] = allocation


def _accepted_unix_ms(job: Job) -> int:
    return job.accepted_unix_ms


def _reason_to_stop(allocation: Allocation) -> StopReason | None:
    """Return why a started run must stop; None if it goes on.

    An earlier leader may not have stopped the newer run of a done task.
    """
    unit = allocation.unit
    if allocation.phase is AllocationPhase.STOPPING:
        return None
    is_job_stopped = unit.job.phase in {JobPhase.CANCELLED, JobPhase.FAILED}
    if is_job_stopped or unit.is_aborting:
        return StopReason.JOB_ENDED
    return StopReason.TASK_DONE if unit.phase is UnitPhase.DONE else None
