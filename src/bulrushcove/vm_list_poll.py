"""Keeps the platform's lagging list of VMs at hand."""

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
    """Reads the list once an interval; an outage leaves the last one."""

    def __init__(
        self,
        settings: PlatformSettings,
        session: aiohttp.ClientSession,
        on_vms: VmsHandler,
    ) -> None:
        """Call ``on_vms`` with each list read."""
        super().__init__()
        self.vms: tuple[VmEntry, ...] = ()
        self._settings = settings
        self._session = session
        self._on_vms = on_vms

    async def adopt_if_empty(self, listed: VmList) -> None:
        """Take a peer's list while none was ever read here."""
        if listed.vms and not self.vms:
            await self._take(listed)

    @Service.task
    async def _poll_for_ever(self) -> None:
        interval_s = self._settings.vm_list_poll_ms / MS_PER_S
        while not self.should_stop:
            await self._poll()
            await self.sleep(interval_s)

    async def _poll(self) -> None:
        timeout = aiohttp.ClientTimeout(total=VM_LIST_TIMEOUT_S)
        url = self._settings.vm_list_url
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                listed = msgspec.json.decode(await answer.read(), type=VmList)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as exc:
            log_event(
                logger,
                'vm_list.unreadable',
                level=logging.WARNING,
                error=f'{type(exc).__name__}: {exc}',
            )
            return
        await self._take(listed)

    async def _take(self, listed: VmList) -> None:
        self.vms = listed.vms
        await self._on_vms(listed.vms)
