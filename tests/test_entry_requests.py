import asyncio

import aiohttp
import pytest
from aiohttp import web

from bulrushcove.configuration import empty_configuration
from tests.entry_fakes import (
    EntryBench,
    FakeBackend,
    backend_vm,
    busy,
    disconnect_after_reading,
    draining,
    request_headers,
    truncate,
    unresponsive,
)

DEADLINE = 'X-Bulrushcove-Deadline-Ms'
IDEMPOTENT = 'X-Bulrushcove-Idempotent'
OUTCOME = 'X-Bulrushcove-Outcome'
ATTEMPTS = 'X-Bulrushcove-Attempts'
URL = '/v1/requests'


@pytest.fixture
async def start(aiohttp_server, aiohttp_client):
    async def started(*backends, **limits):
        for backend in backends:
            server = await aiohttp_server(backend.application())
            backend.port = server.port
        bench = EntryBench(*backends, **limits)
        client = await aiohttp_client(bench.application())
        client.bench = bench
        return client

    return started


async def test_complete_response_is_forwarded(start):
    backend = FakeBackend('b1')
    client = await start(backend)
    response = await client.post(
        URL, data=b'solids', headers=request_headers('r-7')
    )
    assert (response.status, await response.read()) == (
        200,
        b'answer to solids',
    )
    assert (response.headers[OUTCOME], response.headers[ATTEMPTS]) == (
        'ran',
        '1',
    )
    assert backend.run_ids == ['r-7']
    assert backend.received_headers[0]['X-Organisation'] == 'litoral'


async def test_large_body_and_response_are_streamed(start):
    client = await start(FakeBackend('b1'))
    body = b'p' * 900_000
    response = await client.post(URL, data=body, headers=request_headers())
    assert await response.read() == b'answer to ' + body


@pytest.mark.parametrize('handler', [busy, draining])
@pytest.mark.parametrize('idempotent', ['true', 'false'])
async def test_rejected_request_is_retried_on_another_server(
    start, handler, idempotent
):
    first, second = FakeBackend('b1'), FakeBackend('b2')
    client = await start(first, second)
    first.handler = handler
    for number in range(4):
        response = await client.post(
            URL,
            data=b'x',
            headers=request_headers(f'r{number}', **{IDEMPOTENT: idempotent}),
        )
        assert response.status == 200
    assert second.run_ids == ['r0', 'r1', 'r2', 'r3']
    if handler is draining:
        assert len(first.received_headers) <= 1


async def test_refused_connection_is_retried_on_another_server(start):
    stopped, alive = FakeBackend('b1'), FakeBackend('b2')
    client = await start(alive)
    stopped.port = 1
    client.bench.router.update(
        [backend_vm(stopped), backend_vm(alive)],
    )
    for number in range(4):
        response = await client.post(
            URL,
            data=b'x',
            headers=request_headers(f'r{number}', **{IDEMPOTENT: 'false'}),
        )
        assert response.status == 200


async def test_disconnect_after_reading_is_unknown_if_not_idempotent(start):
    first, second = FakeBackend('b1'), FakeBackend('b2')
    first.handler = disconnect_after_reading
    second.handler = disconnect_after_reading
    client = await start(first, second)
    response = await client.post(
        URL, data=b'x', headers=request_headers(**{IDEMPOTENT: 'false'})
    )
    assert (response.status, response.headers[OUTCOME]) == (502, 'unknown')
    assert first.run_ids + second.run_ids == ['r1']


async def test_disconnect_after_reading_is_retried_if_idempotent(start):
    first, second = FakeBackend('b1'), FakeBackend('b2')
    first.handler = disconnect_after_reading
    client = await start(first, second)
    for _ in range(5):
        response = await client.post(URL, data=b'x', headers=request_headers())
        assert response.status == 200
    assert first.run_ids


async def test_no_response_until_the_deadline_is_unknown(start):
    backend = FakeBackend('b1')
    backend.handler = unresponsive
    client = await start(backend)
    response = await client.post(
        URL,
        data=b'x',
        headers=request_headers(**{DEADLINE: '200', IDEMPOTENT: 'false'}),
    )
    assert (response.status, response.headers[OUTCOME]) == (504, 'unknown')


async def test_busy_servers_until_the_deadline_is_not_run(start):
    backend = FakeBackend('b1')
    backend.handler = busy
    client = await start(backend)
    response = await client.post(
        URL, data=b'x', headers=request_headers(**{DEADLINE: '200'})
    )
    assert response.headers[OUTCOME] == 'not-run'
    assert (await response.json())['outcome'] == 'not-run'


async def test_truncated_response_is_an_error_for_the_caller(start):
    backend = FakeBackend('b1')
    backend.handler = truncate
    client = await start(backend)
    with pytest.raises(aiohttp.ClientError):
        async with client.post(
            URL, data=b'x', headers=request_headers()
        ) as response:
            await response.read()


