"""Reads and cancels jobs for operators, without payloads and results."""

from collections.abc import Awaitable, Callable

import msgspec

from .exceptions import PeerUnreachableError, RefusedError
from .ids import DomainName, JobId
from .job import JobRecord
from .job_store import JobChangedError, JobStore, StoredJob
from .messages import JobNotice, JobStanding
from .names import unknown_name_message
from .operator_api import JobSummary
from .states import JobState
from .tracing import current_traceparent

HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
MAX_CANCEL_ATTEMPTS = 5

NotifyJob = Callable[[JobNotice], Awaitable[JobStanding]]


class OperatorJobs:
    """Reads and cancels jobs of all organisations.

    Errors of the store are raised unchanged.
    """

    def __init__(self, jobs: JobStore, notify: NotifyJob) -> None:
        """Use ``jobs``; ``notify`` sends a notice to the domain's control."""
        self._jobs = jobs
        self._notify = notify

    async def load_all(self) -> tuple[JobRecord, ...]:
        """Return all stored records, oldest first."""
        scan = await self._jobs.scan()
        records = [stored.record for stored in scan.jobs]
        records.sort(key=lambda record: (record.accepted_unix_ms, record.job))
        return tuple(records)

    async def find_active_in_domain(
        self, domain: DomainName
    ) -> tuple[JobId, ...]:
        """Return the jobs in ``domain`` that have not ended."""
        return tuple(
            record.job
            for record in await self.load_all()
            if record.domain == domain and not record.state.is_final
        )

    async def load(self, job: JobId) -> JobRecord:
        """Return a job's record; raises ``RefusedError`` if it is not found."""
        return (await self._load(job)).record

    async def wait_reason(self, record: JobRecord) -> str:
        """Return the scheduler's reason why a job waits; empty: not known."""
        if record.state is not JobState.QUEUED:
            return ''
        try:
            reply = await self._notify(JobNotice(record.job, record.domain))
        except PeerUnreachableError:
            return ''
        return reply.wait_reason

    async def cancel(self, job: JobId) -> JobRecord:
        """Request the cancellation of a job; without effect if it has ended.

        Raises ``RefusedError`` when the job is not found or was changed
        concurrently at every attempt.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            stored = await self._load(job)
            record = stored.record
            if record.state.is_final or record.cancel_requested:
                return record
            try:
                record = await self._request_cancel(stored)
            except JobChangedError:
                continue
            return record
        raise RefusedError(
            HTTP_CONFLICT,
            f'job {job!r} changed {MAX_CANCEL_ATTEMPTS} times in a row',
        )

    async def _request_cancel(self, stored: StoredJob) -> JobRecord:
        record = msgspec.structs.replace(stored.record, cancel_requested=True)
        await self._jobs.replace(stored, record)
        notice = JobNotice(record.job, record.domain, current_traceparent())
        try:
            await self._notify(notice)
        except PeerUnreachableError:
            # The control reads the flag in its next scan of the store.
            return record
        return record

    async def _load(self, job: JobId) -> StoredJob:
        stored = await self._jobs.load(job)
        if stored is None:
            known = [record.job for record in await self.load_all()]
            raise RefusedError(
                HTTP_NOT_FOUND, unknown_name_message('job', job, known)
            )
        return stored


def summarize(record: JobRecord) -> JobSummary:
    """Return the summary of ``record`` for operators."""
    spec = record.spec
    current = record.current
    placement = current.placement if current else ()
    return JobSummary(
        job=record.job,
        organisation=record.organisation,
        kind=spec.kind,
        state=record.state,
        domain=record.domain,
        tasks=spec.tasks,
        accelerators=spec.accelerators,
        adjacency=spec.adjacency,
        urgency=spec.urgency,
        idempotent=spec.idempotent,
        accepted_unix_ms=record.accepted_unix_ms,
        ended_unix_ms=record.ended_unix_ms,
        attempts=record.attempts,
        attempt=current.attempt if current else None,
        workers=tuple(placed.worker for placed in placement),
        borrowed=bool(current and current.borrowed),
        cancel_requested=record.cancel_requested,
        reason=record.reason,
    )
