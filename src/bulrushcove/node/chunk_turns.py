"""Shares the decoding of chunked bodies out between connections.

Load: hundreds of bodies in chunks of one byte, a quarter of a million chunks
each, beside requests that must be answered. A turn of the event loop decodes
a few chunks; the connection that had the fewest decoded so far goes first.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

# Far shorter than the wait for an answer that callers notice.
MAX_CHUNKS_PER_TURN = 1000

# Decodes up to so many chunks; returns how many. If it is as many, there may
# be more to decode.
Decode = Callable[[int], int]


class ChunkTurns:
    """Queue of the connections that have chunks to decode."""

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]):
        """Run a turn by ``call_soon`` whenever chunks wait."""
        self._call_soon = call_soon
        self._left = MAX_CHUNKS_PER_TURN
        self._is_scheduled = False
        # Chunks decoded before, order of arrival, and who decodes.
        self._waiting: list[tuple[int, int, Decode]] = []
        self._order = count()

    def decode(self, decoded_before: int, decode: Decode) -> None:
        """Let ``decode`` process all its chunks, from this turn on.

        ``decoded_before`` is the number that it has decoded so far.
        """
        if self._left > 0:
            self._run(decoded_before, decode)
        else:
            self._queue(decoded_before, decode)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._left = MAX_CHUNKS_PER_TURN
        try:
            while self._waiting and self._left > 0:
                decoded_before, _, decode = heappop(self._waiting)
                self._run(decoded_before, decode)
        finally:
            self._is_scheduled = bool(self._waiting)
            if self._is_scheduled:
                self._call_soon(self._begin_turn)

    def _run(self, decoded_before: int, decode: Decode) -> None:
        allowed = self._left
        decoded = decode(allowed)
        # A piece without a whole chunk costs about as much as a chunk.
        self._left -= max(1, decoded)
        if decoded >= allowed:
            self._queue(decoded_before + decoded, decode)

    def _queue(self, decoded_before: int, decode: Decode) -> None:
        heappush(self._waiting, (decoded_before, next(self._order), decode))
