"""Watches job records: completes waits for jobs, counts queued jobs.

One scan per interval, of the records that changed since the last scan, serves
all callers of this VM. Deleted records do not appear in such a scan, so all
records are read from time to time.
"""

import asyncio
import sys

from mode import Service

from .clock import Clock
from .exceptions import StoreError
from .ids import JobId, OrganisationId
from .job import JobRecord
from .job_store import JobScan, JobStore, StoredJob
from .states import JobState

ACTIVE_SCAN_INTERVAL_S = 0.25
IDLE_SCAN_INTERVAL_S = 1.0
FULL_SCAN_INTERVAL_S = 60.0
# Greater than any revision of the store.
MAX_REVISION = sys.maxsize
# Its result is None when the wait ends before the job does.
Waiter = asyncio.Future[JobRecord | None]


class QueuedJobs:
    """Ids of the queued jobs, by organisation; does no I/O."""

    def __init__(self) -> None:
        """Start with no jobs."""
        self._by_organisation: dict[OrganisationId, set[JobId]] = {}

    def count(self, organisation: OrganisationId) -> int:
        """Return how many jobs of ``organisation`` are queued."""
        return len(self._by_organisation.get(organisation, ()))

    def update(self, record: JobRecord) -> None:
        """Add or remove the job of ``record`` according to its state."""
        jobs = self._by_organisation.setdefault(record.organisation, set())
        if record.state is JobState.QUEUED:
            jobs.add(record.job)
        else:
            jobs.discard(record.job)

    def clear(self) -> None:
        """Remove all jobs, before a full scan adds them again."""
        self._by_organisation.clear()


class JobWatch(Service):
    """Passes the record of an ended job to all callers that wait for it."""

    def __init__(self, job_store: JobStore, clock: Clock) -> None:
        """Watch the records of ``job_store``."""
        super().__init__()
        self.queued = QueuedJobs()
        self._job_store = job_store
        self._clock = clock
        self._waiters: dict[JobId, set[Waiter]] = {}
        self._seen_revision = 0
        self._full_scan_due_s = 0.0
        self._has_waiters = asyncio.Event()
        self._is_released = False

    def release_waiters(self) -> None:
        """End all waits now and all later ones immediately."""
        self._is_released = True
        for waiters in self._waiters.values():
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def wait(self, stored: StoredJob, timeout_s: float) -> JobRecord:
        """Return the final record, or that of ``stored`` if none comes.

        The wait ends after ``timeout_s`` or with ``release_waiters``.
        """
        if self._is_released:
            return stored.record
        job = stored.record.job
        # So that the next scan includes a change since ``stored`` was read.
        self._seen_revision = min(self._seen_revision, stored.mod_revision)
        waiter: Waiter = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(job, set()).add(waiter)
        self._has_waiters.set()
        try:
            return await asyncio.wait_for(waiter, timeout_s) or stored.record
        except TimeoutError:
            return stored.record
        finally:
            self._remove_waiter(job, waiter)

    @Service.task
    async def _scan_forever(self) -> None:
        while not self.should_stop:
            await self._scan()
            await asyncio.sleep(ACTIVE_SCAN_INTERVAL_S)
            if not self._waiters:
                await self._wait_for_waiter()

    async def _wait_for_waiter(self) -> None:
        self._has_waiters.clear()
        pause_s = IDLE_SCAN_INTERVAL_S - ACTIVE_SCAN_INTERVAL_S
        waiter_added = asyncio.create_task(self._has_waiters.wait())
        await asyncio.wait((waiter_added,), timeout=pause_s)
        waiter_added.cancel()

    async def _scan(self) -> None:
        now_s = self._clock.monotonic_s()
        is_full = now_s >= self._full_scan_due_s
        newer_than = 0 if is_full else self._seen_revision
        # Set before the call: ``wait`` may lower it while the scan is running.
        self._seen_revision = MAX_REVISION
        try:
            scan = await self._job_store.scan(newer_than)
        except StoreError:
            self._seen_revision = min(self._seen_revision, newer_than)
            return
        self._seen_revision = min(self._seen_revision, scan.store_revision)
        if is_full:
            self._full_scan_due_s = now_s + FULL_SCAN_INTERVAL_S
            self.queued.clear()
        self._apply_scan(scan)

    def _apply_scan(self, scan: JobScan) -> None:
        for stored in scan.jobs:
            self.queued.update(stored.record)
            if stored.record.state.is_final:
                self._complete_waits(stored.record)

    def _complete_waits(self, record: JobRecord) -> None:
        for waiter in self._waiters.get(record.job, ()):
            if not waiter.done():
                waiter.set_result(record)

    def _remove_waiter(self, job: JobId, waiter: Waiter) -> None:
        waiters = self._waiters[job]
        waiters.discard(waiter)
        if not waiters:
            self._waiters.pop(job)
