"""Ends are acknowledged only to the life of a worker that reported them."""

import asyncio
import logging

import pytest
from batch_builders import Bench, entry, job_spec, report
from test_node_worker_link import RecordingEventHandler

from bulrushcove.batch.ids import RunRef, TaskRef
from bulrushcove.batch.job_state import JobPhase
from bulrushcove.batch.membership import record_entry
from bulrushcove.batch.orders import WorkerCallError
from bulrushcove.batch.workers import EndKind
from bulrushcove.clock import ManualClock
from bulrushcove.ids import Epoch
from bulrushcove.node import worker_link as link_module
from bulrushcove.node.worker_link import WorkerLink
from bulrushcove.node.worker_orders import START_TTL_MS

LEASE_MS = 8000
MAX_LEASE_MS = 10_000


class FakeClient:
    """Answers each poll with the next report, and records what it says."""

    def __init__(self):
        self.acknowledged = []
        # The life to which each of these polls was addressed.
        self.lives = []
        self.answers = []

    async def report(
        self, epoch, *, started_unix_ms, stored_end, lease_end_ms, wait_ms
    ):
        self.acknowledged.append(stored_end)
        self.lives.append(started_unix_ms)
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def close(self):
        """Do nothing: no connection is open."""


class ReportHandler(RecordingEventHandler):
    """Applies reports to the engine, if told so."""

    applies_reports = False

    def handle_report(self, worker, report, requested_at_s):
        if not self.applies_reports:
            super().handle_report(worker, report, requested_at_s)
            return
        self.bench.engine.apply_report(
            worker,
            report,
            requested_at_s=requested_at_s,
            now_s=self.bench.now_s,
            unix_ms=self.bench.unix_ms,
        )


class Harness:
    """A link to an idle worker whose ends up to 3 are stored."""

    def __init__(self):
        self.bench = Bench(entry('w1'))
        self.worker = self.bench.engine.workers['w1']
        self.worker.ends.processed = 3
        self.clock = ManualClock(self.bench.now_s)
        self.client = FakeClient()
        self.event_handler = ReportHandler(self.bench)
        self.link = WorkerLink(
            self.worker,
            self.client,
            self.event_handler,
            epoch=Epoch(7),
            lease_ms=LEASE_MS,
            max_lease_ms=MAX_LEASE_MS,
            clock=self.clock,
        )


@pytest.fixture
async def harness(monkeypatch):
    monkeypatch.setattr(link_module, 'RETRY_S', 0.001)
    monkeypatch.setattr(link_module, 'MAX_RETRY_S', 0.001)
    opened_harness = Harness()
    yield opened_harness
    await opened_harness.link.stop()


async def answer_nothing(epoch, order):
    await asyncio.Event().wait()


async def settle():
    await asyncio.sleep(0.05)


async def test_the_log_tells_which_ends_are_acknowledged_to_which_life(
    harness, caplog
):
    harness.client.answers = [report(), report()]
    with caplog.at_level(logging.INFO):
        await harness.link.start()
        await settle()
    (line,) = [
        record for record in caplog.records if record.msg == 'ends.acknowledged'
    ]
    assert (line.worker, line.through, line.incarnation) == ('w1', 3, 1)


async def test_an_idle_worker_is_polled_without_the_numbers_before(harness):
    """It had restarted; ends that it had not reported yet were forgotten."""
    harness.client.answers = [report(), report()]
    await harness.link.start()
    await settle()
    assert harness.client.acknowledged == [3]
    harness.clock.advance(60)
    harness.bench.submit(job_spec('job'))
    harness.bench.start_all()
    harness.link.wake()
    await settle()
    assert harness.client.acknowledged == [3, 0, 0]


async def test_ends_are_acknowledged_to_the_life_that_reported_them(harness):
    """It may have restarted while it did not answer, or while it was idle."""
    harness.client.answers = [
        WorkerCallError('no answer'),
        WorkerCallError('no answer'),
        report(),
    ]
    await harness.link.start()
    await settle()
    assert harness.client.acknowledged == [3, 3, 3]
    assert set(harness.client.lives) == {1}


