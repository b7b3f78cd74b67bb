"""Follows the store's list of workers and keeps a link to each worker."""

import asyncio
import logging
from collections.abc import Callable, Iterable

import msgspec
from mode import Service

from ..batch.engine import Engine
from ..batch.job_state import Allocation
from ..batch.membership import mark_unlisted, record_entry
from ..batch.workers import Worker, WorkerEntry
from ..clock import Clock
from ..ids import Epoch, WorkerId
from ..logs import log_event, log_unexpected_error
from ..store import WatchableStore
from .advice_requests import RequestAdvice
from .background_tasks import BackgroundTasks
from .order_limits import OrderLimits, WorkerOrderLimits
from .prefix_cache import Entries, PrefixCache
from .settings import NodeSettings, run_lease_ms
from .worker_link import WorkerLink
from .worker_orders import LinkEventHandler, WorkerClientFactory

# Every worker rewrites its entry each second or two, so changes are processed
# in batches. A draining worker must be noticed within 3 s.
ENTRY_BATCHING_DELAY_S = 0.6
# First polls that a new leader sends at the same time, per core. A small VM of
# half a core opens its share of connections within the time limit of a poll.
FIRST_POLLS_PER_CORE = 48
MIN_FIRST_POLLS = 24
# A worker at the largest distance responds within this. Later, a silent worker
# costs no CPU, so the next one is polled: a domain without power must not delay
# the workers of the others.
FIRST_POLL_SLOT_S = 0.2

logger = logging.getLogger(__name__)


class WorkerAdapter(msgspec.Struct, frozen=True):
    """Access to workers, their entries in the store and their adviser."""

    # Store prefix of the workers' entries.
    prefix: str
    decode_entry: Callable[[str, bytes], WorkerEntry | None]
    make_client: WorkerClientFactory
    request_advice: RequestAdvice


