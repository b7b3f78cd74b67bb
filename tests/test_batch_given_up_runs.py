"""Ends of runs that the leader gave up while their worker was silent."""

import pytest
from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.job_state import (
    JobPhase,
    StopReason,
    UnitPhase,
    find_unit,
)
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from bulrushcove.batch.workers import EndKind

LEASE_S = 8


def give_up(bench, name='w1'):
    """Let the lease of a silent worker expire."""
    worker = bench.engine.workers[name]
    worker.record_lease(bench.clock_ms + LEASE_S * 1000)
    worker.failed_polls = 1
    bench.advance(LEASE_S + 1)
    return bench.engine.expire_leases(unix_ms=bench.unix_ms, now_s=bench.now_s)


def report_end(bench, run, kind, checkpoint='', name='w1'):
    plan, _ = bench.report(name, ended=[(1, run.ref, kind, checkpoint)])
    return plan


def started(*steps, workers=1, **others):
    """Return a bench with a job that has started, and its runs."""
    bench = Bench(*(entry(f'w{number + 1}') for number in range(workers)))
    bench.job = bench.submit(job_spec('job', *steps, **others))
    return bench, bench.start_all().starts


def test_a_task_that_was_done_on_a_silent_worker_is_not_started_again():
    """The end was acknowledged without an effect, and the task ran twice."""
    bench, (run,) = started()
    give_up(bench)
    plan = report_end(bench, run, EndKind.DONE)
    assert bench.job.phase is JobPhase.SUCCEEDED
    assert plan.ended == [bench.job]
    # The end is acknowledged once the job is stored.
    assert bench.job in plan.changed
    assert not bench.plan().starts


def test_a_new_run_of_a_task_that_was_done_is_stopped():
    bench, (run,) = started(workers=2)
    give_up(bench, run.worker)
    (second,) = bench.start_all().starts
    assert second.worker != run.worker
    plan = report_end(bench, run, EndKind.DONE, name=run.worker)
    assert [second] == plan.stops
    assert second.stop_reason is StopReason.TASK_DONE
    assert bench.job.phase is JobPhase.SUCCEEDED


@pytest.mark.parametrize('kind', [EndKind.STOPPED, EndKind.FAILED])
def test_the_end_of_the_new_run_does_not_undo_that_the_task_is_done(kind):
    bench, (run,) = started(workers=2, attempts=1)
    give_up(bench, run.worker)
    (second,) = bench.start_all().starts
    report_end(bench, run, EndKind.DONE, name=run.worker)
    report_end(bench, second, kind, name=second.worker)
    assert bench.job.phase is JobPhase.SUCCEEDED
    assert bench.job.units[0].phase is UnitPhase.DONE
    assert not bench.plan().starts


def test_a_failure_of_a_run_that_was_given_up_is_no_attempt():
    """Its lease has expired, and such an end does not count."""
    bench, (run,) = started(attempts=1)
    give_up(bench)
    report_end(bench, run, EndKind.FAILED)
    assert bench.job.phase is JobPhase.RUNNING
    assert len(bench.plan().starts) == 1


def test_a_failure_that_is_reported_to_two_leaders_counts_once():
    bench, (run,) = started(attempts=2)
    report_end(bench, run, EndKind.FAILED)
    successor = Bench(entry('w1'))
    successor.job = restore_job(
        decode_submission(encode_submission(bench.job)),
        decode_progress(encode_progress(bench.job)),
        successor.now_s,
    )
    successor.engine.restore([successor.job], successor.now_s)
    report_end(successor, run, EndKind.FAILED)
    assert successor.job.units[0].failures == 1


def test_a_run_that_was_given_up_leaves_its_checkpoint():
    bench, (run,) = started(step(writes_checkpoints=True))
    give_up(bench)
    report_end(bench, run, EndKind.LEASE_EXPIRED, 'half')
    assert bench.job.units[0].checkpoint == 'half'


def test_one_done_member_ends_a_gang_that_was_given_up():
    bench, runs = started(step(2, is_gang=True))
    give_up(bench)
    report_end(bench, runs[0], EndKind.DONE)
    assert bench.job.phase is JobPhase.SUCCEEDED


def test_an_older_run_leaves_the_checkpoint_of_the_newer_one():
    bench, (run,) = started(step(writes_checkpoints=True), workers=2)
    give_up(bench, run.worker)
    bench.start_all()
    bench.job.units[0].checkpoint = 'newer'
    report_end(bench, run, EndKind.LEASE_EXPIRED, 'older', name=run.worker)
    assert bench.job.units[0].checkpoint == 'newer'


def test_an_end_of_a_cancelled_job_changes_nothing():
    bench, (run,) = started()
    give_up(bench)
    bench.engine.cancel(bench.job, unix_ms=1, now_s=bench.now_s)
    report_end(bench, run, EndKind.DONE)
    assert bench.job.phase is JobPhase.CANCELLED
    assert bench.job.units[0].phase is UnitPhase.WAITING


def test_a_run_that_was_never_placed_ends_no_task():
    bench, (run,) = started(step(), step(after=(0,)))
    never_placed = run.ref._replace(task=run.ref.task._replace(step=1))
    bench.report('w1', ended=[(1, never_placed, EndKind.DONE, '')])
    assert bench.job.units[1].phase is UnitPhase.WAITING


def test_a_new_leader_stops_the_newer_run_of_a_task_that_is_done():
    bench, (run,) = started(step(), step(after=(0,)), workers=2)
    give_up(bench, run.worker)
    (second,) = bench.start_all().starts
    report_end(bench, run, EndKind.DONE, name=run.worker)
    successor = Bench(entry('w1'), entry('w2'))
    job = restore_job(
        decode_submission(encode_submission(bench.job)),
        decode_progress(encode_progress(bench.job)),
        successor.now_s,
    )
    successor.engine.restore([job], successor.now_s)
    plan, _ = successor.report(second.worker, running=[(second.ref, '', 0)])
    assert [one.ref for one in plan.stops] == [second.ref]


def test_a_job_is_stored_once_for_all_its_ends():
    """A list of 500 ends blocked the leader for seconds."""
    bench, runs = started(step(3))
    give_up(bench)
    ended = [
        (number + 1, run.ref, EndKind.STOPPED, '')
        for number, run in enumerate(runs)
    ]
    plan, _ = bench.report('w1', ended=ended)
    assert plan.changed == [bench.job]


def test_a_service_that_ended_as_done_is_started_again():
    bench, (run,) = started(step(is_service=True))
    give_up(bench)
    report_end(bench, run, EndKind.DONE)
    assert len(bench.plan().starts) == 1


def test_the_end_of_a_task_that_no_job_has_changes_nothing():
    bench, (run,) = started()
    other = run.ref._replace(task=run.ref.task._replace(index=5))
    plan, _ = bench.report('w1', ended=[(1, other, EndKind.DONE, '')])
    assert not plan.changed
    assert find_unit(bench.job, other.task) is None


def test_each_unit_is_found_by_its_tasks():
    bench = Bench(entry('w1'))
    job = bench.submit(
        job_spec(
            'job',
            step(3),
            step(2, is_gang=True),
            step(2),
            repeat_count=2,
        )
    )
    for unit in job.units:
        for index in unit.indices:
            task = unit.ref._replace(index=index)
            assert find_unit(job, task) is unit
