import msgspec
import pytest
from aiohttp import ClientSession, web

from bulrushcove.clock import ManualClock
from bulrushcove.configuration import empty_configuration
from bulrushcove.messages import ClusterView
from bulrushcove.operator_mount import (
    OperatorContext,
    mount_operator_routes,
)
from bulrushcove.states import VmRole
from bulrushcove.vm_list import VmEntry
from bulrushcove.worker_api import DESCRIPTION_PATH, WorkerDescription
from tests.fake_store import FakeStore
from tests.operator_app import TOKEN, TOKEN_SHA256

WORKER = WorkerDescription('worker-1', 'Luleå', 'rack-1', 8, 32, 65536)


@pytest.fixture
async def client(aiohttp_server, aiohttp_client):
    """Serve the operators' API with one worker of 8 accelerators."""

    async def describe(_request):
        return web.Response(body=msgspec.json.encode(WORKER))

    worker_app = web.Application()
    worker_app.router.add_get(DESCRIPTION_PATH, describe)
    worker = await aiohttp_server(worker_app)
    listed = VmEntry('w', VmRole.WORKER, 'Luleå', '127.0.0.1', worker.port)
    view = ClusterView((), (), (listed,), True, {})
    app = web.Application()
    async with ClientSession() as session:
        context = OperatorContext(
            store=FakeStore(),
            session=session,
            clock=ManualClock(),
            active_configuration=empty_configuration,
            view=lambda: view,
            notify=print,
            token_sha256=[TOKEN_SHA256],
        )
        mount_operator_routes(app.router, context)
        headers = {'Authorization': f'Bearer {TOKEN}'}
        yield await aiohttp_client(app, headers=headers)


async def put_contract(client, operation, accelerators):
    shape = {'accelerators': accelerators, 'adjacency': 'worker'}
    contract = {
        'organisation': 'Åbar',
        'token_sha256': [],
        'guaranteed': [shape],
    }
    body = {'order': {'operation': operation}, 'contract': contract}
    response = await client.put('/v1/operator/contracts/Åbar', json=body)
    return response.status, await response.json()


async def put_domain(client, operation, state):
    body = {'order': {'operation': operation}, 'state': state}
    response = await client.put('/v1/operator/domains/Luleå', json=body)
    return response.status, await response.json()


async def test_guarantees_must_fit_into_the_domains_in_service(client):
    assert (await put_contract(client, 'a', 8))[0] == 422
    assert (await put_domain(client, 'b', 'in'))[0] == 200
    status, response = await put_contract(client, 'c', 9)
    assert status == 422
    assert 'Åbar' in response['details'][0]
    assert (await put_contract(client, 'd', 8))[0] == 200
    status, response = await put_domain(client, 'e', 'out')
    assert status == 422
    assert 'Åbar' in response['details'][0]
