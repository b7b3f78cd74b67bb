"""Orders to one worker, and what follows from answers that do not come."""

import asyncio

import pytest
from batch_builders import Bench, entry, job_spec, report

from bulrushcove.batch.job_state import AllocationPhase
from bulrushcove.batch.orders import (
    OrderOutcome,
    OrderReply,
    WorkerCallError,
    WorkerReplacedError,
)
from bulrushcove.clock import ManualClock
from bulrushcove.ids import Epoch
from bulrushcove.node import worker_link as link_module
from bulrushcove.node import worker_orders as orders_module
from bulrushcove.node.worker_link import WorkerLink

LEASE_MS = 8000


class FakeWorkerClient:
    """A worker that answers what the test says."""

    def __init__(self):
        self.leases = []
        self.stops = []
        self.starts = []
        self.reports = [report()]
        self.start_outcome = OrderOutcome.DONE
        # What the first starts get before that.
        self.initial_start_outcomes = []

    async def report(self, epoch, *, stored_end, lease_end_ms, wait_ms):
        self.leases.append(lease_end_ms)
        await asyncio.sleep(0)
        answer = self.reports[0]
        if len(self.reports) > 1:
            self.reports.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def start(self, epoch, order):
        self.starts.append(order)
        if self.initial_start_outcomes:
            return OrderReply(self.initial_start_outcomes.pop(0), 1000)
        return OrderReply(self.start_outcome, 1000)

    async def stop(self, epoch, ref):
        self.stops.append(ref)
        return OrderReply(OrderOutcome.DONE, 1000)

    async def close(self):
        """Nothing is open."""


class RecordingEventHandler:
    """Takes note of what the link tells."""

    def __init__(self, bench):
        self.bench = bench
        self.events = []
        self.is_wanted = True

    def may_send_orders(self):
        return True

    def is_start_wanted(self, allocation):
        return self.is_wanted

    def may_resend_start(self, allocation):
        return self.is_wanted

    def handle_report(self, worker, report, requested_at_s):
        worker.has_reported = True
        worker.record_clock(report.clock_ms, self.bench.now_s)

    def handle_started(self, allocation):
        self.bench.engine.confirm_starts((allocation,), self.bench.now_s)

    def handle_start_rejected(self, allocation, outcome):
        self.events.append(outcome)

    def handle_run_ended(self, allocation, kind):
        self.events.append(kind.value)

    def handle_failed_poll(self, worker):
        self.events.append('silent')

    def handle_worker_replaced(self, worker):
        self.events.append('gone')
        worker.allocations.clear()

    def handle_fenced(self, worker):
        self.events.append('fenced')


class Harness:
    """A link to one worker on which one run was placed."""

    def __init__(self):
        self.bench = Bench(entry('w1'))
        self.bench.submit(job_spec('job'))
        self.allocation = self.bench.plan().starts[0]
        self.worker = self.bench.engine.workers['w1']
        self.client = FakeWorkerClient()
        self.events = RecordingEventHandler(self.bench)
        self.link = WorkerLink(
            self.worker,
            self.client,
            self.events,
            epoch=Epoch(7),
            lease_ms=LEASE_MS,
            clock=ManualClock(self.bench.now_s),
        )


@pytest.fixture
async def harness(monkeypatch):
    monkeypatch.setattr(link_module, 'RETRY_S', 0.001)
    monkeypatch.setattr(orders_module, 'UNANSWERED_RETRY_S', 0.001)
    monkeypatch.setattr(link_module, 'MAX_RETRY_S', 0.001)
    harness_under_test = Harness()
    yield harness_under_test
    await harness_under_test.link.stop()


async def settle():
    await asyncio.sleep(0.05)


async def test_a_start_carries_a_deadline_after_which_it_is_refused(harness):
    harness.link.orders.order_start(harness.allocation)
    await settle()
    (order,) = harness.client.starts
    assert order.deadline_ms == harness.allocation.start_deadline_ms
    assert harness.allocation.phase is AllocationPhase.RUNNING


async def test_an_unanswered_start_is_stopped(harness):
    harness.client.start_outcome = OrderOutcome.UNKNOWN
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert harness.client.stops == [harness.allocation.ref]
    assert harness.allocation.stop_confirmed_at_s is not None


async def test_a_start_whose_answer_is_lost_is_sent_again(harness):
    """Stopping it would stop its whole gang."""
    harness.client.initial_start_outcomes = [OrderOutcome.UNKNOWN]
    harness.link.orders.order_start(harness.allocation)
    await settle()
    first, second = harness.client.starts
    # A copy that arrives late is refused: the deadline is the first one's.
    assert first == second
    assert harness.client.stops == []
    assert harness.allocation.phase is AllocationPhase.RUNNING


@pytest.mark.parametrize(
    'outcome',
    [OrderOutcome.STALE_RUN, OrderOutcome.UNHEALTHY, OrderOutcome.NO_TICKET],
)
async def test_a_repeated_start_that_is_refused_may_have_run(harness, outcome):
    """The copy without an answer may have begun and ended: a report tells."""
    harness.client.initial_start_outcomes = [OrderOutcome.UNKNOWN]
    harness.client.start_outcome = outcome
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert harness.events.events == []
    assert harness.allocation.ref in harness.worker.allocations


async def test_an_unanswered_start_is_not_repeated_once_given_up(harness):
    harness.client.initial_start_outcomes = [OrderOutcome.UNKNOWN]
    start = harness.client.start

    async def give_up(epoch, order):
        harness.events.is_wanted = False
        return await start(epoch, order)

    harness.client.start = give_up
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert len(harness.client.starts) == 1
    assert harness.client.stops == [harness.allocation.ref]


@pytest.mark.parametrize(
    'outcome', [OrderOutcome.NO_CAPACITY, OrderOutcome.UNHEALTHY]
)
async def test_a_refused_start_frees_its_seat(harness, outcome):
    harness.client.start_outcome = outcome
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert harness.events.events == [outcome]


async def test_a_start_that_is_no_longer_wanted_is_not_sent(harness):
    harness.events.is_wanted = False
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert harness.client.starts == []
    assert harness.events.events == ['never-started']


async def test_a_fenced_start_ends_the_tenure(harness):
    harness.client.start_outcome = OrderOutcome.FENCED
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert harness.events.events == ['fenced']


async def test_a_silent_worker_is_given_no_longer_lease(harness):
    harness.client.reports = [WorkerCallError('silent')]
    await harness.link.start()
    await settle()
    first, *others = harness.client.leases
    assert first is not None
    assert len(others) > 3
    assert set(others) == {None}
    assert harness.worker.max_lease_end_ms == first


async def test_a_worker_that_answers_again_gets_its_lease(harness):
    harness.client.reports = [WorkerCallError('silent'), report(), report()]
    await harness.link.start()
    await settle()
    assert harness.client.leases[1] is None
    assert harness.client.leases[2] is not None


async def test_another_instance_at_the_address_is_told(harness):
    harness.client.reports = [WorkerReplacedError('another')]
    await harness.link.start()
    await settle()
    assert 'gone' in harness.events.events


async def test_a_leaving_worker_gets_short_leases(harness):
    harness.bench.add_worker(entry('w1', is_draining=True, shutdown_in_ms=3000))
    await harness.link.start()
    await settle()
    longest = max(lease for lease in harness.client.leases if lease)
    assert longest <= harness.bench.clock_ms + link_module.DRAINING_LEASE_MS


async def test_nothing_is_asked_of_an_idle_worker(harness):
    harness.worker.allocations.clear()
    await harness.link.start()
    await settle()
    assert harness.client.leases == []
