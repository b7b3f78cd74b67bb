"""Reads of the platform's store over a link that is slow or full."""

import asyncio
import base64
import json

import pytest

from bulrushcove.clock import SystemClock
from bulrushcove.exceptions import (
    StoreLinkBusyError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.node.adaptive_timeout import MAX_TIMEOUT_S, MIN_TIMEOUT_S
from bulrushcove.platform import http_client as client_module
from bulrushcove.platform.store import PlatformStore
from bulrushcove.store import Write

HOST = '127.0.0.1'
VALUE = b'x' * 150_000
ITEM = {
    'key': 'op/config',
    'revision': 7,
    'value': base64.b64encode(VALUE).decode(),
}
LARGE_RESPONSES = {
    '/api/kv-key': {**ITEM, 'current-rev': 7},
    '/api/kv-range': {'items': [ITEM], 'current-rev': 7},
    '/api/kv-watch': {'events': [ITEM], 'current-rev': 7},
}
PART_COUNT = 10


class Store:
    """HTTP server that sends large bodies in parts, with pauses."""

    def __init__(self):
        self.paths = []
        self.writers = []
        self.part_pause_s = 0.0
        # Parts of a large body that are sent; the connection stays open.
        self.parts_sent = PART_COUNT
        self.is_mute = False
        self.small_delay_s = 0.0
        # Status of the response to a transaction.
        self.status = 200

    async def handle(self, reader, writer):
        self.writers.append(writer)
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            path, _, _ = head.split()[1].decode().partition('?')
            self.paths.append(path)
            if self.is_mute:
                continue
            if path == '/api/kv-txn':
                writer.write(b'HTTP/1.1 %d X\r\n' % self.status)
                writer.write(b'Content-Length: 0\r\n\r\n')
            elif path == '/api/kv-keep/1':
                await asyncio.sleep(self.small_delay_s)
                await self.send(writer, json.dumps({'current-rev': 7}).encode())
            else:
                body = json.dumps(LARGE_RESPONSES[path]).encode()
                await self.send(writer, body, self.parts_sent)

    async def send(self, writer, body, parts_sent=PART_COUNT):
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        )
        size = len(body) // PART_COUNT + 1
        for number in range(parts_sent):
            writer.write(body[number * size : (number + 1) * size])
            await writer.drain()
            if len(body) > len(VALUE):
                await asyncio.sleep(self.part_pause_s)


class Rig:
    def __init__(self):
        self.server = Store()
        self.client = None

    async def read(self, path):
        """Call the operation of ``path`` and return the values found."""
        if path == '/api/kv-key':
            found = (await self.client.read('op/config')).found
        elif path == '/api/kv-range':
            found = (await self.client.scan('op/')).found
        else:
            found = (await self.client.watch('op/', 3, 1)).written
        return [item.value for item in found]


@pytest.fixture
async def rig():
    created = Rig()
    listener = await asyncio.start_server(created.server.handle, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    created.client = PlatformStore(f'{HOST}:{port}', SystemClock())
    yield created
    await created.client.close()
    listener.close()
    for writer in created.server.writers:
        writer.close()
    await asyncio.sleep(0)


async def time_call(call):
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    with pytest.raises(StoreUnavailableError) as caught:
        await call
    return loop.time() - began_at_s, caught.value


@pytest.mark.parametrize('path', LARGE_RESPONSES)
async def test_a_read_that_keeps_arriving_is_not_given_up(rig, path):
    """A configuration of 1.2 MB was read again and again over 10 Mbit/s."""
    rig.server.part_pause_s = 1.5 * MAX_TIMEOUT_S / PART_COUNT
    assert await rig.read(path) == [VALUE]
    assert rig.server.paths == [path]


async def test_a_large_read_that_goes_silent_is_given_up(rig, monkeypatch):
    monkeypatch.setattr(client_module, 'MAX_BODY_PAUSE_S', 0.1)
    rig.server.parts_sent = 3
    took_s, error = await time_call(rig.client.scan('op/'))
    assert took_s < 0.5
    # Not relayed: a relayed response would pass the same link.
    assert isinstance(error, StoreLinkBusyError)
    assert 'kv-range' in str(error)


async def test_a_large_read_that_never_ends_is_given_up(rig, monkeypatch):
    monkeypatch.setattr(client_module, 'MAX_BODY_S', 0.3)
    rig.server.part_pause_s = 0.1
    took_s, _ = await time_call(rig.client.scan('op/'))
    assert took_s < 0.6


async def test_a_silent_store_is_noticed_as_fast_as_before(rig):
    rig.server.is_mute = True
    limit_s = rig.client._adaptive_timeout.timeout_s
    took_s, error = await time_call(rig.client.scan('op/'))
    assert took_s < limit_s + 0.1
    assert not isinstance(error, StoreLinkBusyError)
    assert rig.client._adaptive_timeout.timeout_s == 2 * limit_s


async def test_large_reads_do_not_lengthen_the_limit_of_small_calls(rig):
    """Each lost response would delay all record writes by 1.2 s."""
    for _ in range(20):
        await rig.client.renew_lease(1)
    rig.server.part_pause_s = 0.05
    await rig.read('/api/kv-range')
    assert rig.client._adaptive_timeout.timeout_s == MIN_TIMEOUT_S


async def test_a_small_call_may_wait_behind_a_large_read(rig):
    """Its response is queued on the same link; the store is well."""
    for _ in range(20):
        await rig.client.renew_lease(1)
    rig.server.part_pause_s = 0.1
    rig.server.small_delay_s = 3 * MIN_TIMEOUT_S
    large_read = asyncio.create_task(rig.read('/api/kv-range'))
    await asyncio.sleep(0.2)
    assert await rig.client.renew_lease(1)
    await large_read
    assert rig.client._adaptive_timeout.timeout_s == MIN_TIMEOUT_S


@pytest.mark.parametrize('status', [500, 502, 504])
async def test_a_transaction_that_failed_in_the_store_may_be_stored(
    rig, status
):
    """Its submission was withdrawn and refused with 503, which is final."""
    rig.server.status = status
    with pytest.raises(StoreOutcomeUnknownError):
        await rig.client.commit((Write('k', b'v', 0),))


@pytest.mark.parametrize('status', [400, 404, 413, 429, 503])
async def test_a_transaction_that_the_store_rejected_had_no_effect(rig, status):
    rig.server.status = status
    with pytest.raises(StoreUnavailableError):
        await rig.client.commit((Write('k', b'v', 0),))