class WorkerRegistry(Service):
    """Keeps a link to each listed worker until the worker has departed."""

    def __init__(
        self,
        engine: Engine,
        store: WatchableStore,
        worker_adapter: WorkerAdapter,
        event_handler: LinkEventHandler,
        *,
        epoch: Epoch,
        settings: NodeSettings,
        clock: Clock,
    ) -> None:
        """Send orders with ``epoch`` and report to ``event_handler``.

        ``settings`` has the CPU of this VM and the longest lease.
        """
        super().__init__()
        # Called when a worker is listed, changed or unlisted.
        self.on_change: Callable[[], None] = _do_nothing
        self.order_limits = OrderLimits()
        self._engine = engine
        self._store = store
        self._worker_adapter = worker_adapter
        self._event_handler = event_handler
        self._epoch = epoch
        self._lease_ms = run_lease_ms(settings.max_lease_ms)
        self._max_lease_ms = settings.max_lease_ms
        self._clock = clock
        self._links: dict[WorkerId, WorkerLink] = {}
        # Addresses that the links use.
        self._addresses: dict[WorkerId, str] = {}
        self._first_polls = asyncio.Semaphore(
            first_poll_limit(settings.cpu_cores)
        )
        self._tasks = BackgroundTasks()

    async def on_start(self) -> None:
        """Start to follow the workers' entries in the store."""
        entry_cache = PrefixCache(
            self._store,
            self._worker_adapter.prefix,
            self._handle_entries,
            batching_delay_s=ENTRY_BATCHING_DELAY_S,
        )
        await self.add_runtime_dependency(entry_cache)

    async def on_stop(self) -> None:
        """Cancel background tasks."""
        self._tasks.cancel()

    def find_link(self, worker: WorkerId) -> WorkerLink | None:
        """Return the link to ``worker``; None if there is none."""
        return self._links.get(worker)

    def order_stops(self, allocations: Iterable[Allocation]) -> None:
        """Order the runs on ``allocations`` to stop."""
        for allocation in allocations:
            link = self._links.get(allocation.worker)
            if link is not None:
                link.orders.order_stop(allocation)

    def close_links(self, workers: Iterable[WorkerId]) -> None:
        """Close the links to ``workers``, which have departed."""
        for worker in workers:
            log_event(logger, 'worker.forgotten', worker=worker)
            self._close_link(worker)

    def _handle_entries(
        self, entries: Entries, changed: frozenset[str]
    ) -> None:
        # A new leader first needs to hear of the workers that have runs.
        for key in sorted(changed, key=self._has_no_runs):
            self._handle_key(key, entries.get(key))
        self.on_change()

    def _handle_key(self, key: str, encoded_entry: bytes | None) -> None:
        """Apply one entry; an unexpected error affects its worker alone."""
        try:
            entry = (
                self._worker_adapter.decode_entry(key, encoded_entry)
                if encoded_entry
                else None
            )
            if entry is not None:
                self._handle_entry(entry)
                return
        except Exception as exc:
            log_unexpected_error(logger, exc, worker=self._worker_id(key))
        self._handle_unlisted(key)

    def _has_no_runs(self, key: str) -> bool:
        worker = self._engine.workers.get(self._worker_id(key))
        return worker is None or not worker.allocations

    def _worker_id(self, key: str) -> WorkerId:
        return WorkerId(key.removeprefix(self._worker_adapter.prefix))

    def _handle_unlisted(self, key: str) -> None:
        worker = self._worker_id(key)
        if worker in self._engine.workers:
            log_event(logger, 'worker.unlisted', worker=worker)
        mark_unlisted(self._engine.workers, worker, self._clock.monotonic_s())

    def _handle_entry(self, entry: WorkerEntry) -> None:
        listed_worker = self._engine.workers.get(entry.worker)
        if listed_worker is not None and listed_worker.matches_entry(entry):
            return
        log_event(
            logger,
            'worker.listed',
            worker=entry.worker,
            incarnation=entry.started_unix_ms,
            leaving=entry.is_draining,
            domain=entry.domain,
            accelerators=entry.capacity.accelerators,
        )
        worker = record_entry(
            self._engine.workers,
            self._engine.reliability,
            entry,
            self._clock.monotonic_s(),
        )
        address = self._addresses.get(worker.id, entry.address)
        if address != entry.address:
            # The worker has restarted; what the old address answers, if
            # anything, says nothing of it.
            self._close_link(worker.id)
        link = self._links.get(worker.id)
        if link is None:
            self._tasks.spawn(self._open_link(worker))
        else:
            link.wake()

    def _close_link(self, worker: WorkerId) -> None:
        link = self._links.pop(worker, None)
        self._addresses.pop(worker, None)
        if link is not None:
            self._tasks.spawn(link.stop())

    async def _open_link(self, worker: Worker) -> None:
        async with self._first_polls:
            if worker.id in self._links or not worker.is_listed:
                return
            link = self._make_link(worker)
            self._links[worker.id] = link
            self._addresses[worker.id] = worker.entry.address
            await self.add_runtime_dependency(link)
            self.order_stops(
                allocation
                for allocation in worker.allocations.values()
                if allocation.stop_reason is not None
            )
            await _wait_for_first_poll(link)

    def _make_link(self, worker: Worker) -> WorkerLink:
        link = WorkerLink(
            worker,
            self._worker_adapter.make_client(worker.id, worker.entry.address),
            self._event_handler,
            epoch=self._epoch,
            lease_ms=self._lease_ms,
            max_lease_ms=self._max_lease_ms,
            clock=self._clock,
        )
        link.orders.limits = WorkerOrderLimits(self.order_limits)
        return link


def first_poll_limit(cpu_cores: float) -> int:
    """Return how many first polls a VM of ``cpu_cores`` sends at a time."""
    return max(MIN_FIRST_POLLS, round(cpu_cores * FIRST_POLLS_PER_CORE))


async def _wait_for_first_poll(link: WorkerLink) -> None:
    """Wait until ``link`` was polled, at most ``FIRST_POLL_SLOT_S``."""
    try:
        async with asyncio.timeout(FIRST_POLL_SLOT_S):
            await link.was_polled.wait()
    except TimeoutError:
        return


def _do_nothing() -> None:
    """Stand in for a handler that is set later."""
