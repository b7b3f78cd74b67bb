"""Submission, cancellation and queries of jobs on the leader."""

import asyncio
from collections.abc import Callable, Iterable

from ..batch.admission import outage_retry_s
from ..batch.engine import Engine
from ..batch.ids import QueueName
from ..batch.job_spec import JobSpec
from ..batch.job_state import Allocation, Job, JobPhase
from ..clock import Clock
from ..ids import JobId, OrganisationId
from .exceptions import ServiceUnavailableError
from .job_records import JobRecords, PendingWrite, log_job_event
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
        ``ServiceUnavailableError`` or ``LeadershipLostError``.
        """
        if self._is_store_unavailable() and spec.job not in self._engine.jobs:
            raise self._unavailable_error(spec)
        job, is_new = self._engine.submit(
            spec,
            unix_ms=self._clock.unix_ms(),
            now_s=self._clock.monotonic_s(),
        )
        if is_new:
            self._records.write_submission(job)
            self._metrics.record_accepted_job(job)
            log_job_event('job.accepted', job)
            # The record of the first run often fits in the same transaction.
            self.run_pass()
        write = self._records.pending_submission(job.id)
        if write is not None:
            await self._wait_until_stored(job, write)

    async def cancel(
        self, job_id: JobId, organisation: OrganisationId
    ) -> JobPhase | None:
        """Cancel a job and return its phase once that is stored.

        Returns None if ``organisation`` has no such job.
        """
        job = self._find_job(job_id, organisation)
        if job is None:
            return None
        if not job.has_ended:
            stops = self._engine.cancel(
                job,
                unix_ms=self._clock.unix_ms(),
                now_s=self._clock.monotonic_s(),
            )
            self._records.write_end(job)
            self.stop_runs(stops)
        # A repeated call also waits: a new leader must not undo what was
        # reported as cancelled.
        write = self._records.pending_end(job.id)
        if write is not None:
            await asyncio.shield(write)
        return job.phase

    def find_phase(
        self, job_id: JobId, organisation: OrganisationId
    ) -> JobPhase | None:
        """Return the stored phase of a job; None if it does not exist."""
        job = self._find_job(job_id, organisation)
        return self._records.durable_phase(job) if job else None

    def count_queued(self, queue: QueueName) -> int:
        """Return how many jobs of ``queue`` have not started."""
        return self._engine.count_queued(queue)

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
                log_job_event('job.withdrawn', job)
        try:
            await asyncio.shield(write)
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


def _do_nothing() -> None:
    """Stand in for a handler that is set later."""


def _ignore_stops(_allocations: Iterable[Allocation]) -> None:
    """Stand in for a handler that is set later."""
