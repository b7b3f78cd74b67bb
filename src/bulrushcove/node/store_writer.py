"""Batches the leader's record writes into conditional transactions.

Each transaction is conditional on the leader record and on the revision of
each key, so a delayed write that reaches the store after a newer write of the
same key has no effect.
"""

import asyncio
import logging

import msgspec
from mode import Service

from ..clock import Clock
from ..exceptions import (
    BulrushcoveError,
    StoreError,
    StoreOutcomeUnknownError,
)
from ..logs import log_event
from ..store import Check, StoredValue, WatchableStore, Write, WriteAnswer
from .leadership import Leadership
from .messages import LeaderRecord
from .store_keys import LEADER_KEY

# The store accepts 32 entries per transaction: a condition and a value for each
# write, plus the condition on the leader record.
MAX_WRITES_PER_TRANSACTION = 15
RETRY_INTERVAL_S = 0.15
# How long the last failure counts as an outage while there is nothing to write.
IDLE_FAILURE_TTL_S = 1.0

logger = logging.getLogger(__name__)


class WriteWithdrawnError(BulrushcoveError):
    """The write was withdrawn before it could take effect."""


class LeadershipLostError(BulrushcoveError):
    """This VM ceased to be the leader before the write was confirmed."""


class _PendingWrite(msgspec.Struct, eq=False):
    value: bytes | None
    stored: asyncio.Future[None]
    # A commit that contained it brought no response.
    may_have_taken_effect: bool = False


