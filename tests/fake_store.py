"""In-memory key-value store with faults, for tests."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum, unique

from bulrushcove.clock import Clock, ManualClock
from bulrushcove.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.store import (
    Scan,
    StoredValue,
    StoreLeaseId,
    Write,
    WriteAnswer,
)


@unique
class StoreFault(Enum):
    """Fault of one call."""

    NONE = 'none'
    DOWN = 'down'
    LOSE_RESPONSE = 'lose response'
    LOSE_WRITE = 'lose write'
    LATE_WRITE = 'late write'


class FakeStore:
    """Implements ``store.Store``; these attributes inject faults.

    down: whether each call fails without effect.
    lose_responses: number of writes that take effect without a response.
    lose_writes: number of writes that have neither effect nor response.
    delay_s: time that each call takes before its effect.
    before_write: awaited once before the next write, to test conflicts.
    scripted_faults: faults of the next calls, in order; lose_* override them.
    late_writes: writes without a response that have not taken effect yet.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.down = False
        self.lose_responses = 0
        self.lose_writes = 0
        self.delay_s = 0.0
        self.before_write: Callable[[], Awaitable[object]] | None = None
        self.scripted_faults: deque[StoreFault] = deque()
        self.late_writes: list[tuple[Write, ...]] = []
        self.calls = 0
        self.store_revision = 1
        self.values: dict[str, StoredValue] = {}
        self._clock = clock or ManualClock()
        self._lease_of_key: dict[str, StoreLeaseId] = {}
        self._leases: dict[StoreLeaseId, tuple[int, float]] = {}

    async def read(self, key: str, *, newer_than: int = 0) -> Scan:
        await self._begin()
        return self._scan(lambda stored: stored.key == key, newer_than)

    async def scan(self, prefix: str, *, newer_than: int = 0) -> Scan:
        await self._begin()
        return self._scan(
            lambda stored: stored.key.startswith(prefix), newer_than
        )

    async def write(self, *writes: Write) -> WriteAnswer:
        if self.before_write is not None:
            conflicting_write = self.before_write
            self.before_write = None
            await conflicting_write()
        fault = await self._begin()
        if self.lose_writes:
            self.lose_writes -= 1
            fault = StoreFault.LOSE_WRITE
        elif self.lose_responses:
            self.lose_responses -= 1
            fault = StoreFault.LOSE_RESPONSE
        if fault is StoreFault.LATE_WRITE:
            self.late_writes.append(writes)
        if fault in {StoreFault.LATE_WRITE, StoreFault.LOSE_WRITE}:
            raise StoreOutcomeUnknownError('write: no response')
        response = self._write(writes)
        if fault is StoreFault.LOSE_RESPONSE:
            raise StoreOutcomeUnknownError('write: no response')
        return response

    def deliver_late_writes(self) -> None:
        """Apply the delayed writes, oldest first."""
        while self.late_writes:
            self._write(self.late_writes.pop(0))

    async def grant_lease(self, ttl_s: int) -> StoreLeaseId:
        await self._begin()
        lease = StoreLeaseId(len(self._leases) + 1)
        self._leases[lease] = (ttl_s, self._clock.monotonic_s() + ttl_s)
        return lease

    async def renew_lease(self, lease: StoreLeaseId) -> int:
        await self._begin()
        ttl_s, _ = self._leases.get(lease, (0, 0))
        if ttl_s:
            self._leases[lease] = (ttl_s, self._clock.monotonic_s() + ttl_s)
        return ttl_s

    async def revoke_lease(self, lease: StoreLeaseId) -> None:
        await self._begin()
        self._end_lease(lease)

    async def _begin(self) -> StoreFault:
        self.calls += 1
        fault = (
            self.scripted_faults.popleft()
            if self.scripted_faults
            else StoreFault.NONE
        )
        # Even a delay of 0 lets concurrent calls interleave.
        await asyncio.sleep(self.delay_s)
        if self.down or fault is StoreFault.DOWN:
            raise StoreUnavailableError('store is down')
        now_s = self._clock.monotonic_s()
        for lease, (ttl_s, expires_at_s) in list(self._leases.items()):
            if ttl_s and expires_at_s <= now_s:
                self._end_lease(lease)
        return fault

    def _end_lease(self, lease: StoreLeaseId) -> None:
        self._leases[lease] = (0, 0)
        keys = [
            key for key, owner in self._lease_of_key.items() if owner == lease
        ]
        for key in keys:
            self._lease_of_key.pop(key)
            self.values.pop(key, None)
        self.store_revision += bool(keys)

    def _scan(
        self, matches: Callable[[StoredValue], bool], newer_than: int
    ) -> Scan:
        found = [
            stored
            for _, stored in sorted(self.values.items())
            if matches(stored) and stored.mod_revision > newer_than
        ]
        return Scan(found=tuple(found), store_revision=self.store_revision)

    def _write(self, writes: tuple[Write, ...]) -> WriteAnswer:
        expired = [
            write.lease
            for write in writes
            if write.lease and not self._leases.get(write.lease, (0, 0))[0]
        ]
        if expired:
            raise StoreUnavailableError(f'lease {expired[0]} not found')
        current = [
            self.values[write.key]
            for write in writes
            if write.key in self.values
        ]
        if any(
            self._revision(write.key) != write.expected_revision
            for write in writes
        ):
            return WriteAnswer(False, self.store_revision, tuple(current))
        self.store_revision += 1
        for write in writes:
            self._put(write)
        return WriteAnswer(True, self.store_revision)

    def _revision(self, key: str) -> int:
        stored = self.values.get(key)
        return stored.mod_revision if stored else 0

    def _put(self, write: Write) -> None:
        self._lease_of_key.pop(write.key, None)
        if write.value is None:
            self.values.pop(write.key, None)
            return
        if write.lease:
            self._lease_of_key[write.key] = write.lease
        self.values[write.key] = StoredValue(
            write.key, write.value, self.store_revision
        )
