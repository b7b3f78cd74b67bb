import asyncio

import pytest

from bulrushcove.claims import Claim, ClaimStatus, Decision
from tests.entry_fakes import (
    EntryBench,
    FakeBackend,
    busy,
    die_after_reading,
    head,
    silent,
)
from tests.fake_store import FakeStore

URL = '/v1/requests'
OUTCOME = 'X-Bulrushcove-Outcome'
DEADLINE = 'X-Bulrushcove-Deadline-Ms'
ONCE = {'X-Bulrushcove-Idempotent': 'false'}


class Pair:
    """Two entries over one store and one backend server."""

    def __init__(self, backend, store, benches, clients):
        self.backend = backend
        self.store = store
        self.benches = benches
        self.clients = clients

    async def post(self, entry=0, request='r1', body=b'cup', **more):
        answer = await self.clients[entry].post(
            URL, data=body, headers=head(request, **ONCE, **more)
        )
        return answer.headers[OUTCOME], answer.status, await answer.read()


@pytest.fixture
async def pair(aiohttp_server, aiohttp_client):
    backend = FakeBackend('b1')
    backend.port = (await aiohttp_server(backend.application())).port
    store = FakeStore()
    benches = [
        EntryBench(backend, name=name, store=store) for name in ('e1', 'e2')
    ]
    clients = [await aiohttp_client(one.application()) for one in benches]
    return Pair(backend, store, benches, clients)


async def _always_granted(key, _body_sha256):
    return Decision(Claim(key, None), ClaimStatus.GRANTED)


async def _retried_elsewhere(pair):
    """The first entry never tells an answer; the caller asks another."""
    pair.backend.behave = die_after_reading
    first = await pair.post(0)
    second = await pair.post(1)
    return first[0], second[0], pair.backend.ran


async def test_retry_on_another_entry_never_runs(pair):
    outcomes = await _retried_elsewhere(pair)
    assert outcomes == ('unknown', 'unknown', ['r1'])


async def test_control_without_claims_runs_twice(pair):
    for bench in pair.benches:
        bench.claims.claim = _always_granted
    outcomes = await _retried_elsewhere(pair)
    assert outcomes[2] == ['r1', 'r1']


async def test_retry_after_the_death_of_the_entry(pair):
    assert (await pair.post(0))[0] == 'ran'
    await pair.clients[0].close()
    assert (await pair.post(1))[:2] == ('unknown', 409)
    assert pair.backend.ran == ['r1']


async def test_retry_on_the_same_entry_gets_the_kept_answer(pair):
    first = await pair.post()
    assert await pair.post() == first
    assert first == ('ran', 200, b'answer to cup')
    assert pair.backend.ran == ['r1']


async def test_duplicates_in_parallel_share_one_run(pair):
    answers = await asyncio.gather(*(pair.post() for _ in range(5)))
    assert set(answers) == {('ran', 200, b'answer to cup')}
    assert pair.backend.ran == ['r1']


@pytest.mark.parametrize('entry', [0, 1])
async def test_id_reused_with_another_body(pair, entry):
    await pair.post(0)
    answer = await pair.post(entry, body=b'other')
    assert answer[:2] == ('not-run', 409)
    assert pair.backend.ran == ['r1']


async def test_idempotent_id_reused_with_another_body(pair):
    client = pair.clients[0]
    statuses = []
    for body in (b'cup', b'cup', b'other'):
        answer = await client.post(URL, data=body, headers=head())
        statuses.append(answer.status)
    assert statuses == [200, 200, 409]


async def test_not_run_can_be_retried_anywhere(pair):
    pair.backend.behave = busy
    assert (await pair.post(0, **{DEADLINE: '100'}))[0] == 'not-run'
    pair.backend.behave = FakeBackend('b').behave
    await asyncio.sleep(0.1)
    assert (await pair.post(1))[0] == 'ran'
    assert (await pair.post(0))[:2] == ('unknown', 409)
    assert pair.backend.ran == ['r1']


async def test_platform_outage_refuses_only_what_needs_a_claim(pair):
    pair.store.down = True
    assert (await pair.post(0))[:2] == ('not-run', 503)
    assert pair.backend.heads == []
    answer = await pair.clients[0].post(URL, data=b'x', headers=head('r2'))
    assert answer.status == 200
    pair.store.down = False
    assert (await pair.post(1))[0] == 'ran'


async def test_slow_platform_ends_at_the_deadline_as_not_run(pair):
    pair.store.delay_s = 1
    assert (await pair.post(0, **{DEADLINE: '100'}))[:2] == ('not-run', 504)
    assert pair.backend.heads == []


async def test_silent_connection_runs_once(pair):
    pair.backend.behave = silent
    answers = await asyncio.gather(
        pair.post(0, **{DEADLINE: '1500'}),
        pair.post(1, **{DEADLINE: '1500'}),
    )
    assert {outcome for outcome, _, _ in answers} == {'unknown'}
    assert pair.backend.ran == ['r1']


async def test_two_organisations_share_no_request_ids(pair):
    await pair.post(0)
    answer = await pair.clients[1].post(
        URL,
        data=b'other',
        headers=head(**ONCE, Authorization='Bearer pearls'),
    )
    assert answer.status == 200


@pytest.mark.parametrize(
    ('headers', 'outcome'),
    [({}, 'not-run'), ({'X-Bulrushcove-Retry': 'true'}, 'unknown')],
)
async def test_refused_retry_does_not_say_not_run(pair, headers, outcome):
    await pair.post(0)
    pair.store.down = True
    answer = await pair.post(1, **headers)
    assert answer[:2] == (outcome, 503)
