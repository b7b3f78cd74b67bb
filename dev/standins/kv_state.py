"""State of the key-value service: keys, revisions and leases, no I/O."""

from collections.abc import Callable, Iterator

import msgspec

from bulrushcove.clock import Clock

MAX_KEPT_EVENTS = 10_000


class KeyValue(msgspec.Struct, frozen=True):
    """A key after its last change; a deleted key has version zero."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


class Lease(msgspec.Struct):
    """A lease and the keys that are deleted with it."""

    lease: int
    ttl_s: int
    expires_at_s: float
    keys: set[bytes] = msgspec.field(default_factory=set)


class LeaseNotFoundError(Exception):
    """The lease does not exist or has expired."""


Listener = Callable[[list[KeyValue]], None]


class KvState:
    """All keys and leases; notifies listeners of changes."""

    def __init__(self, clock: Clock) -> None:
        """Start empty at revision one, as etcd does."""
        self.revision = 1
        self.events: list[KeyValue] = []
        self.listeners: set[Listener] = set()
        self._clock = clock
        self._values: dict[bytes, KeyValue] = {}
        self._leases: dict[int, Lease] = {}
        self._next_lease = 1

    def find(self, key: bytes) -> KeyValue | None:
        """Return the key's current value."""
        return self._values.get(key)

    def select(self, key: bytes, range_end: bytes) -> Iterator[KeyValue]:
        """Return the keys in ``[key, range_end)`` in order.

        An empty ``range_end`` selects one key, a zero byte all from ``key``.
        """
        if not range_end:
            keys = [key] if key in self._values else []
        elif range_end == b'\0':
            keys = [stored for stored in self._values if stored >= key]
        else:
            keys = [
                stored for stored in self._values if key <= stored < range_end
            ]
        return (self._values[found] for found in sorted(keys))

    def put(
        self, key: bytes, content: bytes, lease: int, revision: int
    ) -> None:
        """Write a key at ``revision``; raises ``LeaseNotFoundError``."""
        if lease:
            self._get_lease(lease).keys.add(key)
        previous = self._values.get(key)
        if previous is not None and previous.lease not in {0, lease}:
            self._detach(previous)
        self._values[key] = KeyValue(
            key=key,
            value=content,
            create_revision=previous.create_revision if previous else revision,
            mod_revision=revision,
            version=previous.version + 1 if previous else 1,
            lease=lease,
        )
        self.events.append(self._values[key])

    def delete(self, key: bytes, revision: int) -> None:
        """Delete a key at ``revision``."""
        deleted = self._values.pop(key)
        self._detach(deleted)
        self.events.append(
            KeyValue(
                key=key,
                value=b'',
                create_revision=0,
                mod_revision=revision,
                version=0,
            )
        )

    def commit(self, revision: int) -> None:
        """Make ``revision`` current and notify the listeners."""
        if revision == self.revision:
            return
        self.revision = revision
        changed = [
            event for event in self.events if event.mod_revision == revision
        ]
        for listener in tuple(self.listeners):
            listener(changed)
        self.events = self.events[-MAX_KEPT_EVENTS:]

    def check_lease(self, lease: int) -> None:
        """Raise ``LeaseNotFoundError`` unless the lease is valid."""
        self._get_lease(lease)

    def grant(self, ttl_s: int) -> Lease:
        """Create a lease of ``ttl_s`` seconds."""
        expires_at_s = self._clock.monotonic_s() + ttl_s
        lease = Lease(
            lease=self._next_lease, ttl_s=ttl_s, expires_at_s=expires_at_s
        )
        self._next_lease += 1
        self._leases[lease.lease] = lease
        return lease

    def renew(self, lease: int) -> int:
        """Renew a lease and return its TTL in seconds; 0: it has expired."""
        found = self._leases.get(lease)
        if found is None:
            return 0
        found.expires_at_s = self._clock.monotonic_s() + found.ttl_s
        return found.ttl_s

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys; raises ``LeaseNotFoundError``."""
        keys = sorted(self._get_lease(lease).keys)
        self._leases.pop(lease)
        revision = self.revision + 1
        for key in keys:
            self.delete(key, revision)
        if keys:
            self.commit(revision)

    def expire(self) -> None:
        """Revoke the expired leases."""
        now_s = self._clock.monotonic_s()
        expired = [
            lease.lease
            for lease in self._leases.values()
            if lease.expires_at_s <= now_s
        ]
        for number in expired:
            self.revoke(number)

    def _detach(self, stored: KeyValue) -> None:
        lease = self._leases.get(stored.lease)
        if lease is not None:
            lease.keys.discard(stored.key)

    def _get_lease(self, lease: int) -> Lease:
        found = self._leases.get(lease)
        if found is None:
            raise LeaseNotFoundError(lease)
        return found
