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


def encode_base64(text):
    return base64.b64encode(text.encode()).decode()


KEY_VALUE = {
    'key': encode_base64('é/1'),
    'value': encode_base64('one'),
    'mod_revision': '7',
}
STORED = StoredValue('é/1', b'one', 7)


@pytest.fixture
async def gateway(aiohttp_server):
    """Yield a store, the calls received, the canned response and the server."""
    received = []
    canned_response = {'status': 200, 'body': {}, 'wait_s': 0}

    async def handle(request):
        received.append((request.path, await request.json()))
        await asyncio.sleep(canned_response['wait_s'])
        if canned_response['body'] is None:
            request.transport.close()
        return web.json_response(
            canned_response['body'], status=canned_response['status']
        )

    app = web.Application()
    app.router.add_post('/v3/{rest:.*}', handle)
    server = await aiohttp_server(app)
    settings = PlatformSettings(
        store_url=str(server.make_url('/')),
        vm_list_url='http://127.0.0.1:1/vms',
        store_timeout_ms=300,
    )
    async with ClientSession() as session:
        yield EtcdStore(session, settings), received, canned_response, server


async def test_read_requests_only_newer_values(gateway):
    store, received, canned_response, _ = gateway
    canned_response['body'] = {'header': {'revision': '9'}, 'kvs': [KEY_VALUE]}
    scan = await store.read('é/1', newer_than=6)
    assert scan.found == (STORED,)
    assert scan.store_revision == 9
    sent = {'key': encode_base64('é/1'), 'min_mod_revision': '7'}
    assert received == [('/v3/kv/range', sent)]
    assert store.calls == 1


async def test_scan_range_ends_after_its_prefix(gateway):
    store, received, canned_response, _ = gateway
    canned_response['body'] = {'header': {'revision': '9'}}
    assert (await store.scan('a/')).found == ()
    sent = {'key': encode_base64('a/'), 'range_end': encode_base64('a0')}
    assert received == [('/v3/kv/range', sent)]


async def test_writes_are_sent_as_one_transaction(gateway):
    store, received, canned_response, _ = gateway
    canned_response['body'] = {'header': {'revision': '9'}, 'succeeded': True}
    response = await store.write(Write('a', b'x', 4, 12), Write('b', None, 5))
    assert (response.written, response.store_revision) == (True, 9)
    ((path, sent),) = received
    assert path == '/v3/kv/txn'
    assert [compare['mod_revision'] for compare in sent['compare']] == [
        '4',
        '5',
    ]
    put = {
        'key': encode_base64('a'),
        'value': encode_base64('x'),
        'lease': '12',
    }
    assert sent['success'] == [
        {'request_put': put},
        {'request_delete_range': {'key': encode_base64('b')}},
    ]


async def test_failed_compare_returns_the_current_values(gateway):
    store, _, canned_response, _ = gateway
    operation = {'response_range': {'kvs': [KEY_VALUE]}}
    canned_response['body'] = {
        'header': {'revision': '9'},
        'responses': [operation],
    }
    response = await store.write(Write('é/1', b'x', 0))
    assert not response.written
    assert response.current == (STORED,)


async def test_lease_calls(gateway):
    store, received, canned_response, _ = gateway
    canned_response['body'] = {'ID': '9007199254740995', 'TTL': '5'}
    lease = await store.grant_lease(5)
    assert lease == 9007199254740995
    canned_response['body'] = {'result': {'ID': str(lease), 'TTL': '4'}}
    assert await store.renew_lease(lease) == 4
    canned_response['body'] = {'result': {'ID': str(lease)}}
    assert await store.renew_lease(lease) == 0
    canned_response.update(
        status=404, body={'error': 'lease not found', 'code': 5}
    )
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
async def test_lost_response_leaves_only_writes_unknown(gateway, fault):
    store, _, canned_response, _ = gateway
    canned_response.update(fault)
    with pytest.raises(StoreOutcomeUnknownError):
        await store.write(Write('a', b'x', 0))
    with pytest.raises(StoreUnavailableError):
        await store.read('a')


@pytest.mark.parametrize('status', [400, 404, 429])
async def test_rejected_write_has_no_effect(gateway, status):
    store, _, canned_response, _ = gateway
    canned_response.update(status=status, body={'error': 'lease not found'})
    with pytest.raises(StoreUnavailableError, match='lease not found'):
        await store.write(Write('a', b'x', 0))


async def test_refused_connection_has_no_effect(gateway):
    store, _, _, server = gateway
    await server.close()
    with pytest.raises(StoreUnavailableError, match='not sent'):
        await store.write(Write('a', b'x', 0))
