"""Requests of the etcd v3 JSON gateway answered from the state, no I/O."""

from operator import eq, gt, lt, ne
from types import MappingProxyType

from dev.standins import kv_messages as messages
from dev.standins.kv_state import KeyValue, KvState, LeaseNotFoundError

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
    """A request that the service refuses without any effect."""

    def __init__(self, code: int, message: str) -> None:
        """Keep the gRPC status ``code`` and the ``message``."""
        super().__init__(message)
        self.code = code


def header(state: KvState) -> messages.Header:
    """Return the header of an answer as of now."""
    return messages.Header(revision=messages.int64(state.revision))


def read_range(
    state: KvState, request: messages.RangeRequest
) -> messages.RangeAnswer:
    """Answer a read."""
    in_range = list(state.select(request.key, request.range_end))
    oldest = int(request.min_mod_revision)
    found = [known for known in in_range if known.mod_revision >= oldest]
    limit = int(request.limit) or len(found)
    shown = [] if request.count_only else found[:limit]
    return messages.RangeAnswer(
        header=header(state),
        kvs=tuple(key_value(known) for known in shown),
        more=len(found) > limit,
        count=messages.int64(len(in_range)),
    )


def apply_txn(
    state: KvState, request: messages.TxnRequest
) -> messages.TxnAnswer:
    """Answer a transaction; raises ``KvRequestError`` without effect."""
    _check_txn(state, request)
    succeeded = all(_holds(state, compare) for compare in request.compare)
    operations = request.success if succeeded else request.failure
    revision = state.revision + 1
    changed = [_apply(state, step, revision) for step in operations]
    if any(changed):
        state.commit(revision)
    return messages.TxnAnswer(
        header=header(state),
        succeeded=succeeded,
        responses=tuple(
            _answer(state, step, deleted)
            for step, deleted in zip(operations, changed, strict=True)
        ),
    )


def key_value(known: KeyValue) -> messages.KeyValueAnswer:
    """Return ``known`` as the gateway shows it."""
    return messages.KeyValueAnswer(
        key=known.key,
        create_revision=messages.int64(known.create_revision),
        mod_revision=messages.int64(known.mod_revision),
        version=messages.int64(known.version),
        value=known.value,
        lease=messages.int64(known.lease),
    )


def watch_event(known: KeyValue) -> messages.WatchEvent:
    """Return a change as a watch shows it."""
    kind = 'PUT' if known.version else 'DELETE'
    return messages.WatchEvent(kv=key_value(known), type=kind)


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
    puts = [step.request_put for step in branch if step.request_put]
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
            raise lease_not_found() from exc


def lease_not_found() -> KvRequestError:
    """Return the error for a lease that does not exist."""
    return KvRequestError(
        GRPC_NOT_FOUND, 'etcdserver: requested lease not found'
    )


def _holds(state: KvState, compare: messages.Compare) -> bool:
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
    field, wanted = pairs[compare.target]
    return relation(getattr(found, field, 0), int(wanted))


def _apply(state: KvState, step: messages.Operation, revision: int) -> int:
    """Apply one step; returns the number of keys that it changed."""
    put = step.request_put
    if put is not None:
        state.put(put.key, put.value, int(put.lease), revision)
        return 1
    delete = step.request_delete_range
    if delete is None:
        return 0
    doomed = list(state.select(delete.key, delete.range_end))
    for known in doomed:
        state.delete(known.key, revision)
    return len(doomed)


def _answer(
    state: KvState, step: messages.Operation, changed: int
) -> messages.OperationAnswer:
    if step.request_range is not None:
        return messages.OperationAnswer(
            response_range=read_range(state, step.request_range)
        )
    if step.request_put is not None:
        return messages.OperationAnswer(
            response_put=messages.PutAnswer(header=header(state))
        )
    return messages.OperationAnswer(
        response_delete_range=messages.DeleteRangeAnswer(
            header=header(state), deleted=messages.int64(changed)
        )
    )
