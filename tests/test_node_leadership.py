"""Leader election: gaining, losing, handing over and replacing a leader."""

import asyncio
import logging
from types import SimpleNamespace

import msgspec
import pytest
from fake_store import StoreFault
from fake_watchable_store import FakeWatchableStore

from bulrushcove.clock import ManualClock
from bulrushcove.exceptions import PeerUnreachableError
from bulrushcove.hello import NODE_ROLE, make_hello
from bulrushcove.ids import Epoch, IncarnationId, VmId
from bulrushcove.metrics import new_metrics
from bulrushcove.node import failover as failover_module
from bulrushcove.node import leader_monitor as monitor_module
from bulrushcove.node import leader_records as records_module
from bulrushcove.node import leadership as leadership_module
from bulrushcove.node.failover import SILENCE_TIMEOUT_S
from bulrushcove.node.leader_monitor import PING_TIMEOUT_S
from bulrushcove.node.leadership import (
    AUTHORITY_TTL_S,
    LEASE_TAIL_S,
    Leadership,
    longest_lease_s,
)
from bulrushcove.node.loop_delay import LoopDelay
from bulrushcove.node.messages import LeaderRecord, Pong
from bulrushcove.node.metrics import NodeMetrics
from bulrushcove.node.peers import PeerRefusedError
from bulrushcove.node.store_keys import LEADER_KEY
from bulrushcove.store import StoreLeaseId, Write

SETTINGS = SimpleNamespace(
    vm=VmId('vm-1'), min_store_lease_ms=1000, cpu_cores=1.0
)
WAIT_S = 5


class Peers:
    """Other VMs: all unreachable, or all with the same ``response``."""

    def __init__(self):
        self.hello = make_hello('vm-1', 'a', NODE_ROLE)
        self.address = 'vm-1:1'
        self.known_addresses = set()
        self.response = None
        self.closed_streams = []

    def close_stream(self, address):
        self.closed_streams.append(address)

    async def request(self, address, message, response_type, timeout_s):
        if self.response is None:
            raise PeerRefusedError(address)
        return self.response

    def add_addresses(self, addresses):
        self.known_addresses.update(addresses)


