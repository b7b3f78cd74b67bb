"""Polls one worker for reports and renews its lease, while this VM leads."""

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
from ..batch.progress_model import needs_short_polls
from ..batch.workers import Worker
from ..clock import Clock
from ..exceptions import WorkerError
from ..ids import Epoch
from ..logs import log_event, log_unexpected_error
from .worker_orders import LinkEventHandler, WorkerClient, WorkerOrders

# How long the worker may hold a report back until a run ends. Half of the
# lease must be left after it.
REPORT_WAIT_MS = 1500
# Lease of a draining worker. Short, so that its tasks restart elsewhere soon
# after it has shut down.
DRAINING_LEASE_MS = 3000
# After this many failed polls in a row the lease is no longer renewed.
MAX_FAILED_POLLS = 1
# Report wait while the outcome of an order is not known.
OPEN_ORDER_WAIT_MS = 250
# Added to it for each run that the report lists.
MS_PER_LISTED_RUN = 1
# Report wait while services share the worker with best-effort tasks, whose
# speed follows the services' tail latency over the last half second.
COLOCATED_WAIT_MS = 500
# Failed polls in a row that are ignored since this process itself was late.
MAX_IGNORED_POLLS = 3
# How long a poll waits until reported ends are stored, to acknowledge them.
STORE_WAIT_S = 0.4
# Single responses get lost, so the first retry is fast; the delay doubles.
RETRY_S = 0.05
# Interval between checks whether orders may be sent again.
AUTHORITY_CHECK_S = 0.25
MAX_RETRY_S = 1.0

logger = logging.getLogger(__name__)


