"""Orders and reports of the adapter, over HTTP to a stand-in worker."""

import pytest
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


@pytest.fixture
async def standin():
    return StandinWorker('w1')


@pytest.fixture
async def server(standin):
    running = TestServer(standin.application())
    await running.start_server()
    yield running
    await running.close()


def connect(server, worker='w1'):
    return HttpWorkerClient(WorkerId(worker), f'127.0.0.1:{server.port}')


@pytest.fixture
async def connection(server):
    opened = connect(server)
    yield opened
    await opened.close()


async def start(connection):
    order = StartOrder(ref=REF, payload='60', deadline_ms=5000)
    return await connection.start(EPOCH, order)


async def report(connection, epoch=EPOCH):
    return await connection.report(
        epoch, stored_end=0, lease_end_ms=8000, wait_ms=0
    )


async def test_a_report_tells_the_load_of_each_run(standin, connection):
    assert (await start(connection)).outcome is OrderOutcome.DONE
    standin.loads[format_task_name(REF.task)] = 120
    (running,) = (await report(connection)).running
    assert (running.ref, running.load) == (REF, 120)


async def test_a_start_that_is_sent_twice_begins_once(standin, connection):
    await start(connection)
    assert (await start(connection)).outcome is OrderOutcome.DONE
    assert len(standin.started_runs) == 1


async def test_a_pace_is_ordered(standin, connection):
    await start(connection)
    answer = await connection.throttle(EPOCH, REF, 25)
    assert answer.outcome is OrderOutcome.DONE
    assert standin.throttle_percents == {(format_task_name(REF.task), 2): 25}


async def test_a_lower_epoch_is_told(connection):
    await report(connection)
    with pytest.raises(WorkerFencedError):
        await report(connection, Epoch(6))


async def test_another_instance_is_told(server):
    other = connect(server, 'w2')
    with pytest.raises(WorkerReplacedError):
        await report(other)
    await other.close()
