"""Mounts the operators' routes on the entry."""

import asyncio
from collections.abc import Mapping, Sequence

import aiohttp
from aiohttp import web

from .clock import Clock
from .configuration_store import ConfigurationStore
from .contract import Contract
from .control_link import ControlLink
from .exceptions import WorkerError
from .ids import DomainName, OrganisationId
from .job_store import JobStore
from .operator_jobs import OperatorJobs
from .operator_routes import add_operator_routes
from .operators import Operators
from .packing import check_guarantees
from .settings import Settings
from .states import DomainState, VmRole
from .store import Store
from .vm_list import VmEntry
from .worker_api import WorkerDescription
from .worker_client import WorkerClient


def mount_operators(
    router: web.UrlDispatcher,
    settings: Settings,
    store: Store,
    link: ControlLink,
    session: aiohttp.ClientSession,
    clock: Clock,
) -> None:
    """Serve operators by the tokens that ``settings`` name."""
    workers = WorkerClient(session, settings.control.worker_timeout_ms)

    async def describe_all() -> Sequence[WorkerDescription]:
        return await _describe(workers, _listed_workers(link))

    operators = Operators(
        ConfigurationStore(store),
        clock=clock,
        held=lambda: link.configuration,
        check=_check,
        workers=describe_all,
    )
    add_operator_routes(
        router,
        operators,
        lambda: link.view,
        jobs=OperatorJobs(JobStore(store), link.notify_job),
        token_sha256=settings.entry.operator_token_sha256,
    )


def _check(
    contracts: Mapping[OrganisationId, Contract],
    workers: Sequence[WorkerDescription],
    domains: Mapping[DomainName, DomainState],
) -> list[str]:
    return check_guarantees(contracts.values(), workers, domains)


def _listed_workers(link: ControlLink) -> list[VmEntry]:
    if link.view is None:
        return []
    return [vm for vm in link.view.vms if vm.role is VmRole.WORKER]


async def _describe(
    workers: WorkerClient,
    vms: Sequence[VmEntry],
) -> list[WorkerDescription]:
    """Return the descriptions of the workers that answer."""
    answers = await asyncio.gather(*(_describe_one(workers, vm) for vm in vms))
    return [answer for answer in answers if answer is not None]


async def _describe_one(
    workers: WorkerClient,
    vm: VmEntry,
) -> WorkerDescription | None:
    try:
        return await workers.describe(vm)
    except WorkerError:
        return None
