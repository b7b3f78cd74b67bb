"""Scheduler of the leader: connects the engine to workers and the store."""

import asyncio
import logging

from mode import Service

from ..batch.engine import Engine
from ..batch.job_state import Allocation
from ..batch.membership import remove_departed
from ..batch.plan import Plan
from ..batch.policy import DesiredState
from ..clock import MS_PER_S, Clock
from ..exceptions import StoreError
from ..logs import log_event, log_unexpected_error
from ..store import WatchableStore
from .advice_requests import AdviceRequester
from .background_tasks import BackgroundTasks
from .job_records import (
    JobRecords,
    PendingWrite,
    load_jobs,
    restore_cancellations,
)
from .job_requests import JobRequestHandler
from .leadership import Leadership
from .lease_expiry_writer import LeaseExpiryWriter
from .messages import LeaderRecord
from .metrics import NodeMetrics
from .settings import NodeSettings
from .store_writer import (
    LeadershipLostError,
    StoreWriter,
    WriteWithdrawnError,
)
from .worker_events import WorkerEventHandler, log_evidence
from .worker_registry import WorkerAdapter, WorkerRegistry

# Changes within this time are handled by one scheduling pass.
BATCHING_DELAY_S = 0.01
# The event loop must also serve callers and workers, so passes take at most a
# third of its time: the pause is this many times as long as the last pass.
PASS_PAUSE_FACTOR = 2.0
# Longest time between two passes when nothing changes.
MAX_PASS_INTERVAL_S = 0.25
LOAD_RETRY_S = 0.2
# While as many starts are not answered, a pass can place few more.
BUSY_OPEN_STARTS = 150
BUSY_PASS_PAUSE_S = 0.05

logger = logging.getLogger(__name__)


