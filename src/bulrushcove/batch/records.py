"""Stored records of a job: its submission, written once, and its progress."""

from itertools import chain, repeat
from typing import Any

import msgspec

from ..decoding import DECODE_ERRORS
from ..ids import WorkerId
from .crash_history import CrashHistory
from .exceptions import RecordError
from .job_spec import JobSpec
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
from .workers import FULL_SPEED_PERCENT

_encoder = msgspec.msgpack.Encoder()


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """Value stored under ``bulrushcove/jobs/``; never modified."""

    spec: JobSpec
    accepted_unix_ms: int


class UnitRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one unit.

    ``workers`` is in the order of the tasks; empty string: no allocation.
    """

    phase: int
    run: int
    failures: int
    checkpoint: str
    workers: tuple[str, ...] = ()
    # Start times of these workers' processes, in Unix milliseconds.
    incarnations: tuple[int, ...] = ()
    # Indices of the tasks that must not share these workers.
    isolated: tuple[int, ...] = ()
    # By index of the task.
    crashes: dict[int, CrashHistory] = msgspec.field(default_factory=dict)
    stalls: int = 0
    # Number of the run whose failure was counted last.
    failed_run: int = 0
    # Clocks of the workers when the tasks began there, in milliseconds.
    clocks_ms: tuple[int, ...] = ()


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Value stored under ``bulrushcove/progress/``.

    ``units`` holds the units that have ever run, by their position in the
    job's list of units.
    """

    phase: str
    has_started: bool
    ended_unix_ms: int
    reason: str
    units: dict[int, UnitRecord]


_submissions = msgspec.msgpack.Decoder(Submission)
_progress = msgspec.msgpack.Decoder(Progress)


def encode_submission(job: Job) -> bytes:
    """Return the encoded submission of ``job``."""
    return _encoder.encode(Submission(job.spec, job.accepted_unix_ms))


def decode_submission(stored: bytes) -> Submission:
    """Return the decoded submission; raises ``RecordError``."""
    return _decode(_submissions, stored)


def encode_progress(job: Job) -> bytes:
    """Return the encoded progress of ``job``."""
    units = {
        position: _unit_record(unit)
        for position, unit in enumerate(job.units)
        if unit.run
    }
    return _encoder.encode(
        Progress(
            job.phase.value,
            job.has_started,
            job.ended_unix_ms,
            job.reason,
            units,
        )
    )


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
        for position, stored in progress.units.items():
            _restore_unit(job.units[position], stored)
    except (ValueError, IndexError) as exc:
        raise RecordError(
            f'invalid progress record of job {job.id}: {exc}'
        ) from exc
    job.has_started = progress.has_started
    job.ended_unix_ms = progress.ended_unix_ms
    job.reason = progress.reason
    job.ended_at_s = now_s if job.has_ended else 0
    return job


def _unit_record(unit: Unit) -> UnitRecord:
    workers: tuple[str, ...] = ()
    incarnations: tuple[int, ...] = ()
    clocks_ms: tuple[int, ...] = ()
    if unit.allocations:
        allocations = [unit.allocations.get(index) for index in unit.indices]
        workers = tuple(one.worker if one else '' for one in allocations)
        incarnations = tuple(
            one.worker_started_unix_ms if one else 0 for one in allocations
        )
        clocks_ms = tuple(
            one.started_clock_ms if one else 0 for one in allocations
        )
    return UnitRecord(
        unit.phase.value,
        unit.run,
        unit.failures,
        unit.checkpoint,
        workers,
        incarnations,
        tuple(
            index
            for index, allocation in unit.allocations.items()
            if allocation.is_isolated
        ),
        unit.crashes,
        unit.stalls,
        unit.failed_run,
        clocks_ms,
    )


def _restore_unit(unit: Unit, stored: UnitRecord) -> None:
    if stored.phase == UnitPhase.DONE.value:
        mark_done(unit)
    else:
        unit.phase = UnitPhase(stored.phase)
    unit.run = stored.run
    unit.failures = stored.failures
    unit.checkpoint = stored.checkpoint
    unit.crashes = dict(stored.crashes)
    unit.stalls = stored.stalls
    unit.failed_run = stored.failed_run
    # Records of earlier versions name no incarnations and no clocks.
    incarnations = chain(stored.incarnations, repeat(0))
    clocks_ms = chain(stored.clocks_ms, repeat(0))
    for index, worker, incarnation, clock_ms in zip(
        unit.indices, stored.workers, incarnations, clocks_ms, strict=False
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
