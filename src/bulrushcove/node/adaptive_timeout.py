"""Adaptive timeout of store calls.

Covers a store that loses responses, where each timeout delays all record
writes, and a slow store, where short timeouts would only repeat calls: the
timeout follows the response times and doubles with each lost response.
"""

# A nearby store responds in 4 ms, and each timeout delays all record writes.
MIN_TIMEOUT_S = 0.12
# A slow store takes up to about half a second.
MAX_TIMEOUT_S = 1.2
# Timeout as a multiple of the usual response time.
RESPONSE_TIME_MULTIPLE = 5.0
# Weight of the newest response in the usual response time, a moving average.
NEW_WEIGHT = 0.2
_INITIAL_RESPONSE_TIME_S = 0.08


class AdaptiveTimeout:
    """Timeout that adapts to the response times of earlier calls."""

    def __init__(self) -> None:
        """Start with a timeout that suffices for a VM far from the store."""
        self._usual_s = _INITIAL_RESPONSE_TIME_S
        self._growth = 1.0

    @property
    def timeout_s(self) -> float:
        """Return the timeout of the next call in seconds."""
        limit_s = max(MIN_TIMEOUT_S, RESPONSE_TIME_MULTIPLE * self._usual_s)
        return min(MAX_TIMEOUT_S, limit_s * self._growth)

    def record_response(self, took_s: float) -> None:
        """Record a response that arrived after ``took_s`` seconds."""
        self._usual_s += NEW_WEIGHT * (took_s - self._usual_s)
        self._growth = 1.0

    def record_timeout(self) -> None:
        """Record a call that timed out."""
        self._growth = min(2 * self._growth, MAX_TIMEOUT_S / MIN_TIMEOUT_S)
