"""HTTP client of the platform's metadata store."""

import base64
import binascii
import logging
from functools import lru_cache
from http import HTTPStatus
from typing import Any

import msgspec

from ..clock import Clock
from ..exceptions import (
    StoreHistoryGoneError,
    StoreLinkBusyError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)
from ..logs import MAX_LOGGED_ERRORS, log_event
from ..node.adaptive_timeout import MAX_TIMEOUT_S, AdaptiveTimeout
from ..store import (
    Changes,
    Check,
    DeletedKey,
    Scan,
    StoredValue,
    StoreLeaseId,
    Write,
    WriteAnswer,
)
from .exceptions import (
    NoResponseError,
    NotSentError,
    PartialResponseError,
    UndecodableError,
)
from .http_client import Endpoint, Reply, decode

# Added to the time that a watch is asked to wait.
WATCH_TIMEOUT_MARGIN_S = 0.7
# Responses which guarantee that the request had no effect.
_REJECTED_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
# Responses to a request that is not allowed, such as a value that is too large.
_INVALID_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.UNPROCESSABLE_ENTITY,
    )
)

logger = logging.getLogger(__name__)


class _Item(msgspec.Struct, rename='kebab'):
    """A key with its value, or the deletion of a key."""

    key: str
    # Store revision of the last change of the key.
    revision: int = 0
    # Base64 with padding.
    value: str = ''
    deleted: bool = False


class _RangePage(msgspec.Struct, rename='kebab'):
    current_rev: int
    items: list[_Item] = []
    has_more: bool = False


class _KeyResponse(msgspec.Struct, rename='kebab'):
    current_rev: int
    key: str = ''
    revision: int = 0
    value: str = ''


class _WatchResponse(msgspec.Struct, rename='kebab'):
    current_rev: int
    events: list[_Item] = []


class _CommitResponse(msgspec.Struct, rename='kebab'):
    revision: int


class _ConflictResponse(msgspec.Struct, rename='kebab'):
    # Current values of all keys that had a condition.
    items: list[_Item] = []


class _LeaseResponse(msgspec.Struct, rename='kebab'):
    lease: int


