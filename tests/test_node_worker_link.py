"""Orders and polls of one worker, with lost responses and rejected orders."""

import asyncio

import pytest
from batch_builders import Bench, entry, job_spec, report

from bulrushcove.batch.job_spec import StepSpec, TaskSize
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
MAX_LEASE_MS = 10_000


class FakeWorkerClient:
    """A worker client with the responses that the test sets."""

    def __init__(self):
        self.leases = []
        # That the polls named.
        self.incarnations = []
        self.stops = []
        self.starts = []
        self.reports = [report()]
        self.start_outcome = OrderOutcome.DONE
        # Outcomes of the first starts; later ones get ``start_outcome``.
        self.initial_start_outcomes = []
        # Outcomes of the first stops; later ones are carried out.
        self.initial_stop_outcomes = []

    async def report(
        self, epoch, *, started_unix_ms, stored_end, lease_end_ms, wait_ms
    ):
        self.leases.append(lease_end_ms)
        self.incarnations.append(started_unix_ms)
        await asyncio.sleep(0)
        response = self.reports[0]
        if len(self.reports) > 1:
            self.reports.pop(0)
        if isinstance(response, Exception):
            raise response
        return response

    async def start(self, epoch, order):
        self.starts.append(order)
        if self.initial_start_outcomes:
            return OrderReply(self.initial_start_outcomes.pop(0), 1000)
        return OrderReply(self.start_outcome, 1000)

    async def stop(self, epoch, ref):
        self.stops.append(ref)
        if self.initial_stop_outcomes:
            return OrderReply(self.initial_stop_outcomes.pop(0), 1000)
        return OrderReply(OrderOutcome.DONE, 1000)

    async def close(self):
        """Do nothing: no connection is open."""


class RecordingEventHandler:
    """Records the events of the link."""

    def __init__(self, bench):
        self.bench = bench
        self.events = []
        self.is_wanted = True
        self.is_late = False
        self.has_authority = True
        self.longest_ms = LEASE_MS

    def was_late_since(self, since_s):
        return self.is_late

    def may_send_orders(self):
        return self.has_authority

    def longest_lease_ms(self, worker):
        return self.longest_ms

    def is_start_wanted(self, allocation):
        return self.is_wanted

    def may_resend_start(self, allocation):
        return self.is_wanted

    def handle_report(self, worker, report, requested_at_s):
        worker.has_reported = True
        worker.record_clock(report.clock_ms, self.bench.now_s, requested_at_s)

    def handle_started(self, allocation):
        self.bench.engine.confirm_starts((allocation,), self.bench.now_s)

    def handle_start_rejected(self, allocation, outcome):
        self.events.append(outcome)

    def handle_run_ended(self, allocation, kind):
        self.events.append(kind.value)

    def handle_failed_poll(self, worker):
        self.events.append('failed-poll')

    def handle_worker_replaced(self, worker):
        self.events.append('replaced')
        worker.allocations.clear()

    def handle_fenced(self, worker):
        self.events.append('fenced')


class Harness:
    """A link to one worker with one placed run."""

    def __init__(self):
        self.bench = Bench(entry('w1'))
        self.bench.submit(job_spec('job'))
        self.allocation = self.bench.plan().starts[0]
        self.worker = self.bench.engine.workers['w1']
        self.client = FakeWorkerClient()
        self.event_handler = RecordingEventHandler(self.bench)
        self.link = WorkerLink(
            self.worker,
            self.client,
            self.event_handler,
            epoch=Epoch(7),
            lease_ms=LEASE_MS,
            max_lease_ms=MAX_LEASE_MS,
            clock=ManualClock(self.bench.now_s),
        )


@pytest.fixture
async def harness(monkeypatch):
    monkeypatch.setattr(link_module, 'RETRY_S', 0.001)
    monkeypatch.setattr(orders_module, 'UNANSWERED_RETRY_S', 0.001)
    monkeypatch.setattr(link_module, 'MAX_RETRY_S', 0.001)
    opened_harness = Harness()
    yield opened_harness
    await opened_harness.link.stop()


async def settle():
    await asyncio.sleep(0.05)


async def test_a_start_carries_the_deadline_of_its_allocation(harness):
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


async def test_a_start_without_a_response_is_sent_again(harness):
    """Stopping the run after a lost response would stop its whole gang."""
    harness.client.initial_start_outcomes = [OrderOutcome.UNKNOWN]
    harness.link.orders.order_start(harness.allocation)
    await settle()
    first, second = harness.client.starts
    # Both attempts have the same deadline, so a late copy is rejected.
    assert first == second
    assert harness.client.stops == []
    assert harness.allocation.phase is AllocationPhase.RUNNING


@pytest.mark.parametrize(
    'outcome',
    [OrderOutcome.STALE_RUN, OrderOutcome.UNHEALTHY, OrderOutcome.NO_TICKET],
)
async def test_a_rejected_retry_of_a_start_may_have_run(harness, outcome):
    """The first attempt may have run and ended; the next report decides."""
    harness.client.initial_start_outcomes = [OrderOutcome.UNKNOWN]
    harness.client.start_outcome = outcome
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert harness.event_handler.events == []
    assert harness.allocation.ref in harness.worker.allocations


