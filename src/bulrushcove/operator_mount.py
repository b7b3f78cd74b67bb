"""Puts the operators' part of an entry VM together."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import aiohttp
from aiohttp import web

from .clock import Clock
from .configuration import Configuration
from .configuration_store import ConfigurationStore
from .guarantee_check import check_guarantees
from .job_store import JobStore
from .messages import ClusterView
from .operator_jobs import NotifyJob, OperatorJobs
from .operator_routes import add_operator_routes
from .operators import GuaranteeCheck, Operators, Share, share_with_nobody
from .store import Store
from .vm_list import VmEntry
from .worker_inventory import WorkerInventory

WORKER_TIMEOUT_MS = 1500


class OperatorParts(NamedTuple):
    """What the entry lends to its operators' part."""

    store: Store
    session: aiohttp.ClientSession
    clock: Clock
    # Configuration in force on this VM.
    held: Callable[[], Configuration]
    # What the control last told; None: nothing yet.
    view: Callable[[], ClusterView | None]
    # Tells the control of a job.
    notify: NotifyJob
    token_sha256: Iterable[str]
    check: GuaranteeCheck = check_guarantees
    # Hands an accepted configuration to the control.
    share: Share = share_with_nobody


def mount_operators(router: web.UrlDispatcher, parts: OperatorParts) -> None:
    """Serve operators on ``router``."""

    def vms() -> Iterable[VmEntry]:
        seen = parts.view()
        return seen.vms if seen else ()

    inventory = WorkerInventory(parts.session, vms, WORKER_TIMEOUT_MS)
    operators = Operators(
        ConfigurationStore(parts.store),
        clock=parts.clock,
        held=parts.held,
        check=parts.check,
        workers=inventory.describe,
        share=parts.share,
    )
    add_operator_routes(
        router,
        operators,
        parts.view,
        jobs=OperatorJobs(JobStore(parts.store), parts.notify),
        token_sha256=parts.token_sha256,
    )
