"""Protocols and value types of the platform's key-value store.

``Store`` serves the entry and control programs, ``WatchableStore`` the node
program.
"""

from typing import NewType, Protocol

import msgspec

StoreLeaseId = NewType('StoreLeaseId', int)

CONFIGURATION_KEY = 'bulrushcove/configuration'
JOBS_PREFIX = 'bulrushcove/jobs/'
CONTROL_PREFIX = 'bulrushcove/control/'
CLAIMS_PREFIX = 'bulrushcove/claims/'


class StoredValue(msgspec.Struct, frozen=True):
    """A key with its value and the store revision of its last write."""

    key: str
    value: bytes
    mod_revision: int


class Scan(msgspec.Struct, frozen=True):
    """Result of a read: the values found as of ``store_revision``."""

    found: tuple[StoredValue, ...]
    store_revision: int


class Write(msgspec.Struct, frozen=True):
    """One compare-and-swap: applies if the key is at ``expected_revision``.

    An ``expected_revision`` of 0 means that the key must not exist. A value
    of None deletes the key.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease: StoreLeaseId | None = None


class Check(msgspec.Struct, frozen=True):
    """Condition on a key that a transaction does not write.

    A revision of 0 means that the key must not exist.
    """

    key: str
    revision: int


class DeletedKey(msgspec.Struct, frozen=True):
    """A key that was deleted at ``mod_revision``."""

    key: str
    mod_revision: int


class Changes(msgspec.Struct, frozen=True):
    """Result of a watch: all changes up to ``store_revision``, in order."""

    written: tuple[StoredValue, ...]
    removed: tuple[DeletedKey, ...]
    store_revision: int


class WriteAnswer(msgspec.Struct, frozen=True):
    """Result of a transaction: whether all its writes took effect."""

    written: bool
    store_revision: int
    # Current values of the compared keys if nothing was written.
    current: tuple[StoredValue, ...] = ()


class Store(Protocol):
    """Operations of the key-value store that this package uses.

    Each raises ``StoreUnavailableError`` if it had no effect and
    ``StoreOutcomeUnknownError`` if a write may have taken effect.
    """

    async def read(self, key: str, *, newer_than: int = 0) -> Scan:
        """Read one key; nothing is found unless written after newer_than."""

    async def scan(self, prefix: str, *, newer_than: int = 0) -> Scan:
        """Read all keys below prefix that were written after newer_than."""

    async def write(self, *writes: Write) -> WriteAnswer:
        """Apply all writes in one transaction if all conditions hold."""

    async def grant_lease(self, ttl_s: int) -> StoreLeaseId:
        """Create a lease that expires ttl_s seconds after its last renewal."""

    async def renew_lease(self, lease: StoreLeaseId) -> int:
        """Renew a lease; return its seconds left, 0 if it has expired."""

    async def revoke_lease(self, lease: StoreLeaseId) -> None:
        """Revoke a lease and delete the keys attached to it."""


class WatchableStore(Protocol):
    """Operations that the node program uses; the store supports watches.

    Raises the same errors as ``Store``; times are in milliseconds.
    """

    async def read(self, key: str) -> Scan:
        """Read one key, linearizably; nothing is found if it is absent."""

    async def scan(self, prefix: str) -> Scan:
        """Read all keys below ``prefix``; not a consistent snapshot.

        Changes made during the read are later than ``store_revision``.
        """

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait up to ``wait_ms`` for changes below ``prefix``.

        Returns changes after revision ``after``; raises
        ``StoreHistoryGoneError`` if the store no longer keeps them all.
        """

    async def commit(
        self, writes: tuple[Write, ...], checks: tuple[Check, ...] = ()
    ) -> WriteAnswer:
        """Apply all ``writes`` in one transaction if all conditions hold."""

    async def grant_lease(self, ttl_ms: int) -> StoreLeaseId:
        """Create a lease that expires ``ttl_ms`` after its last renewal."""

    async def renew_lease(self, lease: StoreLeaseId) -> bool:
        """Renew a lease; return False if it has expired."""

    async def end_lease(self, lease: StoreLeaseId) -> None:
        """Revoke a lease and delete the keys attached to it."""

    async def close(self) -> None:
        """Close all connections."""
