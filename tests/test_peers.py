"""Controls connected by real streams, with an in-memory store and VM list."""

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
# Target time for an accepted configuration to be in force on every VM.
ADOPTION_TIMEOUT_S = 6


class Node:
    """Configuration poll and peers of one control.

    Its access to the platform can be switched off.
    """

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

    def has_permit(self):
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
    """Access of one node to a shared store; it can be switched off."""

    def __init__(self, shared_store):
        super().__init__()
        self.values = shared_store.values


class Cluster:
    def __init__(self, session):
        self.session = session
        self.shared_store = FakeStore()
        self.listed = []
        self.is_list_down = False
        self.url = ''
        self.nodes = []

    async def serve_vm_list(self, _request):
        if self.is_list_down:
            raise web.HTTPServiceUnavailable
        body = msgspec.json.encode(VmList(tuple(self.listed)))
        return web.Response(body=body)

    async def add(self, vm, seeds=(), listed=True, down=False):
        port = find_free_port()
        store = LinkedStore(self.shared_store)
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
        stored = self.shared_store.values.get(CONFIGURATION_KEY)
        expected = stored.mod_revision if stored else 0
        response = await self.shared_store.write(
            Write(
                CONFIGURATION_KEY, encode_configuration(configuration), expected
            )
        )
        assert response.written


def find_free_port():
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return listener.getsockname()[1]


async def wait_until(condition, timeout_s=ADOPTION_TIMEOUT_S):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def cluster(aiohttp_server):
    async with aiohttp.ClientSession() as session:
        new_cluster = Cluster(session)
        application = web.Application()
        application.router.add_get('/vms', new_cluster.serve_vm_list)
        server = await aiohttp_server(application)
        new_cluster.url = str(server.make_url('/vms'))
        yield new_cluster
        for node in new_cluster.nodes:
            await node.stop()


async def test_configuration_comes_in_force_on_all_nodes(cluster):
    nodes = [await cluster.add(vm) for vm in ('a', 'b', 'c')]
    await cluster.configure(1)
    await wait_until(lambda: all(node.revision == 1 for node in nodes))
    await wait_until(lambda: all(node.has_permit() for node in nodes))


async def test_isolated_node_gets_configuration_and_permit_from_a_peer(cluster):
    connected_node = await cluster.add('a')
    isolated_node = await cluster.add('b', down=True)
    await cluster.configure(1)
    await wait_until(
        lambda: isolated_node.revision == 1 and isolated_node.has_permit()
    )
    assert not isolated_node.poll.platform_reachable
    await cluster.configure(2, DomainState.OUT_OF_SERVICE)
    await wait_until(lambda: isolated_node.revision == 2)
    assert not isolated_node.has_permit()
    assert connected_node.revision == 2


async def test_permits_expire_if_no_node_reaches_the_platform(cluster):
    nodes = [await cluster.add(vm) for vm in ('a', 'b')]
    await cluster.configure(1)
    await wait_until(lambda: all(node.has_permit() for node in nodes))
    for node in nodes:
        node.store.down = True
    await wait_until(lambda: not any(node.has_permit() for node in nodes))
    # Heartbeats between the two must not renew the permit.
    await asyncio.sleep(0.5)
    assert not any(node.has_permit() for node in nodes)
    assert all(node.revision == 1 for node in nodes)


async def test_node_started_in_an_outage_asks_its_seed_peer(cluster):
    running_node = await cluster.add('a')
    await cluster.configure(3)
    await wait_until(
        lambda: running_node.revision == 3 and running_node.peers.vms
    )
    running_node.store.down = True
    cluster.is_list_down = True
    new_node = await cluster.add(
        'b', seeds=(f'{HOST}:{running_node.port}',), listed=False, down=True
    )
    await wait_until(lambda: new_node.revision == 3)
    assert [entry.vm for entry in new_node.peers.vms] == ['a']


async def test_older_stored_configuration_is_not_adopted(cluster):
    node = await cluster.add('a')
    await cluster.configure(5)
    await wait_until(lambda: node.revision == 5)
    await cluster.configure(4, DomainState.OUT_OF_SERVICE)
    await asyncio.sleep(0.3)
    assert node.revision == 5
    await wait_until(lambda: not node.has_permit())


async def test_job_notice_reaches_the_active_control_from_any_entry(cluster):
    active, other = [await cluster.add(vm) for vm in ('a', 'b')]
    received = []

    async def record(notice):
        received.append(notice.job)
        return JobStanding('waits for capacity')

    active.peers.on_notice = record
    active.peers.publish(DomainView(DOMAIN, VmId('a'), 7, *range(8)))
    await wait_until(lambda: other.peers.domain_views())
    hello = Hello(VmId('b'), DOMAIN, 'entry', IncarnationId('e'))
    link = ControlLink(other.settings, hello)
    async with link:
        await wait_until(lambda: link.view and link.view.domains)
        job_standing = await link.notify_job(JobNotice(JobId('j'), DOMAIN))
        assert job_standing.wait_reason == 'waits for capacity'
        assert received == ['j']
        await cluster.configure(1)
        await wait_until(lambda: link.configuration.revision == 1)