class StoreWriter(Service):
    """Writes records, one transaction at a time.

    A newer value of a key replaces one that still waits.
    """

    def __init__(
        self,
        store: WatchableStore,
        leadership: Leadership,
        leader: LeaderRecord,
        clock: Clock,
    ) -> None:
        """Write as long as ``leader`` is the record in the store."""
        super().__init__()
        # Last known store revision of each key; zero: absent.
        self.revisions: dict[str, int] = {}
        self.transaction_count = 0
        self._store = store
        self._leadership = leadership
        self._leader = leader
        self._clock = clock
        self._pending: dict[str, _PendingWrite] = {}
        # The writes of the current transaction.
        self._batch: dict[str, _PendingWrite] = {}
        self._is_commit_in_flight = False
        self._outage_since_s = 0.0
        self._last_failure_at_s = 0.0
        self._wake = asyncio.Event()
        self._has_lost_leadership = False

    @property
    def backlog(self) -> int:
        """Return how many writes wait for a transaction."""
        return len(self._pending)

    @property
    def outage_s(self) -> float:
        """Return for how long writes have failed, in seconds; zero: no outage.

        Without writes to retry, a failure counts for ``IDLE_FAILURE_TTL_S``.
        """
        now_s = self._clock.monotonic_s()
        has_writes = bool(self._batch or self._pending)
        is_failure_recent = now_s - self._last_failure_at_s < IDLE_FAILURE_TTL_S
        if self._outage_since_s and (has_writes or is_failure_recent):
            return now_s - self._outage_since_s
        self._outage_since_s = 0.0
        return 0.0

    def withdraw(self, keys: tuple[str, ...]) -> bool:
        """Withdraw the writes of ``keys`` if none can have taken effect.

        Returns whether any was withdrawn. A commit that is in flight or brought
        no response may still take effect; one that the store rejected cannot.
        """
        found = []
        for key in keys:
            in_batch = self._batch.get(key)
            if in_batch is not None and (
                self._is_commit_in_flight or in_batch.may_have_taken_effect
            ):
                return False
            found.extend(
                pending
                for pending in (in_batch, self._pending.get(key))
                if pending is not None
            )
        for key in keys:
            self._batch.pop(key, None)
            self._pending.pop(key, None)
        for pending in found:
            if not pending.stored.done():
                pending.stored.set_exception(
                    WriteWithdrawnError('write withdrawn')
                )
        return bool(found)

    def put(self, key: str, value: bytes | None) -> asyncio.Future[None]:
        """Write ``value`` (None: delete); the future is done once it is stored.

        The future fails with ``LeadershipLostError`` if leadership ends first,
        and with ``WriteWithdrawnError`` after ``withdraw``.
        """
        loop = asyncio.get_running_loop()
        if self._has_lost_leadership:
            rejected: asyncio.Future[None] = loop.create_future()
            rejected.set_exception(LeadershipLostError(key))
            rejected.exception()
            return rejected
        pending = self._pending.get(key)
        if pending is None:
            pending = _PendingWrite(value, loop.create_future())
            # Avoids asyncio's warning about a failed write that has no waiter.
            pending.stored.add_done_callback(_retrieve_exception)
            self._pending[key] = pending
        pending.value = value
        self._wake.set()
        return pending.stored

    async def on_stop(self) -> None:
        """Fail all writes that are not stored."""
        self._abandon_writes()

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop and not self._has_lost_leadership:
            await self._wake.wait()
            self._wake.clear()
            while self._pending and not self._has_lost_leadership:
                keys = tuple(self._pending)[:MAX_WRITES_PER_TRANSACTION]
                self._batch = {key: self._pending.pop(key) for key in keys}
                await self._store_batch(self._batch)

    async def _store_batch(self, batch: dict[str, _PendingWrite]) -> None:
        while batch and not self._has_lost_leadership:
            sent_at_s = self._clock.monotonic_s()
            response = await self._try_commit(batch)
            if response is None:
                continue
            if response.written:
                self._leadership.confirm(sent_at_s)
                self._complete(batch, response.store_revision)
            elif not self._adopt_store_state(batch, response):
                self._fail(batch)
                self._abandon_writes()
                await self._leadership.step_down(
                    'another VM has replaced the leader record'
                )
        self._fail(batch)

    async def _try_commit(
        self, batch: dict[str, _PendingWrite]
    ) -> WriteAnswer | None:
        """Commit ``batch``; returns None if the caller is to retry."""
        try:
            response = await self._commit(batch)
        except StoreOutcomeUnknownError as exc:
            for pending in batch.values():
                pending.may_have_taken_effect = True
            await self._handle_lost_response(exc, batch)
            return None
        except StoreError as exc:
            self._record_failure('journal.unavailable', exc, batch)
            await asyncio.sleep(RETRY_INTERVAL_S)
            return None
        self._outage_since_s = 0.0
        return response

    async def _handle_lost_response(
        self, exc: StoreError, batch: dict[str, _PendingWrite]
    ) -> None:
        """Check by a read whether the store is still available.

        If it is, only the response was lost: that is no outage, so the batch is
        retried at once and submissions are still accepted.
        """
        try:
            await self._store.read(LEADER_KEY)
        except StoreError:
            self._record_failure('journal.answer_lost', exc, batch)
            return
        log_event(logger, 'journal.answer_lost', writes=len(batch), error=exc)
        self._outage_since_s = 0.0

    async def _commit(self, batch: dict[str, _PendingWrite]) -> WriteAnswer:
        self.transaction_count += 1
        writes = tuple(
            Write(key, pending.value, self.revisions.get(key, 0))
            for key, pending in batch.items()
        )
        check = Check(LEADER_KEY, self._leader.epoch)
        self._is_commit_in_flight = True
        try:
            return await self._store.commit(writes, (check,))
        finally:
            self._is_commit_in_flight = False

    def _complete(self, batch: dict[str, _PendingWrite], revision: int) -> None:
        for key, pending in batch.items():
            self.revisions[key] = revision if pending.value is not None else 0
            _resolve(pending)
        batch.clear()

    def _adopt_store_state(
        self, batch: dict[str, _PendingWrite], response: WriteAnswer
    ) -> bool:
        """Adopt the revisions in the store and drop writes already stored.

        Returns False if the leader record is no longer this VM's.
        """
        current = {item.key: item for item in response.current}
        leader_record = current.get(LEADER_KEY)
        if (
            leader_record is None
            or leader_record.mod_revision != self._leader.epoch
        ):
            return False
        for key, pending in tuple(batch.items()):
            found = current.get(key, _absent_value(key))
            self.revisions[key] = found.mod_revision
            stored_value = found.value if found.mod_revision else None
            if stored_value == pending.value:
                _resolve(pending)
                batch.pop(key)
        return True

    def _record_failure(
        self, event: str, exc: StoreError, batch: dict[str, _PendingWrite]
    ) -> None:
        self._last_failure_at_s = self._clock.monotonic_s()
        self._outage_since_s = self._outage_since_s or self._last_failure_at_s
        log_event(
            logger,
            event,
            level=logging.WARNING,
            writes=len(batch),
            backlog=len(self._pending),
            error=exc,
        )

    def _abandon_writes(self) -> None:
        self._has_lost_leadership = True
        self._fail(self._pending)
        self._wake.set()

    def _fail(self, batch: dict[str, _PendingWrite]) -> None:
        for key, pending in batch.items():
            if not pending.stored.done():
                pending.stored.set_exception(LeadershipLostError(key))
        batch.clear()


def _absent_value(key: str) -> StoredValue:
    return StoredValue(key, b'', 0)


def _resolve(pending: _PendingWrite) -> None:
    if not pending.stored.done():
        pending.stored.set_result(None)


def _retrieve_exception(stored: asyncio.Future[None]) -> None:
    if not stored.cancelled():
        stored.exception()
