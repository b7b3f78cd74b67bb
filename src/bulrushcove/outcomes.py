"""Builds the record of a job whose attempt has ended."""

import itertools

import msgspec

from .gang import GangAttempt, StopCause
from .ids import WorkerId
from .job import JobRecord
from .states import JobState, TaskState

# An idempotent job fails after this many attempts with a failed task.
MAX_FAILURES = 3


def build_record_after_end(gang: GangAttempt, now_unix_ms: int) -> JobRecord:
    """Return the record after ``gang`` has ended.

    A job that is not idempotent is queued again only if certainly no part
    of the attempt has begun to run.
    """
    if gang.is_finished:
        return _end(gang, JobState.SUCCEEDED, now_unix_ms, _results(gang))
    if gang.record.cancel_requested:
        return _end(gang, JobState.CANCELLED, now_unix_ms)
    if gang.stop_cause is StopCause.TASK_FAILED:
        return _after_failure(gang, now_unix_ms)
    if gang.record.spec.idempotent or gang.never_started:
        return _requeue(gang)
    return _end(gang, JobState.UNKNOWN, now_unix_ms)


def _after_failure(gang: GangAttempt, now_unix_ms: int) -> JobRecord:
    failures = gang.record.failures + 1
    if gang.record.spec.idempotent and failures < MAX_FAILURES:
        return msgspec.structs.replace(
            _requeue(gang),
            failures=failures,
            failed_on=_failed_on(gang),
        )
    ended = _end(gang, JobState.FAILED, now_unix_ms)
    return msgspec.structs.replace(ended, failures=failures)


def _failed_on(gang: GangAttempt) -> tuple[WorkerId, ...]:
    failed = set(gang.record.failed_on)
    for worker, allocation in gang.allocations.items():
        if TaskState.FAILED in allocation.states.values():
            failed.add(worker)
    return tuple(sorted(failed))


def _end(
    gang: GangAttempt,
    state: JobState,
    now_unix_ms: int,
    results: tuple[str, ...] = (),
) -> JobRecord:
    return msgspec.structs.replace(
        gang.record,
        state=state,
        results=results,
        reason=_reason(gang),
        ended_unix_ms=now_unix_ms,
        checkpoints=(),
    )


def _requeue(gang: GangAttempt) -> JobRecord:
    return msgspec.structs.replace(
        gang.record,
        state=JobState.QUEUED,
        current=None,
        reason=_reason(gang),
        checkpoints=_checkpoints(gang),
    )


def _reason(gang: GangAttempt) -> str:
    if gang.stop_cause is None or gang.is_finished:
        return ''
    if gang.stop_detail:
        return f'{gang.stop_cause.value}: {gang.stop_detail}'
    return gang.stop_cause.value


def _results(gang: GangAttempt) -> tuple[str, ...]:
    results = list(itertools.repeat('', gang.record.spec.tasks))
    for allocation in gang.allocations.values():
        for part, report in allocation.reports.items():
            results[part] = report.result
    return tuple(results)


def _checkpoints(gang: GangAttempt) -> tuple[str, ...]:
    """Return the latest checkpoint of each task, also of earlier attempts."""
    checkpoints = list(itertools.repeat('', gang.record.spec.tasks))
    for part, checkpoint in enumerate(gang.record.checkpoints):
        checkpoints[part] = checkpoint
    for part, checkpoint in gang.checkpoints.items():
        checkpoints[part] = checkpoint
    if any(checkpoints):
        return tuple(checkpoints)
    return ()
