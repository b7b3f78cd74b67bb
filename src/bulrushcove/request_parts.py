"""Puts the parts of the request path together."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .admission import Admission
from .answers import AnswerBook
from .backend_client import BackendClient
from .backend_watch import BackendWatch
from .claim_writer import ClaimWriter
from .clock import MS_PER_S, Clock
from .ids import IncarnationId
from .once import OnceOnly
from .request_path import RequestPath
from .routing import Router
from .sender import Sender
from .settings import Settings
from .store import Store
from .vm_list import VmEntry


class RequestParts(NamedTuple):
    """The request path and the services that it needs running."""

    path: RequestPath
    claims: ClaimWriter
    watch: BackendWatch


def new_request_parts(
    settings: Settings,
    incarnation: IncarnationId,
    router: Router,
    client: BackendClient,
    store: Store,
    vms: Callable[[], Iterable[VmEntry]],
    clock: Clock,
) -> RequestParts:
    """Return the parts for one entry process, not started yet."""
    entry = settings.entry
    admission = Admission()
    claims = ClaimWriter(
        store,
        settings.vm.id,
        incarnation,
        entry.claim_retention_ms,
        lambda: router.live_entries,
        clock,
    )
    book = AnswerBook(entry.answer_retention_ms / MS_PER_S)
    path = RequestPath(
        admission,
        router,
        OnceOnly(book, claims, clock),
        Sender(router, client, admission.service_s, clock),
        clock,
    )
    watch = BackendWatch(router, client, path, vms, clock)
    return RequestParts(path, claims, watch)
