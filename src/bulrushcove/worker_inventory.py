"""Caches the descriptions of the workers in the VM list.

Operators' changes are checked against them.
"""

import asyncio
from collections.abc import Callable, Iterable

import aiohttp

from .exceptions import WorkerError
from .states import VmRole
from .vm_list import VmEntry
from .worker_api import WorkerDescription
from .worker_client import WorkerClient

MAX_CONCURRENT_REQUESTS = 32


class WorkerInventory:
    """Requests the description of each worker once, while it is listed.

    The description of a worker that stops responding is kept; a worker that
    never responded is left out.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        vms: Callable[[], Iterable[VmEntry]],
        timeout_ms: int,
    ) -> None:
        """Send requests to the workers in ``vms`` over ``session``."""
        self._client = WorkerClient(session, timeout_ms)
        self._vms = vms
        self._request_slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self._descriptions: dict[VmEntry, WorkerDescription] = {}

    async def describe(self) -> tuple[WorkerDescription, ...]:
        """Return the descriptions of the listed workers."""
        listed = [
            _identity(vm) for vm in self._vms() if vm.role is VmRole.WORKER
        ]
        await asyncio.gather(
            *(self._fetch(vm) for vm in listed if vm not in self._descriptions),
        )
        self._descriptions = {
            vm: self._descriptions[vm]
            for vm in listed
            if vm in self._descriptions
        }
        return tuple(self._descriptions.values())

    async def _fetch(self, vm: VmEntry) -> None:
        async with self._request_slots:
            try:
                self._descriptions[vm] = await self._client.describe(vm)
            except WorkerError:
                # The next call of ``describe`` tries again.
                return


def _identity(vm: VmEntry) -> VmEntry:
    """Return ``vm`` with only the fields that identify the worker."""
    return VmEntry(vm.vm, vm.role, vm.domain, vm.address, vm.port)
