"""Messages of the etcd v3 JSON gateway that the stand-in supports.

As in the gateway, responses omit zero and empty fields, and 64-bit numbers
are strings.
"""

from enum import Enum, unique
from typing import Annotated

import msgspec

# Requests may send a number as a JSON number or a string.
Int64 = int | Annotated[str, msgspec.Meta(pattern='^-?[0-9]+$')]

# msgspec omits a field only if its value is this very object.
ZERO = '0'


@unique
class CompareTarget(Enum):
    """Field of a key that a comparison reads."""

    VERSION = 'VERSION'
    CREATE = 'CREATE'
    MOD = 'MOD'
    VALUE = 'VALUE'
    LEASE = 'LEASE'


@unique
class CompareResult(Enum):
    """Relation that a comparison requires."""

    EQUAL = 'EQUAL'
    GREATER = 'GREATER'
    LESS = 'LESS'
    NOT_EQUAL = 'NOT_EQUAL'


class RangeRequest(msgspec.Struct, frozen=True):
    """Read of one key or of a range of keys."""

    key: bytes
    range_end: bytes = b''
    limit: Int64 = 0
    min_mod_revision: Int64 = 0
    keys_only: bool = False
    count_only: bool = False


class PutRequest(msgspec.Struct, frozen=True):
    """Write of one key."""

    key: bytes
    value: bytes = b''
    lease: Int64 = 0


class DeleteRangeRequest(msgspec.Struct, frozen=True):
    """Deletion of one key or of a range of keys."""

    key: bytes
    range_end: bytes = b''


class Compare(msgspec.Struct, frozen=True):
    """One condition of a transaction."""

    key: bytes
    target: CompareTarget = CompareTarget.VERSION
    result: CompareResult = CompareResult.EQUAL
    version: Int64 = 0
    create_revision: Int64 = 0
    mod_revision: Int64 = 0
    value: bytes = b''
    lease: Int64 = 0


class Operation(msgspec.Struct, frozen=True):
    """One operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TxnRequest(msgspec.Struct, frozen=True):
    """Transaction: applies all of ``success`` or all of ``failure``."""

    compare: tuple[Compare, ...] = ()
    success: tuple[Operation, ...] = ()
    failure: tuple[Operation, ...] = ()


class LeaseGrantRequest(msgspec.Struct, frozen=True):
    """Creation of a lease."""

    ttl: Int64 = msgspec.field(name='TTL')


class LeaseRequest(msgspec.Struct, frozen=True):
    """Renewal or end of a lease."""

    lease: Int64 = msgspec.field(name='ID')


class WatchCreateRequest(msgspec.Struct, frozen=True):
    """Range to watch, from ``start_revision`` on when it is set."""

    key: bytes
    range_end: bytes = b''
    start_revision: Int64 = 0


class WatchRequest(msgspec.Struct, frozen=True):
    """First message of a watch."""

    create_request: WatchCreateRequest


class Header(msgspec.Struct, frozen=True):
    """Header of each response."""

    revision: str


class KeyValueMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key with its value."""

    key: bytes
    create_revision: str = ZERO
    mod_revision: str = ZERO
    version: str = ZERO
    value: bytes = b''
    lease: str = ZERO


class RangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to a read."""

    header: Header
    kvs: tuple[KeyValueMessage, ...] = ()
    more: bool = False
    count: str = ZERO


class PutResponse(msgspec.Struct, frozen=True):
    """Response to a write."""

    header: Header


class DeleteRangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to a deletion."""

    header: Header
    deleted: str = ZERO


class OperationResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to one operation of a transaction."""

    response_range: RangeResponse | None = None
    response_put: PutResponse | None = None
    response_delete_range: DeleteRangeResponse | None = None


class TxnResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to a transaction."""

    header: Header
    succeeded: bool = False
    responses: tuple[OperationResponse, ...] = ()


class LeaseResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to the creation or renewal of a lease."""

    header: Header
    lease: str = msgspec.field(name='ID', default=ZERO)
    ttl: str = msgspec.field(name='TTL', default=ZERO)


class WatchEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change that a watch reports."""

    kv: KeyValueMessage
    type: str = 'PUT'


class WatchResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """One message of a watch stream."""

    header: Header
    created: bool = False
    events: tuple[WatchEvent, ...] = ()


class ErrorResponse(msgspec.Struct, frozen=True):
    """Response to a failed request; ``code`` is the gRPC status."""

    error: str
    code: int
    message: str


def int64(number: int) -> str:
    """Return ``number`` as the gateway encodes it; zero as ``ZERO``."""
    return str(number) if number else ZERO
