"""Polls every worker of a domain in rounds, each independently."""

import asyncio
import logging
import random
from collections.abc import Callable

from mode import Service

from .clock import MS_PER_S, Clock
from .exceptions import WorkerError
from .gang_table import GangTable
from .ids import DomainName, WorkerId
from .logs import log_event
from .settings import ControlSettings
from .states import VmRole, VmState
from .vm_list import VmEntry
from .worker_client import WorkerClient

logger = logging.getLogger(__name__)

LIST_CHECK_INTERVAL_S = 0.5
# Largest fraction of the interval by which a round may begin early.
ROUND_JITTER = 0.1


class WorkerRounds(Service):
    """Runs a loop per worker, so a slow worker does not delay others."""

    def __init__(
        self,
        domain: DomainName,
        table: GangTable,
        client: WorkerClient,
        clock: Clock,
        settings: ControlSettings,
    ) -> None:
        """Send the requests of ``table`` and pass it the responses."""
        super().__init__()
        # Set by the domain controller before the service starts.
        self.vms: Callable[[], tuple[VmEntry, ...]] = tuple
        self.may_start: Callable[[], bool] = bool
        self.on_change: Callable[[], None] = _ignore
        self._domain = domain
        self._table = table
        self._client = client
        self._clock = clock
        self._interval_s = settings.worker_round_ms / MS_PER_S
        self._wake: dict[WorkerId, asyncio.Event] = {}
        self._first_rounds: dict[WorkerId, asyncio.Event] = {}

    async def poll_all_once(self) -> None:
        """Wait until the first round with every listed worker has ended."""
        self._start_listed()
        for first_round in tuple(self._first_rounds.values()):
            await first_round.wait()

    @property
    def knows_all_workers(self) -> bool:
        """Return whether every listed worker has responded at least once."""
        listed = self._listed()
        return bool(listed) and listed.keys() <= self._table.workers.keys()

    def wake_urgent_workers(self) -> None:
        """Start the next round of each urgent worker at once."""
        for worker in self._table.urgent_workers:
            wake = self._wake.get(worker)
            if wake is not None:
                wake.set()

    async def run_round(self, worker: WorkerId, vm: VmEntry) -> None:
        """Exchange one request and its response with a worker."""
        table = self._table
        try:
            if self._needs_description(worker):
                table.update_worker(await self._client.describe(vm))
            await self._exchange(worker, vm)
        except WorkerError as exc:
            self._record_failed_poll(worker, exc)
        liveness = table.workers.get(worker)
        if liveness is not None:
            liveness.is_draining = vm.state is VmState.LEAVING
        self.wake_urgent_workers()
        if table.has_changes:
            table.has_changes = False
            self.on_change()

    @Service.task
    async def _watch_list(self) -> None:
        while not self.should_stop:
            self._start_listed()
            await self.sleep(LIST_CHECK_INTERVAL_S)

    def _listed(self) -> dict[WorkerId, VmEntry]:
        return {
            WorkerId(vm.vm): vm
            for vm in self.vms()
            if vm.role is VmRole.WORKER and vm.domain == self._domain
        }

    def _start_listed(self) -> None:
        for worker in self._listed():
            if worker not in self._wake:
                self._wake[worker] = asyncio.Event()
                self._first_rounds[worker] = asyncio.Event()
                self.add_future(self._poll_worker(worker))

    async def _poll_worker(self, worker: WorkerId) -> None:
        while not self.should_stop:
            vm = self._listed().get(worker)
            if vm is None:
                break
            await self.run_round(worker, vm)
            self._first_rounds[worker].set()
            await self._wait_for_round(worker)
        self._table.remove_worker(worker, self._clock.monotonic_s())
        self._wake.pop(worker)
        self._first_rounds.pop(worker).set()

    def _needs_description(self, worker: WorkerId) -> bool:
        liveness = self._table.workers.get(worker)
        return liveness is None or liveness.is_unresponsive

    async def _exchange(self, worker: WorkerId, vm: VmEntry) -> None:
        sent_at_s = self._clock.monotonic_s()
        request = self._table.build_request(
            worker, sent_at_s, may_start=self.may_start()
        )
        response = await self._client.sync(vm, request)
        self._table.handle_response(worker, request, sent_at_s, response)

    def _record_failed_poll(self, worker: WorkerId, exc: WorkerError) -> None:
        liveness = self._table.workers.get(worker)
        if liveness is None or not liveness.is_unresponsive:
            log_event(
                logger,
                'worker.silent',
                level=logging.WARNING,
                worker=worker,
                error=exc,
            )
        self._table.handle_failed_poll(worker, self._clock.monotonic_s())

    async def _wait_for_round(self, worker: WorkerId) -> None:
        wake = self._wake[worker]
        # Spreads the rounds of workers that were first listed together.
        interval_s = self._interval_s * random.uniform(1 - ROUND_JITTER, 1)
        if worker not in self._table.urgent_workers:
            try:
                async with asyncio.timeout(interval_s):
                    await wake.wait()
            except TimeoutError:
                return
        wake.clear()


def _ignore() -> None:
    """Do nothing; the default of ``on_change``."""
