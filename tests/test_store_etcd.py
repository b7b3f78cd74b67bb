import asyncio
import base64

import pytest
from aiohttp import ClientSession, web

from bulrushcove.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.settings import PlatformSettings
from bulrushcove.store import StoredValue, Write
from bulrushcove.store_etcd import EtcdStore


def b64(text):
    return base64.b64encode(text.encode()).decode()


KEY_VALUE = {'key': b64('é/1'), 'value': b64('one'), 'mod_revision': '7'}
STORED = StoredValue('é/1', b'one', 7)


@pytest.fixture
async def gateway(aiohttp_server):
    """Serve one canned answer; returns the store and the calls received."""
    received = []
    canned = {'status': 200, 'body': {}, 'wait_s': 0}

    async def handle(request):
        received.append((request.path, await request.json()))
        await asyncio.sleep(canned['wait_s'])
        if canned['body'] is None:
            request.transport.close()
        return web.json_response(canned['body'], status=canned['status'])

    app = web.Application()
    app.router.add_post('/v3/{rest:.*}', handle)
    server = await aiohttp_server(app)
    settings = PlatformSettings(
        store_url=str(server.make_url('/')),
        vm_list_url='http://127.0.0.1:1/vms',
        store_timeout_ms=300,
    )
    async with ClientSession() as session:
        yield EtcdStore(session, settings), received, canned, server


async def test_a_read_asks_for_newer_only(gateway):
    store, received, canned, _ = gateway
    canned['body'] = {'header': {'revision': '9'}, 'kvs': [KEY_VALUE]}
    scan = await store.read('é/1', newer_than=6)
    assert scan.found == (STORED,)
    assert scan.store_revision == 9
    sent = {'key': b64('é/1'), 'min_mod_revision': '7'}
    assert received == [('/v3/kv/range', sent)]
    assert store.calls == 1


async def test_a_scan_ends_after_its_prefix(gateway):
    store, received, canned, _ = gateway
    canned['body'] = {'header': {'revision': '9'}}
    assert (await store.scan('a/')).found == ()
    sent = {'key': b64('a/'), 'range_end': b64('a0')}
    assert received == [('/v3/kv/range', sent)]


async def test_a_write_is_one_transaction(gateway):
    store, received, canned, _ = gateway
    canned['body'] = {'header': {'revision': '9'}, 'succeeded': True}
    answer = await store.write(Write('a', b'x', 4, 12), Write('b', None, 5))
    assert (answer.written, answer.store_revision) == (True, 9)
    ((path, sent),) = received
    assert path == '/v3/kv/txn'
    assert [compare['mod_revision'] for compare in sent['compare']] == [
        '4',
        '5',
    ]
    put = {'key': b64('a'), 'value': b64('x'), 'lease': '12'}
    assert sent['success'] == [
        {'request_put': put},
        {'request_delete_range': {'key': b64('b')}},
    ]


async def test_a_failed_compare_shows_what_stands(gateway):
    store, _, canned, _ = gateway
    step = {'response_range': {'kvs': [KEY_VALUE]}}
    canned['body'] = {'header': {'revision': '9'}, 'responses': [step]}
    answer = await store.write(Write('é/1', b'x', 0))
    assert not answer.written
    assert answer.current == (STORED,)


async def test_leases(gateway):
    store, received, canned, _ = gateway
    canned['body'] = {'ID': '9007199254740995', 'TTL': '5'}
    lease = await store.grant_lease(5)
    assert lease == 9007199254740995
    canned['body'] = {'result': {'ID': str(lease), 'TTL': '4'}}
    assert await store.renew_lease(lease) == 4
    canned['body'] = {'result': {'ID': str(lease)}}
    assert await store.renew_lease(lease) == 0
    canned.update(status=404, body={'error': 'lease not found', 'code': 5})
    await store.revoke_lease(lease)
    assert received[-1] == ('/v3/lease/revoke', {'ID': str(lease)})


@pytest.mark.parametrize(
    'fault',
    [
        {'status': 503},
        {'body': None},
        {'body': {'header': 'x'}},
        {'wait_s': 2},
    ],
)
async def test_a_lost_answer_is_unknown_for_writes_only(gateway, fault):
    store, _, canned, _ = gateway
    canned.update(fault)
    with pytest.raises(StoreOutcomeUnknownError):
        await store.write(Write('a', b'x', 0))
    with pytest.raises(StoreUnavailableError):
        await store.read('a')


@pytest.mark.parametrize('status', [400, 404, 429])
async def test_a_refused_write_had_no_effect(gateway, status):
    store, _, canned, _ = gateway
    canned.update(status=status, body={'error': 'lease not found'})
    with pytest.raises(StoreUnavailableError, match='lease not found'):
        await store.write(Write('a', b'x', 0))


async def test_a_refused_connection_had_no_effect(gateway):
    store, _, _, server = gateway
    await server.close()
    with pytest.raises(StoreUnavailableError, match='not sent'):
        await store.write(Write('a', b'x', 0))
