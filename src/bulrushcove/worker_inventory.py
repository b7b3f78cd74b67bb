"""Descriptions of the workers in the VM list, asked for once each."""

import asyncio
from collections.abc import Callable, Iterable

import aiohttp

from .exceptions import WorkerError
from .states import VmRole
from .vm_list import VmEntry
from .worker_api import WorkerDescription
from .worker_client import WorkerClient

MAX_QUESTIONS_AT_ONCE = 32


class WorkerInventory:
    """Keeps the description of each worker as long as it is listed.

    A worker that is silent now keeps its place; one that never answered has
    none.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        vms: Callable[[], Iterable[VmEntry]],
        timeout_ms: int,
    ) -> None:
        """Ask the workers in ``vms`` over ``session``."""
        self._client = WorkerClient(session, timeout_ms)
        self._vms = vms
        self._questions = asyncio.Semaphore(MAX_QUESTIONS_AT_ONCE)
        self._known: dict[VmEntry, WorkerDescription] = {}

    async def describe(self) -> tuple[WorkerDescription, ...]:
        """Return the descriptions of the listed workers."""
        listed = [_key(vm) for vm in self._vms() if vm.role is VmRole.WORKER]
        await asyncio.gather(
            *(self._learn(vm) for vm in listed if vm not in self._known),
        )
        self._known = {
            vm: self._known[vm] for vm in listed if vm in self._known
        }
        return tuple(self._known.values())

    async def _learn(self, vm: VmEntry) -> None:
        async with self._questions:
            try:
                self._known[vm] = await self._client.describe(vm)
            except WorkerError:
                # It is asked again the next time.
                return


def _key(vm: VmEntry) -> VmEntry:
    """Return ``vm`` without what changes while it stays the same worker."""
    return VmEntry(vm.vm, vm.role, vm.domain, vm.address, vm.port)
