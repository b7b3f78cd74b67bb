"""Runs the scheduling passes of a domain and keeps state between them."""

import asyncio
from collections.abc import Callable, Generator

import msgspec

from .clock import MS_PER_S, Clock
from .configuration import Configuration
from .domain_jobs import DomainJobs, RecordChange
from .domain_snapshot import take_snapshot
from .gang import GangAttempt
from .ids import JobId
from .job import JobRecord
from .move_planner import must_leave
from .runtime_history import RuntimeHistory
from .scheduling_model import DomainSnapshot, Plan, Reservation, WorkerCapacity
from .states import JobState, TaskState
from .unrunnable_delay import UnrunnableDelay
from .worker_probes import may_be_probe
from .worker_reliability import WorkerReliability

# Yields where other tasks of the event loop may run; returns the plan.
Planner = Callable[[DomainSnapshot], Generator[None, None, Plan]]


class DomainScheduler:
    """Runs ``planner`` with the run times and failures of earlier jobs."""

    def __init__(
        self, domain_jobs: DomainJobs, clock: Clock, planner: Planner
    ) -> None:
        """Schedule the jobs of ``domain_jobs``."""
        # Shown to operators, by job.
        self.wait_reasons: dict[JobId, str] = {}
        self._domain_jobs = domain_jobs
        self._clock = clock
        self._planner = planner
        self._reservations: tuple[Reservation, ...] = ()
        self._runtime_history = RuntimeHistory()
        self._reliability = WorkerReliability()
        self._unrunnable_delay = UnrunnableDelay()

    async def plan(self, configuration: Configuration) -> Plan:
        """Run one pass and return its decisions."""
        steps = self._planner(self._snapshot(configuration))
        while True:
            try:
                next(steps)
            except StopIteration as done:
                return self._record_plan(done.value)
            await asyncio.sleep(0)

    def record_end(self, change: RecordChange) -> None:
        """Record the run time and the failures of an attempt that has ended.

        ``change`` is the write that recorded its end.
        """
        attempt = change.stored.record.current
        if attempt is None or change.record.state is JobState.RUNNING:
            return
        gang = self._domain_jobs.table.gangs.get(attempt.attempt)
        if gang is None:
            return
        self._record_reliability(gang)
        if change.record.state is JobState.SUCCEEDED:
            self._record_runtime(gang)

    def _snapshot(self, configuration: Configuration) -> DomainSnapshot:
        snapshot = take_snapshot(
            self._domain_jobs,
            configuration.contracts,
            self._clock.monotonic_s(),
            self._clock.unix_ms(),
        )
        return msgspec.structs.replace(
            snapshot,
            workers=tuple(
                self._with_reliability(worker_capacity, snapshot.queued)
                for worker_capacity in snapshot.workers
            ),
            queued=tuple(
                record
                for record in snapshot.queued
                if not must_leave(
                    record, self._domain_jobs.domain, configuration
                )
            ),
            observed_runs=self._runtime_history.observed_runs(),
            reservations=self._reservations,
        )

    def _with_reliability(
        self, worker_capacity: WorkerCapacity, queued: tuple[JobRecord, ...]
    ) -> WorkerCapacity:
        worker = worker_capacity.description.worker
        if self._reliability.is_reliable(worker):
            return worker_capacity
        is_probe_due = self._reliability.is_probe_due(
            worker, self._clock.monotonic_s()
        )
        # If no queued job may be a probe, the worker takes any work. Otherwise
        # it could not recover, and gangs would never use it again.
        return msgspec.structs.replace(
            worker_capacity,
            usable=worker_capacity.usable and is_probe_due,
            is_probe_only=any(map(may_be_probe, queued)),
        )

    def _record_plan(self, plan: Plan) -> Plan:
        self._reservations = plan.reservations
        self.wait_reasons = {
            waiting.job: waiting.reason for waiting in plan.waiting_jobs
        }
        self.wait_reasons.update(
            {
                unrunnable.job: unrunnable.reason
                for unrunnable in plan.unrunnable_jobs
            },
        )
        due = self._unrunnable_delay.due(
            plan.unrunnable_jobs,
            self._clock.monotonic_s(),
        )
        return msgspec.structs.replace(plan, unrunnable_jobs=due)

    def _record_reliability(self, gang: GangAttempt) -> None:
        now_s = self._clock.monotonic_s()
        for worker, allocation in gang.allocations.items():
            states = set(allocation.states.values())
            if TaskState.FAILED in states:
                self._reliability.record_failure(worker, gang.record, now_s)
            elif TaskState.FINISHED in states:
                self._reliability.record_success(worker, gang.record)

    def _record_runtime(self, gang: GangAttempt) -> None:
        longest_ms = max(
            report.run_ms
            for allocation in gang.allocations.values()
            for report in allocation.reports.values()
        )
        self._runtime_history.record_run(
            gang.record.organisation,
            gang.record.spec.kind,
            longest_ms / MS_PER_S,
        )


def as_planner(plan: Callable[[DomainSnapshot], Plan]) -> Planner:
    """Return a planner that calls ``plan`` in a single step."""

    def run(snapshot: DomainSnapshot) -> Generator[None, None, Plan]:
        yield
        return plan(snapshot)

    return run
