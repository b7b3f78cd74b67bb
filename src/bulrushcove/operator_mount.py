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
from .operators import (
    GuaranteeCheck,
    OperatorService,
    ShareConfiguration,
    do_not_share,
)
from .store import Store
from .vm_list import VmEntry
from .worker_inventory import WorkerInventory

WORKER_TIMEOUT_MS = 1500


class OperatorDependencies(NamedTuple):
    """What the entry lends to its operators' part."""

    store: Store
    session: aiohttp.ClientSession
    clock: Clock
    # Configuration in force on this VM.
    active_configuration: Callable[[], Configuration]
    # What the control last told; None: nothing yet.
    view: Callable[[], ClusterView | None]
    # Tells the control of a job.
    notify: NotifyJob
    token_sha256: Iterable[str]
    check: GuaranteeCheck = check_guarantees
    # Hands an accepted configuration to the control.
    share: ShareConfiguration = do_not_share


def mount_operator_routes(
    router: web.UrlDispatcher, dependencies: OperatorDependencies
) -> None:
    """Serve operators on ``router``."""

    def vms() -> Iterable[VmEntry]:
        seen = dependencies.view()
        return seen.vms if seen else ()

    inventory = WorkerInventory(dependencies.session, vms, WORKER_TIMEOUT_MS)
    operator_service = OperatorService(
        ConfigurationStore(dependencies.store),
        clock=dependencies.clock,
        active_configuration=dependencies.active_configuration,
        check=dependencies.check,
        workers=inventory.describe,
        share=dependencies.share,
    )
    add_operator_routes(
        router,
        operator_service,
        dependencies.view,
        jobs=OperatorJobs(JobStore(dependencies.store), dependencies.notify),
        token_sha256=dependencies.token_sha256,
    )
