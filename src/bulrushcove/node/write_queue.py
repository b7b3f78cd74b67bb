"""Writes that wait for a transaction, and those of transactions under way.

No two transactions under way share a key, and a write that must follow another
one is in the same or in a later transaction. A record is encoded when its
transaction starts: the progress of a job of thousands of tasks takes 50 ms, and
each report of a worker may change it.
"""

import asyncio
import logging
import math
from collections.abc import Callable, Iterable

import msgspec

from ..exceptions import StoreRejectedError
from ..logs import log_event, log_unexpected_error
from .exceptions import WriteRejectedError

# The store accepts 32 entries per transaction: a condition and a value for each
# write, plus the condition on the leader record.
MAX_WRITES_PER_TRANSACTION = 15
# Values of one transaction, unless a single one is larger: one that is relayed
# by another VM must fit into a frame of 4 MB.
MAX_TRANSACTION_BYTES = 1024 * 1024
# Transactions under way at a time. With one, a store that answers in 0.2 s
# stores 75 records a second, and jobs wait behind the progress of others.
MAX_TRANSACTIONS = 8
# A record whose encoding takes longer than this is written again only after so
# many times as long, as the event loop must also serve callers and workers.
MIN_PACED_ENCODING_S = 0.005
ENCODING_PAUSE_FACTOR = 5.0

# What to store: a value, a function that encodes it, or None to delete the key.
RecordValue = bytes | Callable[[], bytes] | None


logger = logging.getLogger(__name__)


class PendingWrite(msgspec.Struct, eq=False):
    """A write that is not known to be stored."""

    value: RecordValue
    stored: asyncio.Future[None]
    # The write of this key, if there is one, must be stored before.
    after: str = ''
    # A commit that contained it brought no response.
    may_have_taken_effect: bool = False

    @property
    def encoded(self) -> bytes | None:
        """Return the value of a write that is encoded."""
        if callable(self.value):
            raise TypeError('write_queue: the write is not encoded yet')
        return self.value

    def encode(self) -> int:
        """Encode the value and return its bytes; 0 for a deletion."""
        if callable(self.value):
            self.value = self.value()
        return len(self.value or b'')


class Batch(msgspec.Struct, eq=False):
    """The writes of one transaction, which is repeated until it is stored."""

    writes: dict[str, PendingWrite]
    is_commit_in_flight: bool = False
    # The store has rejected them together: each has a transaction of its own.
    is_split: bool = False

    def next_writes(self) -> dict[str, PendingWrite]:
        """Return the writes of the next commit."""
        if not self.is_split:
            return dict(self.writes)
        key = next(iter(self.writes))
        return {key: self.writes[key]}

    def drop_done(self) -> None:
        """Drop the writes that are stored or have failed."""
        for key, pending in tuple(self.writes.items()):
            if pending.stored.done():
                self.writes.pop(key)

    def may_have_stored(self, keys: Iterable[str]) -> bool:
        """Return whether the write of one of ``keys`` may be stored."""
        return self.is_commit_in_flight or any(
            self.writes[key].may_have_taken_effect
            for key in keys
            if key in self.writes
        )


