"""Job records: written through the store writer, read by a new leader."""

import asyncio
import logging
from collections.abc import Iterable
from functools import partial

import msgspec

from ..batch.cancellations import (
    CancellationRecord,
    Cancellations,
    decode_cancellation,
    encode_cancellation,
)
from ..batch.exceptions import JobRefusedError, RecordError
from ..batch.job_spec import JobSpec, count_tasks
from ..batch.job_state import Job, JobPhase, new_parked_job
from ..batch.records import (
    MAX_RECORD_BYTES,
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    largest_progress_bytes,
    restore_job,
    submission_bytes,
)
from ..clock import MS_PER_S, Clock
from ..ids import JobId
from ..logs import log_event
from ..store import StoredValue, WatchableStore
from .store_keys import (
    CANCELLATIONS_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    cancellation_key,
    job_key,
    progress_key,
)
from .store_writer import LeadershipLostError, StoreWriter

logger = logging.getLogger(__name__)

# No store takes the record soon, but the settings may change.
RECORD_RETRY_S = 30.0

PendingWrite = asyncio.Future[None]


class LoadedJobs(msgspec.Struct, frozen=True):
    """Jobs that a new leader read from the store."""

    jobs: list[Job]
    cancellations: list[tuple[JobId, CancellationRecord]]
    # Store revision of each record, by key.
    revisions: dict[str, int]


class JobRecords:
    """Writes the job records of the leader."""

    def __init__(
        self,
        store_writer: StoreWriter,
        max_record_bytes: int = MAX_RECORD_BYTES,
    ) -> None:
        """Write records of at most ``max_record_bytes``."""
        self.store_writer = store_writer
        self._max_record_bytes = max_record_bytes
        # Writes of submissions that are not stored yet.
        self._submission_writes: dict[JobId, PendingWrite] = {}
        # Writes of job ends that are not stored yet.
        self._end_writes: dict[JobId, PendingWrite] = {}
        # Writes of cancellations that are not stored yet.
        self._cancellation_writes: dict[JobId, PendingWrite] = {}

    def log_job_event(self, event: str, job: Job) -> None:
        """Log ``event`` with the terms, phase and size of ``job``."""
        terms = job.spec.terms
        log_event(
            logger,
            event,
            job=job.id,
            queue=terms.queue,
            organisation=terms.organisation,
            priority=terms.priority,
            phase=job.phase.value,
            tasks=count_tasks(job.spec),
            epoch=self.store_writer.epoch,
            reason=job.reason or None,
        )

    def refuse_too_large(self, spec: JobSpec) -> None:
        """Raise ``JobRefusedError`` if the store takes no records of a job."""
        largest_bytes = max(
            submission_bytes(spec), largest_progress_bytes(spec)
        )
        if largest_bytes > self._max_record_bytes:
            raise JobRefusedError(
                f'job {spec.job}: a record of {largest_bytes} bytes is over '
                f'the {self._max_record_bytes} that the store takes',
                RECORD_RETRY_S,
            )

    def write_submission(self, job: Job) -> None:
        """Write the submission of an accepted job."""
        write = self.store_writer.put(job_key(job.id), encode_submission(job))
        _track(self._submission_writes, job.id, write)

    def pending_submission(self, job: JobId) -> PendingWrite | None:
        """Return the pending write of a submission; None if it is stored."""
        return self._submission_writes.get(job)

    def write_progress(self, job: Job) -> PendingWrite:
        """Write the progress of ``job`` and return the pending write.

        It is not stored before the submission: a run must not start for a job
        that may still be refused.
        """
        key = progress_key(job.id)
        if job.has_ended and not job.units:
            # Its last record is stored: it says more than this one would.
            return self.store_writer.queue.find(key) or _stored_write()
        return self.store_writer.put(
            key,
            partial(encode_progress, job, self._max_record_bytes),
            after=job_key(job.id),
        )

    def is_stored(self, job: Job) -> bool:
        """Return whether no record of ``job`` waits to be stored."""
        return self.store_writer.queue.find(progress_key(job.id)) is None

    def write_end(self, job: Job) -> None:
        """Write the end of ``job``; it is shown as running until stored."""
        self.log_job_event('job.ended', job)
        _track(self._end_writes, job.id, self.write_progress(job))

    def pending_end(self, job: JobId) -> PendingWrite | None:
        """Return the pending write of a job's end; None if it is stored."""
        return self._end_writes.get(job)

    def durable_phase(self, job: Job) -> JobPhase:
        """Return the phase of ``job`` that survives a failover."""
        return JobPhase.RUNNING if job.id in self._end_writes else job.phase

    def write_cancellation(
        self, job: JobId, record: CancellationRecord
    ) -> PendingWrite:
        """Write the cancellation of an unknown job; return the write."""
        write = self.store_writer.put(
            cancellation_key(job), encode_cancellation(record)
        )
        _track(self._cancellation_writes, job, write)
        return write

    def pending_cancellation(self, job: JobId) -> PendingWrite | None:
        """Return the pending write of a cancellation; None if it is stored."""
        return self._cancellation_writes.get(job)

    def withdraw(self, job: Job) -> bool:
        """Withdraw the writes of a new job.

        Returns False if one of them may already be stored, or if none waits.
        """
        keys = (job_key(job.id), progress_key(job.id))
        return self.store_writer.withdraw(keys)

    def delete(self, jobs: Iterable[JobId]) -> None:
        """Delete the records of ``jobs``, whose retention time is over.

        The submission goes first: without its progress a new leader would take
        the job for one that never ran.
        """
        for job in jobs:
            submission_key = job_key(job)
            self.store_writer.put(submission_key, None)
            self.store_writer.put(progress_key(job), None, after=submission_key)

    def delete_cancellations(self, jobs: Iterable[JobId]) -> None:
        """Delete the cancellations of ``jobs``."""
        for job in jobs:
            self.store_writer.put(cancellation_key(job), None)


