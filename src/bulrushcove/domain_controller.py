"""Active control of one failure domain."""

import asyncio
import logging
from collections.abc import Callable

import msgspec
from mode import Service

from .clock import MS_PER_S, Clock
from .cluster import DomainSnapshot, Place, Plan
from .configuration_holder import ConfigurationHolder
from .domain_core import DomainCore
from .domain_snapshot import take_snapshot
from .domain_view import make_view
from .election import Tenure
from .gang import StopCause, Timing
from .gang_table import GangTable
from .ids import AttemptId, JobId, VmId
from .job_store import JobStore
from .messages import DomainView
from .permit import PermitBook
from .record_sync import RecordSync
from .settings import ControlSettings
from .vm_list import VmEntry
from .worker_client import WorkerClient
from .worker_rounds import WorkerRounds

logger = logging.getLogger(__name__)

# Shortest time between two passes: news that come together share a pass.
PASS_GAP_S = 0.02


class Surroundings(msgspec.Struct, frozen=True):
    """What a controller works with; shared by those of one process."""

    vm: VmId
    settings: ControlSettings
    clock: Clock
    jobs: JobStore
    client: WorkerClient
    holder: ConfigurationHolder
    permits: PermitBook
    vms: Callable[[], tuple[VmEntry, ...]]
    publish: Callable[[DomainView], None]
    plan: Callable[[DomainSnapshot], Plan]


class DomainController(Service):
    """Adopts what runs in the domain, then places and follows its jobs."""

    def __init__(self, tenure: Tenure, around: Surroundings) -> None:
        """Act under ``tenure`` once started."""
        super().__init__()
        self.tenure = tenure
        settings = around.settings
        self.table = GangTable(
            tenure.epoch,
            around.vm,
            Timing(
                lease_s=settings.task_lease_ms / MS_PER_S,
                reservation_s=settings.reservation_ms / MS_PER_S,
            ),
        )
        self.core = DomainCore(tenure.domain, self.table)
        # Why jobs wait, for operators.
        self.waits: dict[JobId, str] = {}
        self._around = around
        self._clock = around.clock
        self._round_s = settings.worker_round_ms / MS_PER_S
        self._news = asyncio.Event()
        self._records = RecordSync(self.core, around.jobs, self._clock)
        self._rounds = WorkerRounds(
            tenure.domain, self.table, around.client, self._clock, settings
        )
        self._rounds.vms = around.vms
        self._rounds.may_start = self.may_start
        self._rounds.on_news = self._news.set

    @property
    def is_fenced(self) -> bool:
        """Return whether a worker told of a higher epoch."""
        return self.table.fenced_by is not None

    def may_start(self) -> bool:
        """Return whether a task may start in the domain at this moment."""
        now_s = self._clock.monotonic_s()
        return self.tenure.holds(now_s) and self._around.permits.may_start(
            self.tenure.domain,
            self._around.holder.current,
            now_s,
            self._around.settings.start_permit_ttl_ms,
        )

    def notice(self) -> None:
        """Read the changed records soon."""
        self._records.scan_due = True
        self._news.set()

    async def on_start(self) -> None:
        """Start the rounds with the workers."""
        await self.add_runtime_dependency(self._rounds)

    @Service.task
    async def _work(self) -> None:
        # Fences earlier controls and learns what runs, before anything else.
        await self._rounds.try_all()
        while not self.should_stop and not self.is_fenced:
            self._news.clear()
            await self._pass()
            await self.sleep(PASS_GAP_S)
            await self._wait_for_news()

    async def _wait_for_news(self) -> None:
        try:
            async with asyncio.timeout(self._round_s):
                await self._news.wait()
        except TimeoutError:
            return

    async def _pass(self) -> None:
        await self._records.scan(self._round_s)
        self._advance()
        await self._records.commit(
            self.core.changes(
                self._clock.monotonic_s(),
                self._clock.unix_ms(),
            ),
        )
        self._advance()
        if self._records.has_scanned and self.may_start():
            await self._schedule()
        self._rounds.wake_urgent()
        self._around.publish(make_view(self.core, self._around.vm))

    def _advance(self) -> None:
        now_s = self._clock.monotonic_s()
        self.core.advance(now_s, may_start=self.may_start())
        self._rounds.wake_urgent()

    async def _schedule(self) -> None:
        plan = self._around.plan(
            take_snapshot(
                self.core,
                self._around.holder.current.contracts,
                self._clock.monotonic_s(),
                self._clock.unix_ms(),
            ),
        )
        self.waits = {wait.job: wait.reason for wait in plan.waits}
        if self._rounds.knows_all:
            await self._set_aside(plan)
        for reclaim in plan.reclaims:
            self._give_way(reclaim.attempt, StopCause.RECLAIMED)
        await asyncio.gather(*(self._place(place) for place in plan.places))

    async def _set_aside(self, plan: Plan) -> None:
        now_unix_ms = self._clock.unix_ms()
        await self._records.commit(
            self.core.set_aside(aside, now_unix_ms) for aside in plan.set_aside
        )

    def _give_way(self, attempt: AttemptId, cause: StopCause) -> None:
        gang = self.table.gangs.get(attempt)
        if gang is not None:
            self.table.give_way(gang, cause, self._clock.monotonic_s())

    async def _place(self, place: Place) -> None:
        change = self.core.place(place)
        written = await self._records.write(change)
        if written is not None:
            self.core.begin(written, self._clock.monotonic_s())
            self._rounds.wake_urgent()
