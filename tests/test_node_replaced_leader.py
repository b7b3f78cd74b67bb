"""Answers of a leader that was replaced while it was suspended or cut off."""

import asyncio
from types import SimpleNamespace

import pytest
from fake_watchable_store import FakeWatchableStore

from bulrushcove.batch.exceptions import JobConflictError, JobRefusedError
from bulrushcove.batch.ids import QueueName
from bulrushcove.batch.job_state import JobPhase
from bulrushcove.clock import ManualClock
from bulrushcove.ids import Epoch, JobId, OrganisationId
from bulrushcove.node.job_request_router import JobRequestRouter
from bulrushcove.node.leadership_check import MAX_STATE_AGE_S, LeadershipCheck
from bulrushcove.node.messages import (
    CountPending,
    Inquiry,
    PendingCount,
    Submit,
    SubmitOutcome,
)
from bulrushcove.node.store_keys import LEADER_KEY
from bulrushcove.store import Write

JOB = JobId('a' * 16)
ORGANISATION = OrganisationId('mill')
GET = Inquiry(JOB, ORGANISATION, may_forward=False)
DELETE = Inquiry(JOB, ORGANISATION, cancels=True, may_forward=False)
SUBMIT = Submit(SimpleNamespace(job=JOB), wait_ms=1000, may_forward=False)
COUNT = CountPending(QueueName('queue'), may_forward=False)


class FakeLeadership:
    """A leader that was confirmed when it was created."""

    def __init__(self, clock, epoch):
        self.leader = SimpleNamespace(vm='vm-1', epoch=epoch, address='vm-1:1')
        self.is_leader = True
        self.loop_delay = SimpleNamespace(longest_wait_s=float)
        self.confirmed_at_s = clock.monotonic_s()

    @property
    def has_authority(self):
        return self.is_leader

    def confirm(self, sent_at_s):
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)

    async def step_down(self, reason):
        self.is_leader = False
        self.leader = None


class JobRequests:
    """What the leader has in memory."""

    def __init__(self):
        self.phase = None
        self.error = None

    async def cancel(self, job, organisation):
        return self.phase

    def find_phase(self, job, organisation):
        return self.phase

    def count_queued(self, queue):
        return 0

    async def submit(self, spec):
        raise self.error


