import asyncio

import aiohttp
import msgspec
import pytest

from bulrushcove.clock import ManualClock, SystemClock
from dev.standins import kv_messages as messages
from dev.standins import kv_service as service
from dev.standins.kv_state import KvState
from dev.standins.platform import KvServer
from tests.standin_tools import encode_key, new_server


def put(key: str, value: str, lease: int = 0) -> messages.Operation:
    return messages.Operation(
        request_put=messages.PutRequest(
            key=key.encode(), value=value.encode(), lease=lease
        )
    )


def txn(*success: messages.Operation, **compare) -> messages.TxnRequest:
    compares = (messages.Compare(**compare),) if compare else ()
    return messages.TxnRequest(compare=compares, success=success)


def keys_of(state: KvState, **request) -> list[bytes]:
    response = service.read_range(state, messages.RangeRequest(**request))
    return [stored.key for stored in response.kvs]


def test_compare_and_swap_on_mod_revision():
    state = KvState(ManualClock())
    created = service.apply_txn(
        state,
        txn(put('k', 'a'), key=b'k', target=messages.CompareTarget.MOD),
    )
    assert created.succeeded
    revision = int(created.header.revision)
    assert state.find(b'k').mod_revision == revision
    repeated = service.apply_txn(
        state,
        txn(put('k', 'b'), key=b'k', target=messages.CompareTarget.MOD),
    )
    assert not repeated.succeeded
    assert state.find(b'k').value == b'a'
    swapped = service.apply_txn(
        state,
        txn(
            put('k', 'c'),
            key=b'k',
            target=messages.CompareTarget.MOD,
            mod_revision=str(revision),
        ),
    )
    assert swapped.succeeded
    assert state.find(b'k').version == 2


@pytest.mark.parametrize(
    ('target', 'result', 'field', 'number', 'expected'),
    [
        ('CREATE', 'EQUAL', 'create_revision', 2, True),
        ('CREATE', 'LESS', 'create_revision', 2, False),
        ('VERSION', 'GREATER', 'version', 0, True),
        ('VERSION', 'NOT_EQUAL', 'version', 1, False),
        ('VALUE', 'EQUAL', 'value', b'a', True),
        ('VALUE', 'EQUAL', 'value', b'b', False),
    ],
)
def test_compare_targets(target, result, field, number, expected):
    state = KvState(ManualClock())
    service.apply_txn(state, txn(put('k', 'a')))
    compare = messages.Compare(
        key=b'k',
        target=messages.CompareTarget(target),
        result=messages.CompareResult(result),
        **{field: number},
    )
    response = service.apply_txn(state, messages.TxnRequest(compare=(compare,)))
    assert response.succeeded is expected


def test_range_by_prefix_limit_and_revision():
    state = KvState(ManualClock())
    for key in ('a/1', 'a/2', 'b/1'):
        service.apply_txn(state, txn(put(key, 'x')))
    assert keys_of(state, key=b'a/', range_end=b'a0') == [b'a/1', b'a/2']
    assert keys_of(state, key=b'a/', range_end=b'a0', limit=1) == [b'a/1']
    newest = str(state.revision)
    assert keys_of(
        state, key=b'a', range_end=b'c', min_mod_revision=newest
    ) == [b'b/1']


def test_transaction_with_an_unknown_lease_has_no_effect():
    state = KvState(ManualClock())
    with pytest.raises(service.KvRequestError):
        service.apply_txn(state, txn(put('a', 'x'), put('b', 'x', lease=9)))
    assert state.find(b'a') is None
    assert state.revision == 1


def test_expired_lease_deletes_its_keys():
    clock = ManualClock()
    state = KvState(clock)
    lease = state.grant(5).lease
    service.apply_txn(state, txn(put('k', 'a', lease=lease)))
    clock.advance(4)
    state.expire()
    assert state.renew(lease) == 5
    clock.advance(4.9)
    state.expire()
    assert state.find(b'k') is not None
    clock.advance(0.2)
    state.expire()
    assert state.find(b'k') is None
    assert state.renew(lease) == 0


async def test_gateway_format_watch_and_counts():
    kv = KvServer(KvState(SystemClock()))
    server, url = new_server(kv.routes())
    await server.start()
    async with aiohttp.ClientSession() as session:
        watch = await session.post(
            f'{url}/v3/watch',
            json={'create_request': {'key': encode_key('k')}},
        )
        created = await watch.content.readline()
        assert msgspec.json.decode(created)['result']['created']
        operation = {
            'request_put': {'key': encode_key('k'), 'value': encode_key('v')}
        }
        async with session.post(
            f'{url}/v3/kv/txn', json={'success': [operation]}
        ) as response:
            written = await response.json()
        assert written['succeeded'] is True
        assert written['header']['revision'] == '2'
        event = msgspec.json.decode(await watch.content.readline())
        (change,) = event['result']['events']
        assert change['kv']['value'] == encode_key('v')
        async with session.get(f'{url}/stats') as response:
            stats = await response.json()
        assert stats == {
            'calls': {'txn': 1, 'watch': 1},
            'waiting_watches': 1,
        }
        watch.close()
        await asyncio.sleep(0)
    await server.stop()


async def test_gateway_errors_have_status_codes():
    kv = KvServer(KvState(SystemClock()))
    server, url = new_server(kv.routes())
    await server.start()
    async with aiohttp.ClientSession() as session:
        async with session.post(
            f'{url}/v3/lease/revoke', json={'ID': '77'}
        ) as response:
            assert response.status == 404
            assert (await response.json())['code'] == 5
        async with session.post(
            f'{url}/v3/kv/range', data=b'{"key": 5}'
        ) as response:
            assert response.status == 400
        async with session.post(
            f'{url}/v3/lease/keepalive', json={'ID': 77}
        ) as response:
            assert 'TTL' not in (await response.json())['result']
    await server.stop()
