import asyncio
import time

import pytest
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    web,
)

from dev.standins.faults import Faults
from tests.standin_tools import new_server, new_short_timeout_session

RESPONSE_LOST_ERRORS = (ClientError, TimeoutError)


class CountingServer:
    """Server that counts the requests that it has handled."""

    def __init__(self):
        self.handled = 0

        async def work(_request):
            self.handled += 1
            return web.Response(body=b'x' * 1000)

        server, url = new_server([web.post('/work', work)])
        self.server = server
        self.url = f'{url}/work'


@pytest.fixture
async def counting():
    fixture = CountingServer()
    await fixture.server.start()
    yield fixture
    await fixture.server.stop()


async def post(counting):
    async with new_short_timeout_session() as session:
        async with session.post(counting.url) as response:
            return response.status, await response.read()


async def test_no_fault(counting):
    assert await post(counting) == (200, b'x' * 1000)


async def test_down_refuses_connections_and_recovers(counting):
    await counting.server.apply_faults(Faults(down=True))
    with pytest.raises(ClientConnectorError):
        await post(counting)
    await counting.server.apply_faults(Faults())
    assert (await post(counting))[0] == 200
    assert counting.handled == 1


@pytest.mark.parametrize(
    ('faults', 'handled'),
    [
        (Faults(effect_without_answer=True), 1),
        (Faults(cut=True), 1),
        (Faults(late_ms=2000), 1),
        (Faults(slow_ms=2000), 0),
        (Faults(frozen=True), 0),
    ],
)
async def test_fault_prevents_a_complete_response(counting, faults, handled):
    await counting.server.apply_faults(faults)
    with pytest.raises(RESPONSE_LOST_ERRORS):
        await post(counting)
    assert counting.handled == handled


async def test_cut_sends_half_of_the_body(counting):
    await counting.server.apply_faults(Faults(cut=True))
    received = bytearray()
    with pytest.raises(ClientPayloadError):
        async with new_short_timeout_session() as session:
            async with session.post(counting.url) as response:
                async for chunk in response.content.iter_any():
                    received.extend(chunk)
    assert len(received) == 500


async def test_fails_everything(counting):
    await counting.server.apply_faults(Faults(fails_everything=True))
    assert (await post(counting))[0] == 500
    assert counting.handled == 0


async def test_open_connections_are_silenced_and_new_ones_work(counting):
    async with new_short_timeout_session() as session:
        async with session.post(counting.url) as response:
            await response.read()
        await counting.server.apply_faults(Faults(silence_connections=True))
        with pytest.raises(TimeoutError):
            await session.post(counting.url)
    assert (await post(counting))[0] == 200
    assert counting.handled == 2


async def test_other_paths_are_unaffected(counting):
    await counting.server.apply_faults(
        Faults(frozen=True, path_prefix='/other')
    )
    assert (await post(counting))[0] == 200


async def test_delayed_response_arrives(counting):
    await counting.server.apply_faults(Faults(slow_ms=100))
    started_s = time.monotonic()
    assert (await post(counting))[0] == 200
    assert time.monotonic() - started_s >= 0.1
    await asyncio.sleep(0)
