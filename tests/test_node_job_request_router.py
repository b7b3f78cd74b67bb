"""What callers are told while the leader does not answer."""

import asyncio
from types import SimpleNamespace

import pytest
from fake_watchable_store import FakeWatchableStore

from bulrushcove.batch.exceptions import JobConflictError
from bulrushcove.batch.job_state import JobPhase
from bulrushcove.clock import SystemClock
from bulrushcove.exceptions import PeerUnreachableError
from bulrushcove.ids import JobId, OrganisationId
from bulrushcove.node import job_request_router as router_module
from bulrushcove.node.exceptions import (
    OutcomeUnknownError,
    ServiceUnavailableError,
)
from bulrushcove.node.job_request_router import JobRequestRouter
from bulrushcove.node.messages import (
    JobAnswer,
    Submit,
    SubmitOutcome,
    Submitted,
)
from bulrushcove.node.peers import PeerNotConnectedError

JOB = JobId('a' * 16)
DEADLINE_S = 0.3


class FakePeers:
    """Gives the responses of the leader, or its errors, in turn."""

    def __init__(self):
        self.known_addresses = {'vm-2:1'}
        self.responses = []
        self.addresses = []

    async def request(self, address, message, response_type, timeout_s):
        self.addresses.append(address)
        response = self.responses[0]
        if len(self.responses) > 1:
            self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return None, response


class Rig:
    """A VM that follows a leader on another VM, or leads itself."""

    def __init__(self):
        self.peers = FakePeers()
        self.leadership = SimpleNamespace(
            leader=SimpleNamespace(address='vm-2:1'),
            is_leader_reachable=True,
            has_authority=True,
            loop_delay=SimpleNamespace(longest_wait_s=float),
        )
        self.clock = SystemClock()
        self.router = JobRequestRouter(
            self.leadership,
            self.peers,
            FakeWatchableStore(self.clock),
            self.clock,
        )

    async def cancel(self):
        return await self.router.query_job(
            JOB,
            OrganisationId('mill'),
            should_cancel=True,
            deadline_s=self.clock.monotonic_s() + DEADLINE_S,
        )


@pytest.fixture
def rig(monkeypatch):
    monkeypatch.setattr(router_module, 'RETRY_S', 0.01)
    return Rig()


async def test_a_cancellation_without_an_answer_is_of_unknown_outcome(rig):
    """503 would tell the caller that the job was not cancelled."""
    rig.peers.responses = [
        PeerUnreachableError('no response'),
        PeerNotConnectedError('the leader is gone'),
    ]
    with pytest.raises(OutcomeUnknownError, match='not confirmed'):
        await rig.cancel()


async def test_a_leader_that_could_not_confirm_may_have_cancelled(rig):
    """It lost its leadership while it stored the end of the job."""
    rig.peers.responses = [JobAnswer('', is_known=False)]
    with pytest.raises(OutcomeUnknownError):
        await rig.cancel()


async def test_a_cancellation_that_was_not_sent_had_no_effect(rig):
    rig.peers.responses = [PeerNotConnectedError('refused')]
    with pytest.raises(ServiceUnavailableError):
        await rig.cancel()


async def test_a_cancellation_reaches_the_leader_through_another_vm(rig):
    """Behind a cut to the leader it got 503, while the job ran on."""
    rig.peers.known_addresses.add('vm-3:1')
    rig.leadership.is_leader_reachable = False
    rig.peers.responses = [JobAnswer(JobPhase.CANCELLED.value)]
    assert await rig.cancel() is JobPhase.CANCELLED
    assert rig.peers.addresses == ['vm-3:1']


async def test_a_later_answer_confirms_a_cancellation(rig):
    rig.peers.responses = [
        PeerUnreachableError('no response'),
        JobAnswer(JobPhase.CANCELLED.value),
    ]
    assert await rig.cancel() is JobPhase.CANCELLED


