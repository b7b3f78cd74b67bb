"""Metrics of the request path; no label names an organisation."""

from collections import Counter

from .metrics import Metrics
from .states import Outcome


class RequestMetrics:
    """Collectors of one entry process."""

    def __init__(self, metrics: Metrics) -> None:
        """Register the collectors."""
        # What was counted since it was last published.
        self._outcomes: Counter[Outcome] = Counter()
        self._attempts = 0
        self._far = 0
        self._answered = metrics.counter(
            'bulrushcove_requests_total', 'Requests answered, by outcome.'
        )
        self._completion = metrics.histogram(
            'bulrushcove_request_completion_seconds',
            'Time from the head of a request to its whole answer.',
        )
        self._tries = metrics.counter(
            'bulrushcove_backend_tries_total',
            'Requests sent to backend servers, later tries included.',
        )
        self._far_bytes = metrics.counter(
            'bulrushcove_cross_domain_bytes_total',
            'Bodies exchanged with backend servers of other domains.',
        )
        self._in_progress = metrics.gauge(
            'bulrushcove_requests_in_progress', 'Requests in progress.'
        )
        self._queued = metrics.gauge(
            'bulrushcove_requests_queued', 'Requests that wait for room.'
        )

    def record_response(
        self, outcome: Outcome, attempts: int, spent_s: float
    ) -> None:
        """Count one answered request."""
        self._outcomes[outcome] += 1
        self._attempts += attempts
        self._completion.observe({'outcome': outcome.value}, spent_s)

    def record_cross_domain_bytes(self, count: int) -> None:
        """Count bytes that crossed domains."""
        self._far += count

    def publish(self, in_progress: int, queued: int) -> None:
        """Bring the collectors up to date, once for many requests."""
        for outcome, count in self._outcomes.items():
            self._answered.add({'outcome': outcome.value}, count)
        self._outcomes.clear()
        self._tries.add({}, self._attempts)
        self._attempts = 0
        self._far_bytes.add({}, self._far)
        self._far = 0
        self._in_progress.set({}, in_progress)
        self._queued.set({}, queued)