async def test_a_start_names_the_incarnation_on_which_it_was_placed(harness):
    """Its record was stored while the worker restarted."""
    harness.worker.begin_incarnation(2)
    harness.link.orders.order_start(harness.allocation)
    await settle()
    (order,) = harness.client.starts
    assert order.started_unix_ms == 1


async def test_a_start_that_reaches_no_worker_is_repeated_and_released(harness):
    """Nothing was sent, so there is nothing to stop."""
    harness.client.start_outcome = OrderOutcome.UNREACHED
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert len(harness.client.starts) == orders_module.MAX_START_ATTEMPTS
    assert harness.client.stops == []
    assert harness.event_handler.events == [OrderOutcome.UNREACHED]


async def test_a_start_that_reached_a_worker_once_is_stopped(harness):
    harness.client.initial_start_outcomes = [OrderOutcome.UNKNOWN]
    harness.client.start_outcome = OrderOutcome.UNREACHED
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert harness.client.stops == [harness.allocation.ref]
    assert harness.event_handler.events == []


async def test_a_start_for_an_incarnation_that_is_gone_is_released(harness):
    """It is neither repeated nor stopped on the next incarnation."""
    harness.client.start_outcome = OrderOutcome.OTHER_INCARNATION
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert len(harness.client.starts) == 1
    assert harness.client.stops == []
    assert harness.event_handler.events == [OrderOutcome.OTHER_INCARNATION]


@pytest.mark.parametrize(
    'outcome',
    [
        OrderOutcome.UNREACHED,
        OrderOutcome.OTHER_INCARNATION,
        OrderOutcome.TOO_LATE,
    ],
)
async def test_a_worker_of_which_little_is_known_reports_before_it_gets_work(
    harness, outcome
):
    """It may have restarted, or its clock is ahead of the estimate."""
    harness.client.start_outcome = outcome
    harness.link.orders.order_start(harness.allocation)
    await settle()
    harness.worker.allocations.clear()
    harness.bench.submit(job_spec('next'))
    assert not harness.bench.plan().starts
    await harness.link.start()
    await settle()
    assert harness.client.leases
    harness.bench.report('w1')
    assert harness.bench.plan().starts


async def test_a_poll_names_the_incarnation_that_reported_last(harness):
    await harness.link.start()
    await settle()
    assert set(harness.client.incarnations) == {1}


async def test_a_start_that_is_no_longer_wanted_is_not_retried(harness):
    harness.client.initial_start_outcomes = [OrderOutcome.UNKNOWN]
    start = harness.client.start

    async def withdraw_and_start(epoch, order):
        harness.event_handler.is_wanted = False
        return await start(epoch, order)

    harness.client.start = withdraw_and_start
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert len(harness.client.starts) == 1
    assert harness.client.stops == [harness.allocation.ref]


@pytest.mark.parametrize(
    'outcome', [OrderOutcome.NO_CAPACITY, OrderOutcome.UNHEALTHY]
)
async def test_a_rejected_start_is_reported(harness, outcome):
    harness.client.start_outcome = outcome
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert harness.event_handler.events == [outcome]


async def test_a_start_that_is_no_longer_wanted_is_not_sent(harness):
    harness.event_handler.is_wanted = False
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert harness.client.starts == []
    assert harness.event_handler.events == ['never-started']


async def test_a_fenced_start_is_reported(harness):
    harness.client.start_outcome = OrderOutcome.FENCED
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert harness.event_handler.events == ['fenced']


async def test_failed_polls_do_not_extend_the_lease(harness):
    harness.client.reports = [WorkerCallError('no response')]
    await harness.link.start()
    await settle()
    first, *others = harness.client.leases
    assert first is not None
    assert len(others) > 3
    assert set(others) == {None}
    assert harness.worker.max_lease_end_ms == first


async def test_the_lease_is_extended_after_a_successful_poll(harness):
    harness.client.reports = [
        WorkerCallError('no response'),
        report(),
        report(),
    ]
    await harness.link.start()
    await settle()
    assert harness.client.leases[1] is None
    assert harness.client.leases[2] is not None


async def test_a_lease_is_withheld_while_its_stored_expiry_counts(harness):
    harness.event_handler.longest_ms = 0
    await harness.link.start()
    await settle()
    assert set(harness.client.leases) == {None}
    harness.event_handler.longest_ms = LEASE_MS
    await settle()
    assert harness.client.leases[-1] is not None


async def test_a_lease_ends_with_what_the_leader_may_grant(harness):
    """During an outage of the store a later leader would wait for longer."""
    harness.event_handler.longest_ms = 2000
    await harness.link.start()
    await settle()
    longest = max(lease for lease in harness.client.leases if lease)
    assert longest <= harness.bench.clock_ms + 2000


async def test_another_incarnation_at_the_address_is_reported(harness):
    harness.client.reports = [WorkerReplacedError('another worker')]
    await harness.link.start()
    await settle()
    assert 'replaced' in harness.event_handler.events


