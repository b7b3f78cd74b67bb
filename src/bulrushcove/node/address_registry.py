"""Registers this VM's stream address in the store."""

import logging

from mode import Service

from ..exceptions import StoreError
from ..ids import VmId
from ..logs import log_event
from ..store import StoredValue, WatchableStore, Write
from .peers import Peers
from .store_keys import VMS_PREFIX, vm_key

RETRY_INTERVAL_S = 0.15

logger = logging.getLogger(__name__)


class AddressRegistry(Service):
    """Registers this VM's stream address and reads those of other VMs.

    Stops once the address is registered.
    """

    def __init__(self, vm: VmId, store: WatchableStore, peers: Peers) -> None:
        """Register the address of ``vm`` once started."""
        super().__init__()
        self._key = vm_key(vm)
        self._store = store
        self._peers = peers

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                if await self._register():
                    return
            except StoreError as exc:
                log_event(
                    logger,
                    'vm.register_failed',
                    level=logging.WARNING,
                    error=exc,
                )
                await self.sleep(RETRY_INTERVAL_S)

    async def _register(self) -> bool:
        """Write the address if needed; return whether it was already there."""
        scan = await self._store.scan(VMS_PREFIX)
        self._peers.add_addresses(tuple(_address(item) for item in scan.found))
        registered = {item.key: item for item in scan.found}.get(self._key)
        address = self._peers.address.encode()
        if registered is not None and registered.value == address:
            return True
        revision = registered.mod_revision if registered else 0
        await self._store.commit((Write(self._key, address, revision),))
        return False


def _address(item: StoredValue) -> str:
    return item.value.decode(errors='replace')