async def test_another_life_is_acknowledged_nothing_of_the_one_before(harness):
    """A leader that was paused meanwhile may hear of it by its own poll."""
    harness.event_handler.applies_reports = True
    harness.worker.orphans.add(RunRef(TaskRef('job', 0, 0, 0), 1))
    harness.client.answers = [report(started_unix_ms=2)]
    await harness.link.start()
    await settle()
    harness.worker.orphans.add(RunRef(TaskRef('job', 0, 0, 0), 1))
    harness.link.wake()
    await settle()
    polls = zip(harness.client.lives, harness.client.acknowledged, strict=True)
    assert list(polls) == [(1, 3), (2, 0)]


async def test_an_idle_worker_with_a_new_entry_is_polled_before_it_gets_work(
    harness,
):
    """Its starts had deadlines on the clock of the life before."""
    harness.client.answers = [report(), report()]
    await harness.link.start()
    await settle()
    harness.bench.add_worker(entry('w1', started_unix_ms=2))
    harness.bench.submit(job_spec('job'))
    assert not harness.bench.plan().starts
    harness.link.wake()
    await settle()
    assert harness.client.acknowledged == [3, 0, 0]
    harness.bench.report('w1', started_unix_ms=2)
    assert harness.bench.plan().starts


async def test_a_poll_names_the_known_life_while_another_one_may_be_up(harness):
    """What it carries is not for the other one."""
    harness.worker.unknown_incarnation_since_s = harness.bench.now_s
    harness.client.answers = [report(), report()]
    await harness.link.start()
    await settle()
    assert set(harness.client.lives) == {1}


def test_a_report_requested_before_the_new_entry_tells_nothing_of_it():
    bench = Bench(entry('w1'))
    requested_at_s = bench.now_s
    bench.advance(1)
    worker = bench.add_worker(entry('w1', started_unix_ms=2))
    bench.engine.apply_report(
        worker,
        report(bench.clock_ms),
        requested_at_s=requested_at_s,
        now_s=bench.now_s,
        unix_ms=bench.unix_ms,
    )
    bench.submit(job_spec('job'))
    assert not bench.plan().starts
    bench.report('w1')
    assert bench.plan().starts


def test_an_entry_without_a_start_time_bars_no_worker():
    bench = Bench(entry('w1'))
    bench.add_worker(entry('w1', started_unix_ms=0))
    bench.submit(job_spec('job'))
    assert bench.plan().starts


async def test_a_start_grants_a_lease_until_its_deadline(harness):
    """Also after a long silence: no life reads it on another clock."""
    bench = harness.bench
    worker = harness.worker
    bench.submit(job_spec('job'))
    (start,) = bench.plan().starts
    harness.clock.advance(60)
    clock_ms = worker.estimate_clock_ms(harness.clock.monotonic_s())
    harness.client.start = answer_nothing
    harness.link.orders.order_start(start)
    await settle()
    assert start.worker_started_unix_ms == 1
    assert worker.max_lease_end_ms == clock_ms + START_TTL_MS


def test_numbers_do_not_outlive_a_silent_incarnation():
    """Its next one has other ends; they were taken for processed."""
    bench = Bench(entry('w1'))
    jobs = [bench.submit(job_spec(name)) for name in 'ab']
    first, _ = bench.start_all().starts
    bench.report('w1', ended=[(1, first.ref, EndKind.DONE, '')])
    engine = bench.engine
    worker = engine.workers['w1']
    engine.end_incarnation(worker, unix_ms=1, now_s=bench.now_s)
    successor = entry('w1', started_unix_ms=2)
    record_entry(engine.workers, engine.reliability, successor, bench.now_s)
    bench.report('w1', started_unix_ms=2)
    (third,) = bench.plan().starts
    bench.report(
        'w1',
        ended=[(1, third.ref, EndKind.DONE, '')],
        started_unix_ms=2,
    )
    assert jobs[1].phase is JobPhase.SUCCEEDED
    assert worker.ends.stored == 0
