"""Client of the platform's key-value store: the etcd v3 JSON gateway."""

from typing import TypeVar

import aiohttp
import msgspec

from ._etcd_messages import (
    KeepAliveAnswer,
    LeaseAnswer,
    LeaseGrant,
    LeaseReference,
    RangeAnswer,
    RangeRequest,
    RevokeAnswer,
    TxnAnswer,
    build_txn,
)
from .clock import MS_PER_S
from .exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from .settings import PlatformSettings
from .store import Scan, StoreLeaseId, Write, WriteAnswer
from .tracing import span

RANGE_PATH = '/v3/kv/range'
TXN_PATH = '/v3/kv/txn'
GRANT_PATH = '/v3/lease/grant'
KEEP_ALIVE_PATH = '/v3/lease/keepalive'
REVOKE_PATH = '/v3/lease/revoke'

HTTP_OK = 200
HTTP_NOT_FOUND = 404
# Responses that mean that the store did not execute the call.
REJECTED_STATUSES = frozenset((400, 401, 403, HTTP_NOT_FOUND, 429))
# Errors that are raised before any byte of the call is sent.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
MAX_EXCERPT_CHARACTERS = 200

ResponseType = TypeVar('ResponseType', bound=msgspec.Struct)


class _RejectedCallError(StoreUnavailableError):
    """The store rejected the call with the HTTP status ``status``."""

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class EtcdStore:
    """Implements ``store.Store``; ``calls`` counts its HTTP calls."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: PlatformSettings,
    ) -> None:
        """Use ``session``, which the caller closes."""
        self.calls = 0
        self._session = session
        self._url = settings.store_url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(
            total=settings.store_timeout_ms / MS_PER_S,
        )

    async def read(self, key: str, *, newer_than: int = 0) -> Scan:
        """Read one key; finds nothing unless written after ``newer_than``."""
        return await self._range(RangeRequest(key.encode()), newer_than)

    async def scan(self, prefix: str, *, newer_than: int = 0) -> Scan:
        """Read the keys with ``prefix`` written after ``newer_than``."""
        range_start = prefix.encode()
        range_end = range_start[:-1] + bytes((range_start[-1] + 1,))
        return await self._range(
            RangeRequest(range_start, range_end), newer_than
        )

    async def write(self, *writes: Write) -> WriteAnswer:
        """Apply all writes in one transaction if all conditions hold."""
        response = await self._call(TXN_PATH, build_txn(writes), TxnAnswer)
        revision = response.header.revision
        if response.succeeded:
            return WriteAnswer(written=True, store_revision=revision)
        range_responses = [
            operation.response_range for operation in response.responses
        ]
        return WriteAnswer(
            written=False,
            store_revision=revision,
            current=tuple(
                found.to_stored()
                for range_response in range_responses
                if range_response
                for found in range_response.kvs
            ),
        )

    async def grant_lease(self, ttl_s: int) -> StoreLeaseId:
        """Create a lease that expires ``ttl_s`` after its last renewal."""
        grant = LeaseGrant(ttl=str(ttl_s))
        response = await self._call(GRANT_PATH, grant, LeaseAnswer)
        return StoreLeaseId(response.lease)

    async def renew_lease(self, lease: StoreLeaseId) -> int:
        """Renew a lease; return its seconds left, 0 if it has expired."""
        reference = LeaseReference(str(lease))
        response = await self._call(KEEP_ALIVE_PATH, reference, KeepAliveAnswer)
        return response.result.ttl

    async def revoke_lease(self, lease: StoreLeaseId) -> None:
        """Revoke a lease and delete the keys attached to it."""
        reference = LeaseReference(str(lease))
        try:
            await self._call(REVOKE_PATH, reference, RevokeAnswer)
        except _RejectedCallError as exc:
            if exc.status != HTTP_NOT_FOUND:
                raise

    async def _range(self, request: RangeRequest, newer_than: int) -> Scan:
        if newer_than:
            request = msgspec.structs.replace(
                request,
                min_mod_revision=str(newer_than + 1),
            )
        try:
            response = await self._call(RANGE_PATH, request, RangeAnswer)
        except StoreOutcomeUnknownError as exc:
            # A read has no effect whose outcome could be unknown.
            raise StoreUnavailableError(str(exc)) from exc
        return Scan(
            found=tuple(found.to_stored() for found in response.kvs),
            store_revision=response.header.revision,
        )

    async def _call(
        self,
        path: str,
        request: msgspec.Struct,
        response_type: type[ResponseType],
    ) -> ResponseType:
        self.calls += 1
        try:
            with span('platform.call', path=path):
                body = await self._post(path, msgspec.json.encode(request))
        except NOT_SENT_ERRORS as exc:
            raise StoreUnavailableError(f'{path}: not sent: {exc}') from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise StoreOutcomeUnknownError(
                f'{path}: no response: {exc!r}'
            ) from exc
        try:
            return msgspec.json.decode(body, type=response_type, strict=False)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise StoreOutcomeUnknownError(
                f'{path}: invalid response: {exc}'
            ) from exc

    async def _post(self, path: str, body: bytes) -> bytes:
        pending_response = self._session.post(
            self._url + path,
            data=body,
            timeout=self._timeout,
            headers={'Content-Type': 'application/json'},
        )
        async with pending_response as response:
            # The response to a renewal is a stream that may stay open.
            if path == KEEP_ALIVE_PATH and response.status == HTTP_OK:
                return await response.content.readline()
            response_body = await response.read()
            status = response.status
        if status == HTTP_OK:
            return response_body
        excerpt = response_body[:MAX_EXCERPT_CHARACTERS].decode(
            errors='replace'
        )
        message = f'{path}: HTTP {status}: {excerpt}'
        if status in REJECTED_STATUSES:
            raise _RejectedCallError(message, status)
        raise StoreOutcomeUnknownError(message)