class Rig:
    """A ``Leadership`` on a fake store."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = FakeWatchableStore(self.clock)
        self.peers = Peers()
        self.leadership = Leadership(
            SETTINGS,
            self.store,
            self.peers,
            self.clock,
            LoopDelay(self.clock, NodeMetrics(new_metrics())),
        )
        self.gained = asyncio.Event()
        self.lost = []
        self.leadership.on_gained = self.record_gained
        self.leadership.on_lost = self.record_lost

    async def record_gained(self, leader):
        self.gained.set()

    async def record_lost(self, reason):
        self.lost.append(reason)

    async def wait_gained(self):
        async with asyncio.timeout(WAIT_S):
            await self.gained.wait()

    async def other_leader(self):
        """Make another VM the leader and return its record."""
        lease = await self.store.grant_lease(100_000)
        other = LeaderRecord(VmId('vm-0'), IncarnationId('x'), 'vm-0:1', lease)
        write = Write(LEADER_KEY, msgspec.msgpack.encode(other), 0, lease)
        response = await self.store.commit((write,))
        return msgspec.structs.replace(
            other, epoch=Epoch(response.store_revision)
        )


@pytest.fixture
async def rig(monkeypatch):
    monkeypatch.setattr(records_module, 'END_LEASE_RETRY_S', 0.005)
    for name in ('RENEW_INTERVAL_S', 'SEARCH_INTERVAL_S'):
        monkeypatch.setattr(leadership_module, name, 0.005)
    monkeypatch.setattr(failover_module, 'PING_INTERVAL_S', 0.005)
    monkeypatch.setattr(monitor_module, 'MISSED_PING_RETRY_S', 0.005)
    created = Rig()
    yield created
    await created.leadership.stop()


async def test_a_vm_without_the_configuration_does_not_campaign(rig):
    known = []
    rig.leadership.is_configured = lambda: bool(known)
    await rig.leadership.start()
    await asyncio.sleep(0.1)
    has_led_before = rig.gained.is_set()

    known.append('configuration')
    await rig.wait_gained()

    assert not has_led_before
    await rig.leadership.stop()


async def test_the_epoch_is_the_revision_of_the_record(rig):
    await rig.leadership.start()
    await rig.wait_gained()
    record = rig.store.values[LEADER_KEY]
    assert rig.leadership.leader.epoch == record.mod_revision


async def test_own_record_is_found_after_a_lost_response(rig):
    rig.store.scripted_faults.extend(
        # The record is read twice and a lease granted before the commit.
        (
            StoreFault.NONE,
            StoreFault.NONE,
            StoreFault.NONE,
            StoreFault.LOSE_RESPONSE,
        )
    )
    await rig.leadership.start()
    await rig.wait_gained()
    assert rig.leadership.is_leader


async def test_each_term_of_a_leader_has_an_epoch_of_its_own(rig):
    """Late writes of an earlier term took effect under the same epoch."""
    await rig.leadership.start()
    await rig.wait_gained()
    first = rig.leadership.leader
    rig.gained.clear()
    await rig.leadership.step_down('a transaction cannot be sent')
    rig.leadership.handle_record_changed()
    await rig.wait_gained()
    second = rig.leadership.leader
    assert second.epoch > first.epoch
    assert rig.store.values[LEADER_KEY].mod_revision == second.epoch
    assert rig.leadership.previous_epoch == first.epoch
    assert not rig.leadership.has_previous_leader_ended


async def test_an_unreachable_leader_is_replaced_and_its_lease_ended(rig):
    other = await rig.other_leader()
    end_lease = rig.store.end_lease
    failures = [StoreFault.DOWN, StoreFault.DOWN]

    async def fail_twice_then_end(lease):
        if failures:
            rig.store.scripted_faults.append(failures.pop())
        await end_lease(lease)

    rig.store.end_lease = fail_twice_then_end
    await rig.leadership.start()
    await rig.wait_gained()
    assert rig.leadership.leader.epoch > other.epoch
    assert not rig.leadership.has_previous_leader_ended
    async with asyncio.timeout(WAIT_S):
        while await rig.store.renew_lease(other.lease):
            await asyncio.sleep(0.01)
    assert rig.leadership.is_leader


async def test_a_restarted_leader_is_known_to_have_ended(rig):
    await rig.other_leader()
    restarted = make_hello('vm-0', 'a', NODE_ROLE)
    rig.peers.response = (restarted, Pong(None))
    await rig.leadership.start()
    await rig.wait_gained()
    assert rig.leadership.has_previous_leader_ended


async def test_a_leader_that_answers_is_followed(rig):
    other = await rig.other_leader()
    hello = msgspec.structs.replace(
        make_hello('vm-0', 'a', NODE_ROLE), incarnation=other.incarnation
    )
    rig.peers.response = (hello, Pong(other, is_active=True))
    await rig.leadership.start()
    await asyncio.sleep(0.05)
    assert not rig.gained.is_set()
    assert rig.leadership.is_leader_reachable


async def test_an_expired_lease_ends_leadership(rig):
    await rig.leadership.start()
    await rig.wait_gained()
    rig.clock.advance(10)
    await asyncio.sleep(0.05)
    assert rig.lost == ['the store lease of the leader record has expired']


async def test_authority_ends_without_a_confirmation(rig):
    await rig.leadership.start()
    await rig.wait_gained()
    rig.store.down = True
    rig.clock.advance(AUTHORITY_TTL_S - 0.1)
    assert rig.leadership.has_authority
    rig.clock.advance(0.2)
    assert not rig.leadership.has_authority


async def test_a_shutdown_hands_leadership_over(rig):
    await rig.leadership.start()
    await rig.wait_gained()
    leader = await rig.leadership.resign()
    assert LEADER_KEY not in rig.store.values
    follower = Rig()
    follower.leadership.leader = leader
    follower.leadership.handle_hand_over(leader.epoch)
    assert follower.leadership.leader is None


async def test_a_changed_record_is_read_before_the_next_ping(rig):
    """Followers of a large deployment ping seldom; the watch tells them."""
    rig.peers.known_addresses = {f'vm-{number}:1' for number in range(300)}
    other = await rig.other_leader()
    hello = msgspec.structs.replace(
        make_hello('vm-0', 'a', NODE_ROLE), incarnation=other.incarnation
    )
    rig.peers.response = (hello, Pong(other, is_active=True))
    await rig.leadership.start()
    await asyncio.sleep(0.05)
    rig.store.values.pop(LEADER_KEY)
    await asyncio.sleep(0.05)
    assert not rig.gained.is_set()
    rig.leadership.handle_record_changed()
    await rig.wait_gained()


async def test_a_vm_does_not_campaign_after_another_has_won(rig, monkeypatch):
    """Of many VMs that campaign at once, one writes to the store."""
    monkeypatch.setattr(leadership_module, 'campaign_delay_s', lambda *_: 0.05)
    await rig.leadership.start()
    await asyncio.sleep(0.02)
    other = await rig.other_leader()
    grants = []
    grant_lease = rig.store.grant_lease

    async def count_grants(ttl_ms):
        grants.append(ttl_ms)
        return await grant_lease(ttl_ms)

    rig.store.grant_lease = count_grants
    hello = msgspec.structs.replace(
        make_hello('vm-0', 'a', NODE_ROLE), incarnation=other.incarnation
    )
    rig.peers.response = (hello, Pong(other, is_active=True))
    await asyncio.sleep(0.3)
    assert rig.leadership.leader.epoch == other.epoch
    assert not grants


async def test_a_check_for_a_peer_pings_a_leader_not_heard_of_lately(rig):
    other = await rig.other_leader()
    rig.leadership.leader = other
    hello = msgspec.structs.replace(
        make_hello('vm-0', 'a', NODE_ROLE), incarnation=other.incarnation
    )
    rig.peers.response = (hello, Pong(other, is_active=True))
    assert await rig.leadership.check_leader()
    rig.peers.response = None
    assert not await rig.leadership.check_leader()


async def test_requests_to_a_replaced_leader_are_not_waited_for(rig):
    """A leader without power answers nothing for seconds."""
    replaced = await rig.other_leader()
    rig.leadership.leader = msgspec.structs.replace(
        replaced, address='vm-9:1', epoch=Epoch(0)
    )
    await rig.leadership._read_record()
    assert rig.leadership.leader.epoch == replaced.epoch
    assert rig.peers.closed_streams == ['vm-9:1']


async def test_a_replaced_leader_steps_down_although_its_lease_lives(rig):
    """Each renewal of the lease confirmed it, and it went on to send orders."""
    await rig.leadership.start()
    await rig.wait_gained()
    own = rig.store.values[LEADER_KEY]
    other = LeaderRecord(
        VmId('vm-0'), IncarnationId('x'), 'vm-0:1', StoreLeaseId(0)
    )
    encoded = msgspec.msgpack.encode(other)
    await rig.store.commit((Write(LEADER_KEY, encoded, own.mod_revision),))
    rig.leadership.handle_record_changed()
    async with asyncio.timeout(WAIT_S):
        while not rig.lost:
            await asyncio.sleep(0.005)
    assert not rig.leadership.is_leader


async def test_a_leader_keeps_leading_after_a_change_of_its_own_record(rig):
    await rig.leadership.start()
    await rig.wait_gained()
    rig.leadership.handle_record_changed()
    await asyncio.sleep(0.05)
    assert rig.leadership.is_leader


async def test_leases_end_soon_after_the_authority_to_grant_them(rig):
    await rig.leadership.start()
    await rig.wait_gained()
    rig.store.down = True
    rig.clock.advance(AUTHORITY_TTL_S)
    confirmed_at_s = rig.leadership.confirmed_at_s
    now_s = rig.clock.monotonic_s()
    assert longest_lease_s(confirmed_at_s, now_s) == LEASE_TAIL_S
    assert not longest_lease_s(confirmed_at_s, now_s + LEASE_TAIL_S)


class SlowLink:
    """A network in which responses take time, and some VMs are silent."""

    def __init__(self, rig, leader):
        self.rig = rig
        self.leader = leader
        self.leader_hello = msgspec.structs.replace(
            make_hello('vm-0', 'a', NODE_ROLE), incarnation=leader.incarnation
        )
        # Until a response of the leader arrives; None: none ever does.
        self.leader_delay_s = None
        self.are_others_silent = False
        # VMs that were asked whether they hear the leader.
        self.asked_count = 0
        rig.peers.known_addresses = {'vm-2:1', 'vm-3:1'}
        rig.peers.request = self.request

    async def request(self, address, message, response_type, timeout_s):
        if address == self.leader.address:
            return await self.answer_as_leader(address, timeout_s)
        self.asked_count += 1
        if self.are_others_silent:
            raise PeerUnreachableError(address)
        return make_hello('vm-2', 'a', NODE_ROLE), Pong(self.leader)

    async def answer_as_leader(self, address, timeout_s):
        delay_s = self.leader_delay_s
        if delay_s is None or delay_s > timeout_s:
            await asyncio.sleep(min(timeout_s, 0.05))
            self.rig.clock.advance(0.3)
            raise PeerUnreachableError(address)
        await asyncio.sleep(delay_s)
        return self.leader_hello, Pong(self.leader, is_active=True)


async def test_the_log_tells_why_a_leader_was_replaced(rig, caplog):
    """The logs of an incident did not tell what the other VMs had said."""
    other = await rig.other_leader()
    SlowLink(rig, other)
    with caplog.at_level(logging.WARNING):
        await rig.leadership.start()
        await rig.wait_gained()
    (replaced,) = (
        record for record in caplog.records if record.msg == 'tenure.replaces'
    )
    assert (replaced.holder, replaced.epoch) == ('vm-0', other.epoch)
    assert not replaced.is_dead
    assert replaced.missed_pings >= 2
    assert replaced.silent_s > SILENCE_TIMEOUT_S
    assert (replaced.asked, replaced.answered) == (2, 2)
    assert not replaced.hearing


async def test_a_vm_that_hears_nobody_does_not_replace_the_leader(rig):
    """A VM with a full link replaced a leader that was well."""
    other = await rig.other_leader()
    link = SlowLink(rig, other)
    link.are_others_silent = True
    rig.leadership.leader = other
    # Two seconds of missed pings, which last 0.3 s each.
    for _ in range(7):
        await rig.leadership._step()
    assert link.asked_count >= 2
    assert rig.leadership.leader.epoch == other.epoch
    assert not rig.leadership.is_leader


async def test_a_leader_that_answers_a_last_ping_is_kept(rig, monkeypatch):
    """The pongs of a leader that was well queued on the link of a follower."""
    monkeypatch.setattr(leadership_module, 'campaign_delay_s', lambda *_: 0)
    other = await rig.other_leader()
    link = SlowLink(rig, other)
    link.leader_delay_s = 2 * PING_TIMEOUT_S
    read = rig.store.read

    async def read_over_the_same_link(key):
        await asyncio.sleep(2 * PING_TIMEOUT_S)
        return await read(key)

    rig.leadership.leader = other
    for _ in range(4):
        await rig.leadership._monitor.check(other)
    rig.store.read = read_over_the_same_link
    await rig.leadership._read_record(replace=other)
    assert not rig.leadership.is_leader
    assert rig.leadership.is_leader_reachable


async def test_the_last_ping_delays_the_replacement_of_a_dead_leader_little(
    rig, monkeypatch
):
    monkeypatch.setattr(leadership_module, 'campaign_delay_s', lambda *_: 0)
    other = await rig.other_leader()
    SlowLink(rig, other)
    rig.leadership.leader = other
    began_at_s = asyncio.get_running_loop().time()
    await rig.leadership._read_record(replace=other)
    assert rig.leadership.is_leader
    assert asyncio.get_running_loop().time() - began_at_s < 0.15


async def test_a_presumed_dead_leader_gets_no_last_ping(rig, monkeypatch):
    monkeypatch.setattr(leadership_module, 'campaign_delay_s', lambda *_: 0)
    other = await rig.other_leader()
    await rig.leadership._monitor.check(other)
    rig.peers.request = None
    await rig.leadership._read_record(replace=other)
    assert rig.leadership.is_leader


@pytest.mark.parametrize(('absent_s', 'is_known'), [(1, True), (60, False)])
async def test_a_leader_may_have_led_unseen_before_the_record_vanished(
    rig, absent_s, is_known
):
    """The last leader that a VM knew may not be the previous one."""
    other = await rig.other_leader()
    await rig.leadership._read_record()
    rig.leadership._monitor.record_ended(other.epoch)
    await rig.store.end_lease(other.lease)
    rig.clock.advance(absent_s)
    await rig.leadership._read_record()
    assert rig.leadership.is_leader
    assert rig.leadership.has_previous_leader_ended == is_known


async def test_a_replaced_leader_steps_down_when_its_successor_is_gone(rig):
    """The successor died before it ended the lease of this VM's record."""
    await rig.leadership.start()
    await rig.wait_gained()
    rig.store.values.pop(LEADER_KEY)
    rig.leadership.handle_record_changed()
    async with asyncio.timeout(WAIT_S):
        while not rig.lost:
            await asyncio.sleep(0.005)
    assert not rig.leadership.is_leader


async def test_a_renewed_lease_alone_confirms_no_leadership(rig):
    """A later leader waits from its own start for leases granted until then."""
    await rig.leadership.start()
    await rig.wait_gained()
    rig.store.down = True
    await asyncio.sleep(0.02)
    confirmed_at_s = rig.leadership.confirmed_at_s
    rig.store.values.pop(LEADER_KEY)
    rig.clock.advance(1)
    rig.store.down = False
    async with asyncio.timeout(WAIT_S):
        while not rig.lost:
            await asyncio.sleep(0.005)
    assert rig.leadership.confirmed_at_s == confirmed_at_s
