import asyncio
import signal
import time
from contextlib import suppress

import aiohttp
import pytest

from dev.launch.ports import HOST
from dev.path_bench import (
    TOKEN,
    running_control_standin,
    running_path_bench,
    wait_until_ready,
)

UPLOAD_BYTES = 400_000
PARTS = 20


@pytest.fixture
async def bench():
    with running_path_bench() as running:
        async with running_control_standin(running.ports):
            await asyncio.to_thread(wait_until_ready, running.ports)
            yield running


def _url(bench, path):
    return f'http://{HOST}:{bench.ports.entry}{path}'


def _headers(request):
    return {
        'Authorization': TOKEN,
        'X-Bulrushcove-Request': request,
        'X-Bulrushcove-Idempotent': 'true',
    }


async def _post(bench, request, body=b'{}', length=None):
    """Return the status; 0 if the connection was closed early."""
    headers = _headers(request)
    if length is not None:
        headers['Content-Length'] = str(length)
    with suppress(aiohttp.ClientError):
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                _url(bench, '/v1/requests'), data=body, headers=headers
            ) as response,
        ):
            await response.read()
            return response.status
    return 0


async def _slow_upload():
    for _ in range(PARTS):
        yield b' ' * (UPLOAD_BYTES // PARTS)
        await asyncio.sleep(0.1)


def _start_load(bench):
    """Start slow requests and a long upload, which take some seconds."""
    posts = [
        _post(bench, f'slow{number}', b'{"service_ms": %d}' % service_ms)
        for number, service_ms in enumerate((500, 1500, 2500, 3500))
    ]
    upload = _post(bench, 'upload', _slow_upload(), UPLOAD_BYTES)
    return [asyncio.create_task(post) for post in (*posts, upload)]


async def _status(bench, path):
    async with (
        aiohttp.ClientSession() as session,
        session.get(_url(bench, path)) as response,
    ):
        return response.status


async def test_graceful_stop_finishes_requests_in_progress(bench):
    in_progress = _start_load(bench)
    await asyncio.sleep(0.4)
    bench.processes.signal('entry', signal.SIGTERM)
    stopped_s = time.monotonic()
    await asyncio.sleep(0.3)
    assert await _status(bench, '/readyz') == 503
    assert await _status(bench, '/healthz') == 200
    # The balancer has not noticed yet: new requests are still served.
    assert await _post(bench, 'late') == 200
    assert set(await asyncio.gather(*in_progress)) == {200}
    status = await asyncio.to_thread(bench.processes.wait, 'entry', 10)
    assert status == 0
    assert time.monotonic() - stopped_s < 10


async def test_kill_aborts_requests_in_progress(bench):
    in_progress = _start_load(bench)
    await asyncio.sleep(0.4)
    bench.processes.signal('entry', signal.SIGKILL)
    assert set(await asyncio.gather(*in_progress)) == {0}
