"""In-memory store with watches and conditional commits, for tests."""

from fake_store import FakeStore, StoreFault

from bulrushcove.exceptions import StoreOutcomeUnknownError
from bulrushcove.store import Changes, DeletedKey, Write, WriteAnswer

MS_PER_S = 1000


class FakeWatchableStore(FakeStore):
    """Implements ``store.WatchableStore`` with the faults of ``FakeStore``.

    late_commits: commits without a response that have not taken effect yet.
    """

    def __init__(self, clock=None):
        super().__init__(clock)
        self.late_commits = []
        self.deleted_revisions = {}
        self.closed = False

    async def watch(self, prefix, after, wait_ms):
        await self._begin()
        found = await self.scan(prefix)
        return Changes(
            written=tuple(
                item for item in found.found if item.mod_revision > after
            ),
            removed=tuple(
                DeletedKey(key, revision)
                for key, revision in self.deleted_revisions.items()
                if key.startswith(prefix) and revision > after
            ),
            store_revision=self.store_revision,
        )

    async def commit(self, writes, checks=()):
        fault = await self._begin()
        if fault is StoreFault.LATE_WRITE:
            self.late_commits.append((writes, checks))
        if fault in {StoreFault.LATE_WRITE, StoreFault.LOSE_WRITE}:
            raise StoreOutcomeUnknownError('commit: no response')
        response = self._commit(writes, checks)
        if fault is StoreFault.LOSE_RESPONSE:
            raise StoreOutcomeUnknownError('commit: no response')
        return response

    def deliver_commits(self):
        """Apply the delayed commits, oldest first."""
        while self.late_commits:
            self._commit(*self.late_commits.pop(0))

    async def grant_lease(self, ttl_ms):
        return await super().grant_lease(ttl_ms / MS_PER_S)

    async def renew_lease(self, lease):
        return bool(await super().renew_lease(lease))

    async def end_lease(self, lease):
        await self.revoke_lease(lease)

    async def close(self):
        self.closed = True

    def _commit(self, writes: tuple[Write, ...], checks) -> WriteAnswer:
        conditions = [(write.key, write.expected_revision) for write in writes]
        conditions.extend((check.key, check.revision) for check in checks)
        if any(self._revision(key) != wanted for key, wanted in conditions):
            current = [
                self.values[key] for key, _ in conditions if key in self.values
            ]
            return WriteAnswer(False, 0, tuple(current))
        return self._write(writes)

    def _put(self, write):
        super()._put(write)
        if write.value is None:
            self.deleted_revisions[write.key] = self.store_revision
