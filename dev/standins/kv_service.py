"""Handles requests of the etcd v3 JSON gateway on a KvState, no I/O."""

from operator import eq, gt, lt, ne
from types import MappingProxyType

from dev.standins import kv_messages as messages
from dev.standins.kv_state import KeyValue, KvState, LeaseNotFoundError

# The default limit of etcd.
MAX_TXN_OPERATIONS = 128
GRPC_INVALID_ARGUMENT = 3
GRPC_NOT_FOUND = 5

_RELATIONS = MappingProxyType(
    {
        messages.CompareResult.EQUAL: eq,
        messages.CompareResult.NOT_EQUAL: ne,
        messages.CompareResult.GREATER: gt,
        messages.CompareResult.LESS: lt,
    }
)


class KvRequestError(Exception):
    """A request that the service rejects without any effect."""

    def __init__(self, code: int, message: str) -> None:
        """Store the gRPC status ``code`` and the ``message``."""
        super().__init__(message)
        self.code = code


def make_header(state: KvState) -> messages.Header:
    """Return a response header with the current revision."""
    return messages.Header(revision=messages.int64(state.revision))


def read_range(
    state: KvState, request: messages.RangeRequest
) -> messages.RangeResponse:
    """Return the keys in the requested range."""
    in_range = list(state.select(request.key, request.range_end))
    min_revision = int(request.min_mod_revision)
    found = [
        stored for stored in in_range if stored.mod_revision >= min_revision
    ]
    limit = int(request.limit) or len(found)
    returned = [] if request.count_only else found[:limit]
    return messages.RangeResponse(
        header=make_header(state),
        kvs=tuple(make_key_value(stored) for stored in returned),
        more=len(found) > limit,
        count=messages.int64(len(in_range)),
    )


def apply_txn(
    state: KvState, request: messages.TxnRequest
) -> messages.TxnResponse:
    """Apply a transaction.

    Raises ``KvRequestError``, without any effect, if it is invalid.
    """
    _check_txn(state, request)
    succeeded = all(_is_met(state, compare) for compare in request.compare)
    operations = request.success if succeeded else request.failure
    revision = state.revision + 1
    changed = [_apply(state, operation, revision) for operation in operations]
    if any(changed):
        state.commit(revision)
    return messages.TxnResponse(
        header=make_header(state),
        succeeded=succeeded,
        responses=tuple(
            _make_response(state, operation, deleted)
            for operation, deleted in zip(operations, changed, strict=True)
        ),
    )


def make_key_value(stored: KeyValue) -> messages.KeyValueMessage:
    """Return ``stored`` as the gateway encodes it."""
    return messages.KeyValueMessage(
        key=stored.key,
        create_revision=messages.int64(stored.create_revision),
        mod_revision=messages.int64(stored.mod_revision),
        version=messages.int64(stored.version),
        value=stored.value,
        lease=messages.int64(stored.lease),
    )


def make_watch_event(stored: KeyValue) -> messages.WatchEvent:
    """Return a change as a watch reports it."""
    kind = 'PUT' if stored.version else 'DELETE'
    return messages.WatchEvent(kv=make_key_value(stored), type=kind)


def _check_txn(state: KvState, request: messages.TxnRequest) -> None:
    for operations in (request.compare, request.success, request.failure):
        if len(operations) > MAX_TXN_OPERATIONS:
            raise KvRequestError(
                GRPC_INVALID_ARGUMENT,
                'etcdserver: too many operations in txn request',
            )
    for branch in (request.success, request.failure):
        _check_branch(state, branch)


def _check_branch(
    state: KvState, branch: tuple[messages.Operation, ...]
) -> None:
    puts = [
        operation.request_put for operation in branch if operation.request_put
    ]
    if len({put.key for put in puts}) < len(puts):
        raise KvRequestError(
            GRPC_INVALID_ARGUMENT,
            'etcdserver: duplicate key given in txn request',
        )
    for put in puts:
        if not int(put.lease):
            continue
        try:
            state.check_lease(int(put.lease))
        except LeaseNotFoundError as exc:
            raise lease_not_found_error() from exc


def lease_not_found_error() -> KvRequestError:
    """Return the error for a lease that does not exist."""
    return KvRequestError(
        GRPC_NOT_FOUND, 'etcdserver: requested lease not found'
    )


def _is_met(state: KvState, compare: messages.Compare) -> bool:
    found = state.find(compare.key)
    relation = _RELATIONS[compare.result]
    if compare.target is messages.CompareTarget.VALUE:
        # As in etcd, a value comparison fails on an absent key.
        return found is not None and relation(found.value, compare.value)
    pairs = {
        messages.CompareTarget.VERSION: ('version', compare.version),
        messages.CompareTarget.CREATE: (
            'create_revision',
            compare.create_revision,
        ),
        messages.CompareTarget.MOD: ('mod_revision', compare.mod_revision),
        messages.CompareTarget.LEASE: ('lease', compare.lease),
    }
    field, expected = pairs[compare.target]
    return relation(getattr(found, field, 0), int(expected))


def _apply(state: KvState, operation: messages.Operation, revision: int) -> int:
    """Apply one operation and return the number of changed keys."""
    put = operation.request_put
    if put is not None:
        state.put(put.key, put.value, int(put.lease), revision)
        return 1
    delete = operation.request_delete_range
    if delete is None:
        return 0
    to_delete = list(state.select(delete.key, delete.range_end))
    for stored in to_delete:
        state.delete(stored.key, revision)
    return len(to_delete)


def _make_response(
    state: KvState, operation: messages.Operation, changed: int
) -> messages.OperationResponse:
    if operation.request_range is not None:
        return messages.OperationResponse(
            response_range=read_range(state, operation.request_range)
        )
    if operation.request_put is not None:
        return messages.OperationResponse(
            response_put=messages.PutResponse(header=make_header(state))
        )
    return messages.OperationResponse(
        response_delete_range=messages.DeleteRangeResponse(
            header=make_header(state), deleted=messages.int64(changed)
        )
    )
