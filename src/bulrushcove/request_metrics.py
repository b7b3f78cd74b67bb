"""Metrics of the request path, without a label for the organisation."""

from collections import Counter

from .metrics import Metrics
from .states import Outcome


class RequestMetrics:
    """Collectors of one entry process."""

    def __init__(self, metrics: Metrics) -> None:
        """Register the collectors."""
        # Counts since the last call of ``publish``.
        self._outcomes: Counter[Outcome] = Counter()
        self._attempts = 0
        self._cross_domain_bytes = 0
        self._requests = metrics.counter(
            'bulrushcove_requests_total', 'Requests answered, by outcome.'
        )
        self._completion = metrics.histogram(
            'bulrushcove_request_completion_seconds',
            'Time from the head of a request to its whole answer.',
        )
        self._attempt_counter = metrics.counter(
            'bulrushcove_backend_tries_total',
            'Requests sent to backend servers, later tries included.',
        )
        self._cross_domain_counter = metrics.counter(
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
        self, outcome: Outcome, attempts: int, duration_s: float
    ) -> None:
        """Count a request that got its response."""
        self._outcomes[outcome] += 1
        self._attempts += attempts
        self._completion.observe({'outcome': outcome.value}, duration_s)

    def record_cross_domain_bytes(self, count: int) -> None:
        """Count bytes exchanged with servers of other failure domains."""
        self._cross_domain_bytes += count

    def publish(self, in_progress: int, queued: int) -> None:
        """Update the collectors with the counts of many requests at once."""
        for outcome, count in self._outcomes.items():
            self._requests.add({'outcome': outcome.value}, count)
        self._outcomes.clear()
        self._attempt_counter.add({}, self._attempts)
        self._attempts = 0
        self._cross_domain_counter.add({}, self._cross_domain_bytes)
        self._cross_domain_bytes = 0
        self._in_progress.set({}, in_progress)
        self._queued.set({}, queued)
