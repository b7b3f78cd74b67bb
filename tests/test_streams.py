import asyncio
import socket

import pytest

from bulrushcove.exceptions import PeerUnreachableError
from bulrushcove.ids import DomainName, IncarnationId, VmId
from bulrushcove.messages import (
    Acknowledged,
    ConfigurationPush,
    ConfigurationRequest,
    Hello,
)
from bulrushcove.streams import StreamClient, StreamServer
from bulrushcove.wire import MAX_FRAME_BYTES

HOST = '127.0.0.1'


def make_hello(vm, role='control'):
    return Hello(VmId(vm), DomainName('Stockholm'), role, IncarnationId(vm))


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def answer_all(_peer, _frame):
    return Acknowledged()


async def answer_none(_peer, _frame):
    """Take the frame without an answer."""


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def open_pair():
    started = []

    async def start(server_handler=answer_all, client_handler=answer_none):
        port = free_port()
        server = StreamServer(HOST, port, make_hello('a'), server_handler)
        client = StreamClient(
            HOST,
            port,
            make_hello('b', 'entry'),
            client_handler,
        )
        for service in (server, client):
            await service.start()
            started.append(service)
        await until(lambda: client.is_connected)
        return server, client, port

    yield start
    for service in reversed(started):
        await service.stop()


async def test_a_question_is_answered(open_pair):
    _server, client, _port = await open_pair()
    answer = await client.request(ConfigurationRequest(0), Acknowledged, 2)
    assert answer == Acknowledged()
    assert client.peer.vm == 'a'


async def test_a_push_reaches_the_role_it_is_for(open_pair):
    heard = []

    async def keep(_peer, frame):
        heard.append(frame.kind)

    server, _client, _port = await open_pair(client_handler=keep)
    await until(lambda: any(item.peer for item in server.connections))
    server.push('control', Acknowledged())
    server.push('entry', ConfigurationPush(configuration=None))
    await until(lambda: heard)
    assert heard == ['ConfigurationPush']


async def test_a_silent_peer_is_left_for_a_fresh_connection(open_pair):
    silent = True

    async def answer_later(_peer, _frame):
        return None if silent else Acknowledged()

    _server, client, _port = await open_pair(server_handler=answer_later)
    with pytest.raises(PeerUnreachableError, match='no answer'):
        await client.request(ConfigurationRequest(0), Acknowledged, 0.1)
    await until(lambda: not client.is_connected)
    silent = False
    await until(lambda: client.is_connected)
    await client.request(ConfigurationRequest(0), Acknowledged, 2)


@pytest.mark.parametrize(
    'sent',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        (MAX_FRAME_BYTES + 1).to_bytes(4, 'big'),
        (3).to_bytes(4, 'big') + b'\xc1\xc1\xc1',
    ],
)
async def test_a_malformed_frame_closes_its_stream_only(open_pair, sent):
    _server, client, port = await open_pair()
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    async with asyncio.timeout(5):
        await reader.read()
    writer.close()
    await client.request(ConfigurationRequest(0), Acknowledged, 2)
