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

LOST = (ClientError, TimeoutError)


class CountingServer:
    """Server that counts what it has done."""

    def __init__(self):
        self.done = 0

        async def work(_request):
            self.done += 1
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
        async with session.post(counting.url) as answer:
            return answer.status, await answer.read()


async def test_no_fault(counting):
    assert await post(counting) == (200, b'x' * 1000)


async def test_down_refuses_connections_and_comes_back(counting):
    await counting.server.apply_faults(Faults(down=True))
    with pytest.raises(ClientConnectorError):
        await post(counting)
    await counting.server.apply_faults(Faults())
    assert (await post(counting))[0] == 200
    assert counting.done == 1


@pytest.mark.parametrize(
    ('faults', 'done'),
    [
        (Faults(effect_without_answer=True), 1),
        (Faults(cut=True), 1),
        (Faults(late_ms=2000), 1),
        (Faults(slow_ms=2000), 0),
        (Faults(frozen=True), 0),
    ],
)
async def test_no_whole_answer(counting, faults, done):
    await counting.server.apply_faults(faults)
    with pytest.raises(LOST):
        await post(counting)
    assert counting.done == done


async def test_cut_sends_half(counting):
    await counting.server.apply_faults(Faults(cut=True))
    received = bytearray()
    with pytest.raises(ClientPayloadError):
        async with new_short_timeout_session() as session:
            async with session.post(counting.url) as answer:
                async for chunk in answer.content.iter_any():
                    received.extend(chunk)
    assert len(received) == 500


async def test_fails_everything(counting):
    await counting.server.apply_faults(Faults(fails_everything=True))
    assert (await post(counting))[0] == 500
    assert counting.done == 0


async def test_old_connections_go_silent_and_new_ones_work(counting):
    async with new_short_timeout_session() as session:
        async with session.post(counting.url) as answer:
            await answer.read()
        await counting.server.apply_faults(Faults(silence_connections=True))
        with pytest.raises(TimeoutError):
            await session.post(counting.url)
    assert (await post(counting))[0] == 200
    assert counting.done == 2


async def test_other_paths_are_spared(counting):
    await counting.server.apply_faults(
        Faults(frozen=True, path_prefix='/other')
    )
    assert (await post(counting))[0] == 200


async def test_slow_answer_arrives(counting):
    await counting.server.apply_faults(Faults(slow_ms=100))
    before_s = time.monotonic()
    assert (await post(counting))[0] == 200
    assert time.monotonic() - before_s >= 0.1
    await asyncio.sleep(0)
