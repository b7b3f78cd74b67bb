import asyncio

import aiohttp
import pytest

from tests.entry_fakes import (
    EntryBench,
    FakeBackend,
    backend_vm,
    busy,
    cut,
    die_after_reading,
    head,
    leaving,
    silent,
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


async def test_whole_answer_comes_back(start):
    backend = FakeBackend('b1')
    client = await start(backend)
    answer = await client.post(URL, data=b'solids', headers=head('r-7'))
    assert (answer.status, await answer.read()) == (200, b'answer to solids')
    assert (answer.headers[OUTCOME], answer.headers[ATTEMPTS]) == ('ran', '1')
    assert backend.ran == ['r-7']
    assert backend.heads[0]['X-Organisation'] == 'litoral'


async def test_large_body_and_answer_stream(start):
    client = await start(FakeBackend('b1'))
    body = b'p' * 900_000
    answer = await client.post(URL, data=body, headers=head())
    assert await answer.read() == b'answer to ' + body


@pytest.mark.parametrize('behave', [busy, leaving])
@pytest.mark.parametrize('idempotent', ['true', 'false'])
async def test_true_not_run_goes_to_another_server(start, behave, idempotent):
    first, second = FakeBackend('b1'), FakeBackend('b2')
    client = await start(first, second)
    first.behave = behave
    for number in range(4):
        answer = await client.post(
            URL,
            data=b'x',
            headers=head(f'r{number}', **{IDEMPOTENT: idempotent}),
        )
        assert answer.status == 200
    assert second.ran == ['r0', 'r1', 'r2', 'r3']
    if behave is leaving:
        assert len(first.heads) <= 1


async def test_refused_connection_is_surely_not_run(start):
    gone, alive = FakeBackend('b1'), FakeBackend('b2')
    client = await start(alive)
    gone.port = 1
    client.bench.router.update(
        [backend_vm(gone), backend_vm(alive)],
    )
    for number in range(4):
        answer = await client.post(
            URL, data=b'x', headers=head(f'r{number}', **{IDEMPOTENT: 'false'})
        )
        assert answer.status == 200


async def test_death_after_reading_is_unknown_if_not_idempotent(start):
    first, second = FakeBackend('b1'), FakeBackend('b2')
    first.behave = die_after_reading
    second.behave = die_after_reading
    client = await start(first, second)
    answer = await client.post(
        URL, data=b'x', headers=head(**{IDEMPOTENT: 'false'})
    )
    assert (answer.status, answer.headers[OUTCOME]) == (502, 'unknown')
    assert first.ran + second.ran == ['r1']


async def test_death_after_reading_is_repeated_if_idempotent(start):
    first, second = FakeBackend('b1'), FakeBackend('b2')
    first.behave = die_after_reading
    client = await start(first, second)
    for _ in range(5):
        answer = await client.post(URL, data=b'x', headers=head())
        assert answer.status == 200
    assert first.ran


async def test_silence_up_to_the_deadline_is_unknown(start):
    backend = FakeBackend('b1')
    backend.behave = silent
    client = await start(backend)
    answer = await client.post(
        URL, data=b'x', headers=head(**{DEADLINE: '200', IDEMPOTENT: 'false'})
    )
    assert (answer.status, answer.headers[OUTCOME]) == (504, 'unknown')


async def test_busy_up_to_the_deadline_is_not_run(start):
    backend = FakeBackend('b1')
    backend.behave = busy
    client = await start(backend)
    answer = await client.post(
        URL, data=b'x', headers=head(**{DEADLINE: '200'})
    )
    assert answer.headers[OUTCOME] == 'not-run'
    assert (await answer.json())['outcome'] == 'not-run'


async def test_cut_answer_is_never_a_short_success(start):
    backend = FakeBackend('b1')
    backend.behave = cut
    client = await start(backend)
    with pytest.raises(aiohttp.ClientError):
        async with client.post(URL, data=b'x', headers=head()) as answer:
            await answer.read()


@pytest.mark.parametrize(
    ('changes', 'status', 'field'),
    [
        ({'Authorization': 'Bearer wrong'}, 401, 'Authorization'),
        ({'Authorization': ''}, 401, 'Authorization'),
        ({DEADLINE: '0'}, 400, DEADLINE),
        ({DEADLINE: '-5'}, 400, DEADLINE),
        ({DEADLINE: '60001'}, 400, DEADLINE),
        ({DEADLINE: 'soon'}, 400, DEADLINE),
        ({IDEMPOTENT: 'maybe'}, 400, IDEMPOTENT),
        ({'X-Bulrushcove-Urgency': 'now'}, 400, 'X-Bulrushcove-Urgency'),
        ({'X-Bulrushcove-Request': 'a b'}, 400, 'X-Bulrushcove-Request'),
        ({'X-Bulrushcove-Request': ''}, 400, 'X-Bulrushcove-Request'),
    ],
)
async def test_bad_heads_are_named(start, changes, status, field):
    backend = FakeBackend('b1')
    client = await start(backend)
    answer = await client.post(URL, data=b'x', headers=head(**changes))
    body = await answer.json()
    assert (answer.status, body['field']) == (status, field)
    assert (body['outcome'], body['limit'] != '') == ('not-run', True)
    assert backend.heads == []


async def _chunks(size):
    for _ in range(size // 1000):
        yield b'c' * 1000


@pytest.mark.parametrize('chunked', [True, False])
async def test_body_over_the_limit(start, chunked):
    backend = FakeBackend('b1')
    client = await start(backend)
    size = 1_001_000
    body = _chunks(size) if chunked else b'c' * size
    answer = await client.post(URL, data=body, headers=head())
    assert answer.status == 413
    assert 'bytes' in (await answer.json())['limit']
    assert backend.heads == []


async def test_queue_limit_of_the_contract(start):
    backend = FakeBackend('b1')
    backend.behave = silent
    client = await start(backend, max_in_progress=1, max_queued=1)
    posts = [
        asyncio.create_task(
            client.post(
                URL, data=b'x', headers=head(f'r{number}', **{DEADLINE: '300'})
            )
        )
        for number in range(4)
    ]
    answers = await asyncio.gather(*posts)
    outcomes = sorted(answer.headers[OUTCOME] for answer in answers)
    assert outcomes == ['not-run', 'not-run', 'not-run', 'unknown']
    assert sum(answer.status == 429 for answer in answers) == 2
    # The silent one may go again, the refused ones have not run.
    assert len(set(backend.ran)) == 1
