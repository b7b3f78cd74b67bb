import asyncio
import time

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


async def _completion_s(client, request, organisation):
    started_s = time.monotonic()
    headers = request_headers(request, Authorization=TOKENS[organisation])
    response = await client.post(URL, data=b'x', headers=headers)
    await response.read()
    assert response.status == 200
    return time.monotonic() - started_s


@pytest.fixture
async def client(aiohttp_server, aiohttp_client):
    backend = FakeBackend('b1')
    backend.handler = slow_echo
    backend.port = (await aiohttp_server(backend.application())).port
    bench = EntryBench(backend, max_in_progress=64, max_queued=1000)
    started_client = await aiohttp_client(bench.application())
    started_client.bench = bench
    return started_client


async def _time_small_and_burst(client):
    """Return the longest time of the small organisation and of the burst."""
    burst = [
        asyncio.create_task(_completion_s(client, f'l{number}', 'litoral'))
        for number in range(BURST)
    ]
    await asyncio.sleep(0.1)
    small = [
        await _completion_s(client, f's{number}', 'parlstugan')
        for number in range(5)
    ]
    return max(small), max(await asyncio.gather(*burst))


async def test_burst_does_not_delay_another_organisation(client):
    worst_s, burst_s = await _time_small_and_burst(client)
    assert worst_s < burst_s / 2


async def test_first_come_first_served_delays_another_organisation(client):
    admission = client.bench.admission

    def oldest_tenant():
        queued = [
            tenant for tenant in admission._tenants.values() if tenant.queued
        ]
        return min(queued, key=_oldest_deadline, default=None)

    admission._next_tenant = oldest_tenant
    worst_s, burst_s = await _time_small_and_burst(client)
    assert worst_s > burst_s / 2


def _oldest_deadline(tenant):
    return tenant.normal_queue[0].deadline_s
