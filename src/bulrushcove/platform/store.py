"""The platform's metadata store as the store port."""

import base64
import binascii
from http import HTTPStatus
from typing import Any

import msgspec

from ..clock import Clock
from ..exceptions import (
    StoreError,
    StoreHistoryGoneError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..node.adaptive_timeout import AdaptiveTimeout
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
from .exceptions import NoAnswerError, NotSentError, UndecodableError
from .http_client import Endpoint, Reply, decode

# Beyond the time that a watch was asked to wait.
WATCH_MARGIN_S = 0.7
# Refusals that say that nothing was done.
_REFUSALS = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


class _Item(msgspec.Struct, rename='kebab'):
    """An item, or the news that it is gone."""

    key: str
    # Store revision of its last change.
    revision: int = 0
    # Base64 with padding.
    value: str = ''
    deleted: bool = False


class _Range(msgspec.Struct, rename='kebab'):
    current_rev: int
    items: list[_Item] = []
    has_more: bool = False


class _KeyAnswer(msgspec.Struct, rename='kebab'):
    current_rev: int
    key: str = ''
    revision: int = 0
    value: str = ''


class _Events(msgspec.Struct, rename='kebab'):
    current_rev: int
    events: list[_Item] = []


class _Committed(msgspec.Struct, rename='kebab'):
    revision: int


class _Conflict(msgspec.Struct, rename='kebab'):
    # The keys under a condition as they stand now.
    items: list[_Item] = []


class _Lease(msgspec.Struct, rename='kebab'):
    lease: int


class PlatformStore:
    """Store port on the platform's store."""

    def __init__(self, address: str, clock: Clock) -> None:
        """Call the store at ``address``."""
        self._endpoint = Endpoint(address)
        self._clock = clock
        self._adaptive_timeout = AdaptiveTimeout()

    async def close(self) -> None:
        """Close all connections."""
        await self._endpoint.close()

    async def read(self, key: str) -> Scan:
        """Read one key."""
        reply = await self._read('/api/kv-key', {'key': key})
        if reply.status == HTTPStatus.NOT_FOUND:
            return Scan((), 0)
        found = _decode(reply.body, _KeyAnswer)
        item = _Item(key, found.revision, found.value)
        return Scan((_stored(item),), found.current_rev)

    async def scan(self, prefix: str) -> Scan:
        """Read all keys below ``prefix``, a page at a time."""
        found: list[StoredValue] = []
        revision = 0
        last_key = ''
        while True:
            query = {'prefix': prefix}
            if last_key:
                # On this call the field names a key, on a watch a revision.
                query['after'] = last_key
            reply = await self._read('/api/kv-range', query)
            page = _decode(reply.body, _Range)
            revision = revision or page.current_rev
            found.extend(_stored(item) for item in page.items)
            if not page.has_more or not page.items:
                return Scan(tuple(found), revision)
            last_key = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait for changes below ``prefix``."""
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait-ms': str(wait_ms),
        }
        timeout_s = wait_ms / 1000 + WATCH_MARGIN_S
        reply = await self._read('/api/kv-watch', query, timeout_s)
        if reply.status == HTTPStatus.GONE:
            raise StoreHistoryGoneError(f'{prefix} after {after}')
        news = _decode(reply.body, _Events)
        return Changes(
            written=tuple(
                _stored(item) for item in news.events if not item.deleted
            ),
            removed=tuple(
                DeletedKey(item.key, item.revision)
                for item in news.events
                if item.deleted
            ),
            store_revision=news.current_rev,
        )

    async def commit(
        self, writes: tuple[Write, ...], checks: tuple[Check, ...] = ()
    ) -> WriteAnswer:
        """Apply all ``writes`` under their conditions, or none."""
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
            committed = _decode_written(reply.body, _Committed)
            return WriteAnswer(True, committed.revision)
        if reply.status == HTTPStatus.PRECONDITION_FAILED:
            conflict = _decode(reply.body, _Conflict)
            current = tuple(
                _stored(item)
                for item in conflict.items
                if item.revision and not item.deleted
            )
            return WriteAnswer(False, 0, current)
        raise StoreUnavailableError(f'transaction: status {reply.status}')

    async def grant_lease(self, ttl_ms: int) -> StoreLeaseId:
        """Create a lease."""
        reply = await self._write('POST', '/api/kv-lease', {'ttl-ms': ttl_ms})
        _expect_ok(reply)
        return StoreLeaseId(_decode_written(reply.body, _Lease).lease)

    async def renew_lease(self, lease: StoreLeaseId) -> bool:
        """Renew a lease; false: it has ended."""
        reply = await self._write('POST', f'/api/kv-keep/{lease}', None)
        if reply.status == HTTPStatus.NOT_FOUND:
            return False
        _expect_ok(reply)
        return True

    async def end_lease(self, lease: StoreLeaseId) -> None:
        """End a lease and delete the keys that hang on it."""
        await self._write('DELETE', f'/api/kv-lease-end/{lease}', None)

    async def _call(
        self, method: str, path: str, *, timeout_s: float = 0, **parts: Any
    ) -> Reply:
        """Call within ``timeout_s``; zero: what answers usually take."""
        if timeout_s:
            return await self._endpoint.call(
                method, path, timeout_s=timeout_s, **parts
            )
        began_s = self._clock.monotonic_s()
        try:
            reply = await self._endpoint.call(
                method,
                path,
                timeout_s=self._adaptive_timeout.timeout_s,
                **parts,
            )
        except NoAnswerError:
            self._adaptive_timeout.record_timeout()
            raise
        self._adaptive_timeout.record_response(
            self._clock.monotonic_s() - began_s
        )
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
        except (NotSentError, NoAnswerError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
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
        except NoAnswerError as exc:
            raise StoreOutcomeUnknownError(str(exc)) from exc
        if reply.status in _REFUSALS:
            raise StoreUnavailableError(f'{path}: status {reply.status}')
        return reply


def _stored(item: _Item) -> StoredValue:
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as exc:
        raise StoreError(f'value of {item.key} is not base64') from exc
    return StoredValue(item.key, value, item.revision)


def _encode_write(write: Write) -> dict[str, object]:
    return {
        'key': write.key,
        'value': base64.b64encode(write.value or b'').decode(),
        'lease': write.lease or 0,
    }


def _expect_ok(reply: Reply) -> None:
    if reply.status != HTTPStatus.OK:
        raise StoreUnavailableError(f'lease: status {reply.status}')


def _decode(body: bytes, message_type: type[msgspec.Struct]) -> msgspec.Struct:
    try:
        return decode(body, message_type)
    except UndecodableError as exc:
        raise StoreUnavailableError(str(exc)) from exc


def _decode_written(
    body: bytes, message_type: type[msgspec.Struct]
) -> msgspec.Struct:
    try:
        return decode(body, message_type)
    except UndecodableError as exc:
        raise StoreOutcomeUnknownError(str(exc)) from exc
