"""Streams to a VM that answers oddly, and a VM that follows it."""

import asyncio

import pytest
from fake_watchable_store import FakeWatchableStore
from test_node_leadership import SETTINGS
from test_streams import HOST, find_free_port, make_hello

from bulrushcove.clock import ManualClock
from bulrushcove.ids import Epoch, IncarnationId, VmId
from bulrushcove.metrics import new_metrics
from bulrushcove.node.leadership import Leadership
from bulrushcove.node.loop_delay import LoopDelay
from bulrushcove.node.messages import LeaderRecord, Ping
from bulrushcove.node.metrics import NodeMetrics
from bulrushcove.node.peers import Peers

PING = Ping(VmId('b'), 'b:1')


class OddPeer:
    """A VM whose response has fields that do not match the message."""

    def __init__(self):
        self.is_mute = False
        self.address = f'{HOST}:{find_free_port()}'
        self.peers = Peers(make_hello('a'), self.address, self.handle)

    async def handle(self, _hello, _frame):
        if self.is_mute:
            await asyncio.Event().wait()
        # Decodes as no message with other required fields.
        return PING


async def refuse(_hello, _frame):
    """Handle no frame."""


@pytest.fixture
async def peers():
    peers = Peers(make_hello('b'), f'{HOST}:{find_free_port()}', refuse)
    yield peers
    await peers.stop()


@pytest.fixture
async def odd_peer():
    peer = OddPeer()
    await peer.peers.start()
    yield peer
    await peer.peers.stop()


async def lives_on(peers, leader_address):
    """Follow a leader for some pings; return whether this goes on."""
    clock = ManualClock()
    leadership = Leadership(
        SETTINGS,
        FakeWatchableStore(clock),
        peers,
        clock,
        LoopDelay(clock, NodeMetrics(new_metrics())),
    )
    leadership.leader = LeaderRecord(
        VmId('a'), IncarnationId('x'), leader_address, 1, Epoch(5)
    )
    await leadership.start()
    await asyncio.sleep(0.6)
    has_crashed = leadership.crashed
    await leadership.stop()
    return not has_crashed