class WriteQueue:
    """Pending writes by key, the oldest first, and the batches under way."""

    def __init__(self) -> None:
        """Start without writes."""
        self.pending: dict[str, PendingWrite] = {}
        self.batches: list[Batch] = []
        # Until when a key that is slow to encode is not written again.
        self._paced_until_s: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether all writes are stored, failed or withdrawn."""
        return not self.pending and not any(
            batch.writes for batch in self.batches
        )

    def put(
        self, key: str, value: RecordValue, after: str
    ) -> asyncio.Future[None]:
        """Add a write; it replaces a pending one of the same key."""
        pending = self.pending.get(key)
        if pending is None:
            stored = asyncio.get_running_loop().create_future()
            # Avoids asyncio's warning about a failed write that has no waiter.
            stored.add_done_callback(_retrieve_exception)
            pending = PendingWrite(value, stored)
            self.pending[key] = pending
        pending.value = value
        pending.after = after
        return pending.stored

    def find(self, key: str) -> asyncio.Future[None] | None:
        """Return the last write of ``key``; None if there is none."""
        for writes in (self.pending, *(batch.writes for batch in self.batches)):
            found = writes.get(key)
            if found is not None:
                return found.stored
        return None

    def next_keys(self, now_s: float) -> list[str]:
        """Return the keys of the next transaction; empty if none may start.

        Keys whose previous write is being stored must wait for it.
        """
        keys: list[str] = []
        if len(self.batches) >= MAX_TRANSACTIONS:
            return keys
        self._end_pauses(now_s)
        busy = {key for batch in self.batches for key in batch.writes}
        for key, pending in self.pending.items():
            must_wait = pending.after in busy or (
                pending.after in self.pending and pending.after not in keys
            )
            is_paced = key in self._paced_until_s
            if key not in busy and not must_wait and not is_paced:
                keys.append(key)
            if len(keys) == MAX_WRITES_PER_TRANSACTION:
                break
        return keys

    def pause_s(self, now_s: float) -> float | None:
        """Return how long pending writes are paced; None: none is."""
        until_s = min(
            (
                self._paced_until_s[key]
                for key in self._paced_until_s
                if key in self.pending
            ),
            default=math.inf,
        )
        return None if math.isinf(until_s) else max(0, until_s - now_s)

    def start_batch(
        self, keys: Iterable[str], read_time_s: Callable[[], float]
    ) -> Batch:
        """Encode writes of ``keys`` and move them to a new batch.

        Those stay that would exceed ``MAX_TRANSACTION_BYTES``; one that cannot
        be encoded fails alone. ``read_time_s`` reads the clock of
        ``next_keys``.
        """
        batch = Batch({})
        size_bytes = 0
        for key in keys:
            began_at_s = read_time_s()
            try:
                size_bytes += self.pending[key].encode()
            except Exception as exc:
                log_unexpected_error(logger, exc, key=key)
                stored = self.pending.pop(key).stored
                stored.set_exception(WriteRejectedError(f'{key}: {exc}'))
                continue
            self._pace(key, began_at_s, read_time_s())
            if batch.writes and size_bytes > MAX_TRANSACTION_BYTES:
                break
            batch.writes[key] = self.pending.pop(key)
        self.batches.append(batch)
        return batch

    def withdraw(self, keys: tuple[str, ...]) -> list[PendingWrite]:
        """Remove the writes of ``keys`` and return them.

        Returns none, and removes none, if one of them may be stored.
        """
        batches = [
            batch for batch in self.batches if batch.writes.keys() & set(keys)
        ]
        if any(batch.may_have_stored(keys) for batch in batches):
            return []
        withdrawn = []
        for writes in (*(batch.writes for batch in batches), self.pending):
            withdrawn.extend(writes.pop(key) for key in keys if key in writes)
        return withdrawn

    def reject(
        self,
        batch: Batch,
        writes: dict[str, PendingWrite],
        reason: StoreRejectedError,
    ) -> None:
        """Handle that the store does not take ``writes`` of ``batch`` together.

        If there are several, each is sent by itself from now on. A single one
        fails, and with it those that must follow it.
        """
        if len(writes) > 1:
            batch.is_split = True
            return
        for key, pending in writes.items():
            log_event(
                logger,
                'journal.rejected',
                level=logging.ERROR,
                key=key,
                bytes=len(pending.encoded or b''),
                error=reason,
            )
            for one in (pending, *self._remove_dependents(key)):
                if not one.stored.done():
                    one.stored.set_exception(
                        WriteRejectedError(f'{key}: {reason}')
                    )
        batch.drop_done()

    def _remove_dependents(self, key: str) -> list[PendingWrite]:
        """Remove the writes that must follow the one of ``key``."""
        removed = []
        for writes in (*(batch.writes for batch in self.batches), self.pending):
            for other, pending in tuple(writes.items()):
                if pending.after == key:
                    removed.append(writes.pop(other))
        return removed

    def _pace(self, key: str, began_at_s: float, ended_at_s: float) -> None:
        encoding_s = ended_at_s - began_at_s
        if encoding_s > MIN_PACED_ENCODING_S:
            self._paced_until_s[key] = (
                ended_at_s + ENCODING_PAUSE_FACTOR * encoding_s
            )

    def _end_pauses(self, now_s: float) -> None:
        for key, until_s in tuple(self._paced_until_s.items()):
            if until_s <= now_s:
                self._paced_until_s.pop(key)


def _retrieve_exception(stored: asyncio.Future[None]) -> None:
    if not stored.cancelled():
        stored.exception()
