"""Connections that reset, do not read or send on, on loopback."""

import asyncio
import contextlib
import socket

import pytest
from aiohttp import web
from test_node_http_ports import (
    CHUNKED,
    MANY,
    Rig,
    get,
    is_closed,
    post,
    read_response,
    serving,
)

from bulrushcove.batch.policy import RequestLimits
from bulrushcove.node.connection_budget import BudgetLimits
from bulrushcove.node.http_ports import start_http_server

WAIT_S = 10
LARGE_TEXT = 'x' * 8_000_000
CHUNK = b'1\r\nx\r\n'
LAST_CHUNK = b'0\r\n\r\n'


class LargeRig(Rig):
    """A server that answers requests of ``/1`` with a large page."""

    async def handle(self, request):
        self.handled.append(request.path)
        is_large = request.path == '/1'
        return web.Response(text=LARGE_TEXT if is_large else 'small')


@contextlib.asynccontextmanager
async def serving_large_pages(budget=MANY):
    rig = LargeRig(budget)
    runner = await start_http_server(rig.address, rig.handle, rig.guard)
    await rig.guard.start()
    try:
        async with asyncio.timeout(WAIT_S):
            yield rig, runner
    finally:
        rig.close()
        await rig.guard.stop()
        await runner.cleanup()


@contextlib.contextmanager
def unread_connection(rig, message):
    """Send ``message`` on a connection whose answers are not read."""
    host, _, port = rig.address.rpartition(':')
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect((host, int(port)))
        client.sendall(message)
        yield client


async def wait_for(condition):
    while not condition():
        await asyncio.sleep(0.01)


async def send_body_and_more(rig):
    """Send a whole body, and one byte more once it is handled."""
    seen = len(rig.handled)
    _, writer = await rig.connect(post(1, 262_144))
    writer.write(b'x' * 262_144)
    await writer.drain()
    async with asyncio.timeout(0.05):
        await wait_for(lambda: len(rig.handled) > seen)
    writer.write(b'G')
    await writer.drain()


async def test_a_reset_in_a_turn_does_not_stop_the_turns():
    """Bodies that are refused in a later turn, of clients that are gone."""
    async with serving() as rig:
        host, _, port = rig.address.rpartition(':')
        for _ in range(20):
            with socket.create_connection((host, int(port))) as client:
                client.sendall(CHUNKED + CHUNK * 1500 + b'zz\r\n')
            await asyncio.sleep(0.02)
        reader, _ = await rig.connect(CHUNKED + CHUNK * 2000 + LAST_CHUNK)
        assert await read_response(reader) == (200, '/0 2000')


async def test_a_body_that_ends_with_a_turn_leaves_the_next_request():
    async with serving() as rig:
        body = CHUNK * 999 + LAST_CHUNK
        reader, _ = await rig.connect(CHUNKED + body + get(3) + get(4))
        answers = [await read_response(reader) for _ in range(3)]
        assert answers == [(200, '/0 999'), (200, '/3 0'), (200, '/4 0')]


async def test_more_bytes_do_not_hide_a_handled_request():
    async with serving() as rig:
        rig.may_answer.clear()
        _, writer = await rig.connect(post(1, 200_000) + b'x' * 200_000)
        await wait_for(lambda: rig.handled)
        held_bytes = rig.guard.held_bytes
        writer.write(b'G')
        await writer.drain()
        await asyncio.sleep(0.1)
        assert held_bytes >= 200_000
        assert rig.guard.held_bytes > held_bytes


async def test_whole_bodies_in_the_handler_stay_within_the_memory():
    """Forty bodies of 256 KB, of which four fit, each with a byte more."""
    async with serving(BudgetLimits(10**6, 1000)) as rig:
        rig.may_answer.clear()
        for _ in range(40):
            with contextlib.suppress(ConnectionError, TimeoutError):
                await send_body_and_more(rig)
        assert rig.guard.held_bytes < 2 * 10**6
        assert len(rig.handled) * 262_144 < 2 * 10**6


