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
from ..batch.pacing import has_colocated_services
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
DRAINING_LEASE_MS = 3000
# After as many calls without an answer no longer lease is asked for.
MAX_FAILED_POLLS = 1
# While the outcome of an order is open.
OPEN_ORDER_WAIT_MS = 250
# Where tails of serving tasks must be followed; the figures are of the last
# half second.
COLOCATED_WAIT_MS = 500
# Ends are confirmed once stored; a report does not wait longer for that.
STORE_WAIT_S = 0.4
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
        event_handler: LinkEventHandler,
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
        self.acknowledged_end = 0
        self._event_handler = event_handler
        self._epoch = epoch
        self._lease_ms = lease_ms
        self._clock = clock
        self._wake = asyncio.Event()
        # Starts and stops.
        self.orders = WorkerOrders(
            worker, client, event_handler, epoch=epoch, clock=clock
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
        retry_delay_s = RETRY_S
        while not self.should_stop:
            if not self._needs_poll():
                self._wake.clear()
                await self._wake.wait()
                continue
            if await self._poll():
                retry_delay_s = RETRY_S
            else:
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_S)

    def _needs_poll(self) -> bool:
        worker = self.worker
        if not self._event_handler.may_send_orders():
            return False
        has_runs = bool(worker.allocations or worker.orphans)
        is_state_unknown = not worker.has_reported or worker.failed_polls > 0
        has_unacknowledged_ends = worker.processed_end > self.acknowledged_end
        return has_runs or is_state_unknown or has_unacknowledged_ends

    async def _poll(self) -> bool:
        """Ask for one report; returns whether it came."""
        worker = self.worker
        await self._wait_for_stored_ends()
        sent_at_s = self._clock.monotonic_s()
        lease_end_ms = None
        # A silent worker may carry out each call later: without longer
        # leases it is known when its runs have lapsed.
        if worker.has_reported and worker.failed_polls < MAX_FAILED_POLLS:
            lease_ms = self._lease_ms
            if worker.entry.is_draining:
                lease_ms = min(lease_ms, DRAINING_LEASE_MS)
            lease_end_ms = worker.estimate_clock_ms(sent_at_s) + lease_ms
            worker.record_lease(lease_end_ms)
        stored_end = worker.stored_end
        try:
            report = await self.client.report(
                self._epoch,
                stored_end=stored_end,
                lease_end_ms=lease_end_ms,
                wait_ms=self._report_wait_ms(),
            )
        except WorkerFencedError:
            self._event_handler.handle_fenced(worker)
            return False
        except WorkerReplacedError as exc:
            self._record_failed_poll(exc)
            self._event_handler.handle_worker_replaced(worker)
            return False
        except WorkerCallError as exc:
            self._record_failed_poll(exc)
            return False
        is_same_incarnation = (
            report.started_unix_ms == worker.entry.started_unix_ms
        )
        self.acknowledged_end = stored_end if is_same_incarnation else 0
        self._event_handler.handle_report(worker, report, sent_at_s)
        return True

    def _record_failed_poll(self, exc: WorkerError) -> None:
        worker = self.worker
        worker.failed_polls += 1
        log_event(
            logger,
            'worker.silent',
            worker=worker.id,
            missed=worker.failed_polls,
            error=exc,
        )
        self._event_handler.handle_failed_poll(worker)

    async def _wait_for_stored_ends(self) -> None:
        """Let the ends that were seen be stored, so that they are confirmed."""
        worker = self.worker
        give_up_at_s = self._clock.monotonic_s() + STORE_WAIT_S
        while (
            worker.processed_end > worker.stored_end
            and self._clock.monotonic_s() < give_up_at_s
        ):
            self._wake.clear()
            try:
                async with asyncio.timeout(STORE_WAIT_S):
                    await self._wake.wait()
            except TimeoutError:
                return

    def _report_wait_ms(self) -> int:
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
            return OPEN_ORDER_WAIT_MS
        if has_colocated_services(worker):
            return COLOCATED_WAIT_MS
        return REPORT_WAIT_MS if worker.allocations else 0
