"""Budget that limits retries to a share of the first tries.

One budget stands for each group of backend servers (failure domain).
"""

RETRY_RATIO = 0.2
MIN_RETRIES_PER_S = 10.0
MAX_TOKENS = 100.0


class RetryBudget:
    """Tokens earned by first tries, and slowly by time; a retry takes one."""

    def __init__(self, now_s: float) -> None:
        """Start with one second's floor of tokens."""
        self._tokens = MIN_RETRIES_PER_S
        self._updated_s = now_s

    def record_first_attempt(self) -> None:
        """Earn the share of a retry that a first try brings."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRY_RATIO)

    def acquire(self, now_s: float) -> bool:
        """Take the token for one retry; false: no retry now."""
        earned = (now_s - self._updated_s) * MIN_RETRIES_PER_S
        self._tokens = min(MAX_TOKENS, self._tokens + earned)
        self._updated_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
