"""Synchronizes the open job records of a domain with the store."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from .clock import Clock
from .domain_jobs import DomainJobs, RecordChange
from .exceptions import StoreError
from .job_store import JobChangedError, JobStore, StoredJob
from .logs import log_event

logger = logging.getLogger(__name__)

# Concurrent writes of one pass to the store.
MAX_WRITES = 16


class RecordSync:
    """Scans and writes records.

    A pass of the domain controller never does both at the same time.
    """

    def __init__(
        self, domain_jobs: DomainJobs, job_store: JobStore, clock: Clock
    ) -> None:
        """Synchronize ``domain_jobs``."""
        self.is_scan_due = True
        # Called after each successful write; set by the domain controller.
        self.on_written: Callable[[RecordChange], None] = _ignore
        self._domain_jobs = domain_jobs
        self._job_store = job_store
        self._clock = clock
        self._last_scan_at_s = 0.0
        self._scanned_revision = 0
        self._writes = asyncio.Semaphore(MAX_WRITES)

    @property
    def has_scanned(self) -> bool:
        """Return whether all records were read at least once."""
        return self._scanned_revision > 0

    async def scan(self, interval_s: float) -> None:
        """Read the changed records if a scan is due.

        It is due if ``is_scan_due`` is set, or ``interval_s`` after the last.
        """
        began_at_s = self._clock.monotonic_s()
        if (
            not self.is_scan_due
            and began_at_s < self._last_scan_at_s + interval_s
        ):
            return
        self.is_scan_due = False
        self._last_scan_at_s = began_at_s
        try:
            scan = await self._job_store.scan(self._scanned_revision)
        except StoreError as exc:
            self._log_error('jobs.not_scanned', exc)
            return
        self._scanned_revision = scan.store_revision
        for stored in scan.jobs:
            self._domain_jobs.update_record(stored)
        self._domain_jobs.adopt_attempts(self._clock.monotonic_s())
        self._domain_jobs.table.confirm_orphans(began_at_s)

    async def commit(self, changes: Iterable[RecordChange]) -> None:
        """Write ``changes``; later passes repeat those that fail."""
        await asyncio.gather(*(self.write(change) for change in changes))

    async def write(self, change: RecordChange) -> StoredJob | None:
        """Write one change and return it; None if it may have failed."""
        async with self._writes:
            try:
                stored = await self._job_store.replace(
                    change.stored, change.record
                )
            except JobChangedError as exc:
                self._handle_conflict(change, exc)
                return None
            except StoreError as exc:
                self._log_error('job.not_written', exc)
                return None
        self._domain_jobs.update_record(stored)
        self.on_written(change)
        _log_change(change)
        return stored

    def _handle_conflict(
        self, change: RecordChange, exc: JobChangedError
    ) -> None:
        self.is_scan_due = True
        if exc.stored is None:
            self._domain_jobs.remove_record(change.record.job)
        else:
            self._domain_jobs.update_record(exc.stored)

    def _log_error(self, event: str, exc: StoreError) -> None:
        log_event(
            logger,
            event,
            level=logging.WARNING,
            domain=self._domain_jobs.domain,
            error=exc,
        )


def _ignore(_change: RecordChange) -> None:
    """Do nothing; the default of ``on_written``."""


def _log_change(change: RecordChange) -> None:
    record = change.record
    previous = change.stored.record
    if record.state is previous.state and record.domain == previous.domain:
        return
    log_event(
        logger,
        f'job.{record.state.value}',
        job=record.job,
        organisation=record.organisation,
        domain=record.domain,
        attempts=record.attempts,
        reason=record.reason or None,
    )
