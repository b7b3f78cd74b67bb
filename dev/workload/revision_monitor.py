"""Records the revision in force in each process during a run."""

import asyncio
import re
import time
from collections.abc import Sequence

import aiohttp

from bulrushcove.ids import Revision
from dev.history.records import ObservedRevision
from dev.launch.ports import HOST
from dev.launch.topology import EntryVm
from dev.workload.operator_client import OperatorClient, OperatorError

PERIOD_S = 0.5
CALL_TIMEOUT_S = 2
_revision_pattern = re.compile('revision ([0-9]+)')


class RevisionMonitor:
    """Polls the revision of every control and every entry."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        operator: OperatorClient,
        entry_vms: Sequence[EntryVm],
    ) -> None:
        """Monitor ``entry_vms``."""
        self.observed: list[ObservedRevision] = []
        self._session = session
        self._operator = operator
        self._entry_vms = entry_vms

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.gather(*[self._sample(vm) for vm in self._entry_vms])
            await asyncio.sleep(PERIOD_S)

    async def _sample(self, vm: EntryVm) -> None:
        # Taken before the call: the revision was held at this time or later.
        at_s = time.monotonic()
        control = await self._control_revision(vm)
        if control is not None:
            self.observed.append(
                ObservedRevision(
                    at_s=at_s, process=f'{vm.vm}.control', revision=control
                )
            )
        at_s = time.monotonic()
        try:
            status = await self._operator.status(vm)
        except OperatorError:
            return
        self.observed.append(
            ObservedRevision(
                at_s=at_s, process=f'{vm.vm}.entry', revision=status.revision
            )
        )

    async def _control_revision(self, vm: EntryVm) -> Revision | None:
        url = f'http://{HOST}:{vm.control_http_port}/readyz'
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                found = _revision_pattern.search(await response.text())
        except (aiohttp.ClientError, OSError):
            return None
        return Revision(int(found.group(1))) if found else None
