"""Peers and stores that send too much."""

import asyncio
import contextlib

import pytest
from aiohttp import web
from test_streams import HOST, find_free_port, make_hello, wait_until

from bulrushcove.batch.policy import DEFAULT_REQUEST_LIMITS
from bulrushcove.connection import MAX_HELLO_BYTES, MAX_OPEN_HANDLERS
from bulrushcove.messages import Acknowledged, ConfigurationRequest
from bulrushcove.node.connection_budget import BudgetLimits
from bulrushcove.node.connection_guard import ConnectionGuard
from bulrushcove.platform import http_client
from bulrushcove.platform.exceptions import PartialResponseError
from bulrushcove.platform.http_client import Endpoint
from bulrushcove.streams import StreamServer
from bulrushcove.wire import LENGTH_BYTES, encode, read_frame

HALF_FRAME_BYTES = 1_000_000
FRAME_HEAD = (2 * HALF_FRAME_BYTES).to_bytes(LENGTH_BYTES, 'big')
TIMEOUT_S = 10
pytestmark = pytest.mark.timeout(3 * TIMEOUT_S)
# Ends a response that is not given up.
MAX_PIECES = 1500


class Rig:
    """A stream server whose frames are handled once they are released."""

    def __init__(self):
        self.refusals = []
        self.handled = 0
        self.is_released = asyncio.Event()
        self.guard = ConnectionGuard(
            BudgetLimits(3 * HALF_FRAME_BYTES, 100),
            lambda: DEFAULT_REQUEST_LIMITS,
            self.refusals.append,
        )
        self.port = find_free_port()
        self.server = StreamServer(
            HOST,
            self.port,
            make_hello('a'),
            self.handle,
            admit=self.guard.admit_stream,
        )
        self.writers = []

    async def handle(self, _peer, _frame):
        self.handled += 1
        await self.is_released.wait()
        return Acknowledged()

    async def connect(self, *messages):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.writers.append(writer)
        await read_frame(reader)
        for message in messages:
            writer.write(message)
        await writer.drain()
        return reader


@pytest.fixture
async def rig():
    rig = Rig()
    await rig.server.start()
    yield rig
    for writer in rig.writers:
        writer.transport.abort()
    await rig.server.stop()


async def test_a_long_hello_ends_its_stream(rig):
    hello = encode(make_hello('b' * MAX_HELLO_BYTES))
    request = encode(ConfigurationRequest(1), correlation=1)
    reader = await rig.connect(hello, request)
    with contextlib.suppress(ConnectionError):
        assert not await reader.read()
    assert not rig.handled


async def test_frames_that_stop_are_closed_and_others_pass(rig):
    """Ten peers stop in the middle of a frame, with room for three."""
    hello = encode(make_hello('b'))
    readers = [
        await rig.connect(hello, FRAME_HEAD, b'x' * HALF_FRAME_BYTES)
        for _ in range(10)
    ]
    rig.is_released.set()
    request = encode(ConfigurationRequest(1), correlation=1)
    answered = await rig.connect(hello, request)
    assert (await read_frame(answered)).kind == 'Acknowledged'
    await wait_until(lambda: rig.refusals)
    assert set(rig.refusals) == {'memory'}
    assert rig.guard.held_bytes <= 3 * HALF_FRAME_BYTES
    assert any(reader.at_eof() or reader.exception() for reader in readers)


async def test_few_frames_of_a_stream_are_handled_at_a_time(rig):
    """A peer sends three times as many as may be handled, at once."""
    count = 3 * MAX_OPEN_HANDLERS
    requests = b''.join(
        encode(ConfigurationRequest(1), correlation=2 * number + 1)
        for number in range(count)
    )
    reader = await rig.connect(encode(make_hello('b')), requests)
    await wait_until(lambda: rig.handled == MAX_OPEN_HANDLERS)
    await asyncio.sleep(0.1)
    assert rig.handled == MAX_OPEN_HANDLERS
    rig.is_released.set()
    for _ in range(count):
        await read_frame(reader)
    assert rig.handled == count


async def test_a_response_without_an_end_is_given_up(monkeypatch):
    monkeypatch.setattr(http_client, 'MAX_BODY_BYTES', 10**6)
    sent = []

    async def handle(request):
        response = web.StreamResponse()
        await response.prepare(request)
        while len(sent) < MAX_PIECES:
            await response.write(b' ' * 65_536)
            sent.append(1)
        return response

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    port = find_free_port()
    await web.TCPSite(runner, HOST, port).start()
    endpoint = Endpoint(f'{HOST}:{port}')
    with pytest.raises(PartialResponseError, match='too large'):
        await endpoint.call('GET', '/', timeout_s=TIMEOUT_S)
    await endpoint.close()
    await runner.cleanup()
    assert len(sent) < MAX_PIECES
