"""Records of jobs: written through the journal, read at the take-over."""

import asyncio
import logging
from collections.abc import Iterable

import msgspec

from ..batch.exceptions import RecordError
from ..batch.job_state import Job, JobPhase
from ..batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from ..clock import MS_PER_S, Clock
from ..ids import JobId
from ..logs import log_event
from ..store import StoredValue, WatchableStore
from .store_keys import JOBS_PREFIX, PROGRESS_PREFIX, job_key, progress_key
from .store_writer import StoreWriter

logger = logging.getLogger(__name__)

PendingWrite = asyncio.Future[None]


class LoadedJobs(msgspec.Struct, frozen=True):
    """What the store held at a take-over."""

    jobs: list[Job]
    # Revision of each record.
    revisions: dict[str, int]


class JobRecords:
    """Stores the jobs of the active scheduler."""

    def __init__(self, store_writer: StoreWriter) -> None:
        """Write through ``store_writer``."""
        self.store_writer = store_writer
        # Submissions that are not stored yet.
        self._submitting: dict[JobId, PendingWrite] = {}
        # Jobs whose end is not stored yet.
        self._ending: dict[JobId, PendingWrite] = {}

    def put_submission(self, job: Job) -> None:
        """Store what was accepted."""
        stored = self.store_writer.put(job_key(job.id), encode_submission(job))
        self._submitting[job.id] = stored
        stored.add_done_callback(lambda _: self._submitting.pop(job.id, None))

    def submission_of(self, job: JobId) -> PendingWrite | None:
        """Return the write of a submission while it is under way."""
        return self._submitting.get(job)

    def put_progress(self, job: Job) -> PendingWrite:
        """Store how far ``job`` is."""
        return self.store_writer.put(progress_key(job.id), encode_progress(job))

    def put_end(self, job: Job) -> None:
        """Store the end of ``job``; until then it is shown as running."""
        log_job('job.ended', job)
        stored = self.put_progress(job)
        self._ending[job.id] = stored
        stored.add_done_callback(lambda _: self._ending.pop(job.id, None))

    def end_of(self, job: JobId) -> PendingWrite | None:
        """Return the write of a job's end while it is under way."""
        return self._ending.get(job)

    def shown_phase(self, job: Job) -> JobPhase:
        """Return the state that no successor can take back."""
        return JobPhase.RUNNING if job.id in self._ending else job.phase

    def withdraw(self, job: Job) -> bool:
        """Take the writes of a new job back, if none can have been done."""
        keys = (job_key(job.id), progress_key(job.id))
        return self.store_writer.withdraw(keys)

    def delete(self, jobs: Iterable[JobId]) -> None:
        """Delete the records of jobs that ended long ago."""
        for job in jobs:
            self.store_writer.put(job_key(job), None)
            self.store_writer.put(progress_key(job), None)


async def load_records(store: WatchableStore, clock: Clock) -> LoadedJobs:
    """Read all jobs; raises ``StoreError``.

    A record that cannot be read is logged and left as it is.
    """
    jobs, progress = await asyncio.gather(
        store.scan(JOBS_PREFIX), store.scan(PROGRESS_PREFIX)
    )
    known = {
        item.key.removeprefix(PROGRESS_PREFIX): item.value
        for item in progress.found
    }
    restored = []
    for item in jobs.found:
        job_id = item.key.removeprefix(JOBS_PREFIX)
        try:
            restored.append(_restore(item, known.get(job_id), clock))
        except RecordError as exc:
            log_event(
                logger,
                'job.record_unreadable',
                level=logging.ERROR,
                job=job_id,
                error=exc,
            )
    found = (*jobs.found, *progress.found)
    return LoadedJobs(restored, {one.key: one.mod_revision for one in found})


def log_job(event: str, job: Job) -> None:
    """Log a decision on ``job`` with what it rests on."""
    terms = job.spec.terms
    log_event(
        logger,
        event,
        job=job.id,
        queue=terms.queue,
        organisation=terms.organisation,
        priority=terms.priority,
        phase=job.phase.value,
        tasks=sum(unit.size for unit in job.units),
        reason=job.reason or None,
    )


def _restore(item: StoredValue, known: bytes | None, clock: Clock) -> Job:
    submission = decode_submission(item.value)
    progress = decode_progress(known) if known else None
    now_s = clock.monotonic_s()
    job = restore_job(submission, progress, now_s)
    age_ms = max(0, clock.unix_ms() - submission.accepted_unix_ms)
    job.accepted_at_s = now_s - age_ms / MS_PER_S
    return job
