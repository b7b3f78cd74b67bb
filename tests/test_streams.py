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


def find_free_port():
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return listener.getsockname()[1]


async def acknowledge(_peer, _frame):
    return Acknowledged()


async def send_no_response(_peer, _frame):
    """Handle the frame without a response."""


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def open_pair():
    started = []

    async def start_pair(
        server_handler=acknowledge, client_handler=send_no_response
    ):
        port = find_free_port()
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
        await wait_until(lambda: client.is_connected)
        return server, client, port

    yield start_pair
    for service in reversed(started):
        await service.stop()


async def test_request_gets_a_response(open_pair):
    _server, client, _port = await open_pair()
    response = await client.request(ConfigurationRequest(0), Acknowledged, 2)
    assert response == Acknowledged()
    assert client.peer.vm == 'a'


async def test_push_reaches_only_peers_of_its_role(open_pair):
    received = []

    async def record(_peer, frame):
        received.append(frame.kind)

    server, _client, _port = await open_pair(client_handler=record)
    await wait_until(lambda: any(item.peer for item in server.connections))
    server.push('control', Acknowledged())
    server.push('entry', ConfigurationPush(configuration=None))
    await wait_until(lambda: received)
    assert received == ['ConfigurationPush']


async def test_request_timeout_opens_a_new_connection(open_pair):
    is_silent = True

    async def respond_unless_silent(_peer, _frame):
        return None if is_silent else Acknowledged()

    _server, client, _port = await open_pair(
        server_handler=respond_unless_silent
    )
    with pytest.raises(PeerUnreachableError, match='no response'):
        await client.request(ConfigurationRequest(0), Acknowledged, 0.1)
    await wait_until(lambda: not client.is_connected)
    is_silent = False
    await wait_until(lambda: client.is_connected)
    await client.request(ConfigurationRequest(0), Acknowledged, 2)


@pytest.mark.parametrize(
    'sent',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        (MAX_FRAME_BYTES + 1).to_bytes(4, 'big'),
        (3).to_bytes(4, 'big') + b'\xc1\xc1\xc1',
    ],
)
async def test_malformed_frame_closes_only_its_stream(open_pair, sent):
    _server, client, port = await open_pair()
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    async with asyncio.timeout(5):
        await reader.read()
    writer.close()
    await client.request(ConfigurationRequest(0), Acknowledged, 2)
