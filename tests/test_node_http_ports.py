"""The HTTP server behind its limits, on loopback."""

import asyncio
import contextlib
import logging

import pytest
from aiohttp import web
from test_streams import HOST, find_free_port

from bulrushcove.batch.policy import RequestLimits
from bulrushcove.node.connection_budget import BudgetLimits
from bulrushcove.node.connection_guard import ConnectionGuard
from bulrushcove.node.http_ports import start_http_server

CHUNKED = b'POST /0 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
WAIT_S = 10
MANY = BudgetLimits(10**7, 1000)


def get(number):
    return b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n' % number


def post(number, length):
    head = b'POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
    return head % (number, length)


class Rig:
    """A server that answers with the path and the size of the body."""

    def __init__(self, budget):
        self.limits = RequestLimits()
        self.refusals = []
        self.handled = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.guard = ConnectionGuard(
            budget, lambda: self.limits, self.refusals.append
        )
        self.address = f'{HOST}:{find_free_port()}'
        self._writers = []

    async def handle(self, request):
        self.handled.append(request.path)
        body = await request.read()
        await self.may_answer.wait()
        return web.Response(text=f'{request.path} {len(body)}')

    async def connect(self, message=b''):
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self._writers.append(writer)
        writer.write(message)
        await writer.drain()
        return reader, writer

    def close(self):
        for writer in self._writers:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def serving(budget=MANY):
    rig = Rig(budget)
    runner = await start_http_server(rig.address, rig.handle, rig.guard)
    try:
        async with asyncio.timeout(WAIT_S):
            yield rig
    finally:
        rig.close()
        await runner.cleanup()


async def read_response(reader):
    """Return status and text of a response."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = head.lower().partition(b'content-length: ')[2].split(b'\r\n')[0]
    text = await reader.readexactly(int(length))
    return int(head.split()[1]), text.decode()


async def is_closed(reader):
    """Return once the connection is closed; the test's time is limited."""
    with contextlib.suppress(ConnectionError):
        await reader.read()
    return True


async def test_requests_of_a_connection_are_answered_in_order():
    async with serving() as rig:
        chunks = b'3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n'
        reader, writer = await rig.connect(
            get(1) + post(2, 5) + b'abcde' + CHUNKED + chunks + get(3)
        )
        answers = [await read_response(reader) for _ in range(4)]
        assert answers == [
            (200, '/1 0'),
            (200, '/2 5'),
            (200, '/0 7'),
            (200, '/3 0'),
        ]
        writer.write(get(4))
        assert await read_response(reader) == (200, '/4 0')
        assert not rig.refusals


async def test_a_request_that_is_not_whole_is_not_handled():
    async with serving() as rig:
        _, writer = await rig.connect(post(1, 5) + b'abcd')
        reader, _ = await rig.connect(get(2))
        await read_response(reader)
        writer.close()
        await writer.wait_closed()
        reader, _ = await rig.connect(get(3))
        await read_response(reader)
        assert rig.handled == ['/2', '/3']


@pytest.mark.parametrize(
    ('message', 'status'),
    [
        (b'GET / HTTP/1.1\r\nX: %b' % (b'x' * 20_000), 431),
        (b'\r\n' * 9_000, 431),
        (post(1, 262_145) + b'x' * 100_000, 413),
        (CHUNKED + b'zz\r\n', 400),
        (b'GARBAGE\r\n\r\n', 400),
    ],
)
async def test_a_refusal_is_answered_and_ends_the_connection(message, status):
    async with serving() as rig:
        reader, _ = await rig.connect(message)
        answer = await read_response(reader)
        assert answer[0] == status
        assert await is_closed(reader)
        assert not rig.handled


async def test_a_refusal_follows_the_answers_before_it():
    async with serving() as rig:
        reader, _ = await rig.connect(get(1) + post(2, 10**9))
        assert (await read_response(reader))[0] == 200
        assert (await read_response(reader))[0] == 413


async def test_a_small_request_passes_beside_a_crowd_of_bodies():
    """Forty bodies of 256 KB stop before their end, with room for four."""
    async with serving(BudgetLimits(10**6, 1000)) as rig:
        for _ in range(40):
            with contextlib.suppress(ConnectionError):
                await rig.connect(post(1, 262_144) + b'x' * 262_143)
        reader, _ = await rig.connect(get(2))
        assert await read_response(reader) == (200, '/2 0')
        assert set(rig.refusals) == {'memory'}
        assert rig.handled == ['/2']


async def test_a_handled_request_outlives_a_crowd_of_connections():
    async with serving(BudgetLimits(10**6, 10)) as rig:
        rig.may_answer.clear()
        reader, _ = await rig.connect(post(1, 3) + b'abc')
        while not rig.handled:
            await asyncio.sleep(0)
        for _ in range(50):
            with contextlib.suppress(ConnectionError):
                await rig.connect()
        rig.may_answer.set()
        assert await read_response(reader) == (200, '/1 3')
        assert set(rig.refusals) == {'connections'}


async def test_pipelined_requests_wait_unread():
    """A client that sends on while a request is handled is not read."""
    async with serving() as rig:
        rig.may_answer.clear()
        _, writer = await rig.connect(get(1))
        while not rig.handled:
            await asyncio.sleep(0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1):
                for _ in range(500):
                    writer.write(get(2) * 4000)
                    await writer.drain()
        assert rig.guard.held_bytes < 200_000
        assert rig.handled == ['/1']


async def test_overdue_connections_are_closed_and_reported(caplog):
    async with serving() as rig:
        rig.limits = RequestLimits(header_timeout_ms=100, idle_timeout_ms=300)
        head_reader, _ = await rig.connect((get(1))[:-5])
        idle_reader, _ = await rig.connect()
        with caplog.at_level(logging.WARNING):
            await rig.guard.start()
            assert await is_closed(head_reader)
            assert await is_closed(idle_reader)
            await rig.guard.stop()
        assert sorted(rig.refusals) == ['head-late', 'idle']
        logged = [
            (record.reason, record.count)
            for record in caplog.records
            if record.message == 'clients.refused'
        ]
        assert sorted(logged) == [('head-late', 1), ('idle', 1)]
