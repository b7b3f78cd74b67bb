"""Runs the same checks on the fake store and on the etcd stand-in."""

from types import SimpleNamespace

import pytest
from aiohttp import ClientSession, web

from bulrushcove.clock import ManualClock
from bulrushcove.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.settings import PlatformSettings
from bulrushcove.store import Write
from bulrushcove.store_etcd import EtcdStore
from dev.standins.kv_state import KvState
from dev.standins.platform import KvServer
from tests.fake_store import FakeStore


@pytest.fixture(params=['fake', 'stand-in'])
async def bench(request, aiohttp_server):
    """Yield a store and the clock of its leases."""
    clock = ManualClock()
    if request.param == 'fake':
        yield SimpleNamespace(store=FakeStore(clock), clock=clock)
        return
    app = web.Application()
    app.add_routes(KvServer(KvState(clock)).routes())
    server = await aiohttp_server(app)
    url = str(server.make_url(''))
    settings = PlatformSettings(store_url=url, vm_list_url=url)
    async with ClientSession() as session:
        yield SimpleNamespace(store=EtcdStore(session, settings), clock=clock)


async def test_transaction_applies_all_writes_or_none(bench):
    store = bench.store
    written = await store.write(Write('a', b'1', 0))
    assert written.written
    response = await store.write(Write('a', b'2', 0), Write('b', b'2', 0))
    assert not response.written
    (current,) = response.current
    assert (current.key, current.value) == ('a', b'1')
    assert current.mod_revision == written.store_revision
    assert (await store.read('b')).found == ()
    swapped = await store.write(
        Write('a', None, written.store_revision), Write('b', b'\xff', 0)
    )
    assert swapped.store_revision > written.store_revision
    assert (await store.read('a')).found == ()
    assert (await store.read('b')).found[0].value == b'\xff'


async def test_read_finds_only_newer_values(bench):
    store = bench.store
    await store.write(Write('é/a', b'1', 0))
    known_revision = (await store.scan('é/')).store_revision
    assert (await store.read('é/a', newer_than=known_revision)).found == ()
    await store.write(Write('é/b', b'2', 0), Write('é0', b'3', 0))
    newer = await store.scan('é/', newer_than=known_revision)
    assert [stored.key for stored in newer.found] == ['é/b']
    assert newer.store_revision == newer.found[0].mod_revision
    all_found = await store.scan('é/')
    assert [stored.key for stored in all_found.found] == ['é/a', 'é/b']


async def test_expired_lease_deletes_its_keys(bench):
    store = bench.store
    lease = await store.grant_lease(5)
    await store.write(Write('a', b'1', 0, lease), Write('b', b'1', 0))
    bench.clock.advance(4)
    assert await store.renew_lease(lease) == 5
    bench.clock.advance(5)
    assert (await store.read('a')).found == ()
    assert (await store.read('b')).found
    assert await store.renew_lease(lease) == 0
    with pytest.raises(StoreUnavailableError, match='lease'):
        await store.write(Write('c', b'1', 0, lease))
    assert (await store.read('c')).found == ()


async def test_revoked_lease_deletes_its_keys(bench):
    store = bench.store
    lease = await store.grant_lease(5)
    written = await store.write(Write('a', b'1', 0, lease))
    write_without_lease = Write('a', b'2', written.store_revision)
    assert (await store.write(write_without_lease)).written
    await store.write(Write('b', b'1', 0, lease))
    await store.revoke_lease(lease)
    await store.revoke_lease(lease)
    assert (await store.read('a')).found
    assert (await store.read('b')).found == ()


async def test_faults_of_the_fake_store():
    store = FakeStore()
    store.lose_responses = 1
    store.lose_writes = 1
    for _ in range(2):
        with pytest.raises(StoreOutcomeUnknownError):
            await store.write(Write('a', b'1', 0))
    assert len((await store.read('a')).found) == 1
    store.down = True
    with pytest.raises(StoreUnavailableError):
        await store.read('a')
