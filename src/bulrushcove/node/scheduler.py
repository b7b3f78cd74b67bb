"""The active scheduler: the engine, and the input and output round it."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from mode import Service

from ..batch.engine import Engine, Plan
from ..batch.exceptions import RecordError
from ..batch.ids import QueueName
from ..batch.model import JobSpec
from ..batch.orders import OrderOutcome
from ..batch.passes import may_start
from ..batch.policy import Standing
from ..batch.progress import Job, JobPhase, Seat
from ..batch.reconcile import SeatEnd
from ..batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from ..batch.workers import EndKind, Worker, WorkerEntry, WorkerReport
from ..clock import Clock
from ..exceptions import StoreError
from ..ids import JobId, OrganisationId, WorkerId
from ..logs import log_event
from ..store import SharedStore, StoredValue
from .exceptions import NotServingError
from .feed import Contents, Feed
from .journal import Journal, TenureLostError, WithdrawnError
from .keys import JOBS_PREFIX, PROGRESS_PREFIX, job_key, progress_key
from .messages import Holder
from .metrics import NodeMetrics
from .settings import NodeSettings
from .tenure import AUTHORITY_S, Tenure
from .worker_link import PortFactory, WorkerLink

# A lease outlives a change of the active scheduler; a longer one keeps the
# work of a lost worker from starting elsewhere.
LEASE_MS = 8000
# Changes of this short a time are decided on together.
GATHER_S = 0.01
# Without news the waiting work is looked at this often.
TICK_S = 0.25
LOAD_RETRY_S = 0.2
# While the store takes no write, nothing can be accepted: submissions are
# refused after this, so that callers come back when it may have returned.
STORE_PATIENCE_S = 0.4
STORE_CHECK_S = 0.1
STORE_AWAY_RETRY_S = 1.0
STORE_AWAY = 'the store takes no records now'
# Every worker writes its entry each second or two: news are taken together,
# well within the three seconds in which a leaving worker must be known.
WORKERS_PAUSE_S = 0.6
MS_PER_S = 1000
_DRIFT_MARGIN = 1.02

DecodeWorker = Callable[[str, bytes], WorkerEntry | None]

logger = logging.getLogger(__name__)


class Scheduler(Service):
    """Schedules while this VM holds the tenure."""

    def __init__(
        self,
        settings: NodeSettings,
        store: SharedStore,
        tenure: Tenure,
        holder: Holder,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        """Schedule under the tenure of ``holder`` once started."""
        super().__init__()
        self.engine = Engine()
        self.is_loaded = False
        self._settings = settings
        self._store = store
        self._tenure = tenure
        self._holder = holder
        self._clock = clock
        self._metrics = metrics
        self._journal = Journal(store, tenure, holder, clock)
        self._links: dict[WorkerId, WorkerLink] = {}
        self._lease_ms = min(LEASE_MS, settings.max_lease_ms)
        self._news = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._submitting: dict[JobId, asyncio.Future[None]] = {}
        # Jobs whose end is not stored yet.
        self._unstored: set[JobId] = set()
        self.make_port: PortFactory | None = None
        self.decode_worker: DecodeWorker | None = None
        self.workers_prefix = ''

    async def on_start(self) -> None:
        """Write records from now on."""
        await self.add_runtime_dependency(self._journal)

    async def on_stop(self) -> None:
        """Give up what is in progress."""
        for task in tuple(self._tasks):
            task.cancel()

    def note_standing(self, standing: Standing) -> None:
        """The operators have changed something."""
        self.engine.standing = standing
        self._news.set()

    async def submit(self, spec: JobSpec) -> None:
        """Accept ``spec``: it is stored when this returns.

        Raises ``JobRefusedError``, ``JobConflictError``,
        ``NotServingError`` or ``TenureLostError``.
        """
        engine = self.engine
        is_away = self._journal.failing_s > STORE_PATIENCE_S
        if is_away and spec.job not in engine.jobs:
            raise NotServingError(STORE_AWAY, STORE_AWAY_RETRY_S)
        job, is_new = engine.submit(
            spec, unix_ms=self._clock.unix_ms(), now_s=self._now_s()
        )
        if is_new:
            stored = self._journal.put(job_key(job.id), encode_submission(job))
            self._submitting[job.id] = stored
            stored.add_done_callback(
                lambda _: self._submitting.pop(job.id, None)
            )
            self._metrics.accepted(job)
            self._log_job('job.accepted', job)
            # The first run is often placed in the same transaction.
            self._pass()
        waiting = self._submitting.get(job.id)
        if waiting is not None:
            await self._wait_for_storing(job, waiting)

    async def _wait_for_storing(
        self, job: Job, stored: asyncio.Future[None]
    ) -> None:
        """Wait until ``job`` is stored; refuse it while the store is away."""
        keys = (job_key(job.id), progress_key(job.id))
        while not stored.done():
            await asyncio.wait((stored,), timeout=STORE_CHECK_S)
            is_away = self._journal.failing_s > STORE_PATIENCE_S
            if is_away and not stored.done() and self._journal.withdraw(keys):
                self._drop(job)
        try:
            await asyncio.shield(stored)
        except WithdrawnError as exc:
            raise NotServingError(STORE_AWAY, STORE_AWAY_RETRY_S) from exc

    def _drop(self, job: Job) -> None:
        """Forget a job that was never stored; nothing of it was sent."""
        self.engine.drop(job)
        self._log_job('job.withdrawn', job)
        self._news.set()

    async def cancel(self, job_id: JobId, organisation: OrganisationId) -> bool:
        """Cancel a job, durably; false: there is no such job."""
        job = self._find(job_id, organisation)
        if job is None:
            return False
        was_over = job.has_ended
        stops = self.engine.cancel(
            job, unix_ms=self._clock.unix_ms(), now_s=self._now_s()
        )
        if was_over:
            return True
        self._log_job('job.cancelled', job)
        stored = self._put_progress(job)
        self._stop(stops)
        self._news.set()
        await asyncio.shield(stored)
        return True

    def phase(
        self, job_id: JobId, organisation: OrganisationId
    ) -> JobPhase | None:
        """Return the state of a job of ``organisation``."""
        job = self._find(job_id, organisation)
        if job is None:
            return None
        # An end is shown once no successor can forget it.
        return JobPhase.RUNNING if job_id in self._unstored else job.phase

    def pending(self, queue: QueueName) -> int:
        """Return how many jobs of ``queue`` have not begun."""
        return self.engine.pending(queue)

    def may_order(self) -> bool:
        """Return whether orders may be given now."""
        return self._tenure.has_authority

    def may_begin(self, seat: Seat) -> bool:
        """Return whether the start of ``seat`` is still wanted."""
        worker = self.engine.workers.get(seat.worker)
        return (
            self._tenure.has_authority
            and worker is not None
            and not seat.unit.is_broken
            and not seat.unit.job.has_ended
            and may_start(self.engine, worker, self._now_s())
        )

    def note_report(
        self, worker: Worker, report: WorkerReport, sent_s: float
    ) -> None:
        """Apply what a worker reported; its ends are stored, then confirmed."""
        before = worker.seen_end
        plan, findings = self.engine.report(
            worker,
            report,
            sent_s=sent_s,
            now_s=self._now_s(),
            unix_ms=self._clock.unix_ms(),
        )
        for end in findings.ends:
            self._log_end(end)
        link = self._links.get(worker.id)
        for stray in findings.strays:
            if link is not None:
                link.stop_stray(stray)
        self._apply(plan)
        if worker.seen_end != before:
            self._spawn(self._confirm(worker, worker.seen_end, plan.changed))
        if findings.ends or findings.strays:
            self._news.set()

    def note_order_failed(self, seat: Seat, outcome: OrderOutcome) -> None:
        """A start was refused."""
        if outcome in {OrderOutcome.UNHEALTHY, OrderOutcome.OTHER_INSTANCE}:
            self.engine.trust.note_failure(
                seat.worker, seat.unit.job.id, self._now_s()
            )
        self.note_seat_over(seat, EndKind.NEVER_STARTED)

    def note_seat_over(self, seat: Seat, kind: EndKind) -> None:
        """A run is over, or never was."""
        worker = self.engine.workers.get(seat.worker)
        if worker is None or worker.seats.pop(seat.ref, None) is None:
            return
        end = SeatEnd(seat, kind)
        self._log_end(end)
        plan = self.engine.end_seats(
            (end,), unix_ms=self._clock.unix_ms(), now_s=self._now_s()
        )
        self._apply(plan)
        self._news.set()

    def note_silent(self, worker: Worker) -> None:
        """A worker did not answer."""
        if worker.missed_calls == 1:
            self._news.set()

    def note_gone(self, worker: Worker) -> None:
        """Another instance has the worker's address: its life is over."""
        plan = self.engine.end_life(
            worker, unix_ms=self._clock.unix_ms(), now_s=self._now_s()
        )
        self._apply(plan)
        self._news.set()

    def note_fenced(self, worker: Worker) -> None:
        """A worker has seen a higher epoch."""
        reason = f'worker {worker.id} has seen a higher epoch'
        self._spawn(self._tenure.lose(reason))

    @Service.task
    async def _run(self) -> None:
        await self._load()
        feed = Feed(
            self._store,
            self.workers_prefix,
            self._note_workers,
            pause_s=WORKERS_PAUSE_S,
        )
        await self.add_runtime_dependency(feed)
        while not self.should_stop:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._news.wait()
            except TimeoutError:
                self._news.set()
            await asyncio.sleep(GATHER_S)
            self._news.clear()
            self._tick()

    async def _load(self) -> None:
        """Read all records; without them nothing is decided."""
        while not self.should_stop:
            try:
                jobs, progress = await asyncio.gather(
                    self._store.scan(JOBS_PREFIX),
                    self._store.scan(PROGRESS_PREFIX),
                )
            except StoreError as exc:
                log_event(
                    logger,
                    'scheduler.load_failed',
                    level=logging.WARNING,
                    error=exc,
                )
                await asyncio.sleep(LOAD_RETRY_S)
                continue
            break
        found = (*jobs.found, *progress.found)
        for item in found:
            self._journal.revisions[item.key] = item.mod_revision
        restored = self._restore(jobs.found, progress.found)
        lease_s = self._lease_ms / MS_PER_S * _DRIFT_MARGIN
        if not self._tenure.predecessor_is_over:
            lease_s += AUTHORITY_S
        self.engine.restore(restored, self._now_s() + lease_s)
        self.is_loaded = True
        log_event(
            logger,
            'scheduler.loaded',
            jobs=len(restored),
            active=len(self.engine.active),
            epoch=self._holder.epoch,
        )

    def _restore(
        self,
        jobs: Iterable[StoredValue],
        progress: Iterable[StoredValue],
    ) -> list[Job]:
        stored = {
            item.key.removeprefix(PROGRESS_PREFIX): item.value
            for item in progress
        }
        now_s = self._now_s()
        wall_ms = self._clock.unix_ms()
        restored = []
        for item in jobs:
            job_id = item.key.removeprefix(JOBS_PREFIX)
            known = stored.get(job_id)
            try:
                submission = decode_submission(item.value)
                job = restore_job(
                    submission,
                    decode_progress(known) if known else None,
                    now_s,
                )
            except RecordError as exc:
                log_event(
                    logger,
                    'job.record_unreadable',
                    level=logging.ERROR,
                    job=job_id,
                    error=exc,
                )
                continue
            age_s = max(0, wall_ms - submission.accepted_unix_ms) / MS_PER_S
            job.accepted_s = now_s - age_s
            restored.append(job)
        return restored

    def _note_workers(
        self, contents: Contents, changed: frozenset[str]
    ) -> None:
        decode = self.decode_worker
        for key in changed:
            stored = contents.get(key)
            worker_id = WorkerId(key.removeprefix(self.workers_prefix))
            entry = decode(key, stored) if decode and stored else None
            if entry is None:
                if worker_id in self.engine.workers:
                    log_event(logger, 'worker.unlisted', worker=worker_id)
                self.engine.note_unlisted(worker_id, self._now_s())
                continue
            known = self.engine.workers.get(worker_id)
            if known is not None and known.is_same_as_listed(entry):
                continue
            worker = self.engine.note_entry(entry, self._now_s())
            log_event(
                logger,
                'worker.listed',
                worker=worker_id,
                leaving=entry.is_leaving,
                domain=entry.domain,
                accelerators=entry.capacity.accelerators,
            )
            self._spawn(self._ensure_link(worker))
        self._news.set()

    async def _ensure_link(self, worker: Worker) -> None:
        if worker.id in self._links or self.make_port is None:
            return
        link = WorkerLink(
            worker,
            self.make_port(worker.id, worker.entry.address),
            self,
            epoch=self._holder.epoch,
            lease_ms=self._lease_ms,
            clock=self._clock,
        )
        self._links[worker.id] = link
        await self.add_runtime_dependency(link)

    def _tick(self) -> None:
        engine = self.engine
        plan = engine.expire(unix_ms=self._clock.unix_ms(), now_s=self._now_s())
        self._apply(plan)
        if self._tenure.has_authority:
            self._pass()
        for worker_id in engine.forget_gone_workers(self._now_s()):
            log_event(logger, 'worker.forgotten', worker=worker_id)
            link = self._links.pop(worker_id, None)
            if link is not None:
                self._spawn(link.stop())
        engine.settle_active()
        self._metrics.observe_engine(engine)

    def _pass(self) -> None:
        plan = self.engine.plan(
            unix_ms=self._clock.unix_ms(), now_s=self._now_s()
        )
        self._apply(plan)

    def _apply(self, plan: Plan) -> None:
        stored = []
        for job in plan.changed:
            stored.append(self._put_progress(job))
        for ended in plan.ended:
            self._note_ended(ended)
        self._stop(plan.stops)
        if plan.starts:
            self._spawn(self._start(plan.starts, stored))

    async def _start(
        self, seats: list[Seat], stored: list[asyncio.Future[None]]
    ) -> None:
        """Send starts once their records are stored."""
        try:
            await asyncio.gather(*(asyncio.shield(one) for one in stored))
        except (TenureLostError, WithdrawnError):
            return
        for seat in seats:
            link = self._links.get(seat.worker)
            if link is None:
                self.note_seat_over(seat, EndKind.NEVER_STARTED)
                continue
            link.order_start(seat)

    def _stop(self, seats: Iterable[Seat]) -> None:
        for seat in seats:
            link = self._links.get(seat.worker)
            if link is not None:
                link.order_stop(seat)

    async def _confirm(
        self, worker: Worker, number: int, changed: Iterable[Job]
    ) -> None:
        """Confirm ends up to ``number`` once what they changed is stored."""
        life = worker.entry.born_unix_ms
        try:
            await asyncio.gather(
                *(asyncio.shield(self._put_progress(job)) for job in changed)
            )
        except (TenureLostError, WithdrawnError):
            return
        if worker.entry.born_unix_ms == life:
            worker.stored_end = max(worker.stored_end, number)
        link = self._links.get(worker.id)
        if link is not None:
            link.wake()

    def _note_ended(self, job: Job) -> None:
        self._log_job('job.ended', job)
        self._unstored.add(job.id)
        stored = self._put_progress(job)
        stored.add_done_callback(lambda _: self._unstored.discard(job.id))

    def _put_progress(self, job: Job) -> asyncio.Future[None]:
        return self._journal.put(progress_key(job.id), encode_progress(job))

    def _find(self, job_id: JobId, organisation: OrganisationId) -> Job | None:
        job = self.engine.jobs.get(job_id)
        if job is None or job.spec.terms.organisation != organisation:
            return None
        return job

    def _spawn(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _now_s(self) -> float:
        return self._clock.monotonic_s()

    def _log_job(self, event: str, job: Job) -> None:
        terms = job.spec.terms
        log_event(
            logger,
            event,
            job=job.id,
            queue=terms.queue,
            organisation=terms.organisation,
            priority=terms.priority,
            phase=job.phase.value,
            tasks=sum(u.size for u in job.units),
            reason=job.reason or None,
        )

    def _log_end(self, end: SeatEnd) -> None:
        ref = end.seat.ref
        log_event(
            logger,
            'run.ended',
            worker=end.seat.worker,
            job=ref.task.job,
            occurrence=ref.task.occurrence,
            step=ref.task.step,
            index=ref.task.index,
            run=ref.run,
            how=end.kind.value,
        )
