"""Waits for jobs to end: one scan a round for all who wait."""

import asyncio

from mode import Service

from .exceptions import StoreError
from .ids import JobId
from .job import JobRecord
from .job_store import JobStore, StoredJob

SCAN_INTERVAL_S = 0.25
Waiter = asyncio.Future[JobRecord]


class JobWatch(Service):
    """Hands the record of an ended job to everybody who waits for it."""

    def __init__(self, jobs: JobStore) -> None:
        """Watch the records of ``jobs``."""
        super().__init__()
        self._jobs = jobs
        self._waiters: dict[JobId, set[Waiter]] = {}
        self._seen_revision = 0
        self._wanted = asyncio.Event()

    async def wait(self, stored: StoredJob, timeout_s: float) -> JobRecord:
        """Return the record once final, or as it was after ``timeout_s``."""
        job = stored.record.job
        if not self._waiters:
            self._seen_revision = stored.mod_revision
        # A change between the load and now must not be missed.
        self._seen_revision = min(self._seen_revision, stored.mod_revision)
        waiter: Waiter = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(job, set()).add(waiter)
        self._wanted.set()
        try:
            return await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            return stored.record
        finally:
            self._forget(job, waiter)

    @Service.task
    async def _scan_while_wanted(self) -> None:
        while not self.should_stop:
            await self._wanted.wait()
            await self._scan()
            await asyncio.sleep(SCAN_INTERVAL_S)

    async def _scan(self) -> None:
        try:
            scan = await self._jobs.scan(self._seen_revision)
        except StoreError:
            return
        self._seen_revision = max(self._seen_revision, scan.store_revision)
        for stored in scan.jobs:
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
        if not self._waiters:
            self._wanted.clear()
