"""Controls with real streams between them, a store and a VM list in memory."""

import asyncio
import socket

import aiohttp
import msgspec
import pytest
from aiohttp import web
from fake_store import FakeStore

from bulrushcove.clock import SystemClock
from bulrushcove.configuration import Configuration
from bulrushcove.configuration_codec import encode_configuration
from bulrushcove.configuration_holder import ConfigurationHolder
from bulrushcove.configuration_poll import ConfigurationPoll
from bulrushcove.control_link import ControlLink
from bulrushcove.ids import DomainName, IncarnationId, JobId, VmId
from bulrushcove.messages import DomainView, Hello, JobNotice, JobStanding
from bulrushcove.peers import Peers
from bulrushcove.permit import StartPermits
from bulrushcove.settings import check_settings
from bulrushcove.states import DomainState, VmRole
from bulrushcove.store import CONFIGURATION_KEY, Write
from bulrushcove.vm_list import VmEntry, VmList

HOST = '127.0.0.1'
DOMAIN = DomainName('Stockholm')
# Brief, "accepted configuration is in force everywhere within seconds";
# the target says 6 s.
IN_FORCE_S = 6


class Node:
    """One control's poll and peers, with its own switch to the platform."""

    def __init__(self, vm, port, vm_list_url, store, session, seeds=()):
        self.vm = vm
        self.port = port
        self.store = store
        self.settings = check_settings(
            {
                'vm': {'id': vm, 'domain': DOMAIN},
                'entry': {'port': 0},
                'control': {
                    'stream_port': port,
                    'http_port': 0,
                    'poll_ms': 50,
                    'heartbeat_ms': 50,
                    'peer_addresses': list(seeds),
                },
                'platform': {
                    'store_url': 'http://127.0.0.1:1',
                    'vm_list_url': vm_list_url,
                    'vm_list_poll_ms': 50,
                },
            }
        )
        clock = SystemClock()
        self.configuration_holder = ConfigurationHolder()
        self.permits = StartPermits()
        self.poll = ConfigurationPoll(
            store, clock, 50, self.configuration_holder, self.permits
        )
        hello = Hello(VmId(vm), DOMAIN, 'control', IncarnationId(f'{vm}-1'))
        self.peers = Peers(
            self.settings,
            clock,
            session,
            hello,
            self.configuration_holder,
            self.permits,
        )
        self.peers.platform_reachable = lambda: self.poll.platform_reachable

    @property
    def revision(self):
        return self.configuration_holder.current.revision

    def permitted(self):
        return self.permits.may_start(
            DOMAIN,
            self.configuration_holder.current,
            SystemClock().monotonic_s(),
            3000,
        )

    async def start(self):
        await self.poll.start()
        await self.peers.start()

    async def stop(self):
        await self.peers.stop()
        await self.poll.stop()


class LinkedStore(FakeStore):
    """A node's own way to a shared store, which can be cut."""

    def __init__(self, shared):
        super().__init__()
        self.values = shared.values


class Fleet:
    def __init__(self, session):
        self.session = session
        self.shared = FakeStore()
        self.listed = []
        self.list_down = False
        self.url = ''
        self.nodes = []

    async def serve_list(self, _request):
        if self.list_down:
            raise web.HTTPServiceUnavailable
        body = msgspec.json.encode(VmList(tuple(self.listed)))
        return web.Response(body=body)

    async def add(self, vm, seeds=(), listed=True, down=False):
        port = free_port()
        store = LinkedStore(self.shared)
        store.down = down
        node = Node(vm, port, self.url, store, self.session, seeds)
        if listed:
            entry = VmEntry(
                VmId(vm), VmRole.ENTRY, DOMAIN, HOST, 0, control_port=port
            )
            self.listed.append(entry)
        await node.start()
        self.nodes.append(node)
        return node

    async def configure(self, revision, state=DomainState.IN_SERVICE):
        configuration = Configuration(revision, {}, {DOMAIN: state})
        held = self.shared.values.get(CONFIGURATION_KEY)
        expected = held.mod_revision if held else 0
        answer = await self.shared.write(
            Write(
                CONFIGURATION_KEY, encode_configuration(configuration), expected
            )
        )
        assert answer.written


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def until(condition, seconds=IN_FORCE_S):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def fleet(aiohttp_server):
    async with aiohttp.ClientSession() as session:
        made = Fleet(session)
        application = web.Application()
        application.router.add_get('/vms', made.serve_list)
        server = await aiohttp_server(application)
        made.url = str(server.make_url('/vms'))
        yield made
        for node in made.nodes:
            await node.stop()


async def test_a_configuration_comes_in_force_on_all(fleet):
    nodes = [await fleet.add(vm) for vm in ('a', 'b', 'c')]
    await fleet.configure(1)
    await until(lambda: all(node.revision == 1 for node in nodes))
    await until(lambda: all(node.permitted() for node in nodes))


async def test_a_cut_off_node_gets_news_and_permit_from_a_peer(fleet):
    near = await fleet.add('a')
    cut_off = await fleet.add('b', down=True)
    await fleet.configure(1)
    await until(lambda: cut_off.revision == 1 and cut_off.permitted())
    assert not cut_off.poll.platform_reachable
    await fleet.configure(2, DomainState.OUT_OF_SERVICE)
    await until(lambda: cut_off.revision == 2)
    assert not cut_off.permitted()
    assert near.revision == 2


async def test_permits_lapse_when_nobody_reaches_the_platform(fleet):
    nodes = [await fleet.add(vm) for vm in ('a', 'b')]
    await fleet.configure(1)
    await until(lambda: all(node.permitted() for node in nodes))
    for node in nodes:
        node.store.down = True
    await until(lambda: not any(node.permitted() for node in nodes))
    # Relays between the two must not keep the permit alive.
    await asyncio.sleep(0.5)
    assert not any(node.permitted() for node in nodes)
    assert all(node.revision == 1 for node in nodes)


async def test_a_node_that_boots_in_an_outage_asks_a_seed(fleet):
    old = await fleet.add('a')
    await fleet.configure(3)
    await until(lambda: old.revision == 3 and old.peers.vms)
    old.store.down = True
    fleet.list_down = True
    new = await fleet.add(
        'b', seeds=(f'{HOST}:{old.port}',), listed=False, down=True
    )
    await until(lambda: new.revision == 3)
    assert [entry.vm for entry in new.peers.vms] == ['a']


async def test_a_store_that_fell_back_reverts_nothing(fleet):
    node = await fleet.add('a')
    await fleet.configure(5)
    await until(lambda: node.revision == 5)
    await fleet.configure(4, DomainState.OUT_OF_SERVICE)
    await asyncio.sleep(0.3)
    assert node.revision == 5
    await until(lambda: not node.permitted())


async def test_a_notice_reaches_the_active_control_from_any_entry(fleet):
    active, other = [await fleet.add(vm) for vm in ('a', 'b')]
    heard = []

    async def take(notice):
        heard.append(notice.job)
        return JobStanding('waits for room')

    active.peers.on_notice = take
    active.peers.publish(DomainView(DOMAIN, VmId('a'), 7, *range(8)))
    await until(lambda: other.peers.domain_views())
    hello = Hello(VmId('b'), DOMAIN, 'entry', IncarnationId('e'))
    link = ControlLink(other.settings, hello)
    async with link:
        await until(lambda: link.view and link.view.domains)
        standing = await link.notify_job(JobNotice(JobId('j'), DOMAIN))
        assert standing.wait_reason == 'waits for room'
        assert heard == ['j']
        await fleet.configure(1)
        await until(lambda: link.configuration.revision == 1)
