"""Orders and reports of ``HttpWorkerClient`` against a stand-in worker."""

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from bulrushcove.batch.ids import RunRef, TaskRef
from bulrushcove.batch.orders import (
    OrderOutcome,
    StartOrder,
    WorkerFencedError,
    WorkerReplacedError,
)
from bulrushcove.ids import Epoch, JobId, WorkerId
from bulrushcove.platform.worker_client import (
    HttpWorkerClient,
    format_task_name,
)
from dev.platform_standin.worker import StandinWorker

REF = RunRef(TaskRef(JobId('5c0e7a21d94b36f8'), 0, 1, 17), 2)
EPOCH = Epoch(7)
# On the worker's clock.
START_DEADLINE_MS = 5000


@pytest.fixture
async def standin_worker():
    return StandinWorker('w1')


@pytest.fixture
async def server(standin_worker):
    test_server = TestServer(standin_worker.make_application())
    await test_server.start_server()
    yield test_server
    await test_server.close()


def make_client(server, worker='w1'):
    return HttpWorkerClient(WorkerId(worker), f'127.0.0.1:{server.port}')


@pytest.fixture
async def client(server):
    worker_client = make_client(server)
    yield worker_client
    await worker_client.close()


async def start_run(client, worker):
    order = StartOrder(
        ref=REF,
        payload='60',
        started_unix_ms=worker.started_unix_ms,
        deadline_ms=START_DEADLINE_MS,
    )
    return await client.start(EPOCH, order)


async def request_report(client, worker, epoch=EPOCH):
    return await client.report(
        epoch,
        started_unix_ms=worker.started_unix_ms,
        stored_end=0,
        lease_end_ms=8000,
        wait_ms=0,
    )


async def test_report_contains_the_load_of_each_run(standin_worker, client):
    assert (
        await start_run(client, standin_worker)
    ).outcome is OrderOutcome.DONE
    standin_worker.loads[format_task_name(REF.task)] = 120
    (running_task,) = (await request_report(client, standin_worker)).running
    assert (running_task.ref, running_task.load) == (REF, 120)


@pytest.mark.parametrize(
    ('count', 'is_cut'), [(0, False), (499, False), (500, True)]
)
async def test_a_report_of_500_ends_is_taken_for_cut(
    standin_worker, client, count, is_cut
):
    standin_worker.ended = [
        [number, format_task_name(REF.task), number, 'done', '']
        for number in range(1, count + 1)
    ]
    assert (await request_report(client, standin_worker)).is_cut is is_cut


async def test_start_sent_twice_starts_one_run(standin_worker, client):
    await start_run(client, standin_worker)
    assert (
        await start_run(client, standin_worker)
    ).outcome is OrderOutcome.DONE
    assert len(standin_worker.started_runs) == 1


async def test_throttle_order_reaches_the_worker(standin_worker, client):
    await start_run(client, standin_worker)
    reply = await client.throttle(EPOCH, REF, 25)
    assert reply.outcome is OrderOutcome.DONE
    assert standin_worker.throttle_percents == {
        (format_task_name(REF.task), 2): 25
    }


async def test_lower_epoch_raises_fenced_error(standin_worker, client):
    await request_report(client, standin_worker)
    with pytest.raises(WorkerFencedError):
        await request_report(client, standin_worker, Epoch(6))


async def test_other_worker_raises_replaced_error(standin_worker, server):
    other_client = make_client(server, 'w2')
    with pytest.raises(WorkerReplacedError):
        await request_report(other_client, standin_worker)
    await other_client.close()


@pytest.mark.parametrize('body', [b'', b'{', b'[]', b'{"reason": 7}'])
async def test_a_malformed_rejection_is_of_unknown_outcome(body):
    """The error ended the task that repeats an unanswered order."""

    async def reject(request):
        return web.Response(status=409, body=body)

    application = web.Application()
    application.router.add_post('/api/run-stop', reject)
    async with TestServer(application) as server:
        worker_client = make_client(server)
        reply = await worker_client.stop(EPOCH, REF)
        await worker_client.close()
    assert reply.outcome is OrderOutcome.UNKNOWN