@pytest.mark.parametrize(
    ('changes', 'status', 'field'),
    [
        ({'Authorization': 'Bearer wrong'}, 401, 'Authorization'),
        ({'Authorization': ''}, 401, 'Authorization'),
        ({'Authorization': 'Bearer \udcff'}, 401, 'Authorization'),
        ({'X-Bulrushcove-Urgency': '\udcff'}, 400, 'X-Bulrushcove-Urgency'),
        ({DEADLINE: '0'}, 400, DEADLINE),
        ({DEADLINE: '-5'}, 400, DEADLINE),
        ({DEADLINE: '60001'}, 400, DEADLINE),
        ({DEADLINE: 'soon'}, 400, DEADLINE),
        ({IDEMPOTENT: 'maybe'}, 400, IDEMPOTENT),
        ({'X-Bulrushcove-Idempotnet': 'true'}, 400, 'X-Bulrushcove-Idempotnet'),
        ({'X-Bulrushcove-Urgency': 'now'}, 400, 'X-Bulrushcove-Urgency'),
        ({'X-Bulrushcove-Request': 'a b'}, 400, 'X-Bulrushcove-Request'),
        ({'X-Bulrushcove-Request': ''}, 400, 'X-Bulrushcove-Request'),
    ],
)
async def test_error_names_the_invalid_header(start, changes, status, field):
    backend = FakeBackend('b1')
    client = await start(backend)
    response = await client.post(
        URL, data=b'x', headers=request_headers(**changes)
    )
    body = await response.json()
    assert (response.status, body['field']) == (status, field)
    assert (body['outcome'], body['limit'] != '') == ('not-run', True)
    assert backend.received_headers == []


async def test_missing_configuration_is_reported(start):
    client = await start(FakeBackend('b1'))
    client.bench.configuration = empty_configuration()
    response = await client.post(URL, data=b'x', headers=request_headers())
    body = await response.json()
    assert (response.status, body['outcome']) == (503, 'not-run')
    assert 'no configuration' in body['message']


async def _chunks(size):
    for _ in range(size // 1000):
        yield b'c' * 1000


@pytest.mark.parametrize('chunked', [True, False])
async def test_body_over_the_limit_is_refused(start, chunked):
    backend = FakeBackend('b1')
    client = await start(backend)
    size = 1_001_000
    body = _chunks(size) if chunked else b'c' * size
    response = await client.post(URL, data=body, headers=request_headers())
    assert response.status == 413
    assert 'bytes' in (await response.json())['limit']
    assert backend.received_headers == []


async def test_requests_over_the_queue_limit_are_refused(start):
    backend = FakeBackend('b1')
    backend.handler = unresponsive
    client = await start(backend, max_in_progress=1, max_queued=1)

    def post(number, deadline_ms):
        headers = request_headers(f'r{number}', **{DEADLINE: deadline_ms})
        return asyncio.create_task(client.post(URL, data=b'x', headers=headers))

    # The first holds the backend server until after the others' deadline.
    posts = [post(0, '2000')]
    async with asyncio.timeout(5):
        while not backend.run_ids:
            await asyncio.sleep(0.01)
    posts.extend(post(number, '1000') for number in range(1, 4))
    responses = await asyncio.gather(*posts)
    outcomes = sorted(response.headers[OUTCOME] for response in responses)
    assert outcomes == ['not-run', 'not-run', 'not-run', 'unknown']
    assert sum(response.status == 429 for response in responses) == 2
    # The unanswered request may be sent again; the refused ones never ran.
    assert len(set(backend.run_ids)) == 1


async def test_redirect_is_forwarded_and_not_followed(start):
    async def redirect(backend, request):
        backend.run_ids.append(request.headers['X-Request-Id'])
        return web.Response(status=307, headers={'Location': '/v1/run'})

    backend = FakeBackend('b1')
    backend.handler = redirect
    client = await start(backend)
    response = await client.post(
        URL, data=b'x', headers=request_headers(), allow_redirects=False
    )
    assert (response.status, backend.run_ids) == (307, ['r1'])


async def test_incomplete_body_times_out_as_not_run(start):
    async def stalled_body():
        yield b'part'
        await asyncio.sleep(3)

    backend = FakeBackend('b1')
    client = await start(backend)
    response = await client.post(
        URL, data=stalled_body(), headers=request_headers(**{DEADLINE: '200'})
    )
    assert (response.status, response.headers[OUTCOME]) == (408, 'not-run')
    assert backend.received_headers == []


async def test_stalled_response_is_aborted_at_the_deadline(start):
    async def stalled_response(backend, request):
        await request.read()
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b'x' * 1_000_000)
        await asyncio.sleep(3)
        return response

    backend = FakeBackend('b1')
    backend.handler = stalled_response
    client = await start(backend)
    with pytest.raises(aiohttp.ClientError):
        async with client.post(
            URL, data=b'x', headers=request_headers(**{DEADLINE: '400'})
        ) as response:
            await response.read()