async def load_jobs(store: WatchableStore, clock: Clock) -> LoadedJobs:
    """Read all jobs and cancellations from the store; raises ``StoreError``.

    A record that cannot be decoded is logged, skipped and left in the store.
    """
    jobs, progress, cancellations = await asyncio.gather(
        store.scan(JOBS_PREFIX),
        store.scan(PROGRESS_PREFIX),
        store.scan(CANCELLATIONS_PREFIX),
    )
    encoded_progress = {
        item.key.removeprefix(PROGRESS_PREFIX): item.value
        for item in progress.found
    }
    restored = []
    for item in jobs.found:
        job_id = JobId(item.key.removeprefix(JOBS_PREFIX))
        try:
            restored.append(_restore(item, encoded_progress.get(job_id), clock))
        except RecordError as exc:
            _log_unreadable(job_id, exc)
    found = (*jobs.found, *progress.found, *cancellations.found)
    return LoadedJobs(
        restored,
        _decode_cancellations(cancellations.found),
        {stored_value.key: stored_value.mod_revision for stored_value in found},
    )


def restore_cancellations(
    cancellations: Cancellations,
    loaded: Iterable[tuple[JobId, CancellationRecord]],
    clock: Clock,
) -> None:
    """Add those that a new leader has loaded to ``cancellations``."""
    now_s = clock.monotonic_s()
    for job, record in sorted(
        loaded, key=lambda found: found[1].cancelled_unix_ms
    ):
        age_s = _age_s(record.cancelled_unix_ms, clock)
        cancellations.add(job, record.organisations, now_s - age_s)


def _restore(
    item: StoredValue, encoded_progress: bytes | None, clock: Clock
) -> Job:
    """Return the job; one that has never run has no units yet."""
    submission = decode_submission(item.value)
    now_s = clock.monotonic_s()
    if encoded_progress is None:
        job = new_parked_job(
            submission.spec, submission.accepted_unix_ms, now_s
        )
    else:
        progress = decode_progress(encoded_progress)
        job = restore_job(submission, progress, now_s)
    job.accepted_at_s = now_s - _age_s(submission.accepted_unix_ms, clock)
    if job.has_ended:
        job.ended_at_s = now_s - _age_s(job.ended_unix_ms, clock)
        if not any(unit.allocations for unit in job.units):
            job.units = []
    return job


def _decode_cancellations(
    found: Iterable[StoredValue],
) -> list[tuple[JobId, CancellationRecord]]:
    decoded = []
    for item in found:
        job_id = JobId(item.key.removeprefix(CANCELLATIONS_PREFIX))
        try:
            decoded.append((job_id, decode_cancellation(item.value)))
        except RecordError as exc:
            _log_unreadable(job_id, exc)
    return decoded


def _log_unreadable(job: JobId, exc: RecordError) -> None:
    log_event(
        logger,
        'job.record_unreadable',
        level=logging.ERROR,
        job=job,
        error=exc,
    )


def _stored_write() -> PendingWrite:
    stored = asyncio.get_running_loop().create_future()
    stored.set_result(None)
    return stored


def _track(
    writes: dict[JobId, PendingWrite], job: JobId, write: PendingWrite
) -> None:
    """Keep ``write`` in ``writes`` until it is stored or withdrawn.

    One that fails as leadership is lost stays: who waits for it fails, too.
    """

    def forget(done: PendingWrite) -> None:
        is_lost = isinstance(done.exception(), LeadershipLostError)
        if writes.get(job) is done and not is_lost:
            writes.pop(job)

    writes[job] = write
    write.add_done_callback(forget)


def _age_s(unix_ms: int, clock: Clock) -> float:
    """Return the time since ``unix_ms``; zero if another clock was ahead."""
    return max(0, clock.unix_ms() - unix_ms) / MS_PER_S
