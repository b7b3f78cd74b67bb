"""Keeps one stream to the control of each other entry VM."""

import asyncio
from contextlib import suppress

import msgspec
from mode import Service

from .connection import FrameHandler
from .exceptions import PeerUnreachableError
from .ids import DomainName, VmId
from .messages import Hello
from .states import VmRole
from .streams import StreamClient
from .vm_list import VmEntry


class PeerLinks(Service):
    """Opens streams to entry VMs on the list and closes all others."""

    def __init__(self, hello: Hello, on_frame: FrameHandler) -> None:
        """Send ``hello`` on each stream; ``on_frame`` handles the frames."""
        super().__init__()
        self._hello = hello
        self._on_frame = on_frame
        self._links: dict[VmId, tuple[VmEntry, StreamClient]] = {}
        # The list is read from the platform and from peers at the same time.
        self._update_lock = asyncio.Lock()

    def get(self, vm: VmId) -> StreamClient | None:
        """Return the stream to ``vm``; None if it is not on the list."""
        link = self._links.get(vm)
        return link[1] if link else None

    def connected(self) -> list[StreamClient]:
        """Return the clients whose streams are open."""
        return [
            client
            for _entry, client in self._links.values()
            if client.is_connected
        ]

    def send_to_all(self, message: msgspec.Struct) -> None:
        """Send ``message`` to all connected peers without waiting."""
        for client in self.connected():
            with suppress(PeerUnreachableError):
                client.send(message)

    async def update_peers(self, vms: tuple[VmEntry, ...]) -> None:
        """Open and close streams so that they match ``vms``."""
        async with self._update_lock:
            await self._update_peers(vms)

    async def on_stop(self) -> None:
        """Close all streams."""
        for _entry, client in self._links.values():
            await client.stop()

    async def _update_peers(self, vms: tuple[VmEntry, ...]) -> None:
        wanted = {entry.vm: entry for entry in vms if self._is_peer(entry)}
        for vm, (entry, client) in tuple(self._links.items()):
            if wanted.get(vm) != entry:
                self._links.pop(vm)
                await client.stop()
        for entry in wanted.values():
            if entry.vm not in self._links:
                await self._open(entry)

    async def _open(self, entry: VmEntry) -> None:
        client = StreamClient(
            entry.address,
            entry.control_port,
            self._hello,
            self._on_frame,
        )
        self._links[entry.vm] = (entry, client)
        await self.add_runtime_dependency(client)

    def _is_peer(self, entry: VmEntry) -> bool:
        return entry.role is VmRole.ENTRY and entry.vm != self._hello.vm


def seed_entries(addresses: tuple[str, ...]) -> tuple[VmEntry, ...]:
    """Return VM entries for peers of which only ``host:port`` is known."""
    return tuple(_seed_entry(address) for address in addresses)


def _seed_entry(address: str) -> VmEntry:
    host, _colon, port = address.rpartition(':')
    return VmEntry(
        vm=VmId(address),
        role=VmRole.ENTRY,
        domain=DomainName(''),
        address=host.strip('[]'),
        port=0,
        control_port=int(port),
    )
