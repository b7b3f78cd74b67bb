"""Writes of the active scheduler, many in one transaction.

Each transaction is conditional on the tenure and on the revision of each key:
a write that the store carries out late, after a newer one of the same key,
does nothing.
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

# The store takes 32 entries a transaction: a condition and a value for each
# write, and the condition on the tenure.
MAX_WRITES = 15
RETRY_S = 0.15
# How long a failure speaks for the store when no write is tried.
FAILURE_FRESH_S = 1.0

logger = logging.getLogger(__name__)


class WriteWithdrawnError(BulrushcoveError):
    """The write was taken back before the store can have done it."""


class LeadershipLostError(BulrushcoveError):
    """Another VM is the active scheduler; the write had no effect."""


class _Pending(msgspec.Struct, eq=False):
    value: bytes | None
    stored: asyncio.Future[None]
    # A call that carried it brought no answer.
    may_be_stored: bool = False


class StoreWriter(Service):
    """Writes records in order; one transaction at a time."""

    def __init__(
        self,
        store: WatchableStore,
        leadership: Leadership,
        leader: LeaderRecord,
        clock: Clock,
    ) -> None:
        """Write while ``leader`` is the record of the tenure."""
        super().__init__()
        # Revision of each key as last known.
        self.revisions: dict[str, int] = {}
        self.transaction_count = 0
        self._store = store
        self._leadership = leadership
        self._leader = leader
        self._clock = clock
        self._pending: dict[str, _Pending] = {}
        # The writes of the transaction under way.
        self._batch: dict[str, _Pending] = {}
        self._is_calling = False
        self._failing_since_s = 0.0
        self._failed_s = 0.0
        self._news = asyncio.Event()
        self._is_deposed = False

    @property
    def backlog(self) -> int:
        """Return how many writes wait."""
        return len(self._pending)

    @property
    def outage_s(self) -> float:
        """Return for how long the store has taken no write.

        Without a write to try, a failure tells for a moment only.
        """
        now_s = self._clock.monotonic_s()
        is_trying = bool(self._batch or self._pending)
        is_fresh = now_s - self._failed_s < FAILURE_FRESH_S
        if self._failing_since_s and (is_trying or is_fresh):
            return now_s - self._failing_since_s
        self._failing_since_s = 0.0
        return 0.0

    def withdraw(self, keys: tuple[str, ...]) -> bool:
        """Take back the writes of ``keys`` if none can have been done.

        Only a store that refuses allows it: a call without an answer may
        still be carried out.
        """
        found = []
        for key in keys:
            in_batch = self._batch.get(key)
            if in_batch is not None and (
                self._is_calling or in_batch.may_be_stored
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
                pending.stored.set_exception(WriteWithdrawnError('taken back'))
        return bool(found)

    def put(self, key: str, value: bytes | None) -> asyncio.Future[None]:
        """Write ``value`` (None: delete); the future ends when it is stored.

        It raises ``LeadershipLostError`` when the tenure ended before.
        """
        loop = asyncio.get_running_loop()
        if self._is_deposed:
            refused: asyncio.Future[None] = loop.create_future()
            refused.set_exception(LeadershipLostError(key))
            refused.exception()
            return refused
        pending = self._pending.get(key)
        if pending is None:
            pending = _Pending(value, loop.create_future())
            # A write that nobody waits for fails without a warning.
            pending.stored.add_done_callback(_consume)
            self._pending[key] = pending
        pending.value = value
        self._news.set()
        return pending.stored

    async def on_stop(self) -> None:
        """Fail what was not stored."""
        self._depose()

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop and not self._is_deposed:
            await self._news.wait()
            self._news.clear()
            while self._pending and not self._is_deposed:
                keys = tuple(self._pending)[:MAX_WRITES]
                self._batch = {key: self._pending.pop(key) for key in keys}
                await self._store_batch(self._batch)

    async def _store_batch(self, batch: dict[str, _Pending]) -> None:
        while batch and not self._is_deposed:
            asked_s = self._clock.monotonic_s()
            answer = await self._try(batch)
            if answer is None:
                continue
            if answer.written:
                self._leadership.confirm(asked_s)
                self._settle(batch, answer.store_revision)
            elif not self._learn(batch, answer):
                self._fail(batch)
                self._depose()
                await self._leadership.step_down(
                    'another scheduler has written'
                )
        self._fail(batch)

    async def _try(self, batch: dict[str, _Pending]) -> WriteAnswer | None:
        """Return the store's answer; None: to be tried again."""
        try:
            answer = await self._commit(batch)
        except StoreOutcomeUnknownError as exc:
            for pending in batch.values():
                pending.may_be_stored = True
            await self._note_lost_answer(exc, batch)
            return None
        except StoreError as exc:
            self._note_failure('journal.unavailable', exc, batch)
            await asyncio.sleep(RETRY_S)
            return None
        self._failing_since_s = 0.0
        return answer

    async def _note_lost_answer(
        self, exc: StoreError, batch: dict[str, _Pending]
    ) -> None:
        """Tell a store that lost one answer from one that is away.

        One that answers a read takes writes too: the batch is sent again at
        once, and submissions go on being accepted.
        """
        try:
            await self._store.read(LEADER_KEY)
        except StoreError:
            self._note_failure('journal.answer_lost', exc, batch)
            return
        log_event(logger, 'journal.answer_lost', writes=len(batch), error=exc)
        self._failing_since_s = 0.0

    async def _commit(self, batch: dict[str, _Pending]) -> WriteAnswer:
        self.transaction_count += 1
        writes = tuple(
            Write(key, pending.value, self.revisions.get(key, 0))
            for key, pending in batch.items()
        )
        check = Check(LEADER_KEY, self._leader.epoch)
        self._is_calling = True
        try:
            return await self._store.commit(writes, (check,))
        finally:
            self._is_calling = False

    def _settle(self, batch: dict[str, _Pending], revision: int) -> None:
        for key, pending in batch.items():
            self.revisions[key] = revision if pending.value is not None else 0
            _resolve(pending)
        batch.clear()

    def _learn(self, batch: dict[str, _Pending], answer: WriteAnswer) -> bool:
        """Take over what stands in the store; false: deposed."""
        current = {item.key: item for item in answer.current}
        leadership = current.get(LEADER_KEY)
        if leadership is None or leadership.mod_revision != self._leader.epoch:
            return False
        for key, pending in tuple(batch.items()):
            found = current.get(key, _absent(key))
            self.revisions[key] = found.mod_revision
            stands = found.value if found.mod_revision else None
            if stands == pending.value:
                _resolve(pending)
                batch.pop(key)
        return True

    def _note_failure(
        self, event: str, exc: StoreError, batch: dict[str, _Pending]
    ) -> None:
        self._failed_s = self._clock.monotonic_s()
        self._failing_since_s = self._failing_since_s or self._failed_s
        log_event(
            logger,
            event,
            level=logging.WARNING,
            writes=len(batch),
            backlog=len(self._pending),
            error=exc,
        )

    def _depose(self) -> None:
        self._is_deposed = True
        self._fail(self._pending)
        self._news.set()

    def _fail(self, batch: dict[str, _Pending]) -> None:
        for key, pending in batch.items():
            if not pending.stored.done():
                pending.stored.set_exception(LeadershipLostError(key))
        batch.clear()


def _absent(key: str) -> StoredValue:
    return StoredValue(key, b'', 0)


def _resolve(pending: _Pending) -> None:
    if not pending.stored.done():
        pending.stored.set_result(None)


def _consume(stored: asyncio.Future[None]) -> None:
    if not stored.cancelled():
        stored.exception()
