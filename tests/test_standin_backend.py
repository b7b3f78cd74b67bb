import asyncio

import aiohttp
import msgspec
import pytest

from bulrushcove.clock import ManualClock, SystemClock
from bulrushcove.vm_list import VmEntry, VmList
from dev.history.events import EventLog, RequestStep, read_events
from dev.standins.backend import make_backend_server
from dev.standins.backend_state import BackendDescription, BackendState
from dev.standins.response_body import make_response_body
from dev.standins.vm_list import DelayedVmList
from tests.standin_tools import unused_port

HEADERS = {'X-Organisation': 'planta', 'X-Request-Id': 'r1'}


class Bench:
    """One backend server on a free port."""

    def __init__(self, path):
        description = BackendDescription(
            backend='backend-1', domain='Guichón', port=unused_port()
        )
        self.path = path
        self.state = BackendState(description, SystemClock(), EventLog(path))
        self.server = make_backend_server(self.state)
        self.url = f'http://127.0.0.1:{description.port}/v1/run'

    async def post(self, session, body=b'{}', request='r1'):
        headers = {'X-Organisation': 'planta', 'X-Request-Id': request}
        async with session.post(
            self.url, data=body, headers=headers
        ) as response:
            state = response.headers.get('X-Backend-State')
            return response.status, await response.read(), state


@pytest.fixture
async def bench(tmp_path):
    fixture = Bench(tmp_path / 'backend.jsonl')
    await fixture.server.start()
    yield fixture
    await fixture.server.stop()


async def test_caller_can_compute_the_response_body(bench):
    body = b'{"answer_bytes": 1000}'
    async with aiohttp.ClientSession() as session:
        status, response, _ = await bench.post(session, body)
    assert status == 200
    assert response == make_response_body('planta', 'r1', body, 1000)
    assert len(response) > 1000
    assert response != make_response_body('planta', 'r2', body, 1000)
    steps = [event.step for event in read_events([bench.path])]
    assert steps == [RequestStep.ARRIVE, RequestStep.RUN, RequestStep.END]


async def test_ninth_concurrent_request_is_refused(bench):
    body = msgspec.json.encode({'service_ms': 300})
    async with aiohttp.ClientSession() as session:
        responses = await asyncio.gather(
            *[bench.post(session, body, f'r{number}') for number in range(9)]
        )
    statuses = sorted(status for status, _, _ in responses)
    assert statuses.count(200) == 8
    assert statuses[8:] == [503]
    assert 'busy' in {state for _, _, state in responses}
    runs = [
        event
        for event in read_events([bench.path])
        if event.step is RequestStep.RUN
    ]
    assert len(runs) == 8


async def test_draining_server_refuses_new_and_finishes_running_requests(bench):
    body = msgspec.json.encode({'service_ms': 300})
    async with aiohttp.ClientSession() as session:
        running = asyncio.create_task(bench.post(session, body))
        await asyncio.sleep(0.1)
        bench.state.is_draining = True
        refused = await bench.post(session, body, 'r2')
        assert refused == (503, b'', 'leaving')
        status, _, state = await running
    assert (status, state) == (200, 'leaving')


def test_vm_list_changes_are_delayed():
    clock = ManualClock()
    entry = VmEntry(
        vm='vm-1',
        role='entry',
        domain='Guichón',
        address='127.0.0.1',
        port=1,
    )
    delayed = DelayedVmList(VmList(vms=()), 10, clock)
    delayed.replace(VmList(vms=(entry,)))
    clock.advance(9.9)
    assert delayed.current().vms == ()
    clock.advance(0.2)
    assert delayed.current().vms == (entry,)
