"""Accepting and cancelling on a store that fails."""

import asyncio

import pytest
from batch_builders import ORGANISATION, job_spec
from fake_watchable_store import FakeWatchableStore
from test_node_store_writer import open_store_writer

from bulrushcove.batch.engine import Engine
from bulrushcove.batch.job_state import JobPhase
from bulrushcove.clock import ManualClock
from bulrushcove.metrics import new_metrics
from bulrushcove.node import job_requests as job_requests_module
from bulrushcove.node.exceptions import ServiceUnavailableError
from bulrushcove.node.job_records import JobRecords, load_records
from bulrushcove.node.job_requests import JobRequestHandler
from bulrushcove.node.metrics import NodeMetrics

TIMEOUT_S = 5


class Fixture:
    """An intake on a fake store."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = FakeWatchableStore(self.clock)
        self.engine = Engine()

    async def open(self):
        self.store_writer = await open_store_writer(self.store, self.clock)
        self.job_requests = JobRequestHandler(
            self.engine,
            JobRecords(self.store_writer),
            self.clock,
            NodeMetrics(new_metrics()),
        )
        return self

    async def reload(self):
        """Return the jobs as a successor would find them."""
        loaded = await load_records(self.store, self.clock)
        return {job.id: job.phase for job in loaded.jobs}


@pytest.fixture
async def desk(monkeypatch):
    monkeypatch.setattr(job_requests_module, 'STORE_CHECK_S', 0.01)
    opened = await Fixture().open()
    yield opened
    await opened.store_writer.stop()


async def settle():
    await asyncio.sleep(0.05)


async def test_an_accepted_job_is_stored(desk):
    await desk.job_requests.submit(job_spec('job'))
    assert await desk.reload() == {'job': JobPhase.QUEUED}


async def test_a_repeated_submission_is_one_job(desk):
    await desk.job_requests.submit(job_spec('job'))
    await desk.job_requests.submit(job_spec('job'))
    assert desk.job_requests.pending(job_spec('job').terms.queue) == 1


async def test_a_refused_job_never_runs(desk):
    desk.store.down = True
    waiting = asyncio.create_task(desk.job_requests.submit(job_spec('job')))
    await settle()
    desk.clock.advance(0.5)
    with pytest.raises(ServiceUnavailableError):
        async with asyncio.timeout(TIMEOUT_S):
            await waiting
    with pytest.raises(ServiceUnavailableError):
        await desk.job_requests.submit(job_spec('next'))
    assert desk.engine.jobs == {}
    desk.store.down = False
    desk.clock.advance(1.1)
    await desk.job_requests.submit(job_spec('later'))
    assert set(await desk.reload()) == {'later'}


async def test_a_cancellation_is_answered_when_it_is_stored(desk):
    await desk.job_requests.submit(job_spec('job'))
    desk.store.down = True
    calls = [
        asyncio.create_task(desk.job_requests.cancel('job', ORGANISATION))
        for _ in range(2)
    ]
    await settle()
    assert not any(call.done() for call in calls)
    # A power cut now would bring the job back: it is not shown as cancelled.
    assert desk.job_requests.phase('job', ORGANISATION) is JobPhase.RUNNING
    desk.store.down = False
    async with asyncio.timeout(TIMEOUT_S):
        phases = await asyncio.gather(*calls)
    assert phases == [JobPhase.CANCELLED, JobPhase.CANCELLED]
    assert await desk.reload() == {'job': JobPhase.CANCELLED}


@pytest.mark.parametrize('name', ['unknown', 'job'])
async def test_others_jobs_are_not_there(desk, name):
    await desk.job_requests.submit(job_spec('job'))
    assert desk.job_requests.phase(name, 'other') is None
    assert await desk.job_requests.cancel(name, 'other') is None
    assert desk.job_requests.phase('job', ORGANISATION) is JobPhase.QUEUED
