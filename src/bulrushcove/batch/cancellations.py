"""Cancellations of jobs that were not known when they were cancelled.

The submission of such a job may still arrive: another VM holds it, or sends it
again to the next leader. The cancellation was answered, so it is refused.
"""

from collections.abc import Iterable

import msgspec

from ..decoding import DECODE_ERRORS
from ..ids import JobId, OrganisationId
from .exceptions import JobCancelledError, RecordError

# Longer than a submission can be on its way: VMs send it again for 60 s at
# most, and a stream that is cut off delivers what it holds for some minutes.
CANCELLATION_RETENTION_S = 600.0

_encoder = msgspec.msgpack.Encoder()


class CancellationRecord(msgspec.Struct, frozen=True, array_like=True):
    """Value stored under ``bulrushcove/cancelled/``."""

    # Ids of jobs are chosen by callers: each organisation binds only itself.
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
    """Ids of unknown jobs that were cancelled, by the leader's memory."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_job: dict[JobId, _Cancellation] = {}

    def add(
        self,
        job: JobId,
        organisations: Iterable[OrganisationId],
        cancelled_at_s: float,
    ) -> tuple[OrganisationId, ...]:
        """Refuse ``job`` to ``organisations`` from now on.

        Returns all organisations to which it is refused, sorted.
        """
        cancellation = self._by_job.setdefault(
            job, _Cancellation(set(), cancelled_at_s)
        )
        cancellation.organisations.update(organisations)
        cancellation.cancelled_at_s = max(
            cancellation.cancelled_at_s, cancelled_at_s
        )
        return tuple(sorted(cancellation.organisations))

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
        expired = [
            job
            for job, cancellation in self._by_job.items()
            if now_s - cancellation.cancelled_at_s > CANCELLATION_RETENTION_S
        ]
        for job in expired:
            self._by_job.pop(job)
        return expired
