"""Runs of jobs that are cancelled while they start, or before a new leader."""

import pytest
from batch_builders import Bench, entry, job_spec, step
from test_node_worker_events import place_tasks

from bulrushcove.batch.job_state import JobPhase, StopReason
from bulrushcove.batch.membership import record_entry
from bulrushcove.batch.records import (
    Submission,
    decode_progress,
    encode_progress,
    restore_job,
)

SPECS = {
    'once': job_spec('job'),
    'gang': job_spec('job', step(2, is_gang=True)),
    'service': job_spec('job', step(is_service=True)),
    'occurrences': job_spec(
        'job', repeat_count=3, first_unix_ms=1, interval_ms=1
    ),
}


def cancel(bench, job):
    return bench.engine.cancel(job, unix_ms=bench.unix_ms, now_s=bench.now_s)


def lead_anew(bench, job):
    """Return a new leader's bench that has loaded the record of ``job``."""
    progress = decode_progress(encode_progress(job))
    submission = Submission(job.spec, job.accepted_unix_ms)
    restored = restore_job(submission, progress, bench.now_s)
    other = Bench()
    other.now_s = bench.now_s
    other.engine.restore([restored], bench.now_s + 12)
    return other


@pytest.mark.parametrize('method', ['is_start_wanted', 'may_resend_start'])
def test_a_start_of_a_cancelled_job_is_not_sent(method):
    """The start waited for its record, or for an answer of the worker."""
    bench, handler, (start,) = place_tasks(1)
    assert getattr(handler, method)(start)
    cancel(bench, start.unit.job)
    assert not getattr(handler, method)(start)


@pytest.mark.parametrize('spec', SPECS.values(), ids=SPECS)
def test_a_new_leader_stops_the_runs_of_a_cancelled_job(spec):
    """The leader ended after the cancellation was stored, before the stops."""
    bench = Bench(entry('w1'))
    job = bench.submit(spec)
    runs = {allocation.ref for allocation in bench.start_all().starts}
    cancel(bench, job)
    bench = lead_anew(bench, job)
    engine = bench.engine
    record_entry(engine.workers, engine.reliability, entry('w1'), bench.now_s)
    plan, _ = bench.report('w1', running=[(ref, '', 0) for ref in runs])
    assert {one.ref for one in plan.stops} == runs
    assert {one.stop_reason for one in plan.stops} == {StopReason.JOB_ENDED}


@pytest.mark.parametrize('spec', SPECS.values(), ids=SPECS)
def test_a_cancelled_job_places_no_run_under_a_new_leader(spec):
    bench = Bench(entry('w1'))
    job = bench.submit(spec)
    bench.start_all()
    cancel(bench, job)
    bench = lead_anew(bench, job)
    bench.add_worker(entry('w1'))
    bench.advance(30)
    assert bench.plan().starts == []
    assert bench.engine.jobs['job'].phase is JobPhase.CANCELLED
