"""Open jobs of a failure domain at its active control; does no I/O.

Links the job records to the gangs that run them, and decides which records
have to change. The controller writes the changes and reports the outcome.
"""

from collections.abc import Iterator

import msgspec

from .attempts import adopt_gang, begin_gang, has_ended, needs_start_record
from .gang import GangAttempt, Phase, StopCause
from .gang_table import GangTable
from .ids import AttemptId, DomainName, JobId
from .job import Attempt, JobRecord
from .job_store import StoredJob
from .move_planner import JobMove
from .outcomes import build_record_after_end
from .scheduling_model import JobStart, UnrunnableJob
from .states import JobState

_PLACED_STATES = frozenset((JobState.STARTING, JobState.RUNNING))


class RecordChange(msgspec.Struct, frozen=True):
    """A write that is needed: ``record`` replaces ``stored``."""

    stored: StoredJob
    record: JobRecord


class DomainJobs:
    """Open jobs of one domain, with their running gangs in ``table``."""

    def __init__(self, domain: DomainName, table: GangTable) -> None:
        """Start without records."""
        self.domain = domain
        self.table = table
        self.jobs: dict[JobId, StoredJob] = {}

    def update_record(self, stored: StoredJob) -> None:
        """Store a record that was read or written, unless it is outdated.

        Removes a record that is final or belongs to another domain.
        """
        record = stored.record
        known = self.jobs.get(record.job)
        if known is not None and known.mod_revision > stored.mod_revision:
            return
        if record.state.is_final or record.domain != self.domain:
            self.jobs.pop(record.job, None)
            return
        self.jobs[record.job] = stored
        gang = self._gang_of(record)
        if gang is not None and record.current is not None:
            gang.record = record
            gang.attempt = record.current

    def remove_record(self, job: JobId) -> None:
        """Remove a record that was deleted from the store."""
        self.jobs.pop(job, None)

    def begin_attempt(self, stored: StoredJob, now_s: float) -> None:
        """Start the gang of the attempt that ``stored`` records."""
        self.update_record(stored)
        attempt = stored.record.current
        if attempt is None or attempt.attempt in self.table.gangs:
            return
        gang = begin_gang(stored.record, attempt, now_s, self.table.timing)
        self.table.add(gang)

    def adopt_attempts(self, now_s: float) -> None:
        """Adopt the recorded attempts that have no gang yet."""
        for stored in self.jobs.values():
            record = stored.record
            attempt = record.current
            if record.state not in _PLACED_STATES or attempt is None:
                continue
            if attempt.attempt not in self.table.gangs:
                self.table.add(
                    adopt_gang(record, attempt, now_s, self.table.timing),
                )

    def advance(self, now_s: float, *, may_start: bool) -> None:
        """Advance every gang; stop orphaned and cancelled ones.

        Removes ended gangs that no record names any more.
        """
        for gang in tuple(self.table.gangs.values()):
            if not self._owns_record(gang):
                self.table.stop(gang, StopCause.ORPHANED)
            elif gang.record.cancel_requested:
                self.table.stop(gang, StopCause.CANCELLED)
            self.table.advance(gang, now_s, may_start=may_start)
            if has_ended(gang, now_s) and not self._owns_record(gang):
                self.table.remove(gang)

    def needed_changes(
        self, now_s: float, now_unix_ms: int
    ) -> list[RecordChange]:
        """Return the writes that are needed now."""
        records = [
            *self._gang_records(now_s, now_unix_ms),
            *self._cancelled_records(now_unix_ms),
        ]
        return [
            RecordChange(self.jobs[record.job], record) for record in records
        ]

    def start_change(self, job_start: JobStart) -> RecordChange:
        """Return the write that records a new attempt."""
        stored = self.jobs[job_start.job]
        number = stored.record.attempts + 1
        epoch = self.table.epoch
        attempt = Attempt(
            attempt=AttemptId(f'{job_start.job}.{number}.{epoch}'),
            epoch=epoch,
            placement=job_start.placement,
            borrowed=job_start.borrowed,
            cover=job_start.slot_name,
        )
        record = msgspec.structs.replace(
            stored.record,
            state=JobState.STARTING,
            attempts=number,
            current=attempt,
            reason='',
        )
        return RecordChange(stored, record)

    def move_change(self, move: JobMove) -> RecordChange:
        """Return the write that moves a queued job to another domain."""
        stored = self.jobs[move.job]
        record = msgspec.structs.replace(
            stored.record,
            domain=move.domain,
            reason=f'moved from failure domain {self.domain}',
        )
        return RecordChange(stored, record)

    def unrunnable_change(
        self, unrunnable: UnrunnableJob, now_unix_ms: int
    ) -> RecordChange:
        """Return the write that ends the job as unrunnable."""
        stored = self.jobs[unrunnable.job]
        record = msgspec.structs.replace(
            stored.record,
            state=JobState.UNRUNNABLE,
            reason=unrunnable.reason,
            ended_unix_ms=now_unix_ms,
        )
        return RecordChange(stored, record)

    def _gang_records(
        self, now_s: float, now_unix_ms: int
    ) -> Iterator[JobRecord]:
        for gang in self.table.gangs.values():
            if not self._owns_record(gang):
                continue
            if has_ended(gang, now_s):
                yield build_record_after_end(gang, now_unix_ms)
            elif needs_start_record(gang):
                yield _with_start_recorded(gang.record)
            elif _has_started(gang):
                yield msgspec.structs.replace(
                    gang.record, state=JobState.RUNNING
                )

    def _cancelled_records(self, now_unix_ms: int) -> Iterator[JobRecord]:
        for stored in self.jobs.values():
            record = stored.record
            if record.state is JobState.QUEUED and record.cancel_requested:
                yield msgspec.structs.replace(
                    record,
                    state=JobState.CANCELLED,
                    ended_unix_ms=now_unix_ms,
                )

    def _owns_record(self, gang: GangAttempt) -> bool:
        stored = self.jobs.get(gang.record.job)
        return stored is not None and self._gang_of(stored.record) is gang

    def _gang_of(self, record: JobRecord) -> GangAttempt | None:
        if record.current is None or record.state not in _PLACED_STATES:
            return None
        return self.table.gangs.get(record.current.attempt)


def _has_started(gang: GangAttempt) -> bool:
    return (
        gang.phase is Phase.RUNNING and gang.record.state is JobState.STARTING
    )


def _with_start_recorded(record: JobRecord) -> JobRecord:
    if record.current is None:
        return record
    attempt = msgspec.structs.replace(record.current, start_recorded=True)
    return msgspec.structs.replace(record, current=attempt)
