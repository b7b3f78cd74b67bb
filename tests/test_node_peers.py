"""Streams between VMs that several requests share."""

import asyncio
import logging

import pytest
from test_streams import HOST, find_free_port, make_hello

from bulrushcove.exceptions import PeerUnreachableError
from bulrushcove.messages import (
    Acknowledged,
    ConfigurationRequest,
    parse_message,
)
from bulrushcove.node import peers as peers_module
from bulrushcove.node.messages import SubmitOutcome, Submitted
from bulrushcove.node.peers import MAX_SILENCE_S, SAMPLE_SIZE, Peers
from bulrushcove.wire import encode

# Handled by the peer until it is released, like a write to a slow store.
SLOW = ConfigurationRequest(1)
FAST = ConfigurationRequest(0)


class Rig:
    """A VM and a peer that leaves some requests open."""

    def __init__(self):
        self.is_released = asyncio.Event()
        self.is_mute = False
        # Each stream brings a hello of its own.
        self.hellos = []
        self.address = f'{HOST}:{find_free_port()}'
        self.peer = Peers(make_hello('a'), self.address, self.handle)
        own_address = f'{HOST}:{find_free_port()}'
        self.peers = Peers(make_hello('b'), own_address, self.handle)

    async def handle(self, hello, frame):
        if not any(known is hello for known in self.hellos):
            self.hellos.append(hello)
        message = parse_message(ConfigurationRequest, frame.fields)
        if self.is_mute or message == SLOW:
            await self.is_released.wait()
        return Acknowledged()

    async def request(self, message, timeout_s):
        _, response = await self.peers.request(
            self.address, message, Acknowledged, timeout_s
        )
        return response


@pytest.fixture
async def rig():
    rig = Rig()
    for service in (rig.peer, rig.peers):
        await service.start()
    yield rig
    rig.is_released.set()
    for service in (rig.peers, rig.peer):
        await service.stop()


async def test_a_short_request_does_not_fail_the_others(rig):
    """A submission with 5 ms left closed the stream to the leader."""
    pending = asyncio.create_task(rig.request(SLOW, 2))
    await rig.request(FAST, 1)
    with pytest.raises(PeerUnreachableError):
        await rig.request(SLOW, 0.005)
    rig.is_released.set()
    assert await pending == Acknowledged()


async def test_an_open_request_does_not_fail_the_others(rig):
    """The leader answers pings while a submission waits for the store."""
    open_request = asyncio.create_task(rig.request(SLOW, 2 * MAX_SILENCE_S))
    other = asyncio.create_task(rig.request(SLOW, 3))
    while not open_request.done():
        await rig.request(FAST, 1)
        await asyncio.sleep(0.05)
    with pytest.raises(PeerUnreachableError):
        await open_request
    rig.is_released.set()
    assert await other == Acknowledged()


async def test_a_silent_stream_is_replaced(rig):
    rig.is_mute = True
    with pytest.raises(PeerUnreachableError):
        await rig.request(FAST, MAX_SILENCE_S + 0.05)
    rig.is_mute = False
    assert await rig.request(FAST, 1) == Acknowledged()
    assert len(rig.hellos) == 2


def reasons_logged(caplog):
    """Return why streams were dropped, by the log of both VMs."""
    return [
        record.reason
        for record in caplog.records
        if record.msg == 'peer.stream_dropped'
    ]


async def test_a_stream_closed_as_idle_is_logged(rig, caplog, monkeypatch):
    """The log of its peer read as if the process had ended."""
    monkeypatch.setattr(peers_module, 'IDLE_TIMEOUT_S', 0.2)
    caplog.set_level(logging.INFO)
    await rig.request(FAST, 1)
    await asyncio.sleep(0.5)
    assert reasons_logged(caplog) == ['idle']
    closed = [
        record.peer
        for record in caplog.records
        if record.msg == 'stream.closed'
    ]
    assert closed == [rig.peers.hello.vm]


async def test_a_silent_stream_is_logged_once(rig, caplog):
    """Each request that failed with the stream logged it again."""
    caplog.set_level(logging.INFO)
    rig.is_mute = True
    timeout_s = MAX_SILENCE_S + 0.05
    await asyncio.gather(
        *(rig.request(FAST, timeout_s) for _ in range(3)),
        return_exceptions=True,
    )
    assert reasons_logged(caplog) == ['no response']


def test_few_addresses_are_passed_on_in_a_large_deployment():
    """Each pong listed all VMs: 6 KB at 300 VMs, 1,200 times a second."""
    rig = Rig()
    rig.peers.add_addresses(
        tuple(f'10.0.0.{number}:1' for number in range(250))
    )
    sample = rig.peers.sample_addresses()
    assert len(set(sample)) == SAMPLE_SIZE


class SlowPeer:
    """Sends its responses in parts, one each 0.1 s."""

    def __init__(self, *frames):
        self.bytes = b''.join(frames)
        self.sent_bytes = len(self.bytes)
        self.writer = None

    async def send(self, reader, writer):
        self.writer = writer
        writer.write(encode(make_hello('a')))
        await reader.read(1)
        for start in range(0, self.sent_bytes, 500):
            writer.write(self.bytes[start : start + 500])
            await asyncio.sleep(0.1)

    async def close(self):
        self.writer.close()
        await asyncio.sleep(0)


LARGE = Submitted(SubmitOutcome.REFUSED, 'x' * 5000)


async def listen(rig, peer):
    """Let ``peer`` answer instead of the peer of ``rig``."""
    host, _, port = rig.address.rpartition(':')
    await rig.peer.stop()
    return await asyncio.start_server(peer.send, host, int(port))


async def test_a_stream_on_which_a_large_frame_arrives_is_kept(rig):
    """A relayed configuration takes a second on a link of 10 Mbit/s."""
    peer = SlowPeer(
        encode(Acknowledged(), correlation=1), encode(LARGE, correlation=3)
    )
    listener = await listen(rig, peer)
    await rig.request(SLOW, 1)
    waiting = asyncio.create_task(
        rig.peers.request(rig.address, SLOW, Submitted, 3)
    )
    await asyncio.sleep(0)
    with pytest.raises(PeerUnreachableError):
        await rig.request(SLOW, MAX_SILENCE_S + 0.1)
    _, submitted = await waiting
    assert submitted == LARGE
    listener.close()
    await peer.close()


async def test_a_large_response_that_is_arriving_is_waited_for(rig):
    """A VM cut off from the store never got a large configuration."""
    peer = SlowPeer(encode(LARGE, correlation=1))
    listener = await listen(rig, peer)
    _, submitted = await rig.peers.request(
        rig.address, SLOW, Submitted, 0.3, waits_for_frame=True
    )
    assert submitted == LARGE
    listener.close()
    await peer.close()


async def test_a_large_response_that_goes_silent_is_given_up(rig):
    peer = SlowPeer(encode(LARGE, correlation=1))
    peer.sent_bytes = 1000
    listener = await listen(rig, peer)
    async with asyncio.timeout(2):
        with pytest.raises(PeerUnreachableError):
            await rig.peers.request(
                rig.address, SLOW, Submitted, 0.3, waits_for_frame=True
            )
    listener.close()
    await peer.close()
