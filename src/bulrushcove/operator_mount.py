"""Assembles the operators' API of an entry VM."""

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
    PushConfiguration,
    do_not_push,
)
from .store import Store
from .vm_list import VmEntry
from .worker_inventory import WorkerInventory

WORKER_TIMEOUT_MS = 1500


class OperatorContext(NamedTuple):
    """What the operators' API uses of its entry process."""

    store: Store
    session: aiohttp.ClientSession
    clock: Clock
    # Returns the configuration in force on this VM.
    active_configuration: Callable[[], Configuration]
    # Returns the last view from the control; None: none received yet.
    view: Callable[[], ClusterView | None]
    # Notifies the active control of a change of a job.
    notify: NotifyJob
    token_sha256: Iterable[str]
    check: GuaranteeCheck = check_guarantees
    # Passes an accepted configuration to the control of this VM.
    push: PushConfiguration = do_not_push


def mount_operator_routes(
    router: web.UrlDispatcher, context: OperatorContext
) -> None:
    """Add the routes of the operators' API to ``router``."""

    def list_vms() -> Iterable[VmEntry]:
        view = context.view()
        return view.vms if view else ()

    inventory = WorkerInventory(context.session, list_vms, WORKER_TIMEOUT_MS)
    operator_service = OperatorService(
        ConfigurationStore(context.store),
        clock=context.clock,
        active_configuration=context.active_configuration,
        check=context.check,
        workers=inventory.describe,
        push=context.push,
    )
    add_operator_routes(
        router,
        operator_service,
        context.view,
        jobs=OperatorJobs(JobStore(context.store), context.notify),
        token_sha256=context.token_sha256,
    )
