"""Cache of responses for retries by the caller; does no I/O.

For a non-idempotent request id the cache keeps the outcome; for an idempotent
one only the digest of the body, to refuse an id reused with another body.
"""

import asyncio
from collections import OrderedDict
from enum import Enum, unique

import msgspec
from multidict import CIMultiDict

from .exceptions import RefusedError
from .ids import OrganisationId, RequestId
from .states import Outcome

CONFLICT = 409
MAX_CACHED_BYTES = 8_388_608
MAX_ENTRIES = 10_000
MAX_DIGESTS = 10_000
# Memory of an entry without the body of its response.
ENTRY_BYTES = 800
RequestKey = tuple[OrganisationId, RequestId]


@unique
class EntryState(Enum):
    """What this VM knows of a non-idempotent request."""

    IN_PROGRESS = 'in progress'
    COMPLETED = 'answered'
    # It may have run, and its response is not known.
    UNKNOWN = 'unknown'


class CachedResponse(msgspec.Struct, frozen=True):
    """A complete response of a backend server."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class CacheEntry(msgspec.Struct, eq=False):
    """A non-idempotent request; ``ended`` is set when its state is final."""

    key: RequestKey
    digest: str
    expires_at_s: float = 0.0
    ended: asyncio.Event = msgspec.field(default_factory=asyncio.Event)
    state: EntryState = EntryState.IN_PROGRESS
    response: CachedResponse | None = None

    @property
    def size_bytes(self) -> int:
        """Return the approximate size in bytes."""
        if self.response is None:
            return ENTRY_BYTES
        return ENTRY_BYTES + len(self.response.body)


class ResponseCache:
    """Recent requests, bounded by bytes, number and age."""

    def __init__(self, retention_s: float) -> None:
        """Keep finished requests for ``retention_s`` seconds."""
        self._retention_s = retention_s
        self._in_progress: dict[RequestKey, CacheEntry] = {}
        self._finished: OrderedDict[RequestKey, CacheEntry] = OrderedDict()
        self._digests: OrderedDict[RequestKey, str] = OrderedDict()
        self._cached_bytes = 0

    def check_body(self, key: RequestKey, digest: str) -> None:
        """Record the body digest of an idempotent request.

        Raises ``RefusedError`` (409) if the id was used with another body.
        """
        self.find(key, digest)
        self._digests[key] = digest
        self._digests.move_to_end(key)
        if len(self._digests) > MAX_DIGESTS:
            self._digests.popitem(last=False)

    def find(self, key: RequestKey, digest: str) -> CacheEntry | None:
        """Return the entry of a known non-idempotent request, or None.

        Raises ``RefusedError`` (409) if the id was used with another body.
        """
        entry = self._in_progress.get(key) or self._finished.get(key)
        known = entry.digest if entry else self._digests.get(key, digest)
        if known != digest:
            raise body_mismatch()
        return entry

    def add(self, key: RequestKey, digest: str) -> CacheEntry:
        """Add an entry for a new non-idempotent request."""
        entry = CacheEntry(key=key, digest=digest)
        self._in_progress[key] = entry
        return entry

    def finish_with_response(
        self, entry: CacheEntry, response: CachedResponse, now_s: float
    ) -> None:
        """Finish ``entry`` with its complete response."""
        entry.state = EntryState.COMPLETED
        entry.response = response
        self._finish(entry, now_s)

    def finish_unknown(self, entry: CacheEntry, now_s: float) -> None:
        """Finish ``entry`` as one that may have run, without a response."""
        entry.state = EntryState.UNKNOWN
        self._finish(entry, now_s)

    def remove(self, entry: CacheEntry) -> None:
        """Remove a request that definitely did not run."""
        self._in_progress.pop(entry.key)
        entry.ended.set()

    def _finish(self, entry: CacheEntry, now_s: float) -> None:
        self._in_progress.pop(entry.key)
        entry.expires_at_s = now_s + self._retention_s
        self._finished[entry.key] = entry
        self._cached_bytes += entry.size_bytes
        entry.ended.set()
        while self._must_evict(now_s):
            _, oldest = self._finished.popitem(last=False)
            self._cached_bytes -= oldest.size_bytes

    def _must_evict(self, now_s: float) -> bool:
        """Return whether the oldest finished entry must be evicted."""
        if not self._finished:
            return False
        oldest = next(iter(self._finished.values()))
        return (
            oldest.expires_at_s < now_s
            or len(self._finished) > MAX_ENTRIES
            or self._cached_bytes > MAX_CACHED_BYTES
        )


def body_mismatch() -> RefusedError:
    """Return the error for an id reused with another body."""
    return RefusedError(
        CONFLICT,
        'the request id was used with another body',
        field='X-Bulrushcove-Request',
        limit='one body and one idempotency flag for each id',
    )


def already_claimed() -> RefusedError:
    """Return the error for a retry whose earlier attempt may have run."""
    return RefusedError(
        CONFLICT,
        'the request id was used before and its response is not known here',
        outcome=Outcome.UNKNOWN,
        field='X-Bulrushcove-Request',
        limit='a non-idempotent request runs at most once',
    )
