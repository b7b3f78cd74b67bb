"""How long to wait for an answer of the store.

Answers a store that loses answers, where each wait in vain holds up all
records, and a slow store, where short waits would only repeat calls: the
limit follows the answers that came, and doubles with each that did not.
"""

# Shortest limit: a store nearby answers in 4 ms, and a wait in vain holds up
# all records.
MIN_TIMEOUT_S = 0.12
# Longest limit; a slow store takes up to about half a second.
MAX_TIMEOUT_S = 1.2
# Limit as a multiple of the usual time to an answer.
TIMES_USUAL = 5.0
# Weight of the newest answer in the usual time.
NEW_WEIGHT = 0.2
_FIRST_USUAL_S = 0.08


class AdaptiveTimeout:
    """Time limit for one kind of call."""

    def __init__(self) -> None:
        """Begin with what a far VM needs."""
        self._usual_s = _FIRST_USUAL_S
        self._growth = 1.0

    @property
    def timeout_s(self) -> float:
        """Return the limit in seconds for the next call."""
        limit_s = max(MIN_TIMEOUT_S, TIMES_USUAL * self._usual_s)
        return min(MAX_TIMEOUT_S, limit_s * self._growth)

    def record_response(self, took_s: float) -> None:
        """An answer came after ``took_s``."""
        self._usual_s += NEW_WEIGHT * (took_s - self._usual_s)
        self._growth = 1.0

    def record_timeout(self) -> None:
        """No answer came within the limit."""
        self._growth = min(2 * self._growth, MAX_TIMEOUT_S / MIN_TIMEOUT_S)
