"""Batches the leader's record writes into conditional transactions.

Each transaction is conditional on the leader record and on the revision of
each key, so a delayed write that reaches the store after a newer write of the
same key has no effect.
"""

import asyncio
import logging

from mode import Service

from ..clock import Clock
from ..exceptions import (
    BulrushcoveError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
)
from ..logs import log_event, log_unexpected_error
from ..store import Check, StoredValue, WatchableStore, Write, WriteAnswer
from .background_tasks import BackgroundTasks
from .exceptions import WriteWithdrawnError
from .leadership import Leadership
from .messages import LeaderRecord
from .store_keys import LEADER_KEY
from .write_queue import (
    MAX_WRITES_PER_TRANSACTION,
    Batch,
    PendingWrite,
    RecordValue,
    WriteQueue,
)

# While another one is in flight, a transaction that is not full starts only
# this long after the last, so that writes to a fast store share transactions.
TRANSACTION_SPACING_S = 0.03
RETRY_INTERVAL_S = 0.15
# How long the last failure counts as an outage while there is nothing to write.
IDLE_FAILURE_TTL_S = 1.0

logger = logging.getLogger(__name__)


class LeadershipLostError(BulrushcoveError):
    """This VM ceased to be the leader before the write was confirmed."""


class StoreWriter(Service):
    """Writes records in a few transactions at a time, none with a common key.

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
        # Last known store revision of each key that is in the store.
        self.revisions: dict[str, int] = {}
        self.transaction_count = 0
        self.epoch = leader.epoch
        self._store = store
        self._leadership = leadership
        self._leader = leader
        self._clock = clock
        self.queue = WriteQueue()
        # Loop time at which the last transaction was started.
        self._last_started_at_s = 0.0
        self._tasks = BackgroundTasks()
        self._outage_since_s = 0.0
        self._last_failure_at_s = 0.0
        self._wake = asyncio.Event()
        self._has_lost_leadership = False

    @property
    def backlog(self) -> int:
        """Return how many writes wait for a transaction."""
        return len(self.queue.pending)

    @property
    def outage_s(self) -> float:
        """Return for how long writes have failed, in seconds; zero: no outage.

        Without writes to retry, a failure counts for ``IDLE_FAILURE_TTL_S``.
        """
        now_s = self._clock.monotonic_s()
        has_writes = not self.queue.is_empty
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
        found = self.queue.withdraw(keys)
        for pending in found:
            if not pending.stored.done():
                pending.stored.set_exception(
                    WriteWithdrawnError('write withdrawn')
                )
        return bool(found)

    def put(
        self, key: str, value: RecordValue, after: str = ''
    ) -> asyncio.Future[None]:
        """Write ``value`` (None: delete); the future is done once it is stored.

        A function is called when the transaction starts, and returns the bytes.
        The write is not stored before one of the key ``after`` that was put
        earlier; both may be stored in one transaction. The future fails with
        ``LeadershipLostError`` if leadership ends first, with
        ``WriteWithdrawnError`` after ``withdraw``, and with
        ``WriteRejectedError`` if the store does not take it.
        """
        loop = asyncio.get_running_loop()
        if self._has_lost_leadership:
            rejected: asyncio.Future[None] = loop.create_future()
            rejected.set_exception(LeadershipLostError(key))
            rejected.exception()
            return rejected
        stored = self.queue.put(key, value, after)
        self._wake.set()
        return stored

    async def on_stop(self) -> None:
        """Fail all writes that are not stored."""
        self._abandon_writes()
        self._tasks.cancel()
        for batch in self.queue.batches:
            _fail(batch.writes)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop and not self._has_lost_leadership:
            read_time_s = asyncio.get_running_loop().time
            keys = self.queue.next_keys(read_time_s())
            delay_s = self._start_delay_s(len(keys))
            if delay_s == 0:
                batch = self.queue.start_batch(keys, read_time_s)
                self._last_started_at_s = read_time_s()
                self._tasks.spawn(self._store_batch(batch))
                continue
            if delay_s is None:
                delay_s = self.queue.pause_s(read_time_s())
            if await _is_set_within(self._wake, delay_s):
                self._wake.clear()

    def _start_delay_s(self, count: int) -> float | None:
        """Return how long a transaction of ``count`` writes must wait.

        None: until there are writes, or, while the store does not respond,
        until another transaction has ended.
        """
        if not count or (self.queue.batches and self._outage_since_s):
            return None
        if not self.queue.batches:
            return 0
        if count == MAX_WRITES_PER_TRANSACTION:
            return 0
        now_s = asyncio.get_running_loop().time()
        start_at_s = self._last_started_at_s + TRANSACTION_SPACING_S
        return max(0, start_at_s - now_s)

    async def _store_batch(self, batch: Batch) -> None:
        """Repeat the transaction of ``batch`` until it is stored.

        After an unexpected error a new leader goes on from what is stored.
        """
        try:
            while batch.writes and not self._has_lost_leadership:
                await self._try_store(batch)
        except Exception as exc:
            log_unexpected_error(logger, exc, writes=len(batch.writes))
            self._abandon_writes()
            await self._leadership.step_down('a transaction cannot be sent')
        finally:
            _fail(batch.writes)
            self.queue.batches.remove(batch)
            self._wake.set()

    async def _try_store(self, batch: Batch) -> None:
        sent_at_s = self._clock.monotonic_s()
        writes = batch.next_writes()
        response = await self._try_commit(batch, writes)
        if response is None:
            return
        if response.written:
            self._leadership.confirm(sent_at_s)
            for key, pending in writes.items():
                is_deleted = pending.value is None
                _record_revision(
                    self.revisions,
                    key,
                    0 if is_deleted else response.store_revision,
                )
                _resolve(pending)
            batch.drop_done()
        elif self._adopt_store_state(writes, response):
            batch.drop_done()
        else:
            _fail(batch.writes)
            self._abandon_writes()
            await self._leadership.step_down(
                'another VM has replaced the leader record'
            )

    async def _try_commit(
        self, batch: Batch, writes: dict[str, PendingWrite]
    ) -> WriteAnswer | None:
        """Commit ``writes``; returns None if the caller is to go on."""
        try:
            response = await self._commit(batch, writes)
        except StoreOutcomeUnknownError as exc:
            for pending in writes.values():
                pending.may_have_taken_effect = True
            await self._handle_lost_response(exc, writes)
            return None
        except StoreRejectedError as exc:
            # The store responds, so this is no outage.
            self._outage_since_s = 0.0
            self.queue.reject(batch, writes, exc)
            return None
        except StoreError as exc:
            self._record_failure('journal.unavailable', exc, batch.writes)
            await asyncio.sleep(RETRY_INTERVAL_S)
            return None
        self._outage_since_s = 0.0
        return response

    async def _handle_lost_response(
        self, exc: StoreError, batch: dict[str, PendingWrite]
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

    async def _commit(
        self, batch: Batch, pending_writes: dict[str, PendingWrite]
    ) -> WriteAnswer:
        self.transaction_count += 1
        writes = tuple(
            Write(key, pending.encoded, self.revisions.get(key, 0))
            for key, pending in pending_writes.items()
        )
        check = Check(LEADER_KEY, self._leader.epoch)
        batch.is_commit_in_flight = True
        try:
            return await self._store.commit(writes, (check,))
        finally:
            batch.is_commit_in_flight = False

    def _adopt_store_state(
        self, batch: dict[str, PendingWrite], response: WriteAnswer
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
        for key, pending in batch.items():
            found = current.get(key, _absent_value(key))
            _record_revision(self.revisions, key, found.mod_revision)
            stored_value = found.value if found.mod_revision else None
            if stored_value == pending.encoded:
                _resolve(pending)
        return True

    def _record_failure(
        self, event: str, exc: StoreError, batch: dict[str, PendingWrite]
    ) -> None:
        self._last_failure_at_s = self._clock.monotonic_s()
        self._outage_since_s = self._outage_since_s or self._last_failure_at_s
        log_event(
            logger,
            event,
            level=logging.WARNING,
            writes=len(batch),
            backlog=self.backlog,
            error=exc,
        )

    def _abandon_writes(self) -> None:
        self._has_lost_leadership = True
        _fail(self.queue.pending)
        self._wake.set()


async def _is_set_within(event: asyncio.Event, delay_s: float | None) -> bool:
    """Return whether ``event`` is set within ``delay_s``; None: no limit."""
    try:
        async with asyncio.timeout(delay_s):
            return await event.wait()
    except TimeoutError:
        return False


def _record_revision(
    revisions: dict[str, int], key: str, revision: int
) -> None:
    """Record the store revision of ``key``; zero: it is absent."""
    if revision:
        revisions[key] = revision
    else:
        revisions.pop(key, None)


def _fail(writes: dict[str, PendingWrite]) -> None:
    for key, pending in writes.items():
        if not pending.stored.done():
            pending.stored.set_exception(LeadershipLostError(key))
    writes.clear()


def _absent_value(key: str) -> StoredValue:
    return StoredValue(key, b'', 0)


def _resolve(pending: PendingWrite) -> None:
    if not pending.stored.done():
        pending.stored.set_result(None)
