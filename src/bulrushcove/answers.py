"""Answers to requests kept for a caller's own retry: a core without I/O.

Non-idempotent ids are remembered with what became of them; of idempotent
ones only the digest of the body, to refuse an id reused with another body.
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
MAX_KEPT_BYTES = 8_388_608
MAX_ENTRIES = 10_000
MAX_DIGESTS = 10_000
# Memory of an entry besides the answer's body.
ENTRY_BYTES = 800
RequestKey = tuple[OrganisationId, RequestId]


@unique
class EntryState(Enum):
    """What is known of a non-idempotent request on this VM."""

    IN_PROGRESS = 'in progress'
    ANSWERED = 'answered'
    # It may have run and no answer can be told again.
    UNKNOWN = 'unknown'


class CachedResponse(msgspec.Struct, frozen=True):
    """A whole answer of a backend server."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class CacheEntry(msgspec.Struct, eq=False):
    """One non-idempotent request; ``ended`` is set when its fate is known."""

    key: RequestKey
    digest: str
    until_s: float = 0.0
    ended: asyncio.Event = msgspec.field(default_factory=asyncio.Event)
    fate: EntryState = EntryState.IN_PROGRESS
    answer: CachedResponse | None = None

    @property
    def size(self) -> int:
        """Return about how many bytes the entry holds."""
        if self.answer is None:
            return ENTRY_BYTES
        return ENTRY_BYTES + len(self.answer.body)


class ResponseCache:
    """Requests of the last time, bounded in bytes, number and time."""

    def __init__(self, retention_s: float) -> None:
        """Keep what became of a request for ``retention_s`` seconds."""
        self._retention_s = retention_s
        self._open: dict[RequestKey, CacheEntry] = {}
        self._ended: OrderedDict[RequestKey, CacheEntry] = OrderedDict()
        self._digests: OrderedDict[RequestKey, str] = OrderedDict()
        self._kept_bytes = 0

    def check_body(self, key: RequestKey, digest: str) -> None:
        """Remember the body of an idempotent request.

        Raises ``RefusedError`` (409) when the id came with another body.
        """
        self.find(key, digest)
        self._digests[key] = digest
        self._digests.move_to_end(key)
        if len(self._digests) > MAX_DIGESTS:
            self._digests.popitem(last=False)

    def find(self, key: RequestKey, digest: str) -> CacheEntry | None:
        """Return the entry of a non-idempotent request seen before.

        Raises ``RefusedError`` (409) when the id came with another body.
        """
        entry = self._open.get(key) or self._ended.get(key)
        known = entry.digest if entry else self._digests.get(key, digest)
        if known != digest:
            raise body_mismatch()
        return entry

    def begin(self, key: RequestKey, digest: str) -> CacheEntry:
        """Remember a non-idempotent request that was not seen before."""
        entry = CacheEntry(key=key, digest=digest)
        self._open[key] = entry
        return entry

    def keep(
        self, entry: CacheEntry, answer: CachedResponse, now_s: float
    ) -> None:
        """End ``entry`` with the whole answer."""
        entry.fate = EntryState.ANSWERED
        entry.answer = answer
        self._end(entry, now_s)

    def finish_unknown(self, entry: CacheEntry, now_s: float) -> None:
        """End ``entry`` without an answer that can be told again."""
        entry.fate = EntryState.UNKNOWN
        self._end(entry, now_s)

    def forget(self, entry: CacheEntry) -> None:
        """Forget a request that surely did not run."""
        self._open.pop(entry.key)
        entry.ended.set()

    def _end(self, entry: CacheEntry, now_s: float) -> None:
        self._open.pop(entry.key)
        entry.until_s = now_s + self._retention_s
        self._ended[entry.key] = entry
        self._kept_bytes += entry.size
        entry.ended.set()
        while self._is_over(now_s):
            _, oldest = self._ended.popitem(last=False)
            self._kept_bytes -= oldest.size

    def _is_over(self, now_s: float) -> bool:
        """Return whether the entry that ended first has to go."""
        if not self._ended:
            return False
        oldest = next(iter(self._ended.values()))
        return (
            oldest.until_s < now_s
            or len(self._ended) > MAX_ENTRIES
            or self._kept_bytes > MAX_KEPT_BYTES
        )


def body_mismatch() -> RefusedError:
    """Return the refusal of an id that came with another body."""
    return RefusedError(
        CONFLICT,
        'the request id was used with another body',
        field='X-Bulrushcove-Request',
        limit='one body and one idempotence for each id',
    )


def already_claimed() -> RefusedError:
    """Return the refusal of a retry whose first try may have run."""
    return RefusedError(
        CONFLICT,
        'the request was taken up before and its answer is not known here',
        outcome=Outcome.UNKNOWN,
        field='X-Bulrushcove-Request',
        limit='a non-idempotent request runs at most once',
    )
