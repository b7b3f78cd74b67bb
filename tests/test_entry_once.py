import asyncio

import pytest

from bulrushcove.claims import Claim, ClaimStatus, Decision
from tests.entry_fakes import (
    EntryBench,
    FakeBackend,
    busy,
    disconnect_after_reading,
    request_headers,
    unresponsive,
)
from tests.fake_store import FakeStore

URL = '/v1/requests'
OUTCOME = 'X-Bulrushcove-Outcome'
DEADLINE = 'X-Bulrushcove-Deadline-Ms'
NOT_IDEMPOTENT = {'X-Bulrushcove-Idempotent': 'false'}


class EntryPair:
    """Two entry VMs that share a store and a backend server."""

    def __init__(self, backend, store, benches, clients):
        self.backend = backend
        self.store = store
        self.benches = benches
        self.clients = clients

    async def post(self, entry=0, request='r1', body=b'cup', **more):
        response = await self.clients[entry].post(
            URL,
            data=body,
            headers=request_headers(request, **NOT_IDEMPOTENT, **more),
        )
        return response.headers[OUTCOME], response.status, await response.read()


@pytest.fixture
async def pair(aiohttp_server, aiohttp_client):
    backend = FakeBackend('b1')
    backend.port = (await aiohttp_server(backend.application())).port
    store = FakeStore()
    benches = [
        EntryBench(backend, name=name, store=store) for name in ('e1', 'e2')
    ]
    clients = [await aiohttp_client(bench.application()) for bench in benches]
    return EntryPair(backend, store, benches, clients)


async def _always_granted(key, _body_sha256):
    return Decision(Claim(key, None), ClaimStatus.GRANTED)


async def _retry_on_other_entry(pair):
    """Send a request whose response is lost, then retry on the other VM."""
    pair.backend.handler = disconnect_after_reading
    first = await pair.post(0)
    second = await pair.post(1)
    return first[0], second[0], pair.backend.run_ids


async def test_retry_on_another_entry_does_not_run(pair):
    outcomes = await _retry_on_other_entry(pair)
    assert outcomes == ('unknown', 'unknown', ['r1'])


async def test_without_claims_the_retry_runs_again(pair):
    for bench in pair.benches:
        bench.claims.claim = _always_granted
    outcomes = await _retry_on_other_entry(pair)
    assert outcomes[2] == ['r1', 'r1']


async def test_retry_after_the_entry_stopped_does_not_run(pair):
    assert (await pair.post(0))[0] == 'ran'
    await pair.clients[0].close()
    assert (await pair.post(1))[:2] == ('unknown', 409)
    assert pair.backend.run_ids == ['r1']


async def test_retry_on_the_same_entry_gets_the_cached_response(pair):
    first = await pair.post()
    assert await pair.post() == first
    assert first == ('ran', 200, b'answer to cup')
    assert pair.backend.run_ids == ['r1']


async def test_concurrent_duplicates_share_one_run(pair):
    responses = await asyncio.gather(*(pair.post() for _ in range(5)))
    assert set(responses) == {('ran', 200, b'answer to cup')}
    assert pair.backend.run_ids == ['r1']


@pytest.mark.parametrize('entry', [0, 1])
async def test_id_reused_with_another_body_is_refused(pair, entry):
    await pair.post(0)
    response = await pair.post(entry, body=b'other')
    assert response[:2] == ('not-run', 409)
    assert pair.backend.run_ids == ['r1']


async def test_idempotent_id_reused_with_another_body_is_refused(pair):
    client = pair.clients[0]
    statuses = []
    for body in (b'cup', b'cup', b'other'):
        response = await client.post(URL, data=body, headers=request_headers())
        statuses.append(response.status)
    assert statuses == [200, 200, 409]


async def test_request_that_did_not_run_can_be_retried_on_any_entry(pair):
    pair.backend.handler = busy
    assert (await pair.post(0, **{DEADLINE: '100'}))[0] == 'not-run'
    pair.backend.handler = FakeBackend('b').handler
    await asyncio.sleep(0.1)
    assert (await pair.post(1))[0] == 'ran'
    assert (await pair.post(0))[:2] == ('unknown', 409)
    assert pair.backend.run_ids == ['r1']


async def test_store_outage_refuses_only_non_idempotent_requests(pair):
    pair.store.down = True
    assert (await pair.post(0))[:2] == ('not-run', 503)
    assert pair.backend.received_headers == []
    response = await pair.clients[0].post(
        URL, data=b'x', headers=request_headers('r2')
    )
    assert response.status == 200
    pair.store.down = False
    assert (await pair.post(1))[0] == 'ran'


async def test_slow_store_ends_at_the_deadline_as_not_run(pair):
    pair.store.delay_s = 1
    assert (await pair.post(0, **{DEADLINE: '100'}))[:2] == ('not-run', 504)
    assert pair.backend.received_headers == []


async def test_unanswered_request_runs_once(pair):
    pair.backend.handler = unresponsive
    responses = await asyncio.gather(
        pair.post(0, **{DEADLINE: '1500'}),
        pair.post(1, **{DEADLINE: '1500'}),
    )
    assert {outcome for outcome, _, _ in responses} == {'unknown'}
    assert pair.backend.run_ids == ['r1']


async def test_request_ids_are_separate_for_each_organisation(pair):
    await pair.post(0)
    response = await pair.clients[1].post(
        URL,
        data=b'other',
        headers=request_headers(
            **NOT_IDEMPOTENT, Authorization='Bearer pearls'
        ),
    )
    assert response.status == 200


@pytest.mark.parametrize(
    ('headers', 'outcome'),
    [({}, 'not-run'), ({'X-Bulrushcove-Retry': 'true'}, 'unknown')],
)
async def test_refused_retry_has_an_unknown_outcome(pair, headers, outcome):
    await pair.post(0)
    pair.store.down = True
    response = await pair.post(1, **headers)
    assert response[:2] == (outcome, 503)
