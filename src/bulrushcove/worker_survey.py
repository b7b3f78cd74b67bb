"""What the workers of the VM list offer, asked once of each worker."""

import asyncio
from collections.abc import Callable, Sequence

from .exceptions import WorkerError
from .ids import WorkerId
from .states import VmRole
from .vm_list import VmEntry
from .worker_api import WorkerDescription
from .worker_client import WorkerClient


class WorkerSurvey:
    """Remembers descriptions for as long as a worker stays in the list."""

    def __init__(
        self,
        client: WorkerClient,
        vms: Callable[[], Sequence[VmEntry]],
    ) -> None:
        """Ask the workers among ``vms`` through ``client``."""
        self._client = client
        self._vms = vms
        self._known: dict[WorkerId, WorkerDescription] = {}

    async def __call__(self) -> Sequence[WorkerDescription]:
        """Return the descriptions of all workers that ever answered."""
        listed = [entry for entry in self._vms() if _is_worker(entry)]
        names = {WorkerId(entry.vm) for entry in listed}
        for gone in self._known.keys() - names:
            self._known.pop(gone)
        await asyncio.gather(
            *(
                self._ask(entry)
                for entry in listed
                if WorkerId(entry.vm) not in self._known
            )
        )
        return tuple(self._known.values())

    async def _ask(self, entry: VmEntry) -> None:
        try:
            description = await self._client.describe(entry)
        except WorkerError:
            # The next survey asks again.
            return
        self._known[WorkerId(entry.vm)] = description


def _is_worker(entry: VmEntry) -> bool:
    return entry.role is VmRole.WORKER
