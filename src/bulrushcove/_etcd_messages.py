"""Messages of the etcd v3 JSON gateway that ``EtcdStore`` uses.

The gateway encodes bytes as base64 and 64-bit integers as strings, and omits
fields that are zero.
"""

import msgspec

from .store import StoredValue, Write


class Header(msgspec.Struct, frozen=True):
    """Header of each response."""

    revision: int = 0


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value in a range response."""

    key: bytes
    mod_revision: int
    value: bytes = b''

    def to_stored(self) -> StoredValue:
        """Convert to the type of the store interface."""
        return StoredValue(self.key.decode(), self.value, self.mod_revision)


class RangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Selects one key, or all from ``key`` to ``range_end`` (exclusive)."""

    key: bytes
    range_end: bytes = b''
    min_mod_revision: str = ''


class RangeAnswer(msgspec.Struct, frozen=True):
    """Keys that a range request found."""

    header: Header = Header()
    kvs: tuple[KeyValue, ...] = ()


class Compare(msgspec.Struct, frozen=True):
    """Condition: the key's last write was at ``mod_revision`` (0: absent)."""

    key: bytes
    mod_revision: str
    target: str = 'MOD'
    result: str = 'EQUAL'


class Put(msgspec.Struct, frozen=True, omit_defaults=True):
    """Writes a key; it is deleted with ``lease`` unless that is empty."""

    key: bytes
    value: bytes
    lease: str = ''


class Operation(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operation of a transaction: exactly one field is set."""

    request_put: Put | None = None
    request_delete_range: RangeRequest | None = None
    request_range: RangeRequest | None = None


class Txn(msgspec.Struct, frozen=True):
    """Executes ``success`` if all of ``compare`` hold, else ``failure``."""

    compare: tuple[Compare, ...]
    success: tuple[Operation, ...]
    failure: tuple[Operation, ...]


class OperationAnswer(msgspec.Struct, frozen=True):
    """Response to one operation; only that of a range is used."""

    response_range: RangeAnswer | None = None


class TxnAnswer(msgspec.Struct, frozen=True):
    """Whether the conditions held, and the responses of the operations."""

    header: Header = Header()
    succeeded: bool = False
    responses: tuple[OperationAnswer, ...] = ()


class LeaseGrant(msgspec.Struct, frozen=True):
    """Creates a lease of ``ttl`` seconds."""

    ttl: str = msgspec.field(name='TTL')


class LeaseReference(msgspec.Struct, frozen=True):
    """ID of the lease to renew or revoke."""

    lease: str = msgspec.field(name='ID')


class LeaseAnswer(msgspec.Struct, frozen=True):
    """A lease with its seconds left; 0 if it no longer exists."""

    lease: int = msgspec.field(name='ID', default=0)
    ttl: int = msgspec.field(name='TTL', default=0)


class KeepAliveAnswer(msgspec.Struct, frozen=True):
    """Response to a renewal: the first message of the gateway's stream."""

    result: LeaseAnswer = LeaseAnswer()


class RevokeAnswer(msgspec.Struct, frozen=True):
    """Response to a revocation."""

    header: Header = Header()


def build_txn(writes: tuple[Write, ...]) -> Txn:
    """Return a transaction that applies all of ``writes`` or none.

    If a condition fails, its response contains the current values.
    """
    keys = [write.key.encode() for write in writes]
    return Txn(
        compare=tuple(
            Compare(key, str(write.expected_revision))
            for key, write in zip(keys, writes, strict=True)
        ),
        success=tuple(_operation(write) for write in writes),
        failure=tuple(
            Operation(request_range=RangeRequest(key)) for key in keys
        ),
    )


def _operation(write: Write) -> Operation:
    key = write.key.encode()
    if write.value is None:
        return Operation(request_delete_range=RangeRequest(key))
    lease = str(write.lease) if write.lease else ''
    return Operation(request_put=Put(key, write.value, lease))
