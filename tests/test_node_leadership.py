"""One active scheduler: won, lost, handed over and taken over."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from fake_store import StoreFault
from fake_watchable_store import FakeWatchableStore

from bulrushcove.clock import ManualClock
from bulrushcove.hello import NODE_ROLE, make_hello
from bulrushcove.ids import Epoch, IncarnationId, VmId
from bulrushcove.node import leadership as leadership_module
from bulrushcove.node.leadership import AUTHORITY_TTL_S, Leadership
from bulrushcove.node.messages import LeaderRecord, Pong
from bulrushcove.node.peers import PeerRefusedError
from bulrushcove.node.store_keys import LEADER_KEY
from bulrushcove.store import Write

SETTINGS = SimpleNamespace(vm=VmId('vm-1'), min_store_lease_ms=1000)
WAIT_S = 5


class Peers:
    """Other VMs, all gone or all answering as the test says."""

    def __init__(self):
        self.hello = make_hello('vm-1', 'a', NODE_ROLE)
        self.address = 'vm-1:1'
        self.known_addresses = set()
        self.answer = None

    async def request(self, address, message, answer_type, timeout_s):
        if self.answer is None:
            raise PeerRefusedError(address)
        return self.answer

    def add_addresses(self, addresses):
        self.known_addresses.update(addresses)


class Rig:
    """A tenure on a fake store."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = FakeWatchableStore(self.clock)
        self.peers = Peers()
        self.leadership = Leadership(
            SETTINGS, self.store, self.peers, self.clock
        )
        self.won = asyncio.Event()
        self.lost = []
        self.leadership.on_gained = self.note_won
        self.leadership.on_lost = self.note_lost

    async def note_won(self, leader):
        self.won.set()

    async def note_lost(self, reason):
        self.lost.append(reason)

    async def wait_won(self):
        async with asyncio.timeout(WAIT_S):
            await self.won.wait()

    async def other_leader(self):
        """Have another VM hold the tenure."""
        lease = await self.store.grant_lease(100_000)
        other = LeaderRecord(VmId('vm-0'), IncarnationId('x'), 'vm-0:1', lease)
        write = Write(LEADER_KEY, msgspec.msgpack.encode(other), 0, lease)
        answer = await self.store.commit((write,))
        return msgspec.structs.replace(
            other, epoch=Epoch(answer.store_revision)
        )


@pytest.fixture
async def rig(monkeypatch):
    for name in ('RENEW_S', 'PING_S', 'SEARCH_S'):
        monkeypatch.setattr(leadership_module, name, 0.005)
    made = Rig()
    yield made
    await made.leadership.stop()


async def test_the_epoch_is_the_revision_of_the_record(rig):
    await rig.leadership.start()
    await rig.wait_won()
    record = rig.store.values[LEADER_KEY]
    assert rig.leadership.leader.epoch == record.mod_revision


async def test_a_record_whose_answer_was_lost_is_found_again(rig):
    rig.store.script.extend(
        (StoreFault.NONE, StoreFault.NONE, StoreFault.LOSE_ANSWER)
    )
    await rig.leadership.start()
    await rig.wait_won()
    assert rig.leadership.is_leader


async def test_a_holder_that_is_gone_is_replaced_and_its_lease_ended(rig):
    other = await rig.other_leader()
    real = rig.store.end_lease
    failures = [StoreFault.DOWN, StoreFault.DOWN]

    async def fail_twice(lease):
        if failures:
            rig.store.script.append(failures.pop())
        await real(lease)

    rig.store.end_lease = fail_twice
    await rig.leadership.start()
    await rig.wait_won()
    assert rig.leadership.leader.epoch > other.epoch
    assert not rig.leadership.has_previous_leader_ended
    async with asyncio.timeout(WAIT_S):
        while await rig.store.renew_lease(other.lease):
            await asyncio.sleep(0.01)
    assert rig.leadership.is_leader


async def test_a_restarted_holder_is_known_to_be_over(rig):
    await rig.other_leader()
    reborn = make_hello('vm-0', 'a', NODE_ROLE)
    rig.peers.answer = (reborn, Pong(None))
    await rig.leadership.start()
    await rig.wait_won()
    assert rig.leadership.has_previous_leader_ended


async def test_a_holder_that_answers_is_followed(rig):
    other = await rig.other_leader()
    hello = msgspec.structs.replace(
        make_hello('vm-0', 'a', NODE_ROLE), incarnation=other.incarnation
    )
    rig.peers.answer = (hello, Pong(other, is_active=True))
    await rig.leadership.start()
    await asyncio.sleep(0.05)
    assert not rig.won.is_set()
    assert rig.leadership.is_leader_reachable


async def test_a_lapsed_lease_ends_the_tenure(rig):
    await rig.leadership.start()
    await rig.wait_won()
    rig.clock.advance(10)
    await asyncio.sleep(0.05)
    assert rig.lost == ['its lease has ended']


async def test_authority_ends_without_a_proof(rig):
    await rig.leadership.start()
    await rig.wait_won()
    rig.store.down = True
    rig.clock.advance(AUTHORITY_TTL_S - 0.1)
    assert rig.leadership.has_authority
    rig.clock.advance(0.2)
    assert not rig.leadership.has_authority


async def test_a_stop_hands_the_tenure_over(rig):
    await rig.leadership.start()
    await rig.wait_won()
    leader = await rig.leadership.resign()
    assert LEADER_KEY not in rig.store.values
    successor = Rig()
    successor.leadership.leader = leader
    successor.leadership.handle_hand_over(leader.epoch)
    assert successor.leadership.leader is None