class WorkerLink(Service):
    """Polls one worker and renews its lease while it has runs."""

    def __init__(
        self,
        worker: Worker,
        client: WorkerClient,
        event_handler: LinkEventHandler,
        *,
        epoch: Epoch,
        lease_ms: int,
        max_lease_ms: int,
        clock: Clock,
    ) -> None:
        """Poll ``worker`` through ``client`` with fencing token ``epoch``.

        Grants leases of ``lease_ms``; the worker cuts leases to
        ``max_lease_ms``.
        """
        super().__init__()
        self.worker = worker
        self.client = client
        self._event_handler = event_handler
        self._epoch = epoch
        self._lease_ms = lease_ms
        self._max_lease_ms = max_lease_ms
        self._clock = clock
        self._wake = asyncio.Event()
        # Set after the first poll, whether or not the worker has responded.
        self.was_polled = asyncio.Event()
        self._ignored_polls = 0
        # Sends start, stop and throttle orders.
        self.orders = WorkerOrders(
            worker,
            client,
            event_handler,
            epoch=epoch,
            clock=clock,
        )
        self.orders.on_outcome = self.wake

    async def on_stop(self) -> None:
        """Cancel orders in progress and close the connections."""
        self.was_polled.set()
        self.orders.cancel()
        await self.client.close()

    def wake(self) -> None:
        """Check again whether the worker must be polled."""
        self._wake.set()

    @Service.task
    async def _run(self) -> None:
        retry_delay_s = RETRY_S
        while not self.should_stop:
            if not self._event_handler.may_send_orders():
                await asyncio.sleep(AUTHORITY_CHECK_S)
                continue
            if not self._needs_poll():
                self._wake.clear()
                await self._wake.wait()
                continue
            has_report = await self._poll_safely()
            self.was_polled.set()
            if has_report:
                retry_delay_s = RETRY_S
            else:
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_S)

    def _needs_poll(self) -> bool:
        worker = self.worker
        has_runs = bool(worker.allocations or worker.orphans)
        ends = worker.ends
        has_unacknowledged_ends = ends.processed > ends.acknowledged
        return has_runs or has_unacknowledged_ends or self._is_state_unknown()

    def _is_state_unknown(self) -> bool:
        worker = self.worker
        return (
            not worker.has_reported
            or worker.failed_polls > 0
            or worker.unknown_incarnation_since_s > 0
        )

    async def _poll_safely(self) -> bool:
        """Poll the worker; an unexpected error affects this worker alone."""
        try:
            return await self._poll()
        except Exception as exc:
            log_unexpected_error(logger, exc, worker=self.worker.id)
            return False

    async def _poll(self) -> bool:
        """Request one report; return whether it was received."""
        worker = self.worker
        is_first_report = not worker.has_reported
        await self._wait_for_stored_ends()
        requested_at_s = self._clock.monotonic_s()
        lease_end_ms = None
        lease_ms = self._next_lease_ms()
        if lease_ms:
            lease_end_ms = worker.estimate_clock_ms(requested_at_s) + lease_ms
            worker.record_lease(lease_end_ms)
        ends = worker.ends
        acknowledged_end = self._next_acknowledged_end()
        try:
            report = await self.client.report(
                self._epoch,
                started_unix_ms=worker.entry.started_unix_ms,
                stored_end=acknowledged_end,
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
            if not self._is_failure_ignored(requested_at_s):
                self._record_failed_poll(exc)
            return False
        self._ignored_polls = 0
        if acknowledged_end:
            ends.acknowledged = acknowledged_end
        self._event_handler.handle_report(worker, report, requested_at_s)
        if is_first_report or worker.ends is not ends:
            # An earlier leader may have granted a lease just before.
            worker.record_lease(report.clock_ms + self._max_lease_ms)
        return True

    def _next_acknowledged_end(self) -> int:
        """Return the number of the last end to acknowledge; zero: none.

        Only the incarnation that has reported these ends drops them.
        """
        worker = self.worker
        stored = worker.ends.stored
        if stored <= worker.ends.acknowledged:
            return 0
        log_event(
            logger,
            'ends.acknowledged',
            worker=worker.id,
            through=stored,
            incarnation=worker.entry.started_unix_ms,
        )
        return stored

    def _next_lease_ms(self) -> int:
        """Return the lease that the next poll grants; zero: none."""
        worker = self.worker
        # A call without a response may still arrive late and renew the lease.
        # Without a renewal it is known when the lease has expired.
        if not worker.has_reported or worker.failed_polls >= MAX_FAILED_POLLS:
            return 0
        lease_ms = self._lease_ms
        if worker.entry.is_draining:
            lease_ms = min(lease_ms, DRAINING_LEASE_MS)
        return min(lease_ms, self._event_handler.longest_lease_ms(worker))

    def _is_failure_ignored(self, requested_at_s: float) -> bool:
        """Return whether a failed poll says nothing of the worker."""
        if self._ignored_polls >= MAX_IGNORED_POLLS:
            return False
        if not self._event_handler.was_late_since(requested_at_s):
            return False
        self._ignored_polls += 1
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
        """Wait until processed ends are stored, so that they are acknowledged.

        Gives up after ``STORE_WAIT_S``.
        """
        worker = self.worker
        give_up_at_s = self._clock.monotonic_s() + STORE_WAIT_S
        while (
            worker.ends.processed > worker.ends.stored
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
        if self._is_state_unknown():
            return 0
        if worker.ends.processed > worker.ends.stored:
            # The worker responds at once while it has unacknowledged ends.
            return 0
        if not self._event_handler.longest_lease_ms(worker):
            # Polled again soon, so that the lease is renewed in time.
            return _open_order_wait_ms(worker)
        # Progress ends a suspicion.
        if (
            needs_short_polls(worker)
            or worker.orphans
            or any(
                allocation.phase is not AllocationPhase.RUNNING
                for allocation in worker.allocations.values()
            )
        ):
            return _open_order_wait_ms(worker)
        if has_colocated_services(worker):
            return COLOCATED_WAIT_MS
        return REPORT_WAIT_MS if worker.allocations else 0


def _open_order_wait_ms(worker: Worker) -> int:
    """Return the report wait while the outcome of an order is not known.

    A report lists all runs: four a second of thousands of runs took all of the
    event loop's time.
    """
    wait_ms = OPEN_ORDER_WAIT_MS + MS_PER_LISTED_RUN * len(worker.allocations)
    return min(wait_ms, REPORT_WAIT_MS)