class Rig:
    """A leader, and the time since its last confirmation."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = FakeWatchableStore(self.clock)
        self.jobs = JobRequests()

    async def lead(self):
        self.leadership = FakeLeadership(self.clock, await self.write_record())
        self.router = JobRequestRouter(
            self.leadership, SimpleNamespace(), self.store, self.clock
        )
        self.router.scheduler = SimpleNamespace(
            is_loaded=True, job_requests=self.jobs
        )
        self.check = LeadershipCheck(self.leadership, self.store, self.clock)

    async def write_record(self):
        known = self.store.values.get(LEADER_KEY)
        revision = known.mod_revision if known else 0
        answer = await self.store.commit(
            (Write(LEADER_KEY, b'record', revision),)
        )
        return Epoch(answer.store_revision)


@pytest.fixture
async def rig():
    created = Rig()
    await created.lead()
    created.clock.advance(3.5)
    return created


async def inquire(rig, request):
    answer = await rig.router.handle_inquiry(request)
    return answer.phase if answer.is_known else 'unknown'


@pytest.mark.parametrize('inquiry', [GET, DELETE])
async def test_a_replaced_leader_does_not_say_that_a_job_does_not_exist(
    rig, inquiry
):
    """Callers got 410 to a cancellation, and the job ran on."""
    await rig.write_record()
    assert await inquire(rig, inquiry) == 'unknown'
    assert not rig.leadership.is_leader


async def test_a_leader_replaced_just_now_does_not_know_all_jobs(rig):
    """Its last confirmation is recent, but older than the request."""
    rig.leadership.confirm(rig.clock.monotonic_s())
    await rig.write_record()
    rig.clock.advance(0.01)
    assert await inquire(rig, DELETE) == 'unknown'


@pytest.mark.parametrize('phase', [JobPhase.QUEUED, JobPhase.RUNNING])
async def test_a_replaced_leader_does_not_return_an_old_state(rig, phase):
    """The new leader may have ended the job."""
    rig.jobs.phase = phase
    await rig.write_record()
    assert await inquire(rig, GET) == 'unknown'


async def test_a_replaced_leader_does_not_count_pending_jobs(rig):
    """It counted none of the jobs that the new leader had accepted."""
    await rig.write_record()
    answer = await rig.router.handle_count_pending(COUNT)
    assert answer == PendingCount(None)


@pytest.mark.parametrize(
    ('error', 'outcome'),
    [
        (JobRefusedError('no worker', 30.0), SubmitOutcome.REFUSED),
        (JobConflictError('other content'), SubmitOutcome.CONFLICT),
    ],
)
async def test_a_replaced_leader_does_not_reject_a_job(rig, error, outcome):
    """The new leader may have accepted it: 429 says that it never runs."""
    rig.jobs.error = error
    answer = await rig.router.handle_submit(SUBMIT)
    assert answer.outcome is outcome
    await rig.write_record()
    rig.clock.advance(0.01)
    answer = await rig.router.handle_submit(SUBMIT)
    assert answer.outcome is SubmitOutcome.NOT_LEADER


@pytest.mark.parametrize('inquiry', [GET, DELETE])
async def test_a_leader_that_the_store_confirms_answers(rig, inquiry):
    assert await inquire(rig, inquiry) == ''
    rig.jobs.phase = JobPhase.RUNNING
    assert await inquire(rig, inquiry) == 'running'
    answer = await rig.router.handle_count_pending(COUNT)
    assert answer == PendingCount(0)


async def test_without_the_store_a_job_is_not_said_to_be_unknown(rig):
    rig.store.down = True
    assert await inquire(rig, DELETE) == 'unknown'
    assert rig.leadership.is_leader


async def test_without_the_store_states_are_returned(rig):
    """No other VM can take over while the store is down for all."""
    rig.store.down = True
    rig.jobs.phase = JobPhase.RUNNING
    assert await inquire(rig, GET) == 'running'
    answer = await rig.router.handle_count_pending(COUNT)
    assert answer == PendingCount(0)


async def test_a_stored_end_needs_no_confirmation(rig):
    rig.store.down = True
    rig.jobs.phase = JobPhase.SUCCEEDED
    assert await inquire(rig, DELETE) == 'succeeded'


async def test_a_recent_confirmation_is_enough_for_a_state(rig):
    rig.leadership.confirm(rig.clock.monotonic_s() - MAX_STATE_AGE_S)
    rig.store.read = None
    assert await rig.check.may_return_state()


async def test_requests_share_a_read_that_was_sent_after_them(rig):
    reads = []
    read = rig.store.read

    async def read_slowly(key):
        reads.append(key)
        await asyncio.sleep(0.01)
        return await read(key)

    rig.store.read = read_slowly
    first = asyncio.create_task(
        rig.check.is_confirmed_since(rig.clock.monotonic_s())
    )
    while not reads:
        await asyncio.sleep(0)
    rig.clock.advance(0.001)
    later = [
        rig.check.is_confirmed_since(rig.clock.monotonic_s()) for _ in range(5)
    ]
    assert await asyncio.gather(first, *later) == [True for _ in range(6)]
    assert len(reads) == 2


async def test_leadership_that_was_lost_and_regained_confirms_nothing(rig):
    """What was looked up before belongs to the earlier leadership."""
    read = rig.store.read

    async def lose_and_regain(key):
        epoch = await rig.write_record()
        rig.leadership.leader = SimpleNamespace(epoch=epoch)
        rig.leadership.confirm(rig.clock.monotonic_s())
        return await read(key)

    rig.store.read = lose_and_regain
    assert not await rig.check.is_confirmed_since(rig.clock.monotonic_s())
