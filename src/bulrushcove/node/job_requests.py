"""Submission, cancellation and queries of jobs on the leader."""

import asyncio
from collections.abc import Callable, Iterable

from ..batch.admission import outage_retry_s
from ..batch.cancellations import CancellationRecord
from ..batch.engine import Engine
from ..batch.exceptions import JobCancelledError, JobRefusedError
from ..batch.ids import QueueName
from ..batch.job_spec import JobSpec
from ..batch.job_state import Allocation, Job, JobPhase
from ..clock import Clock
from ..ids import JobId, OrganisationId
from .exceptions import ServiceUnavailableError, WriteRejectedError
from .job_records import RECORD_RETRY_S, JobRecords, PendingWrite
from .metrics import NodeMetrics
from .store_writer import WriteWithdrawnError

# No job can be accepted while the store rejects writes. After an outage of
# this length submissions are refused, to be retried when it may be back.
STORE_OUTAGE_THRESHOLD_S = 0.4
STORE_CHECK_INTERVAL_S = 0.1
STORE_UNAVAILABLE = 'the store is unavailable; no job can be accepted'


class JobRequestHandler:
    """Carries out callers' job requests on the leader."""

    def __init__(
        self,
        engine: Engine,
        records: JobRecords,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        """Add jobs to ``engine`` and write them through ``records``."""
        # Set by the scheduler: run a scheduling pass, and stop runs.
        self.run_pass: Callable[[], None] = _do_nothing
        self.stop_runs: Callable[[Iterable[Allocation]], None] = _ignore_stops
        self._engine = engine
        self._records = records
        self._clock = clock
        self._metrics = metrics

    async def submit(self, spec: JobSpec) -> None:
        """Accept ``spec`` and return once it is stored.

        Raises ``JobRefusedError``, ``JobConflictError``,
        ``JobCancelledError``, ``ServiceUnavailableError`` or
        ``LeadershipLostError``.
        """
        if self._is_store_unavailable() and spec.job not in self._engine.jobs:
            raise self._unavailable_error(spec)
        if spec.job not in self._engine.jobs:
            self._records.refuse_too_large(spec)
        try:
            job, is_new = self._engine.submit(
                spec,
                unix_ms=self._clock.unix_ms(),
                now_s=self._clock.monotonic_s(),
            )
        except JobCancelledError:
            # Until it is stored, a new leader would accept the job.
            await _wait_if_pending(self._records.pending_cancellation(spec.job))
            raise
        if is_new:
            self._records.write_submission(job)
            self._metrics.record_accepted_job(job)
            self._records.log_job_event('job.accepted', job)
            # The record of the first run often fits in the same transaction.
            self.run_pass()
        write = self._records.pending_submission(job.id)
        if write is not None:
            await self._wait_until_stored(job, write)

    async def cancel(
        self, job_id: JobId, organisation: OrganisationId
    ) -> JobPhase | None:
        """Cancel a job and return its phase once that is stored.

        Returns None if ``organisation`` has no such job; its submission is
        refused from then on. Raises ``LeadershipLostError`` or
        ``WriteRejectedError``.
        """
        job = self._find_job(job_id, organisation)
        while job is not None:
            self._cancel_if_active(job)
            # A repeated call also waits: a new leader must not undo what was
            # reported as cancelled.
            try:
                await _wait_if_pending(self._records.pending_end(job_id))
            except WriteRejectedError:
                raise
            except WriteWithdrawnError:
                # It was not accepted after all, but may be submitted again.
                job = self._find_job(job_id, organisation)
            else:
                return job.phase
        await self._record_cancellation(job_id, organisation)
        return None

    def find_phase(
        self, job_id: JobId, organisation: OrganisationId
    ) -> JobPhase | None:
        """Return the stored phase of a job; None if it does not exist."""
        job = self._find_job(job_id, organisation)
        return self._records.durable_phase(job) if job else None

    def count_queued(self, queue: QueueName) -> int:
        """Return how many jobs of ``queue`` have not started."""
        return self._engine.count_queued(queue)

    def _cancel_if_active(self, job: Job) -> None:
        if job.has_ended:
            return
        stops = self._engine.cancel(
            job,
            unix_ms=self._clock.unix_ms(),
            now_s=self._clock.monotonic_s(),
        )
        self._records.write_end(job)
        self.stop_runs(stops)

    async def _record_cancellation(
        self, job_id: JobId, organisation: OrganisationId
    ) -> None:
        """Record the cancellation of an unknown job; return once stored."""
        organisations = self._engine.cancellations.add(
            job_id, (organisation,), self._clock.monotonic_s()
        )
        record = CancellationRecord(organisations, self._clock.unix_ms())
        await asyncio.shield(self._records.write_cancellation(job_id, record))

    async def _wait_until_stored(self, job: Job, write: PendingWrite) -> None:
        """Wait until ``job`` is stored.

        Withdraws the job if the store is unavailable, and then raises
        ``ServiceUnavailableError``.
        """
        while not write.done():
            await asyncio.wait((write,), timeout=STORE_CHECK_INTERVAL_S)
            if write.done() or not self._is_store_unavailable():
                continue
            if self._records.withdraw(job):
                # No start was sent: starts wait until their record is stored.
                self._engine.discard_job(job)
                self._records.log_job_event('job.withdrawn', job)
        try:
            await asyncio.shield(write)
        except WriteRejectedError as exc:
            # No start was sent: starts wait until their record is stored.
            self._engine.discard_job(job)
            self._records.log_job_event('job.rejected', job)
            raise JobRefusedError(
                f'job {job.id}: the store does not take its record',
                RECORD_RETRY_S,
            ) from exc
        except WriteWithdrawnError as exc:
            raise self._unavailable_error(job.spec) from exc

    def _unavailable_error(self, spec: JobSpec) -> ServiceUnavailableError:
        outage_s = self._records.store_writer.outage_s
        retry_s = outage_retry_s(spec, self._engine.estimates, outage_s)
        return ServiceUnavailableError(STORE_UNAVAILABLE, retry_s)

    def _is_store_unavailable(self) -> bool:
        return self._records.store_writer.outage_s > STORE_OUTAGE_THRESHOLD_S

    def _find_job(
        self, job_id: JobId, organisation: OrganisationId
    ) -> Job | None:
        job = self._engine.jobs.get(job_id)
        if job is None or job.spec.terms.organisation != organisation:
            return None
        return job


async def _wait_if_pending(write: PendingWrite | None) -> None:
    """Wait until ``write`` is stored; None: nothing waits to be stored."""
    if write is not None:
        await asyncio.shield(write)


def _do_nothing() -> None:
    """Stand in for a handler that is set later."""


def _ignore_stops(_allocations: Iterable[Allocation]) -> None:
    """Stand in for a handler that is set later."""
