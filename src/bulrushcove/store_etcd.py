"""The platform's key-value service over the etcd v3 JSON gateway."""

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
# The service says by these that it did not take the call up.
REFUSED_STATUSES = frozenset((400, 401, 403, HTTP_NOT_FOUND, 429))
# Errors from before the first byte of the call was sent.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
MAX_SHOWN_CHARACTERS = 200

AnswerType = TypeVar('AnswerType', bound=msgspec.Struct)


class _RefusedCallError(StoreUnavailableError):
    """The service refused the call; ``status`` is its HTTP status."""

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class EtcdStore:
    """Implements ``store.Store``; ``calls`` counts the calls made."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: PlatformSettings,
    ) -> None:
        """Use ``session``, which stays its owner's to close."""
        self.calls = 0
        self._session = session
        self._url = settings.store_url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(
            total=settings.store_timeout_ms / MS_PER_S,
        )

    async def read(self, key: str, *, newer_than: int = 0) -> Scan:
        """Read one key; found is empty unless written after newer_than."""
        return await self._range(RangeRequest(key.encode()), newer_than)

    async def scan(self, prefix: str, *, newer_than: int = 0) -> Scan:
        """Read all keys below prefix that were written after newer_than."""
        first = prefix.encode()
        after = first[:-1] + bytes((first[-1] + 1,))
        return await self._range(RangeRequest(first, after), newer_than)

    async def write(self, *writes: Write) -> WriteAnswer:
        """Apply all writes in one transaction, or none."""
        answer = await self._call(TXN_PATH, build_txn(writes), TxnAnswer)
        revision = answer.header.revision
        if answer.succeeded:
            return WriteAnswer(written=True, store_revision=revision)
        ranges = [step.response_range for step in answer.responses]
        return WriteAnswer(
            written=False,
            store_revision=revision,
            current=tuple(
                found.to_stored()
                for answered in ranges
                if answered
                for found in answered.kvs
            ),
        )

    async def grant_lease(self, ttl_s: int) -> StoreLeaseId:
        """Create a lease that lapses ttl_s seconds after its last renewal."""
        grant = LeaseGrant(ttl=str(ttl_s))
        answer = await self._call(GRANT_PATH, grant, LeaseAnswer)
        return StoreLeaseId(answer.lease)

    async def renew_lease(self, lease: StoreLeaseId) -> int:
        """Renew a lease; returns its seconds left, 0 when it has lapsed."""
        reference = LeaseReference(str(lease))
        answer = await self._call(KEEP_ALIVE_PATH, reference, KeepAliveAnswer)
        return answer.result.ttl

    async def revoke_lease(self, lease: StoreLeaseId) -> None:
        """End a lease and delete the keys that hang on it."""
        reference = LeaseReference(str(lease))
        try:
            await self._call(REVOKE_PATH, reference, RevokeAnswer)
        except _RefusedCallError as exc:
            if exc.status != HTTP_NOT_FOUND:
                raise

    async def _range(self, request: RangeRequest, newer_than: int) -> Scan:
        if newer_than:
            request = msgspec.structs.replace(
                request,
                min_mod_revision=str(newer_than + 1),
            )
        try:
            answer = await self._call(RANGE_PATH, request, RangeAnswer)
        except StoreOutcomeUnknownError as exc:
            # A read has no effect that could be in doubt.
            raise StoreUnavailableError(str(exc)) from exc
        return Scan(
            found=tuple(found.to_stored() for found in answer.kvs),
            store_revision=answer.header.revision,
        )

    async def _call(
        self,
        path: str,
        request: msgspec.Struct,
        response_type: type[AnswerType],
    ) -> AnswerType:
        self.calls += 1
        try:
            with span('platform.call', path=path):
                body = await self._post(path, msgspec.json.encode(request))
        except NOT_SENT_ERRORS as exc:
            raise StoreUnavailableError(f'{path}: not sent: {exc}') from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise StoreOutcomeUnknownError(
                f'{path}: no answer: {exc!r}'
            ) from exc
        try:
            return msgspec.json.decode(body, type=response_type, strict=False)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise StoreOutcomeUnknownError(
                f'{path}: bad answer: {exc}'
            ) from exc

    async def _post(self, path: str, body: bytes) -> bytes:
        posted = self._session.post(
            self._url + path,
            data=body,
            timeout=self._timeout,
            headers={'Content-Type': 'application/json'},
        )
        async with posted as response:
            # The answer to a renewal is a stream that may stay open.
            if path == KEEP_ALIVE_PATH and response.status == HTTP_OK:
                return await response.content.readline()
            answer = await response.read()
            status = response.status
        if status == HTTP_OK:
            return answer
        shown = answer[:MAX_SHOWN_CHARACTERS].decode(errors='replace')
        message = f'{path}: HTTP {status}: {shown}'
        if status in REFUSED_STATUSES:
            raise _RefusedCallError(message, status)
        raise StoreOutcomeUnknownError(message)
