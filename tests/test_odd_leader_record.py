"""A leader record that cannot be read: another VM leads in the end."""

import asyncio

import msgspec
import pytest
from odd_values import nested_msgpack
from test_node_leadership import Rig

from bulrushcove.exceptions import PeerUnreachableError
from bulrushcove.node.store_keys import LEADER_KEY
from bulrushcove.store import Write

ODD_RECORDS = (
    b'',
    b'\xff',
    b'\x81\xa1x' + nested_msgpack(1000),
    msgspec.msgpack.encode({'vm': 'a', 'incarnation': 'x', 'address': 5}),
)


class TickingRig(Rig):
    """A rig whose clock follows the event loop."""

    async def run_clock(self):
        while True:
            await asyncio.sleep(0.01)
            self.clock.advance(0.02)


@pytest.fixture
async def rig():
    rig = TickingRig()
    clock_task = asyncio.create_task(rig.run_clock())
    yield rig
    clock_task.cancel()
    await rig.leadership.stop()


async def refuse(address, *_message):
    raise PeerUnreachableError(address)


@pytest.mark.parametrize('record', ODD_RECORDS)
async def test_an_unreadable_record_is_replaced(rig, record):
    """No VM could campaign for as long as the record was there."""
    rig.peers.request = refuse
    await rig.store.commit((Write(LEADER_KEY, record, 0),))
    await rig.leadership.start()
    await rig.wait_gained()
    assert not rig.leadership.crashed
    assert rig.leadership.leader.epoch == rig.store.store_revision


@pytest.mark.parametrize('record', ODD_RECORDS)
async def test_a_leader_whose_record_was_overwritten_steps_down(rig, record):
    """It renewed its lease, and with it its authority, for ever."""
    rig.peers.request = refuse
    await rig.leadership.start()
    await rig.wait_gained()
    epoch = rig.leadership.leader.epoch
    await rig.store.commit((Write(LEADER_KEY, record, epoch),))
    rig.leadership.handle_record_changed()
    async with asyncio.timeout(2):
        while not rig.lost:
            await asyncio.sleep(0.01)
