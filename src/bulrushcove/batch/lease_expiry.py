"""When the leases of silent workers expire, known across changes of leader.

A new leader cannot tell since when a worker has been silent, so it must wait
for the longest lease that any earlier leader may have granted. Leaders that
follow each other faster than that would wait for ever. Each leader therefore
stores when the leases of the workers that it does not reach expire.

The clocks of two VMs cannot be compared, and a VM that led is perhaps gone.
The time is stored as a reading of the monotonic clocks of some other workers,
which every leader learns with their reports.

A leader that has stored the expiry of a worker's leases grants that worker no
lease before the entry is removed from the store.
"""

import math
from collections.abc import Iterable, Mapping
from itertools import chain, zip_longest

import msgspec

from ..clock import MS_PER_S
from ..decoding import DECODE_ERRORS
from ..ids import DomainName, Epoch, WorkerId
from .exceptions import RecordError
from .workers import MAX_CLOCK_DRIFT, Worker, find_silent_workers

# A worker that misses single polls is not worth a write.
STORED_AFTER_S = 1.0
# One is enough. Workers may be replaced, or a domain may fail, while the
# leases run.
MAX_REFERENCE_CLOCKS = 6

Workers = Mapping[WorkerId, Worker]

_encoder = msgspec.msgpack.Encoder()


class ReferenceClock(msgspec.Struct, frozen=True, array_like=True):
    """Latest possible reading of a worker's clock at one moment."""

    worker: WorkerId
    started_unix_ms: int
    clock_ms: int


class ExpiryGroup(msgspec.Struct, frozen=True, array_like=True):
    """Leases of silent workers, in milliseconds from one moment.

    ``clocks`` are the readings at that moment.
    """

    clocks: tuple[ReferenceClock, ...]
    remaining_ms: dict[WorkerId, int]


class LeaseExpiryRecord(msgspec.Struct, frozen=True, array_like=True):
    """Value stored under ``bulrushcove/lease-expiry``."""

    groups: tuple[ExpiryGroup, ...] = ()
    # No leader of an epoch below this one acts any more.
    sole_epoch: Epoch = Epoch(0)


_decoder = msgspec.msgpack.Decoder(LeaseExpiryRecord)


def encode_lease_expiry(record: LeaseExpiryRecord) -> bytes:
    """Return the encoded ``record``."""
    return _encoder.encode(record)


def decode_lease_expiry(stored: bytes) -> LeaseExpiryRecord:
    """Return the decoded record; raises ``RecordError``."""
    try:
        return _decoder.decode(stored)
    except DECODE_ERRORS as exc:
        raise RecordError(f'cannot decode the lease expiry: {exc}') from exc


class LeaseExpiryTable:
    """The stored expiry of the leases of silent workers."""

    def __init__(self) -> None:
        """Start without a stored expiry."""
        # Workers that the store may name. They are granted no lease.
        self.named: frozenset[WorkerId] = frozenset()
        self._record = LeaseExpiryRecord()
        self._epoch = Epoch(0)
        self._sole_at_s = math.inf

    def restore(
        self, record: LeaseExpiryRecord, *, epoch: Epoch, sole_at_s: float
    ) -> None:
        """Use ``record``, which the new leader of ``epoch`` has read.

        All earlier leaders have ceased to act at ``sole_at_s``.
        """
        self._record = record
        self._epoch = epoch
        self._sole_at_s = sole_at_s
        self.named = _named_workers(record)

    def advance(self, workers: Workers, now_s: float) -> None:
        """Set when the leases of the silent ``workers`` expire.

        Considers those that this leader has not reached.
        """
        for group in self._record.groups:
            elapsed_ms = _elapsed_ms(group, workers, now_s)
            if elapsed_ms is None:
                continue
            for worker_id, remaining_ms in group.remaining_ms.items():
                worker = workers.get(worker_id)
                if worker is not None and not worker.has_reported:
                    left_s = (remaining_ms - elapsed_ms) / MS_PER_S
                    worker.leases_expire_at_s = min(
                        worker.leases_expire_at_s, now_s + left_s
                    )

    def next_record(
        self, workers: Workers, now_s: float
    ) -> LeaseExpiryRecord | None:
        """Return the record to store; None if the stored one is right."""
        silent = {
            worker.id: worker
            for worker in find_silent_workers(workers.values())
        }
        groups = [
            ExpiryGroup(group.clocks, remaining_ms)
            for group in self._record.groups
            if (remaining_ms := _of_workers(group.remaining_ms, silent))
        ]
        covered = _covered_workers(groups, workers, now_s)
        uncovered = [
            worker
            for worker in silent.values()
            if worker.id not in covered and _is_long_silent(worker, now_s)
        ]
        if uncovered:
            groups.extend(_new_group(uncovered, workers, now_s))
        is_sole = now_s >= self._sole_at_s
        record = LeaseExpiryRecord(
            tuple(groups), self._epoch if is_sole else self._record.sole_epoch
        )
        return None if record == self._record else record

    def start_storing(self, record: LeaseExpiryRecord) -> None:
        """Note that ``record`` may replace the stored one from now on."""
        self.named |= _named_workers(record)

    def finish_storing(self, record: LeaseExpiryRecord) -> None:
        """Note that ``record`` is stored."""
        self._record = record
        self.named = _named_workers(record)


