import asyncio

import pytest

from bulrushcove.ids import DomainName, IncarnationId, VmId
from bulrushcove.messages import Hello
from bulrushcove.peer_links import PeerLinks
from bulrushcove.states import VmRole
from bulrushcove.vm_list import VmEntry

HELLO = Hello(VmId('own'), DomainName('a'), 'control', IncarnationId('i'))


def entry(name, port):
    return VmEntry(
        vm=VmId(name),
        domain=DomainName('a'),
        role=VmRole.ENTRY,
        address='127.0.0.1',
        port=1,
        control_port=port,
    )


async def ignore(_peer, _frame):
    """Handle no frame."""


@pytest.fixture
async def links():
    peer_links = PeerLinks(HELLO, ignore)
    await peer_links.start()
    yield peer_links
    await peer_links.stop()


async def test_lists_that_arrive_together_close_a_stream_once(links):
    """The second one raised KeyError, and the control ended."""
    names = ('b', 'c', 'd')
    await links.update_peers(tuple(entry(name, 1) for name in names))
    moved = tuple(entry(name, 2) for name in names)
    await asyncio.gather(links.update_peers(moved), links.update_peers(moved))
    assert all(links.get(VmId(name)) for name in names)