async def test_a_draining_worker_gets_short_leases(harness):
    harness.bench.add_worker(entry('w1', is_draining=True, shutdown_in_ms=3000))
    await harness.link.start()
    await settle()
    longest = max(lease for lease in harness.client.leases if lease)
    assert longest <= harness.bench.clock_ms + link_module.DRAINING_LEASE_MS


async def test_an_idle_worker_is_not_polled(harness):
    harness.worker.allocations.clear()
    await harness.link.start()
    await settle()
    assert harness.client.leases == []


async def test_a_poll_that_failed_while_this_process_was_late_is_ignored(
    harness,
):
    """A new leader with much to do took its workers for silent."""
    harness.event_handler.is_late = True
    harness.client.reports = [WorkerCallError('no response'), report()]
    await harness.link.start()
    await settle()
    assert harness.worker.failed_polls == 0
    assert harness.event_handler.events == []
    assert harness.client.leases[1] is not None


async def test_a_silent_worker_is_noticed_also_by_a_late_process(harness):
    harness.event_handler.is_late = True
    harness.client.reports = [WorkerCallError('no response')]
    await harness.link.start()
    await settle()
    assert harness.worker.failed_polls > 0


async def test_a_start_is_sent_again_while_this_process_is_late(harness):
    """Stopping a member that was only asked late aborts its gang."""
    harness.event_handler.is_late = True
    harness.client.initial_start_outcomes.extend(
        OrderOutcome.UNKNOWN for _ in range(5)
    )
    harness.link.orders.order_start(harness.allocation)
    await settle()
    assert len(harness.client.starts) == 6
    assert harness.client.stops == []


async def test_the_first_poll_counts_also_without_a_response(harness):
    harness.client.reports = [WorkerCallError('no response')]
    await harness.link.start()
    await settle()
    assert harness.link.was_polled.is_set()


async def test_a_link_stopped_before_its_first_poll_blocks_no_other(harness):
    await harness.link.start()
    await harness.link.stop()
    assert harness.link.was_polled.is_set()


async def test_an_unexpected_error_in_a_report_ends_no_other_poll(harness):
    """One report that cannot be handled once took the process down."""
    handle_report = harness.event_handler.handle_report
    errors = [KeyError('unexpected')]

    def fail_once(*arguments):
        if errors:
            raise errors.pop()
        handle_report(*arguments)

    harness.event_handler.handle_report = fail_once
    await harness.link.start()
    await settle()
    assert harness.worker.has_reported
    assert not harness.link.crashed


async def test_a_process_that_was_paused_stops_nothing_without_authority(
    harness, monkeypatch
):
    """Another VM may lead by then and go on with the run."""
    monkeypatch.setattr(orders_module, 'STOP_RETRY_S', 0.001)
    harness.link.orders.order_start(harness.allocation)
    await settle()
    harness.event_handler.has_authority = False
    harness.link.orders.order_stop(harness.allocation)
    harness.link.orders.stop_orphan(harness.allocation.ref)
    await settle()
    assert harness.client.stops == []
    harness.event_handler.has_authority = True
    await settle()
    assert harness.client.stops == [harness.allocation.ref]


@pytest.mark.parametrize(
    'outcome',
    [
        OrderOutcome.UNKNOWN,
        OrderOutcome.NOT_SENT,
        OrderOutcome.UNHEALTHY,
        OrderOutcome.OTHER_WORKER,
    ],
)
async def test_a_stop_is_sent_until_the_worker_carries_it_out(
    harness, outcome, monkeypatch
):
    monkeypatch.setattr(orders_module, 'STOP_RETRY_S', 0.001)
    harness.link.orders.order_start(harness.allocation)
    await settle()
    harness.client.initial_stop_outcomes = [outcome, outcome]
    harness.link.orders.order_stop(harness.allocation)
    await settle()
    assert len(harness.client.stops) == 3
    assert set(harness.client.stops) == {harness.allocation.ref}
    assert harness.allocation.stop_confirmed_at_s is not None


async def test_a_run_that_ended_is_not_stopped_again(harness):
    harness.link.orders.order_start(harness.allocation)
    await settle()
    harness.client.initial_stop_outcomes = [OrderOutcome.UNKNOWN]
    harness.link.orders.order_stop(harness.allocation)
    harness.worker.allocations.clear()
    await settle()
    assert harness.client.stops == []


@pytest.mark.parametrize(
    ('count', 'wait_ms'), [(1, 251), (8, 258), (500, 750), (2000, 1500)]
)
def test_reports_of_many_runs_are_asked_for_less_often(count, wait_ms):
    """Four a second of thousands of runs took all of the loop's time."""
    bench = Bench(entry('w1'))
    size = TaskSize(10, 0, 0)
    bench.submit(
        job_spec('job', StepSpec(task_count=count, size=size, is_gang=True))
    )
    assert len(bench.plan().starts) == count
    link = WorkerLink(
        bench.engine.workers['w1'],
        FakeWorkerClient(),
        RecordingEventHandler(bench),
        epoch=Epoch(1),
        lease_ms=LEASE_MS,
        max_lease_ms=MAX_LEASE_MS,
        clock=ManualClock(),
    )
    assert link._report_wait_ms() == wait_ms
