"""Builds the parts of the request path."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .admission import Admission
from .at_most_once import AtMostOnce
from .backend_client import BackendClient
from .backend_watch import BackendWatch
from .claim_writer import ClaimWriter
from .clock import MS_PER_S, Clock
from .ids import IncarnationId
from .request_metrics import RequestMetrics
from .request_path import RequestPath
from .response_cache import ResponseCache
from .routing import Router
from .sender import Sender
from .settings import Settings
from .store import Store
from .vm_list import VmEntry


class RequestParts(NamedTuple):
    """The request path, and the parts that the entry starts and closes."""

    client: BackendClient
    path: RequestPath
    claims: ClaimWriter
    watch: BackendWatch


def new_request_parts(
    settings: Settings,
    incarnation: IncarnationId,
    router: Router,
    store: Store,
    vms: Callable[[], Iterable[VmEntry]],
    metrics: RequestMetrics,
    clock: Clock,
) -> RequestParts:
    """Return the parts for one entry process, not started yet.

    Needs a running event loop. The caller closes the client.
    """
    entry = settings.entry
    client = BackendClient()
    admission = Admission()
    claims = ClaimWriter(
        store,
        settings.vm.id,
        incarnation,
        entry.claim_retention_ms,
        lambda: router.live_entries,
        clock,
    )
    cache = ResponseCache(entry.answer_retention_ms / MS_PER_S)
    path = RequestPath(
        admission,
        router,
        AtMostOnce(cache, claims, clock),
        Sender(
            router,
            client,
            admission.mean_service_s,
            metrics.record_cross_domain_bytes,
            clock,
        ),
        clock,
    )
    watch = BackendWatch(router, client, path, vms, metrics)
    return RequestParts(client, path, claims, watch)
