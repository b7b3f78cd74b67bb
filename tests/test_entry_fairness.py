import asyncio

import pytest

from tests.entry_fakes import (
    TOKENS,
    EntryBench,
    FakeBackend,
    echo,
    request_headers,
)

URL = '/v1/requests'
SERVICE_S = 0.02
SLOTS = 8
BURST = 150


async def slow_echo(backend, request):
    await asyncio.sleep(SERVICE_S)
    return await echo(backend, request)


async def _send(client, request, organisation):
    headers = request_headers(request, Authorization=TOKENS[organisation])
    response = await client.post(URL, data=b'x', headers=headers)
    await response.read()
    assert response.status == 200


@pytest.fixture
async def client(aiohttp_server, aiohttp_client):
    backend = FakeBackend('b1')
    backend.handler = slow_echo
    backend.port = (await aiohttp_server(backend.application())).port
    bench = EntryBench(backend, max_in_progress=64, max_queued=1000)
    started_client = await aiohttp_client(bench.application())
    started_client.bench = bench
    return started_client


async def _count_overtaking(client):
    """Return how many requests of a burst end during a small one, at most.

    Counted and not timed, so that it does not depend on the machine's load.
    """
    burst = [
        asyncio.create_task(_send(client, f'l{number}', 'litoral'))
        for number in range(BURST)
    ]
    await asyncio.sleep(0.1)
    counts = []
    for number in range(5):
        ended_before = sum(task.done() for task in burst)
        await _send(client, f's{number}', 'parlstugan')
        counts.append(sum(task.done() for task in burst) - ended_before)
    await asyncio.gather(*burst)
    return max(counts)


async def test_burst_does_not_delay_another_organisation(client):
    assert await _count_overtaking(client) < BURST / 2


async def test_first_come_first_served_delays_another_organisation(client):
    admission = client.bench.admission

    def oldest_tenant():
        queued = [
            tenant for tenant in admission._tenants.values() if tenant.queued
        ]
        return min(queued, key=_oldest_deadline, default=None)

    admission._next_tenant = oldest_tenant
    assert await _count_overtaking(client) > BURST / 2


def _oldest_deadline(tenant):
    return tenant.normal_queue[0].deadline_s
