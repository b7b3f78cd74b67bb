"""Active control of one failure domain: the elected scheduler of its jobs."""

import asyncio
import gc
import logging
from collections.abc import Awaitable, Callable

from mode import Service

from .clock import MS_PER_S
from .controller_context import ControllerContext
from .domain_jobs import DomainJobs, RecordChange
from .domain_scheduler import DomainScheduler
from .domain_view import make_view
from .election import DomainLease
from .exceptions import PeerUnreachableError
from .gang import StopCause, Timing
from .gang_table import GangTable
from .ids import AttemptId
from .job_relocation import JobRelocation
from .messages import JobNotice
from .record_sync import RecordSync
from .scheduling_model import JobStart, Plan
from .tracing import span
from .worker_rounds import WorkerRounds

logger = logging.getLogger(__name__)

# Minimum pause between two passes, which groups changes into one pass.
MIN_PASS_PAUSE_S = 0.02


class DomainController(Service):
    """Adopts running gangs of the domain, then starts and supervises jobs."""

    def __init__(
        self, domain_lease: DomainLease, context: ControllerContext
    ) -> None:
        """Act under ``domain_lease`` once started."""
        super().__init__()
        self.domain_lease = domain_lease
        settings = context.settings
        self.table = GangTable(
            domain_lease.epoch,
            context.vm,
            Timing(
                lease_s=settings.task_lease_ms / MS_PER_S,
                reservation_s=settings.reservation_ms / MS_PER_S,
            ),
        )
        self.domain_jobs = DomainJobs(domain_lease.domain, self.table)
        self.scheduler = DomainScheduler(
            self.domain_jobs, context.clock, context.plan
        )
        self._relocation = JobRelocation(self.domain_jobs)
        self._context = context
        self._clock = context.clock
        self._round_interval_s = settings.worker_round_ms / MS_PER_S
        self._changed = asyncio.Event()
        self._published_at_s = float('-inf')
        self._records = RecordSync(
            self.domain_jobs, context.job_store, self._clock
        )
        self._records.on_written = self.scheduler.record_end
        self.rounds = WorkerRounds(
            domain_lease.domain,
            self.table,
            context.client,
            self._clock,
            settings,
        )
        self.rounds.vms = context.vms
        self.rounds.may_start = self.may_start
        self.rounds.on_change = self._changed.set

    @property
    def is_fenced(self) -> bool:
        """Return whether a worker has reported a higher epoch."""
        return self.table.fenced_by is not None

    def may_start(self) -> bool:
        """Return whether tasks may start in the domain now."""
        now_s = self._clock.monotonic_s()
        return self.domain_lease.is_valid(
            now_s
        ) and self._context.permits.may_start(
            self.domain_lease.domain,
            self._context.configuration_holder.current,
            now_s,
            self._context.settings.start_permit_ttl_ms,
        )

    def request_scan(self) -> None:
        """Have the next pass read the changed records."""
        self._records.is_scan_due = True
        self._changed.set()

    async def run_pass(self) -> None:
        """Read the records, decide on all jobs and write the changes."""
        await self._records.scan(self._round_interval_s)
        self._advance()
        await asyncio.sleep(0)
        changes = self.domain_jobs.needed_changes(
            self._clock.monotonic_s(), self._clock.unix_ms()
        )
        if changes:
            await self._records.commit(changes)
            self._advance()
        if self._records.has_scanned and self.may_start():
            await self._schedule()
        if self._records.has_scanned and self.domain_lease.is_valid(
            self._clock.monotonic_s(),
        ):
            await self._relocate_jobs()
        self.rounds.wake_urgent_workers()
        self._publish()

    async def on_start(self) -> None:
        """Start polling the workers."""
        await self.add_runtime_dependency(self.rounds)

    @Service.task
    async def _run_passes(self) -> None:
        # Fences controllers with lower epochs and learns which tasks run before
        # any decision.
        await self.rounds.poll_all_once()
        await _run_guarded(self.run_pass)
        # The adopted state lives for hours. Freezing exempts it from full
        # garbage collections, which blocked the event loop for tens of
        # milliseconds.
        gc.freeze()
        while not self.should_stop and not self.is_fenced:
            self._changed.clear()
            began_s = self._clock.monotonic_s()
            await _run_guarded(self.run_pass)
            # Leaves at least half of the time for polling the workers.
            duration_s = self._clock.monotonic_s() - began_s
            await self.sleep(max(MIN_PASS_PAUSE_S, duration_s))
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(self._round_interval_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _advance(self) -> None:
        now_s = self._clock.monotonic_s()
        self.domain_jobs.advance(now_s, may_start=self.may_start())
        self.rounds.wake_urgent_workers()

    def _publish(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s >= self._published_at_s + self._round_interval_s / 2:
            self._published_at_s = now_s
            self._context.publish(make_view(self.domain_jobs, self._context.vm))

    async def _schedule(self) -> None:
        plan = await self.scheduler.plan(
            self._context.configuration_holder.current
        )
        # A worker that has not reported yet might be able to run these jobs.
        if self.rounds.knows_all_workers:
            await self._end_unrunnable(plan)
        for preemption in plan.preemptions:
            self._preempt(preemption.attempt, StopCause.PREEMPTED)
        await asyncio.gather(
            *(self._start_job(job_start) for job_start in plan.starts)
        )

    async def _relocate_jobs(self) -> None:
        now_s = self._clock.monotonic_s()
        configuration = self._context.configuration_holder.current
        self._relocation.drain(configuration, now_s)
        moves = self._relocation.find_moves(
            configuration, self._context.views(), now_s
        )
        await asyncio.gather(*(self._move_job(move) for move in moves))

    async def _move_job(self, move: RecordChange) -> None:
        written = await self._records.write(move)
        if written is None:
            return
        notice = JobNotice(move.record.job, move.record.domain)
        try:
            await self._context.notify(notice)
        except PeerUnreachableError:
            # The next scan of the new domain finds the job.
            return

    async def _end_unrunnable(self, plan: Plan) -> None:
        now_unix_ms = self._clock.unix_ms()
        await self._records.commit(
            self.domain_jobs.unrunnable_change(unrunnable, now_unix_ms)
            for unrunnable in plan.unrunnable_jobs
        )

    def _preempt(self, attempt: AttemptId, cause: StopCause) -> None:
        gang = self.table.gangs.get(attempt)
        if gang is not None:
            self.table.checkpoint_and_stop(
                gang, cause, self._clock.monotonic_s()
            )

    async def _start_job(self, job_start: JobStart) -> None:
        change = self.domain_jobs.start_change(job_start)
        with span(
            'control.place',
            traceparent=change.record.traceparent,
            job=job_start.job,
            domain=self.domain_lease.domain,
        ):
            written = await self._records.write(change)
        if written is not None:
            self.domain_jobs.begin_attempt(written, self._clock.monotonic_s())
            self.rounds.wake_urgent_workers()


async def _run_guarded(run_pass: Callable[[], Awaitable[None]]) -> None:
    try:
        await run_pass()
    except Exception:
        # Leases must still be renewed after an error in a pass.
        logger.exception('control.pass_failed')
