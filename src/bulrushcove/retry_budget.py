"""Budget that limits retries to a ratio of the first attempts.

There is one budget for the backend servers of each failure domain.
"""

RETRY_RATIO = 0.2
MIN_RETRIES_PER_S = 10.0
MAX_TOKENS = 100.0


class RetryBudget:
    """Token bucket filled by first attempts and by time; a retry takes one."""

    def __init__(self, now_s: float) -> None:
        """Start with the tokens that one second yields."""
        self._tokens = MIN_RETRIES_PER_S
        self._updated_at_s = now_s

    def record_first_attempt(self) -> None:
        """Add ``RETRY_RATIO`` of a token."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRY_RATIO)

    def acquire(self, now_s: float) -> bool:
        """Take one token; return false if none is left."""
        earned = (now_s - self._updated_at_s) * MIN_RETRIES_PER_S
        self._tokens = min(MAX_TOKENS, self._tokens + earned)
        self._updated_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
