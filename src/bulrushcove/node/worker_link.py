"""The active scheduler's conversation with one worker."""

import asyncio
import logging

from mode import Service

from ..batch.job_state import AllocationPhase
from ..batch.orders import (
    WorkerCallError,
    WorkerFencedError,
    WorkerReplacedError,
)
from ..batch.throttle import has_colocated_services
from ..batch.workers import Worker
from ..clock import Clock
from ..exceptions import WorkerError
from ..ids import Epoch
from ..logs import log_event
from .worker_orders import LinkEventHandler, WorkerClient, WorkerOrders

# How long a report waits for an end. Half of a lease must be left after it.
REPORT_WAIT_MS = 1500
# Lease of a worker that leaves: once it is silent, what it ran goes on
# elsewhere after this.
LEAVING_LEASE_MS = 3000
# After as many calls without an answer no longer lease is asked for.
SILENT_CALLS = 1
# While the outcome of an order is open.
SHORT_WAIT_MS = 250
# Where tails of serving tasks must be followed; the figures are of the last
# half second.
SHARED_WAIT_MS = 500
# Ends are confirmed once stored; a report does not wait longer for that.
STORING_WAIT_S = 0.4
# Single answers get lost: the first repetition follows soon.
RETRY_S = 0.05
MAX_RETRY_S = 1.0

logger = logging.getLogger(__name__)


class WorkerLink(Service):
    """Renews the lease of one worker while anything runs there."""

    def __init__(
        self,
        worker: Worker,
        client: WorkerClient,
        events: LinkEventHandler,
        *,
        epoch: Epoch,
        lease_ms: int,
        clock: Clock,
    ) -> None:
        """Speak to ``worker`` through ``client`` under ``epoch``."""
        super().__init__()
        self.worker = worker
        self.client = client
        # Last end that the worker was told is stored, and confirmed it.
        self.confirmed_end = 0
        self._events = events
        self._epoch = epoch
        self._lease_ms = lease_ms
        self._clock = clock
        self._wake = asyncio.Event()
        # Starts and stops.
        self.orders = WorkerOrders(
            worker, client, events, epoch=epoch, clock=clock
        )
        self.orders.on_outcome = self.wake

    async def on_stop(self) -> None:
        """Give up orders in progress."""
        self.orders.cancel()
        await self.client.close()

    def wake(self) -> None:
        """Look again whether the worker is to be called."""
        self._wake.set()

    @Service.task
    async def _run(self) -> None:
        pause_s = RETRY_S
        while not self.should_stop:
            if not self._has_reason_to_call():
                self._wake.clear()
                await self._wake.wait()
                continue
            if await self._call():
                pause_s = RETRY_S
            else:
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_RETRY_S)

    def _has_reason_to_call(self) -> bool:
        worker = self.worker
        if not self._events.may_send_orders():
            return False
        holds_something = bool(worker.allocations or worker.orphans)
        is_open = not worker.has_reported or worker.failed_polls > 0
        has_ends = worker.processed_end > self.confirmed_end
        return holds_something or is_open or has_ends

    async def _call(self) -> bool:
        """Ask for one report; returns whether it came."""
        worker = self.worker
        await self._wait_for_storing()
        requested_at_s = self._clock.monotonic_s()
        lease_end_ms = None
        # A silent worker may carry out each call later: without longer
        # leases it is known when its runs have lapsed.
        if worker.has_reported and worker.failed_polls < SILENT_CALLS:
            lease_ms = self._lease_ms
            if worker.entry.is_draining:
                lease_ms = min(lease_ms, LEAVING_LEASE_MS)
            lease_end_ms = worker.estimate_clock_ms(requested_at_s) + lease_ms
            worker.record_lease(lease_end_ms)
        stored_end = worker.stored_end
        try:
            report = await self.client.report(
                self._epoch,
                stored_end=stored_end,
                lease_end_ms=lease_end_ms,
                wait_ms=self._wait_ms(),
            )
        except WorkerFencedError:
            self._events.handle_fenced(worker)
            return False
        except WorkerReplacedError as exc:
            self._note_silent(exc)
            self._events.handle_worker_replaced(worker)
            return False
        except WorkerCallError as exc:
            self._note_silent(exc)
            return False
        is_same_life = report.started_unix_ms == worker.entry.started_unix_ms
        self.confirmed_end = stored_end if is_same_life else 0
        self._events.handle_report(worker, report, requested_at_s)
        return True

    def _note_silent(self, exc: WorkerError) -> None:
        worker = self.worker
        worker.failed_polls += 1
        log_event(
            logger,
            'worker.silent',
            worker=worker.id,
            missed=worker.failed_polls,
            error=exc,
        )
        self._events.handle_failed_poll(worker)

    async def _wait_for_storing(self) -> None:
        """Let the ends that were seen be stored, so that they are confirmed."""
        worker = self.worker
        until_s = self._clock.monotonic_s() + STORING_WAIT_S
        while (
            worker.processed_end > worker.stored_end
            and self._clock.monotonic_s() < until_s
        ):
            self._wake.clear()
            try:
                async with asyncio.timeout(STORING_WAIT_S):
                    await self._wake.wait()
            except TimeoutError:
                return

    def _wait_ms(self) -> int:
        worker = self.worker
        if not worker.has_reported or worker.failed_polls:
            return 0
        if worker.processed_end > worker.stored_end:
            # The ends that are not stored yet would end the wait at once.
            return 0
        if worker.orphans or any(
            allocation.phase is not AllocationPhase.RUNNING
            for allocation in worker.allocations.values()
        ):
            return SHORT_WAIT_MS
        if has_colocated_services(worker):
            return SHARED_WAIT_MS
        return REPORT_WAIT_MS if worker.allocations else 0
