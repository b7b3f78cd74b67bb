"""Metrics of a process in the Prometheus format."""

from collections.abc import Sequence

import aioprometheus
from aiohttp import hdrs, web

METRICS_PATH = '/metrics'
DEFAULT_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
    float('inf'),
)


class Metrics:
    """Registers the metric collectors of one process."""

    def __init__(self) -> None:
        """Start without any collector."""
        self.registry = aioprometheus.Registry()

    def counter(self, name: str, doc: str) -> aioprometheus.Counter:
        """Register a counter; ``name`` must end in its unit or in ``total``."""
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        """Register a gauge; ``name`` must end in its unit."""
        return aioprometheus.Gauge(name, doc, registry=self.registry)

    def histogram(
        self,
        name: str,
        doc: str,
        buckets: Sequence[float] = DEFAULT_BUCKETS_S,
    ) -> aioprometheus.Histogram:
        """Register a histogram; the default buckets are in seconds."""
        return aioprometheus.Histogram(
            name,
            doc,
            registry=self.registry,
            buckets=buckets,
        )


def new_metrics() -> Metrics:
    """Return metrics without any collector."""
    return Metrics()


def add_metrics_route(router: web.UrlDispatcher, metrics: Metrics) -> None:
    """Serve ``metrics`` at ``/metrics``."""

    async def get_metrics(request: web.Request) -> web.Response:
        accepted = request.headers.getall(hdrs.ACCEPT, [])
        body, headers = aioprometheus.render(metrics.registry, accepted)
        return web.Response(body=body, headers=headers)

    router.add_get(METRICS_PATH, get_metrics)
