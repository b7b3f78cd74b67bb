"""Polls the platform's list of VMs."""

import logging
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from mode import Service

from .clock import MS_PER_S
from .logs import log_event
from .settings import PlatformSettings
from .vm_list import VmEntry, VmList

VM_LIST_TIMEOUT_S = 2.0

VmsHandler = Callable[[tuple[VmEntry, ...]], Awaitable[None]]

logger = logging.getLogger(__name__)


class VmListPoll(Service):
    """Reads the list at an interval; keeps the last one in an outage."""

    def __init__(
        self,
        settings: PlatformSettings,
        session: aiohttp.ClientSession,
        on_vms: VmsHandler,
    ) -> None:
        """Call ``on_vms`` with each list that is read."""
        super().__init__()
        self.vms: tuple[VmEntry, ...] = ()
        self._settings = settings
        self._session = session
        self._on_vms = on_vms

    async def adopt_if_empty(self, vm_list: VmList) -> None:
        """Adopt the list of a peer if none has been read yet."""
        if vm_list.vms and not self.vms:
            await self._adopt(vm_list)

    @Service.task
    async def _poll_repeatedly(self) -> None:
        interval_s = self._settings.vm_list_poll_ms / MS_PER_S
        while not self.should_stop:
            await self._poll()
            await self.sleep(interval_s)

    async def _poll(self) -> None:
        timeout = aiohttp.ClientTimeout(total=VM_LIST_TIMEOUT_S)
        url = self._settings.vm_list_url
        try:
            async with self._session.get(url, timeout=timeout) as response:
                vm_list = msgspec.json.decode(
                    await response.read(), type=VmList
                )
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as exc:
            log_event(
                logger,
                'vm_list.unreadable',
                level=logging.WARNING,
                error=f'{type(exc).__name__}: {exc}',
            )
            return
        await self._adopt(vm_list)

    async def _adopt(self, vm_list: VmList) -> None:
        self.vms = vm_list.vms
        await self._on_vms(vm_list.vms)
