import msgspec
from aiohttp import ClientSession, web

from bulrushcove.states import VmRole
from bulrushcove.vm_list import VmEntry
from bulrushcove.worker_api import DESCRIPTION_PATH, WorkerDescription
from bulrushcove.worker_inventory import WorkerInventory

DESCRIPTION = WorkerDescription('worker-1', 'Luleå', 'rack-1', 8, 32, 65536)


async def test_workers_are_requested_once_and_kept_while_listed(aiohttp_server):
    requests = []

    async def describe(request):
        requests.append(request.path)
        return web.Response(body=msgspec.json.encode(DESCRIPTION))

    app = web.Application()
    app.router.add_get(DESCRIPTION_PATH, describe)
    server = await aiohttp_server(app)
    location = ('Luleå', '127.0.0.1')
    worker = VmEntry('worker-1', VmRole.WORKER, *location, server.port)
    unreachable = VmEntry('worker-2', VmRole.WORKER, *location, 1)
    vms = [worker, unreachable, VmEntry('entry-1', VmRole.ENTRY, *location, 1)]
    async with ClientSession() as session:
        inventory = WorkerInventory(session, lambda: vms, timeout_ms=500)
        assert await inventory.describe() == (DESCRIPTION,)
        await server.close()
        assert await inventory.describe() == (DESCRIPTION,)
        vms.remove(worker)
        assert await inventory.describe() == ()
    assert len(requests) == 1
