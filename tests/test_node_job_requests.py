"""Submissions and cancellations on the leader."""

import asyncio

import pytest
from batch_builders import ORGANISATION, job_spec
from fake_watchable_store import FakeWatchableStore
from test_node_store_writer import open_store_writer

from bulrushcove.batch.cancellations import CANCELLATION_RETENTION_S
from bulrushcove.batch.engine import ENDED_JOB_RETENTION_S, Engine
from bulrushcove.batch.exceptions import JobCancelledError
from bulrushcove.batch.job_state import JobPhase
from bulrushcove.clock import ManualClock
from bulrushcove.exceptions import StoreUnavailableError
from bulrushcove.metrics import new_metrics
from bulrushcove.node import job_requests as job_requests_module
from bulrushcove.node.exceptions import ServiceUnavailableError
from bulrushcove.node.job_records import (
    JobRecords,
    load_jobs,
    restore_cancellations,
)
from bulrushcove.node.job_requests import JobRequestHandler
from bulrushcove.node.metrics import NodeMetrics
from bulrushcove.node.store_keys import (
    CANCELLATIONS_PREFIX,
    LEADER_KEY,
    job_key,
    progress_key,
)
from bulrushcove.node.store_writer import LeadershipLostError
from bulrushcove.store import Write

TIMEOUT_S = 5


class Harness:
    """A job request handler on a fake store."""

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

    async def change_leader(self):
        """Go on as a new leader that loads what is stored."""
        await self.store_writer.stop()
        loaded = await load_jobs(self.store, self.clock)
        self.engine = Engine()
        self.engine.restore(loaded.jobs, self.clock.monotonic_s())
        restore_cancellations(
            self.engine.cancellations, loaded.cancellations, self.clock
        )
        await self.open()
        self.store_writer.revisions.update(loaded.revisions)

    async def reload(self):
        """Return the phases of the jobs as a new leader loads them."""
        loaded = await load_jobs(self.store, self.clock)
        return {job.id: job.phase for job in loaded.jobs}


@pytest.fixture
async def harness(monkeypatch):
    monkeypatch.setattr(job_requests_module, 'STORE_CHECK_INTERVAL_S', 0.01)
    opened_harness = await Harness().open()
    yield opened_harness
    await opened_harness.store_writer.stop()


async def settle():
    await asyncio.sleep(0.05)


async def test_an_accepted_job_is_stored(harness):
    await harness.job_requests.submit(job_spec('job'))
    assert await harness.reload() == {'job': JobPhase.QUEUED}


async def test_a_repeated_submission_adds_no_second_job(harness):
    await harness.job_requests.submit(job_spec('job'))
    await harness.job_requests.submit(job_spec('job'))
    assert harness.job_requests.count_queued(job_spec('job').terms.queue) == 1


async def test_a_refused_job_never_runs(harness):
    harness.store.down = True
    waiting = asyncio.create_task(harness.job_requests.submit(job_spec('job')))
    await settle()
    harness.clock.advance(0.5)
    with pytest.raises(ServiceUnavailableError):
        async with asyncio.timeout(TIMEOUT_S):
            await waiting
    with pytest.raises(ServiceUnavailableError):
        await harness.job_requests.submit(job_spec('next'))
    assert harness.engine.jobs == {}
    harness.store.down = False
    harness.clock.advance(1.1)
    await harness.job_requests.submit(job_spec('later'))
    assert set(await harness.reload()) == {'later'}


async def test_a_cancellation_is_confirmed_once_it_is_stored(harness):
    await harness.job_requests.submit(job_spec('job'))
    harness.store.down = True
    calls = [
        asyncio.create_task(harness.job_requests.cancel('job', ORGANISATION))
        for _ in range(2)
    ]
    await settle()
    assert not any(call.done() for call in calls)
    # A failover now would run the job again: it is not shown as cancelled.
    assert (
        harness.job_requests.find_phase('job', ORGANISATION) is JobPhase.RUNNING
    )
    harness.store.down = False
    async with asyncio.timeout(TIMEOUT_S):
        phases = await asyncio.gather(*calls)
    assert phases == [JobPhase.CANCELLED, JobPhase.CANCELLED]
    assert await harness.reload() == {'job': JobPhase.CANCELLED}


@pytest.mark.parametrize('name', ['unknown', 'job'])
async def test_jobs_of_other_organisations_are_not_found(harness, name):
    await harness.job_requests.submit(job_spec('job'))
    assert harness.job_requests.find_phase(name, 'other') is None
    assert await harness.job_requests.cancel(name, 'other') is None
    assert (
        harness.job_requests.find_phase('job', ORGANISATION) is JobPhase.QUEUED
    )


async def test_an_ended_job_is_removed_although_leaders_change(harness):
    """Each new leader kept it for the whole time anew."""
    await harness.job_requests.submit(job_spec('job'))
    await harness.job_requests.cancel('job', ORGANISATION)
    for _ in range(3):
        harness.clock.advance(ENDED_JOB_RETENTION_S / 2)
        loaded = await load_jobs(harness.store, harness.clock)
    engine = Engine()
    engine.restore(loaded.jobs, harness.clock.monotonic_s())
    assert engine.remove_ended_jobs(harness.clock.monotonic_s()) == ['job']