class PlatformStore:
    """Implements ``WatchableStore`` with the platform's metadata store."""

    def __init__(self, address: str, clock: Clock) -> None:
        """Use the store at ``address``; ``clock`` measures response times."""
        self._endpoint = Endpoint(address)
        self._clock = clock
        self._adaptive_timeout = AdaptiveTimeout()

    async def close(self) -> None:
        """Close all connections."""
        await self._endpoint.close()

    async def read(self, key: str) -> Scan:
        """Return the value of one key; empty if the key does not exist."""
        reply = await self._read('/api/kv-key', {'key': key})
        if reply.status == HTTPStatus.NOT_FOUND:
            return Scan((), 0)
        found = _decode_read(reply.body, _KeyResponse)
        item = _Item(key, found.revision, found.value)
        return Scan((_decode_item(item),), found.current_rev)

    async def scan(self, prefix: str) -> Scan:
        """Return all keys below ``prefix``, read page by page.

        The revision is that of the first page.
        """
        found: list[StoredValue] = []
        revision = 0
        last_key = ''
        while True:
            query = {'prefix': prefix}
            if last_key:
                # A key here; in a watch the same parameter is a revision.
                query['after'] = last_key
            reply = await self._read('/api/kv-range', query)
            page = _decode_read(reply.body, _RangePage)
            revision = revision or page.current_rev
            found.extend(_decode_item(item) for item in page.items)
            if not page.has_more or not page.items:
                return Scan(tuple(found), revision)
            last_key = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait up to ``wait_ms`` for changes below ``prefix``.

        Raises ``StoreHistoryGoneError`` if the store no longer keeps the
        changes after revision ``after``.
        """
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait-ms': str(wait_ms),
        }
        timeout_s = wait_ms / 1000 + WATCH_TIMEOUT_MARGIN_S
        reply = await self._read('/api/kv-watch', query, timeout_s)
        if reply.status == HTTPStatus.GONE:
            raise StoreHistoryGoneError(
                f'changes of {prefix} after revision {after} are gone'
            )
        response = _decode_read(reply.body, _WatchResponse)
        return Changes(
            written=tuple(
                _decode_item(item)
                for item in response.events
                if not item.deleted
            ),
            removed=tuple(
                DeletedKey(item.key, item.revision)
                for item in response.events
                if item.deleted
            ),
            store_revision=response.current_rev,
        )

    async def commit(
        self, writes: tuple[Write, ...], checks: tuple[Check, ...] = ()
    ) -> WriteAnswer:
        """Apply all ``writes`` in one transaction if all conditions hold."""
        conditions = [
            {'key': write.key, 'revision': write.expected_revision}
            for write in writes
        ]
        conditions.extend(
            {'key': check.key, 'revision': check.revision} for check in checks
        )
        body = {
            'expected': conditions,
            'set-keys': [
                _encode_write(write)
                for write in writes
                if write.value is not None
            ],
            'remove': [write.key for write in writes if write.value is None],
        }
        reply = await self._write('POST', '/api/kv-txn', body)
        if reply.status == HTTPStatus.OK:
            committed = _decode_write(reply.body, _CommitResponse)
            return WriteAnswer(True, committed.revision)
        if reply.status == HTTPStatus.PRECONDITION_FAILED:
            conflict = _decode_read(reply.body, _ConflictResponse)
            current = tuple(
                _decode_item(item)
                for item in conflict.items
                if item.revision and not item.deleted
            )
            return WriteAnswer(False, 0, current)
        if reply.status in _INVALID_STATUSES:
            raise StoreRejectedError(
                f'transaction of {len(writes)} writes: status {reply.status}'
            )
        raise StoreUnavailableError(
            f'transaction failed with status {reply.status}'
        )

    async def grant_lease(self, ttl_ms: int) -> StoreLeaseId:
        """Create a lease of ``ttl_ms`` and return its id."""
        reply = await self._write('POST', '/api/kv-lease', {'ttl-ms': ttl_ms})
        _check_lease_status(reply)
        return StoreLeaseId(_decode_write(reply.body, _LeaseResponse).lease)

    async def renew_lease(self, lease: StoreLeaseId) -> bool:
        """Renew a lease; return False if it has expired."""
        reply = await self._write('POST', f'/api/kv-keep/{lease}', None)
        if reply.status == HTTPStatus.NOT_FOUND:
            return False
        _check_lease_status(reply)
        return True

    async def end_lease(self, lease: StoreLeaseId) -> None:
        """Revoke a lease and delete the keys attached to it."""
        await self._write('DELETE', f'/api/kv-lease-end/{lease}', None)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float = 0,
        **request_options: Any,
    ) -> Reply:
        """Send a request; without ``timeout_s`` the limit is adaptive.

        Responses that wait behind a large body tell nothing of the store, so
        the limit is the longest one then and does not adapt.
        """
        if self._endpoint.is_receiving_large_body:
            timeout_s = timeout_s or MAX_TIMEOUT_S
        if timeout_s:
            return await self._endpoint.call(
                method, path, timeout_s=timeout_s, **request_options
            )
        started_at_s = self._clock.monotonic_s()
        try:
            reply = await self._endpoint.call(
                method,
                path,
                timeout_s=self._adaptive_timeout.timeout_s,
                **request_options,
            )
        except PartialResponseError:
            raise
        except NoResponseError:
            self._adaptive_timeout.record_timeout()
            raise
        took_s = self._clock.monotonic_s() - started_at_s
        self._adaptive_timeout.record_response(took_s - reply.large_body_s)
        return reply

    async def _read(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float = 0,
    ) -> Reply:
        try:
            reply = await self._call(
                'GET', path, query=query, timeout_s=timeout_s
            )
        except (NotSentError, NoResponseError) as exc:
            is_link_busy = (
                isinstance(exc, PartialResponseError)
                or self._endpoint.is_receiving_large_body
            )
            error = (
                StoreLinkBusyError if is_link_busy else StoreUnavailableError
            )
            raise error(str(exc)) from exc
        if reply.status not in {
            HTTPStatus.OK,
            HTTPStatus.NOT_FOUND,
            HTTPStatus.GONE,
        }:
            raise StoreUnavailableError(f'{path}: status {reply.status}')
        return reply

    async def _write(
        self, method: str, path: str, body: dict[str, object] | None
    ) -> Reply:
        try:
            reply = await self._call(method, path, body=body)
        except NotSentError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        except NoResponseError as exc:
            raise StoreOutcomeUnknownError(str(exc)) from exc
        if reply.status in _REJECTED_STATUSES:
            raise StoreUnavailableError(f'{path}: status {reply.status}')
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise StoreOutcomeUnknownError(f'{path}: status {reply.status}')
        return reply


def _decode_item(item: _Item) -> StoredValue:
    """Decode an item; a value that is not base64 reads as empty.

    No entry or record is empty, so that its reader finds this one malformed,
    and the other items of the response hold.
    """
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as exc:
        _log_not_base64(item.key, str(exc))
        value = b''
    return StoredValue(item.key, value, item.revision)


@lru_cache(maxsize=MAX_LOGGED_ERRORS)
def _log_not_base64(key: str, error: str) -> None:
    """Log an error once, although each read repeats it."""
    log_event(
        logger,
        'store.value_not_base64',
        level=logging.ERROR,
        key=key,
        error=error,
    )


def _encode_write(write: Write) -> dict[str, object]:
    return {
        'key': write.key,
        'value': base64.b64encode(write.value or b'').decode(),
        'lease': write.lease or 0,
    }


def _check_lease_status(reply: Reply) -> None:
    if reply.status != HTTPStatus.OK:
        raise StoreUnavailableError(
            f'lease request failed with status {reply.status}'
        )


def _decode_read(
    body: bytes, message_type: type[msgspec.Struct]
) -> msgspec.Struct:
    try:
        return decode(body, message_type)
    except UndecodableError as exc:
        raise StoreUnavailableError(str(exc)) from exc


def _decode_write(
    body: bytes, message_type: type[msgspec.Struct]
) -> msgspec.Struct:
    try:
        return decode(body, message_type)
    except UndecodableError as exc:
        raise StoreOutcomeUnknownError(str(exc)) from exc
