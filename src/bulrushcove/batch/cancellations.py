"""Cancellations of jobs that were not known when they were cancelled.

The submission of such a job may still arrive: another VM holds it, or sends it
again to the next leader. It is refused then, as the cancellation was answered.
"""

from collections.abc import Iterable
from itertools import takewhile

import msgspec

from ..decoding import DECODE_ERRORS
from ..ids import JobId, OrganisationId
from .exceptions import JobCancelledError, RecordError

# Longer than a VM sends a submission again, and than a stream may hold it.
CANCELLATION_RETENTION_S = 600.0

_encoder = msgspec.msgpack.Encoder()


class CancellationRecord(msgspec.Struct, frozen=True, array_like=True):
    """Value stored under ``bulrushcove/cancelled/``."""

    # Callers choose the ids of jobs, so each counts for its own organisation.
    organisations: tuple[OrganisationId, ...]
    # Time of the latest cancellation.
    cancelled_unix_ms: int


_decoder = msgspec.msgpack.Decoder(CancellationRecord)


def encode_cancellation(record: CancellationRecord) -> bytes:
    """Return the encoded ``record``."""
    return _encoder.encode(record)


def decode_cancellation(stored: bytes) -> CancellationRecord:
    """Return the decoded record; raises ``RecordError``."""
    try:
        return _decoder.decode(stored)
    except DECODE_ERRORS as exc:
        raise RecordError(f'cannot decode the cancellation: {exc}') from exc


class _Cancellation(msgspec.Struct):
    organisations: set[OrganisationId]
    # Time of the latest cancellation, on the leader's monotonic clock.
    cancelled_at_s: float


class Cancellations:
    """Cancelled ids of unknown jobs, as the leader holds them."""

    def __init__(self) -> None:
        """Start without any."""
        # In the order of their latest cancellations.
        self._by_job: dict[JobId, _Cancellation] = {}

    def add(
        self,
        job: JobId,
        organisations: Iterable[OrganisationId],
        cancelled_at_s: float,
    ) -> tuple[OrganisationId, ...]:
        """Record that ``organisations`` cancelled ``job``.

        ``cancelled_at_s`` must not decrease from call to call. Returns all
        organisations that have cancelled it, sorted.
        """
        known = self._by_job.pop(job, None)
        cancelled_by = known.organisations if known else set()
        cancelled_by.update(organisations)
        self._by_job[job] = _Cancellation(cancelled_by, cancelled_at_s)
        return tuple(sorted(cancelled_by))

    def refuse_cancelled(
        self, job: JobId, organisation: OrganisationId
    ) -> None:
        """Raise ``JobCancelledError`` if ``organisation`` cancelled ``job``."""
        cancellation = self._by_job.get(job)
        if cancellation and organisation in cancellation.organisations:
            raise JobCancelledError(
                f'job {job} was cancelled before it was accepted'
            )

    def remove_expired(self, now_s: float) -> list[JobId]:
        """Remove those past their retention time; returns their jobs."""
        oldest_s = now_s - CANCELLATION_RETENTION_S
        expired = list(
            takewhile(
                lambda job: self._by_job[job].cancelled_at_s < oldest_s,
                self._by_job,
            )
        )
        for job in expired:
            self._by_job.pop(job)
        return expired