class Scheduler(Service):
    """Runs scheduling passes while this VM is the leader."""

    def __init__(
        self,
        settings: NodeSettings,
        store: WatchableStore,
        leadership: Leadership,
        leader: LeaderRecord,
        *,
        worker_adapter: WorkerAdapter,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        """Create the services; orders carry the epoch of ``leader``."""
        super().__init__()
        self.engine = Engine(settings.memory_mb)
        self.is_loaded = False
        self._store = store
        self._leadership = leadership
        self._epoch = leader.epoch
        self._clock = clock
        self._metrics = metrics
        self._max_lease_ms = settings.max_lease_ms
        self._store_writer = StoreWriter(store, leadership, leader, clock)
        self._records = JobRecords(
            self._store_writer, settings.max_record_bytes
        )
        self._has_changes = asyncio.Event()
        self._next_pass_at_s = 0.0
        self._tasks = BackgroundTasks()
        self._worker_events = WorkerEventHandler(
            self.engine, self._records, leadership, clock
        )
        self._worker_registry = WorkerRegistry(
            self.engine,
            store,
            worker_adapter,
            self._worker_events,
            epoch=leader.epoch,
            settings=settings,
            clock=clock,
        )
        self._lease_expiry_writer = LeaseExpiryWriter(
            self.engine, self._store_writer, leadership, clock
        )
        self._advice_requester = AdviceRequester(
            self.engine, worker_adapter.request_advice, clock
        )
        self.job_requests = JobRequestHandler(
            self.engine, self._records, clock, metrics
        )
        self._connect_callbacks()

    async def on_start(self) -> None:
        """Start the store writer."""
        await self.add_runtime_dependency(self._store_writer)

    async def on_stop(self) -> None:
        """Cancel background tasks."""
        self._tasks.cancel()
        self._worker_events.tasks.cancel()
        self._advice_requester.tasks.cancel()
        self._lease_expiry_writer.tasks.cancel()

    def set_desired_state(self, desired_state: DesiredState) -> None:
        """Use ``desired_state`` from the next pass on."""
        self.engine.desired_state = desired_state
        self._has_changes.set()

    def _connect_callbacks(self) -> None:
        """Set the callbacks between the services."""
        self._worker_events.apply_plan = self._apply
        self._worker_events.find_link = self._worker_registry.find_link
        self._worker_events.on_change = self._has_changes.set
        self._worker_registry.on_change = self._has_changes.set
        self._lease_expiry_writer.on_stored = self._has_changes.set
        self._advice_requester.on_change = self._has_changes.set
        self.job_requests.run_pass = self._run_pass_if_due
        self.job_requests.stop_runs = self._worker_registry.order_stops

    @Service.task
    async def _run(self) -> None:
        while not self.is_loaded and not self.should_stop:
            try:
                await self._load_jobs()
            except StoreError as exc:
                log_event(
                    logger,
                    'scheduler.load_failed',
                    level=logging.WARNING,
                    error=exc,
                )
                await asyncio.sleep(LOAD_RETRY_S)
        await self.add_runtime_dependency(self._worker_registry)
        while not self.should_stop:
            await self._wait_for_changes()
            self._tick_safely()

    async def _load_jobs(self) -> None:
        """Restore all jobs from the store; scheduling starts only after it.

        Runs that no worker reports count as ended once every lease that may
        exist has expired.
        """
        loaded = await load_jobs(self._store, self._clock)
        lease_expiry = await self._lease_expiry_writer.load(self._store)
        self._store_writer.revisions.update(loaded.revisions)
        longest_wait_s = self._lease_expiry_writer.restore(
            lease_expiry, self._max_lease_ms / MS_PER_S, self._epoch
        )
        self.engine.restore(
            loaded.jobs, self._clock.monotonic_s() + longest_wait_s
        )
        restore_cancellations(
            self.engine.cancellations, loaded.cancellations, self._clock
        )
        self.is_loaded = True
        log_event(
            logger,
            'scheduler.loaded',
            jobs=len(loaded.jobs),
            active=len(self.engine.active),
            epoch=self._epoch,
            unseen_workers=self._lease_expiry_writer.silent_count,
            unseen_runs_lapse_s=round(longest_wait_s, 1),
        )

    async def _wait_for_changes(self) -> None:
        try:
            async with asyncio.timeout(MAX_PASS_INTERVAL_S):
                await self._has_changes.wait()
        except TimeoutError:
            self._has_changes.set()
        pause_s = self._next_pass_at_s - self._clock.monotonic_s()
        await asyncio.sleep(max(BATCHING_DELAY_S, pause_s))
        self._has_changes.clear()

    def _tick_safely(self) -> None:
        """Run a pass; after an unexpected error the leader lives on.

        Running work keeps its leases, and its ends are still stored.
        """
        try:
            self._tick()
        except Exception as exc:
            log_unexpected_error(logger, exc, epoch=self._epoch)

    def _tick(self) -> None:
        engine = self.engine
        now_s = self._clock.monotonic_s()
        self._lease_expiry_writer.update(now_s)
        self._apply(
            engine.expire_leases(unix_ms=self._clock.unix_ms(), now_s=now_s)
        )
        if self._leadership.has_authority:
            self._run_pass()
        self._worker_registry.close_links(
            remove_departed(engine.workers, engine.reliability, now_s)
        )
        self._records.delete(engine.remove_ended_jobs(now_s))
        self._records.delete_cancellations(
            engine.cancellations.remove_expired(now_s)
        )
        engine.prune_active_jobs(self._records.is_stored, now_s)
        self._metrics.record_engine_state(engine, now_s)

    def _run_pass_if_due(self) -> None:
        """Run a pass now, or soon if the last one took long."""
        if self._clock.monotonic_s() >= self._next_pass_at_s:
            self._run_pass()
        else:
            self._has_changes.set()

    def _run_pass(self) -> None:
        """Run one scheduling pass and carry out its plan."""
        started_at_s = self._clock.monotonic_s()
        open_starts = self._worker_registry.order_limits.open_starts
        plan = self.engine.plan(
            unix_ms=self._clock.unix_ms(),
            now_s=self._clock.monotonic_s(),
            open_starts=open_starts,
        )
        self._apply(plan)
        self._advice_requester.submit(plan.advice_request)
        if plan.is_partial:
            self._has_changes.set()
        ended_at_s = self._clock.monotonic_s()
        pause_s = PASS_PAUSE_FACTOR * (ended_at_s - started_at_s)
        if open_starts > BUSY_OPEN_STARTS:
            pause_s = max(pause_s, BUSY_PASS_PAUSE_S)
        self._next_pass_at_s = ended_at_s + pause_s

    def _apply(self, plan: Plan) -> None:
        """Write the changed jobs of ``plan`` and send its orders.

        Starts are sent once their job's record is stored, stops at once.
        """
        log_evidence(plan)
        self._metrics.record_evidence(plan)
        starts = plan.starts_by_job()
        for job in plan.changed:
            write = self._records.write_progress(job)
            # One task per job: a job may be withdrawn while others are stored.
            allocations = starts.get(job.id)
            if allocations:
                self._tasks.spawn(self._send_starts(allocations, write))
        for ended in plan.ended:
            self._records.write_end(ended)
        self._worker_registry.order_stops(plan.stops)

    async def _send_starts(
        self, allocations: list[Allocation], write: PendingWrite
    ) -> None:
        """Send the starts of one job once their record is stored."""
        try:
            await asyncio.shield(write)
        except LeadershipLostError:
            # A new leader schedules the job.
            return
        except WriteWithdrawnError:
            # The job was never accepted, or the store does not take its record.
            for allocation in allocations:
                self._worker_events.handle_start_dropped(allocation)
            return
        for allocation in allocations:
            link = self._worker_registry.find_link(allocation.worker)
            ticket = self._advice_requester.find_ticket(allocation)
            if link is None or ticket is None:
                self._worker_events.handle_start_dropped(allocation)
            else:
                link.orders.order_start(allocation, ticket)