async def test_a_client_that_reads_no_answer_is_idle():
    """It sends on, but its next request waits until it has read."""
    async with serving_large_pages() as (rig, _):
        rig.limits = RequestLimits(header_timeout_ms=100, idle_timeout_ms=300)
        with unread_connection(rig, get(1) * 500):
            await wait_for(lambda: rig.handled)
            await wait_for(lambda: rig.refusals)
        assert rig.refusals == ['idle']
        assert rig.handled == ['/1']


async def test_unread_answers_shut_nobody_out():
    async with serving_large_pages(BudgetLimits(10**8, 10)) as (rig, _):
        with contextlib.ExitStack() as stack:
            for _ in range(10):
                stack.enter_context(unread_connection(rig, get(1) * 500))
            await wait_for(lambda: len(rig.handled) >= 10)
            reader, _ = await rig.connect(get(2))
            assert await read_response(reader) == (200, 'small')


async def test_unread_answers_count_as_held():
    async with serving_large_pages() as (rig, _):
        with unread_connection(rig, get(1)):
            await wait_for(lambda: rig.handled)
            await asyncio.sleep(0.1)
            assert rig.guard.held_bytes > 1_000_000


async def test_a_client_that_reads_late_gets_its_next_answer():
    async with serving_large_pages() as (rig, _):
        reader, _ = await rig.connect(get(1) + get(2))
        await wait_for(lambda: rig.handled)
        await asyncio.sleep(0.1)
        assert await read_response(reader) == (200, LARGE_TEXT)
        assert await read_response(reader) == (200, 'small')


async def test_a_stop_does_not_cut_an_answer():
    async with serving_large_pages() as (rig, runner):
        reader, _ = await rig.connect(get(1))
        await wait_for(lambda: rig.handled)
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(runner.cleanup())
        assert await read_response(reader) == (200, LARGE_TEXT)
        await stopping
        assert await is_closed(reader)


async def test_a_stop_answers_a_body_that_waits_for_its_turn():
    chunks = 10_000
    rig = Rig(MANY)
    runner = await start_http_server(rig.address, rig.handle, rig.guard)
    reader, _ = await rig.connect(CHUNKED + CHUNK * chunks + LAST_CHUNK)
    async with asyncio.timeout(WAIT_S):
        # All of it has arrived; most of it waits.
        while rig.guard.held_bytes < len(CHUNK) * chunks // 2:
            await asyncio.sleep(0)
        assert not rig.handled
        await runner.cleanup()
        assert await read_response(reader) == (200, f'/0 {chunks}')
    rig.close()


@pytest.mark.parametrize('pause_s', [0, 0.1])
async def test_a_client_that_sends_no_more_gets_its_answers(pause_s):
    async with serving() as rig:
        rig.may_answer.clear()
        reader, writer = await rig.connect(get(1) + get(2) + get(3)[:-2])
        writer.write_eof()
        await asyncio.sleep(pause_s)
        rig.may_answer.set()
        answers = [await read_response(reader) for _ in range(2)]
        assert answers == [(200, '/1 0'), (200, '/2 0')]
        assert await is_closed(reader)
        assert rig.handled == ['/1', '/2']


@pytest.mark.parametrize(
    ('head', 'body'),
    [(post(1, 3), b'abc'), (CHUNKED, b'3\r\nabc\r\n0\r\n\r\n')],
)
async def test_a_client_that_waits_is_asked_for_the_body(head, body):
    async with serving() as rig:
        expectation = b'Expect: 100-continue\r\n\r\n'
        reader, writer = await rig.connect(head[:-2] + expectation)
        asked = await reader.readuntil(b'\r\n\r\n')
        assert asked == b'HTTP/1.1 100 Continue\r\n\r\n'
        writer.write(body[:2])
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(body[2:])
        assert (await read_response(reader))[1].endswith(' 3')


async def test_a_client_that_waits_is_refused_at_once():
    async with serving() as rig:
        head = post(1, 10**9)[:-2] + b'Expect: 100-continue\r\n\r\n'
        reader, _ = await rig.connect(head)
        assert (await read_response(reader))[0] == 413