async def test_the_leader_itself_answers_before_the_deadline(rig):
    """While the store is away it waited for its own write without end."""

    async def wait_for_the_store(job, organisation):
        await asyncio.Event().wait()

    rig.router.scheduler = SimpleNamespace(
        is_loaded=True,
        job_requests=SimpleNamespace(cancel=wait_for_the_store),
    )
    started_at_s = rig.clock.monotonic_s()
    with pytest.raises(OutcomeUnknownError):
        await rig.cancel()
    assert rig.clock.monotonic_s() - started_at_s <= DEADLINE_S


async def test_a_submission_without_time_is_refused_before_it_is_sent(rig):
    """It was sent with 5 ms left and reported as possibly accepted."""
    rig.peers.responses = [PeerUnreachableError('no response')]
    left_s = router_module.RESPONSE_MARGIN_S + 0.005
    with pytest.raises(ServiceUnavailableError, match='in time'):
        await rig.router.submit(
            SimpleNamespace(job=JOB), rig.clock.monotonic_s() + left_s
        )


@pytest.mark.parametrize(
    'outcome', [SubmitOutcome.UNAVAILABLE, SubmitOutcome.REFUSED]
)
async def test_a_previous_leader_does_not_refuse_what_the_new_one_accepted(
    rig, outcome
):
    """The caller was told 503 although its job had been accepted and ran."""
    rig.peers.responses = [
        PeerUnreachableError('accepted, but the response was lost'),
        Submitted(outcome, 'the store is unavailable', 1.0),
    ]
    with pytest.raises(OutcomeUnknownError):
        await rig.router.submit(
            SimpleNamespace(job=JOB), rig.clock.monotonic_s() + 2 * DEADLINE_S
        )


async def test_a_cancelled_submission_is_not_sent_again(rig):
    """The leader that refuses it knows what earlier leaders accepted."""
    rig.peers.responses = [
        PeerUnreachableError('no response'),
        Submitted(SubmitOutcome.CONFLICT, 'cancelled'),
    ]
    with pytest.raises(JobConflictError, match='cancelled'):
        await rig.router.submit(
            SimpleNamespace(job=JOB), rig.clock.monotonic_s() + 60
        )
    assert len(rig.peers.addresses) == 2


async def test_a_submission_is_not_sent_again_for_ever(rig, monkeypatch):
    """Callers may state a deadline of days; cancellations are forgotten."""
    monkeypatch.setattr(router_module, 'MAX_SUBMISSION_TIME_S', DEADLINE_S)
    rig.peers.responses = [PeerUnreachableError('no response')]
    with pytest.raises(OutcomeUnknownError):
        async with asyncio.timeout(3 * DEADLINE_S):
            await rig.router.submit(
                SimpleNamespace(job=JOB), rig.clock.monotonic_s() + 1e6
            )


async def test_a_refused_submission_is_reported_at_once(rig):
    rig.peers.responses = [Submitted(SubmitOutcome.UNAVAILABLE, 'away', 1.0)]
    with pytest.raises(ServiceUnavailableError, match='away'):
        await rig.router.submit(
            SimpleNamespace(job=JOB), rig.clock.monotonic_s() + 60
        )


async def test_a_submission_that_outwaited_its_caller_is_not_accepted(rig):
    """The caller had given up and cancelled the job, which then ran."""
    rig.leadership.loop_delay.longest_wait_s = lambda: 60.0
    rig.peers.responses = [Submitted(SubmitOutcome.ACCEPTED)]
    with pytest.raises(ServiceUnavailableError):
        await rig.router.submit(
            SimpleNamespace(job=JOB), rig.clock.monotonic_s() + 3
        )
    assert not rig.peers.addresses


async def test_a_submission_that_outwaited_a_peer_is_not_forwarded(rig):
    rig.leadership.loop_delay.longest_wait_s = lambda: 60.0
    rig.peers.responses = [Submitted(SubmitOutcome.ACCEPTED)]
    request = Submit(SimpleNamespace(job=JOB), wait_ms=3000)
    answer = await rig.router.handle_submit(request)
    assert answer.outcome is SubmitOutcome.NOT_LEADER
    assert not rig.peers.addresses
