"""Follows the job records: who waits for a job, and how many are queued.

One scan a round, of what changed since the last one, serves all callers of
this VM. Deleted records do not show in it, so now and then all are read.
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

WANTED_INTERVAL_S = 0.25
IDLE_INTERVAL_S = 1.0
FULL_SCAN_S = 60.0
# Above every revision of the store.
MAX_REVISION = sys.maxsize
# None: the wait ends without news.
Waiter = asyncio.Future[JobRecord | None]


class QueuedJobs:
    """Jobs in the state queued, by organisation; a core without I/O."""

    def __init__(self) -> None:
        """Start without any job."""
        self._by_organisation: dict[OrganisationId, set[JobId]] = {}

    def count(self, organisation: OrganisationId) -> int:
        """Return how many jobs of ``organisation`` wait."""
        return len(self._by_organisation.get(organisation, ()))

    def update(self, record: JobRecord) -> None:
        """Take over the state of one record."""
        jobs = self._by_organisation.setdefault(record.organisation, set())
        if record.state is JobState.QUEUED:
            jobs.add(record.job)
        else:
            jobs.discard(record.job)

    def clear(self) -> None:
        """Forget every job, before all are noted anew."""
        self._by_organisation.clear()


class JobWatch(Service):
    """Hands the record of an ended job to everybody who waits for it."""

    def __init__(self, jobs: JobStore, clock: Clock) -> None:
        """Watch the records of ``jobs``."""
        super().__init__()
        self.queued = QueuedJobs()
        self._jobs = jobs
        self._clock = clock
        self._waiters: dict[JobId, set[Waiter]] = {}
        self._seen_revision = 0
        self._full_scan_due_s = 0.0
        self._wanted = asyncio.Event()
        self._is_closed = False

    def release_waiters(self) -> None:
        """Let every wait end now, and those to come at once."""
        self._is_closed = True
        for waiters in self._waiters.values():
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def wait(self, stored: StoredJob, timeout_s: float) -> JobRecord:
        """Return the record once final, or as it was after ``timeout_s``."""
        if self._is_closed:
            return stored.record
        job = stored.record.job
        # A change between the load and now must not be missed.
        self._seen_revision = min(self._seen_revision, stored.mod_revision)
        waiter: Waiter = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(job, set()).add(waiter)
        self._wanted.set()
        try:
            return await asyncio.wait_for(waiter, timeout_s) or stored.record
        except TimeoutError:
            return stored.record
        finally:
            self._forget(job, waiter)

    @Service.task
    async def _scan_forever(self) -> None:
        while not self.should_stop:
            await self._scan()
            await asyncio.sleep(WANTED_INTERVAL_S)
            if not self._waiters:
                await self._pause()

    async def _pause(self) -> None:
        self._wanted.clear()
        pause_s = IDLE_INTERVAL_S - WANTED_INTERVAL_S
        wanted = asyncio.create_task(self._wanted.wait())
        await asyncio.wait((wanted,), timeout=pause_s)
        wanted.cancel()

    async def _scan(self) -> None:
        now_s = self._clock.monotonic_s()
        full = now_s >= self._full_scan_due_s
        newer_than = 0 if full else self._seen_revision
        # Set before the call: a waiter may lower it while it is on its way.
        self._seen_revision = MAX_REVISION
        try:
            scan = await self._jobs.scan(newer_than)
        except StoreError:
            self._seen_revision = min(self._seen_revision, newer_than)
            return
        self._seen_revision = min(self._seen_revision, scan.store_revision)
        if full:
            self._full_scan_due_s = now_s + FULL_SCAN_S
            self.queued.clear()
        self._take(scan)

    def _take(self, scan: JobScan) -> None:
        for stored in scan.jobs:
            self.queued.update(stored.record)
            if stored.record.state.is_final:
                self._wake(stored.record)

    def _wake(self, record: JobRecord) -> None:
        for waiter in self._waiters.get(record.job, ()):
            if not waiter.done():
                waiter.set_result(record)

    def _forget(self, job: JobId, waiter: Waiter) -> None:
        waiters = self._waiters[job]
        waiters.discard(waiter)
        if not waiters:
            self._waiters.pop(job)
