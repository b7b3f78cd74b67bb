"""Starts are sent only while their worker has the capacity for them."""

import logging
from types import SimpleNamespace

import msgspec
import pytest
from batch_builders import Bench, entry, job_spec, report, step

from bulrushcove.batch.interference import PairChange
from bulrushcove.batch.job_spec import TaskSize
from bulrushcove.clock import ManualClock
from bulrushcove.node.worker_events import WorkerEventHandler


def shrink(bench, accelerators):
    """Record an entry of the worker with less capacity."""
    full = entry('w1')
    capacity = TaskSize(32_000, 64_000, accelerators)
    bench.add_worker(msgspec.structs.replace(full, capacity=capacity))


def place_tasks(count):
    bench = Bench(entry('w1'))
    bench.submit(job_spec('job', step(count)))
    starts = bench.plan().starts
    handler = WorkerEventHandler(
        bench.engine,
        SimpleNamespace(),
        SimpleNamespace(has_authority=True),
        ManualClock(),
    )
    return bench, handler, starts


@pytest.mark.parametrize('method', ['is_start_wanted', 'may_resend_start'])
def test_start_is_not_sent_to_a_worker_that_has_shrunk_since(method):
    """The record of a placed run may wait for a slow store meanwhile."""
    bench, handler, starts = place_tasks(4)
    assert all(getattr(handler, method)(start) for start in starts)
    shrink(bench, 3)
    assert not getattr(handler, method)(starts[0])


@pytest.mark.parametrize('method', ['is_start_wanted', 'may_resend_start'])
def test_start_is_not_sent_to_a_worker_that_has_restarted_since(method):
    """A later leader reckons with the incarnation that the record names."""
    bench, handler, (start,) = place_tasks(1)
    assert getattr(handler, method)(start)
    bench.report('w1', started_unix_ms=2)
    assert not getattr(handler, method)(start)


def test_a_run_on_another_incarnation_than_it_was_placed_on_is_logged(caplog):
    """No order crosses from one to the other, as far as is known."""
    bench, handler, (start,) = place_tasks(1)
    start.is_start_sent = True
    crossed = report(
        clock_ms=10, running=[(start.ref, '', 1)], started_unix_ms=2
    )
    with caplog.at_level(logging.ERROR):
        handler.handle_report(bench.engine.workers['w1'], crossed, bench.now_s)
    (line,) = caplog.records
    assert (line.msg, line.worker, line.incarnation) == ('run.crossed', 'w1', 2)


def test_runs_that_are_being_stopped_count_against_a_shrunk_worker():
    bench, handler, starts = place_tasks(4)
    stopping = starts[:2]
    for allocation in stopping:
        allocation.is_start_sent = True
    bench.engine.cancel(starts[0].unit.job, unix_ms=1, now_s=bench.now_s)
    bench.submit(job_spec('next', step(4)))
    placed = bench.plan().starts
    shrink(bench, 4)
    assert not handler.is_start_wanted(placed[0])


def test_starts_that_still_fit_a_shrunk_worker_are_sent():
    bench, handler, starts = place_tasks(4)
    shrink(bench, 3)
    handler.handle_start_dropped(starts[0])
    assert all(handler.is_start_wanted(start) for start in starts[1:])
    shrink(bench, 8)
    assert len(bench.plan().starts) == 1


@pytest.mark.parametrize(
    ('failed_after_s', 'is_sent'), [(0, False), (-2, True)]
)
def test_start_is_not_sent_to_a_worker_that_has_failed_since(
    failed_after_s, is_sent
):
    """A start that tries a quarantined worker was placed later and is sent."""
    bench, handler, (start,) = place_tasks(1)
    reliability = bench.engine.reliability
    failed_at_s = start.unit.placed_at_s + 0.01 + failed_after_s
    handler._clock = SimpleNamespace(
        monotonic_s=lambda: start.unit.placed_at_s + 0.02
    )
    for job in ('hopeless-1', 'hopeless-2'):
        reliability.record_failure('w1', job, failed_at_s)
    assert reliability.is_quarantined('w1', handler._clock.monotonic_s())
    assert handler.is_start_wanted(start) == is_sent


def test_only_the_image_that_harms_is_ordered_to_pause(caplog):
    """The change of pairs is logged, one line each."""
    bench = Bench(entry('w1'))
    service = step(is_service=True, target_tail_ms=100, image='web')
    filling = [step(fills_idle=True, image=each) for each in ('index', 'mail')]
    for number, spec in enumerate((service, *filling)):
        bench.submit(job_spec(f'job-{number}', spec))
    bench.start_all()
    worker = bench.engine.workers['w1']
    handler = WorkerEventHandler(
        bench.engine,
        SimpleNamespace(),
        SimpleNamespace(has_authority=True),
        ManualClock(),
    )
    ordered = []
    orders = SimpleNamespace(
        order_throttle=lambda allocation, percent: ordered.append(
            (allocation.unit.spec.image, percent)
        )
    )
    link = SimpleNamespace(worker=worker, orders=orders)
    handler.find_link = lambda _worker: link
    model = bench.engine.interference
    model._named['web', 'index'] = 0.7
    named = PairChange(
        victim='web',
        neighbour='index',
        is_named=True,
        slowdown=1.0,
        observations=5.0,
    )
    model.observe = lambda *_args: [named]
    rows = [(ref, '', 100, 100) for ref in worker.allocations]
    with caplog.at_level(logging.INFO):
        handler.handle_report(worker, report(2000, rows), bench.now_s)
    assert ordered == [('index', 0)]
    assert [
        record.by
        for record in caplog.records
        if record.msg == 'interference.learnt'
    ] == ['index']
