"""Jobs that the leader refuses: the answer, the log line and the metric."""

import logging

import pytest
from batch_builders import Bench, entry, job_spec, step
from fake_watchable_store import FakeWatchableStore
from test_node_store_writer import open_store_writer

from bulrushcove.batch.exceptions import JobRefusedError
from bulrushcove.clock import ManualClock
from bulrushcove.metrics import new_metrics
from bulrushcove.node.job_records import JobRecords, load_jobs
from bulrushcove.node.job_requests import JobRequestHandler
from bulrushcove.node.metrics import NodeMetrics


def full_engine(now_s):
    """Return an engine whose only worker has work for two minutes."""
    bench = Bench(entry('w1'))
    bench.now_s = now_s
    for _ in range(3):
        bench.engine.estimates.record_run('queue-1', 2000)
    for number in range(60):
        bench.submit(job_spec(f'old{number}', step(1, 8)))
    bench.start_all()
    return bench.engine


async def test_a_job_refused_for_load_is_logged_and_never_stored(caplog):
    clock = ManualClock()
    clock.advance(100)
    store = FakeWatchableStore(clock)
    store_writer = await open_store_writer(store, clock)
    metrics = NodeMetrics(new_metrics())
    handler = JobRequestHandler(
        full_engine(clock.monotonic_s()),
        JobRecords(store_writer),
        clock,
        metrics,
    )
    clock.advance(1.5)
    caplog.set_level(logging.INFO)
    with pytest.raises(JobRefusedError) as refused:
        await handler.submit(job_spec('new', step(1, 8)))
    assert refused.value.retry_after_s > 1
    (line,) = [
        record for record in caplog.records if record.msg == 'job.refused'
    ]
    assert (line.job, line.cause) == ('new', 'overload')
    assert line.age_s < 1
    assert line.wait_s > line.latest_start_s
    assert not (await load_jobs(store, clock)).jobs
    await store_writer.stop()
