"""Submissions, cancellations and questions at the active scheduler."""

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
from .job_records import JobRecords, PendingWrite, log_job
from .metrics import NodeMetrics
from .store_writer import WriteWithdrawnError

# While the store takes no write, nothing can be accepted: submissions are
# refused after this, so that callers come back when it may have returned.
STORE_PATIENCE_S = 0.4
STORE_CHECK_S = 0.1
STORE_AWAY = 'the store takes no records now'


class JobRequestHandler:
    """What callers may ask of the scheduler."""

    def __init__(
        self,
        engine: Engine,
        records: JobRecords,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        """Take jobs into ``engine`` and ``records``."""
        # Set by the scheduler: place what waits, and stop runs.
        self.place: Callable[[], None] = _do_nothing
        self.stop: Callable[[Iterable[Allocation]], None] = _stop_nothing
        self._engine = engine
        self._records = records
        self._clock = clock
        self._metrics = metrics

    async def submit(self, spec: JobSpec) -> None:
        """Accept ``spec``: it is stored when this returns.

        Raises ``JobRefusedError``, ``JobConflictError``,
        ``ServiceUnavailableError`` or ``LeadershipLostError``.
        """
        if self._store_is_away() and spec.job not in self._engine.jobs:
            raise self._refusal(spec)
        job, is_new = self._engine.submit(
            spec,
            unix_ms=self._clock.unix_ms(),
            now_s=self._clock.monotonic_s(),
        )
        if is_new:
            self._records.put_submission(job)
            self._metrics.record_accepted_job(job)
            log_job('job.accepted', job)
            # The first run is often placed in the same transaction.
            self.place()
        stored = self._records.submission_of(job.id)
        if stored is not None:
            await self._wait_for_storing(job, stored)

    async def cancel(
        self, job_id: JobId, organisation: OrganisationId
    ) -> JobPhase | None:
        """Cancel a job, durably; None: there is no such job."""
        job = self._find(job_id, organisation)
        if job is None:
            return None
        if not job.has_ended:
            stops = self._engine.cancel(
                job,
                unix_ms=self._clock.unix_ms(),
                now_s=self._clock.monotonic_s(),
            )
            self._records.put_end(job)
            self.stop(stops)
        # Also a repeated call is answered only when no successor forgets it.
        stored = self._records.end_of(job.id)
        if stored is not None:
            await asyncio.shield(stored)
        return job.phase

    def phase(
        self, job_id: JobId, organisation: OrganisationId
    ) -> JobPhase | None:
        """Return the state of a job of ``organisation``."""
        job = self._find(job_id, organisation)
        return self._records.shown_phase(job) if job else None

    def pending(self, queue: QueueName) -> int:
        """Return how many jobs of ``queue`` have not begun."""
        return self._engine.count_queued(queue)

    async def _wait_for_storing(self, job: Job, stored: PendingWrite) -> None:
        """Wait until ``job`` is stored; refuse it while the store is away."""
        while not stored.done():
            await asyncio.wait((stored,), timeout=STORE_CHECK_S)
            if stored.done() or not self._store_is_away():
                continue
            if self._records.withdraw(job):
                # Nothing of it was sent: starts wait for their records.
                self._engine.discard_job(job)
                log_job('job.withdrawn', job)
        try:
            await asyncio.shield(stored)
        except WriteWithdrawnError as exc:
            raise self._refusal(job.spec) from exc

    def _refusal(self, spec: JobSpec) -> ServiceUnavailableError:
        lasted_s = self._records.store_writer.outage_s
        retry_s = outage_retry_s(spec, self._engine.estimates, lasted_s)
        return ServiceUnavailableError(STORE_AWAY, retry_s)

    def _store_is_away(self) -> bool:
        return self._records.store_writer.outage_s > STORE_PATIENCE_S

    def _find(self, job_id: JobId, organisation: OrganisationId) -> Job | None:
        job = self._engine.jobs.get(job_id)
        if job is None or job.spec.terms.organisation != organisation:
            return None
        return job


def _do_nothing() -> None:
    """Stand in for a handler that is set later."""


def _stop_nothing(_seats: Iterable[Allocation]) -> None:
    """Stand in for a handler that is set later."""
