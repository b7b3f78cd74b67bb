"""Stored records of a job: its submission, written once, and its progress."""

from collections.abc import Iterator
from itertools import chain, repeat
from typing import Any

import msgspec

from ..decoding import DECODE_ERRORS
from ..ids import WorkerId
from .exceptions import RecordError
from .job_spec import JobSpec, count_tasks
from .job_state import (
    UNKNOWN_SPEED_PERCENT,
    Allocation,
    Job,
    JobPhase,
    Unit,
    UnitPhase,
    mark_done,
    new_job,
)
from .progress_record import Progress, UnitRecord, UnitSpan, progress_of
from .workers import FULL_SPEED_PERCENT

# Largest value that the store takes, unless the settings name another one.
MAX_RECORD_BYTES = 1024 * 1024
# A running task takes 24 bytes; more where tasks have crashed their workers.
PROGRESS_BYTES_PER_TASK = 32

_encoder = msgspec.msgpack.Encoder()


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """Value stored under ``bulrushcove/jobs/``; never modified."""

    spec: JobSpec
    accepted_unix_ms: int


_submissions = msgspec.msgpack.Decoder(Submission)
_progress = msgspec.msgpack.Decoder(Progress)


def encode_submission(job: Job) -> bytes:
    """Return the encoded submission of ``job``."""
    return _encoder.encode(Submission(job.spec, job.accepted_unix_ms))


def submission_bytes(spec: JobSpec) -> int:
    """Return about how many bytes the submission of a job takes."""
    return len(_encoder.encode(spec))


def decode_submission(stored: bytes) -> Submission:
    """Return the decoded submission; raises ``RecordError``."""
    return _decode(_submissions, stored)


def encode_progress(job: Job, max_bytes: int = MAX_RECORD_BYTES) -> bytes:
    """Return the encoded progress of ``job``, of ``max_bytes`` if possible.

    A larger one leaves checkpoints out: the runs begin anew after a failover.
    """
    encoded = _encoder.encode(progress_of(job))
    if len(encoded) > max_bytes:
        encoded = _encoder.encode(progress_of(job, keeps_checkpoints=False))
    return encoded


def largest_progress_bytes(spec: JobSpec) -> int:
    """Return about how many bytes the progress of a job takes at most.

    Without checkpoints, which may be left out.
    """
    return PROGRESS_BYTES_PER_TASK * count_tasks(spec)


def decode_progress(stored: bytes) -> Progress:
    """Return the decoded progress; raises ``RecordError``."""
    return _decode(_progress, stored)


def restore_job(
    submission: Submission, progress: Progress | None, now_s: float
) -> Job:
    """Return the job that both records describe; raises ``RecordError``.

    Runs that may still be active become allocations whose outcome is unknown.
    """
    job = new_job(submission.spec, submission.accepted_unix_ms, now_s)
    if progress is None:
        return job
    try:
        job.phase = JobPhase(progress.phase)
        _restore_units(job, progress)
    except (ValueError, IndexError) as exc:
        raise RecordError(
            f'invalid progress record of job {job.id}: {exc}'
        ) from exc
    job.has_started = progress.has_started
    job.ended_unix_ms = progress.ended_unix_ms
    job.reason = progress.reason
    job.ended_at_s = now_s if job.has_ended else 0
    return job


def _named_hosts(
    stored: UnitRecord, hosts: tuple[tuple[str, int], ...]
) -> Iterator[tuple[str, int]]:
    """Yield worker and incarnation for each task; no name: no allocation."""
    if not stored.hosts:
        # Records of earlier versions name workers, or no incarnations.
        yield from zip(
            stored.workers,
            chain(stored.incarnations, repeat(0)),
            strict=False,
        )
    for number in stored.hosts:
        yield hosts[number - 1] if number else ('', 0)


def _restore_units(job: Job, progress: Progress) -> None:
    for position, stored in progress.units.items():
        _restore_unit(job.units[position], stored, progress.hosts)
    for span in progress.spans:
        _restore_span(job, span)


def _restore_span(job: Job, span: UnitSpan) -> None:
    phase = UnitPhase(span.phase)
    for unit in job.units[span.first : span.first + span.count]:
        _restore_phase(unit, phase)
        unit.run = span.run


def _restore_phase(unit: Unit, phase: UnitPhase) -> None:
    if phase is UnitPhase.DONE:
        mark_done(unit)
    else:
        unit.phase = phase


def _restore_unit(
    unit: Unit, stored: UnitRecord, hosts: tuple[tuple[str, int], ...]
) -> None:
    _restore_phase(unit, UnitPhase(stored.phase))
    unit.run = stored.run
    unit.failures = stored.failures
    unit.checkpoint = stored.checkpoint
    unit.crashes = dict(stored.crashes)
    unit.stalls = stored.stalls
    unit.failed_run = stored.failed_run
    # Records of earlier versions name no clocks.
    clocks_ms = chain(stored.clocks_ms, repeat(0))
    for index, (worker, incarnation), clock_ms in zip(
        unit.indices, _named_hosts(stored, hosts), clocks_ms, strict=False
    ):
        if worker:
            unit.allocations[index] = Allocation(
                unit=unit,
                index=index,
                run=stored.run,
                worker=WorkerId(worker),
                worker_started_unix_ms=incarnation,
                started_clock_ms=clock_ms,
                is_start_sent=True,
                is_isolated=index in stored.isolated,
                speed_percent=_restored_speed_percent(unit),
            )


def _restored_speed_percent(unit: Unit) -> int:
    """Return the speed of a run that a previous leader has started."""
    if unit.spec.fills_idle:
        return UNKNOWN_SPEED_PERCENT
    return FULL_SPEED_PERCENT


def _decode(decoder: Any, stored: bytes) -> Any:
    try:
        return decoder.decode(stored)
    except DECODE_ERRORS as exc:
        raise RecordError(f'cannot decode stored record: {exc}') from exc
