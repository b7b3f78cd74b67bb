"""Narrow interface to the platform's key-value service."""

from typing import NewType, Protocol

import msgspec

StoreLeaseId = NewType('StoreLeaseId', int)

CONFIGURATION_KEY = 'bulrushcove/configuration'
JOBS_PREFIX = 'bulrushcove/jobs/'
CONTROL_PREFIX = 'bulrushcove/control/'
CLAIMS_PREFIX = 'bulrushcove/claims/'


class StoredValue(msgspec.Struct, frozen=True):
    """A key with its value and the store revision that wrote it."""

    key: str
    value: bytes
    mod_revision: int


class Scan(msgspec.Struct, frozen=True):
    """Answer to a read: what was found as of ``store_revision``."""

    found: tuple[StoredValue, ...]
    store_revision: int


class Write(msgspec.Struct, frozen=True):
    """One compare-and-swap: expects ``expected_revision`` (0: absent).

    A value of None deletes the key.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease: StoreLeaseId | None = None


class Check(msgspec.Struct, frozen=True):
    """Condition on a key that a transaction leaves as it is (0: absent)."""

    key: str
    revision: int


class DeletedKey(msgspec.Struct, frozen=True):
    """A key that was deleted at ``mod_revision``."""

    key: str
    mod_revision: int


class Changes(msgspec.Struct, frozen=True):
    """Answer to a watch: what changed up to ``store_revision``, in order."""

    written: tuple[StoredValue, ...]
    removed: tuple[DeletedKey, ...]
    store_revision: int


class WriteAnswer(msgspec.Struct, frozen=True):
    """Whether all writes took effect, and what stands where they did not."""

    written: bool
    store_revision: int
    # Current values of the compared keys when not written.
    current: tuple[StoredValue, ...] = ()


class Store(Protocol):
    """Operations used of the key-value service.

    Each raises ``StoreUnavailableError`` when it surely had no effect and
    ``StoreOutcomeUnknownError`` when a write may have taken effect.
    """

    async def read(self, key: str, *, newer_than: int = 0) -> Scan:
        """Read one key; found is empty unless written after newer_than."""

    async def scan(self, prefix: str, *, newer_than: int = 0) -> Scan:
        """Read all keys below prefix that were written after newer_than."""

    async def write(self, *writes: Write) -> WriteAnswer:
        """Apply all writes in one transaction, or none."""

    async def grant_lease(self, ttl_s: int) -> StoreLeaseId:
        """Create a lease that lapses ttl_s seconds after its last renewal."""

    async def renew_lease(self, lease: StoreLeaseId) -> int:
        """Renew a lease; returns its seconds left, 0 when it has lapsed."""

    async def revoke_lease(self, lease: StoreLeaseId) -> None:
        """End a lease and delete the keys that hang on it."""


class WatchableStore(Protocol):
    """Operations of the node program, on a store that also has watches.

    Errors as in ``Store``; times are milliseconds.
    """

    async def read(self, key: str) -> Scan:
        """Read one key, linearizably; found is empty when it is absent."""

    async def scan(self, prefix: str) -> Scan:
        """Read all keys below ``prefix``; not a snapshot.

        What changed while it was read is after ``store_revision``.
        """

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait for changes below ``prefix`` after revision ``after``.

        Raises ``StoreHistoryGoneError`` when they can no longer be told.
        """

    async def commit(
        self, writes: tuple[Write, ...], checks: tuple[Check, ...] = ()
    ) -> WriteAnswer:
        """Apply all ``writes`` if all conditions hold, or none."""

    async def grant_lease(self, ttl_ms: int) -> StoreLeaseId:
        """Create a lease that lapses ``ttl_ms`` after its last renewal."""

    async def renew_lease(self, lease: StoreLeaseId) -> bool:
        """Renew a lease; false: it has ended."""

    async def end_lease(self, lease: StoreLeaseId) -> None:
        """End a lease and delete the keys that hang on it."""

    async def close(self) -> None:
        """Close all connections."""