async def test_no_submission_outlives_its_progress(harness):
    """A new leader would have run the job, which had ended, again."""
    names = [f'job-{number}' for number in range(8)]
    for name in names:
        await harness.job_requests.submit(job_spec(name))
        await harness.job_requests.cancel(name, ORGANISATION)
    commit = harness.store.commit
    left_alone = []
    late_failures = [StoreUnavailableError('store is slow')]

    async def commit_and_check(writes, checks=()):
        # The first of two transactions fails after the second has begun.
        if late_failures:
            failure = late_failures.pop()
            await asyncio.sleep(0.1)
            raise failure
        try:
            return await commit(writes, checks)
        finally:
            left_alone.extend(
                name
                for name in names
                if job_key(name) in harness.store.values
                and progress_key(name) not in harness.store.values
            )

    harness.store.commit = commit_and_check
    JobRecords(harness.store_writer).delete(names)
    while harness.store_writer.backlog or await harness.reload():
        await settle()
    assert left_alone == []


@pytest.mark.parametrize('leader_changes', [0, 1, 2])
async def test_a_job_that_was_cancelled_before_is_refused(
    harness, leader_changes
):
    """A VM sent the submission again after the answer 410."""
    assert await harness.job_requests.cancel('job', ORGANISATION) is None
    for _ in range(leader_changes):
        await harness.change_leader()
    with pytest.raises(JobCancelledError):
        await harness.job_requests.submit(job_spec('job'))
    assert harness.engine.jobs == {}
    assert await harness.reload() == {}


async def test_a_cancellation_of_an_unknown_job_is_stored_first(harness):
    """A new leader would have accepted the job."""
    harness.store.down = True
    calls = (
        asyncio.create_task(harness.job_requests.cancel('job', ORGANISATION)),
        asyncio.create_task(harness.job_requests.submit(job_spec('job'))),
        asyncio.create_task(harness.job_requests.cancel('job', ORGANISATION)),
    )
    await settle()
    assert not any(call.done() for call in calls)
    harness.store.down = False
    async with asyncio.timeout(TIMEOUT_S):
        answers = await asyncio.gather(*calls, return_exceptions=True)
    assert answers[0] is None
    assert isinstance(answers[1], JobCancelledError)
    assert answers[2] is None


async def test_a_replaced_leader_refuses_nothing_that_is_not_stored(harness):
    """It answered that a job was cancelled; the next leader accepted it."""
    await harness.job_requests.submit(job_spec('known'))
    found = (await harness.store.read(LEADER_KEY)).found[0]
    await harness.store.commit((Write(LEADER_KEY, b'x', found.mod_revision),))
    for name in ('known', 'unknown'):
        for _ in range(2):
            with pytest.raises(LeadershipLostError):
                await harness.job_requests.cancel(name, ORGANISATION)
            await settle()
    assert (
        harness.job_requests.find_phase('known', ORGANISATION)
        is JobPhase.RUNNING
    )
    with pytest.raises(LeadershipLostError):
        await harness.job_requests.submit(job_spec('unknown'))


async def test_organisations_do_not_cancel_the_jobs_of_others(harness):
    """Callers choose the ids of jobs."""
    for organisation in ('other', 'third'):
        await harness.job_requests.cancel('job', organisation)
    await harness.change_leader()
    with pytest.raises(JobCancelledError):
        await harness.job_requests.submit(job_spec('job', organisation='other'))
    await harness.job_requests.submit(job_spec('job'))
    assert await harness.reload() == {'job': JobPhase.QUEUED}


async def test_a_job_withdrawn_while_it_is_cancelled_stays_cancelled(harness):
    """The cancellation failed with an unexpected error."""
    harness.store.down = True
    submission = asyncio.create_task(
        harness.job_requests.submit(job_spec('job'))
    )
    await settle()
    cancellation = asyncio.create_task(
        harness.job_requests.cancel('job', ORGANISATION)
    )
    await settle()
    harness.clock.advance(0.5)
    with pytest.raises(ServiceUnavailableError):
        async with asyncio.timeout(TIMEOUT_S):
            await submission
    harness.store.down = False
    async with asyncio.timeout(TIMEOUT_S):
        assert await cancellation is None
    harness.clock.advance(1.1)
    with pytest.raises(JobCancelledError):
        await harness.job_requests.submit(job_spec('job'))


async def test_a_cancellation_of_an_unknown_job_is_removed(harness):
    """Callers can cancel any id, and none of them is ever submitted."""
    for _ in range(2):
        await harness.job_requests.cancel('job', ORGANISATION)
        harness.clock.advance(CANCELLATION_RETENTION_S * 0.6)
        await harness.change_leader()
    now_s = harness.clock.monotonic_s()
    cancellations = harness.engine.cancellations
    assert cancellations.remove_expired(now_s) == []
    harness.clock.advance(CANCELLATION_RETENTION_S / 2)
    expired = cancellations.remove_expired(harness.clock.monotonic_s())
    assert expired == ['job']
    harness.job_requests._records.delete_cancellations(expired)
    await settle()
    assert (await harness.store.scan(CANCELLATIONS_PREFIX)).found == ()
    await harness.job_requests.submit(job_spec('job'))