def _is_long_silent(worker: Worker, now_s: float) -> bool:
    if not worker.has_reported and not worker.is_listed:
        # Off the list, it is hardly about to report.
        return True
    if not worker.failed_polls:
        # A new leader of many workers has not polled it yet.
        return False
    return now_s - worker.silent_since_s > STORED_AFTER_S


def _named_workers(record: LeaseExpiryRecord) -> frozenset[WorkerId]:
    return frozenset(
        chain.from_iterable(group.remaining_ms for group in record.groups)
    )


def _of_workers(
    remaining_ms: dict[WorkerId, int], workers: Workers
) -> dict[WorkerId, int]:
    return {
        worker: time_ms
        for worker, time_ms in remaining_ms.items()
        if worker in workers
    }


def _covered_workers(
    groups: Iterable[ExpiryGroup], workers: Workers, now_s: float
) -> set[WorkerId]:
    """Return the workers of the groups of which some clock was read."""
    return set(
        chain.from_iterable(
            group.remaining_ms
            for group in groups
            if _elapsed_ms(group, workers, now_s) is not None
        )
    )


def _elapsed_ms(
    group: ExpiryGroup, workers: Workers, now_s: float
) -> float | None:
    """Return the least time since the moment of ``group``.

    None if no report of one of its clocks has arrived.
    """
    elapsed_ms = []
    for clock in group.clocks:
        worker = workers.get(clock.worker)
        if worker is not None and _has_read(worker, clock):
            since_reading_s = now_s - worker.clock_read_at_s
            elapsed_ms.append(
                (worker.clock_ms - clock.clock_ms) * (1 - MAX_CLOCK_DRIFT)
                + since_reading_s * MS_PER_S
            )
    return max(elapsed_ms, default=None)


def _has_read(worker: Worker, clock: ReferenceClock) -> bool:
    is_same = worker.entry.started_unix_ms == clock.started_unix_ms
    return worker.has_reported and is_same


def _new_group(
    silent: Iterable[Worker], workers: Workers, now_s: float
) -> list[ExpiryGroup]:
    """Return the group of the ``silent`` workers; none without a clock."""
    clocks = tuple(
        ReferenceClock(
            worker.id,
            worker.entry.started_unix_ms,
            worker.latest_clock_ms(now_s),
        )
        for worker in _choose_reference_workers(workers.values())
    )
    if not clocks:
        return []
    remaining_ms = {
        worker.id: _remaining_ms(worker, now_s) for worker in silent
    }
    return [ExpiryGroup(clocks, remaining_ms)]


def _remaining_ms(worker: Worker, now_s: float) -> int:
    left_s = max(0, worker.leases_expire_at_s - now_s)
    return math.ceil(left_s * MS_PER_S)


def _choose_reference_workers(workers: Iterable[Worker]) -> list[Worker]:
    """Return responding workers, of as many failure domains as possible.

    Those that reported last come first.
    """
    responding = [
        worker
        for worker in workers
        if worker.has_reported
        and worker.is_listed
        and not worker.failed_polls
        and not worker.entry.is_draining
    ]
    responding.sort(key=lambda worker: -worker.clock_read_at_s)
    by_domain: dict[DomainName, list[Worker]] = {}
    for worker in responding:
        by_domain.setdefault(worker.entry.domain, []).append(worker)
    turns = chain.from_iterable(zip_longest(*by_domain.values()))
    chosen = [found for found in turns if found is not None]
    return chosen[:MAX_REFERENCE_CLOCKS]
