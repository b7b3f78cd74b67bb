"""Effect of reports, ends and unreachable workers on units and jobs."""

import pytest
from batch_builders import Bench, entry, job_spec, racks, report, step

from bulrushcove.batch.exceptions import JobConflictError
from bulrushcove.batch.job_state import JobPhase, UnitPhase
from bulrushcove.batch.workers import EndKind


def only_allocation(bench):
    (allocation,) = [
        allocation
        for worker in bench.engine.workers.values()
        for allocation in worker.allocations.values()
    ]
    return allocation


def start_job(**others):
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('job', **others))
    bench.start_all()
    return bench, job


def test_job_is_running_once_its_start_is_confirmed():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('job'))
    queue = job.spec.terms.queue
    (allocation,) = bench.plan().starts
    assert bench.engine.count_queued(queue) == 1
    plan = bench.engine.confirm_starts((allocation,), bench.now_s)
    assert job.phase is JobPhase.RUNNING
    assert plan.changed == [job]
    assert bench.engine.count_queued(queue) == 0


def test_done_task_completes_its_job_once():
    bench, job = start_job()
    plan, _ = bench.end(only_allocation(bench), EndKind.DONE)
    assert job.phase is JobPhase.SUCCEEDED
    assert plan.ended == [job]
    assert bench.plan().starts == []


@pytest.mark.parametrize(
    'kind',
    [
        EndKind.STOPPED,
        EndKind.LEASE_EXPIRED,
        EndKind.GANG_ABORTED,
        EndKind.GANG_INCOMPLETE,
    ],
)
def test_ends_other_than_failure_use_no_attempt(kind):
    bench, job = start_job(attempts=1)
    bench.end(only_allocation(bench), kind, 'saved-1')
    (allocation,) = bench.plan().starts
    assert allocation.run == 2
    assert job.units[0].checkpoint == 'saved-1'


def test_job_fails_after_max_attempts():
    bench, job = start_job(attempts=2)
    bench.end(only_allocation(bench), EndKind.FAILED)
    bench.start_all()
    bench.end(only_allocation(bench), EndKind.FAILED)
    assert job.phase is JobPhase.FAILED
    assert bench.plan().starts == []


def test_gang_failure_counts_once_and_restart_waits_for_all_members():
    bench = Bench(*racks(1, 3))
    gang = step(3, accelerators=8, is_gang=True)
    job = bench.submit(job_spec('gang', gang, attempts=2))
    allocations = bench.start_all().starts
    plan, _ = bench.end(allocations[0], EndKind.FAILED)
    assert len(plan.stops) == 2
    assert bench.plan().starts == []
    bench.end(allocations[1], EndKind.GANG_ABORTED)
    assert bench.plan().starts == []
    bench.end(allocations[2], EndKind.GANG_ABORTED)
    assert job.units[0].failures == 1
    assert len(bench.plan().starts) == 3


def test_done_member_completes_the_gang():
    bench = Bench(*racks(1, 2))
    gang = step(2, accelerators=8, is_gang=True)
    job = bench.submit(job_spec('gang', gang))
    allocations = bench.start_all().starts
    bench.end(allocations[0], EndKind.DONE)
    assert job.phase is JobPhase.SUCCEEDED
    bench.submit(job_spec('next', step(2, accelerators=8, is_gang=True)))
    assert bench.plan().starts == []
    bench.end(allocations[1], EndKind.DONE)
    assert len(bench.plan().starts) == 2


def test_step_starts_after_its_dependencies_are_done():
    bench = Bench(entry('w1'))
    bench.submit(job_spec('job', step(2), step(after=(0,))))
    first, second = bench.start_all().starts
    bench.end(first, EndKind.DONE)
    assert bench.plan().starts == []
    bench.end(second, EndKind.DONE)
    (last,) = bench.plan().starts
    assert last.unit.step == 1


def test_occurrences_start_when_due():
    bench = Bench(entry('w1'))
    bench.submit(
        job_spec(
            'job',
            repeat_count=2,
            first_unix_ms=bench.unix_ms + 1000,
            interval_ms=2000,
        )
    )
    assert bench.plan().starts == []
    bench.advance(1.0)
    assert len(bench.start_all().starts) == 1
    bench.advance(2.0)
    assert [
        allocation.unit.occurrence for allocation in bench.plan().starts
    ] == [1]


def test_service_task_is_restarted_after_any_end():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('job', step(is_service=True), attempts=1))
    bench.start_all()
    for kind in (EndKind.FAILED, EndKind.DONE):
        bench.end(only_allocation(bench), kind)
        assert len(bench.start_all().starts) == 1
    assert not job.has_ended


def test_cancelled_job_is_stopped_and_not_restarted():
    bench, job = start_job()
    stops = bench.engine.cancel(job, unix_ms=1, now_s=1)
    assert stops == [only_allocation(bench)]
    bench.end(only_allocation(bench), EndKind.STOPPED)
    assert bench.plan().starts == []
    assert job.phase is JobPhase.CANCELLED


def test_run_missing_from_later_report_is_lost():
    bench, job = start_job()
    bench.advance(1)
    bench.report('w1')
    assert job.units[0].phase is UnitPhase.WAITING


def test_report_requested_before_the_start_does_not_end_the_run():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('job'))
    (allocation,) = bench.plan().starts
    allocation.start_deadline_ms = bench.clock_ms + 1500
    requested_at_s = bench.now_s
    bench.advance(0.1)
    allocation.start_confirmed_at_s = bench.now_s
    bench.engine.apply_report(
        bench.engine.workers['w1'],
        report(bench.clock_ms),
        requested_at_s=requested_at_s,
        now_s=bench.now_s,
        unix_ms=bench.unix_ms,
    )
    assert job.units[0].phase is UnitPhase.ACTIVE


def test_unconfirmed_start_ends_after_its_deadline():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('job'))
    (allocation,) = bench.plan().starts
    allocation.start_deadline_ms = bench.clock_ms + 1500
    bench.advance(1.4)
    bench.report('w1')
    assert job.units[0].phase is UnitPhase.ACTIVE
    bench.advance(0.2)
    bench.report('w1')
    assert job.units[0].phase is UnitPhase.WAITING


def test_unconfirmed_start_ends_after_a_confirmed_stop():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('job'))
    (allocation,) = bench.plan().starts
    allocation.start_deadline_ms = bench.clock_ms + 1500
    allocation.stop_confirmed_at_s = bench.now_s
    bench.advance(0.1)
    bench.report('w1')
    assert job.units[0].phase is UnitPhase.WAITING


def test_new_incarnation_ends_previous_runs():
    bench, job = start_job()
    bench.advance(1)
    bench.report('w1', started_unix_ms=2)
    assert job.units[0].phase is UnitPhase.WAITING
    assert bench.engine.workers['w1'].ends.processed == 0


def test_start_unanswered_by_a_crashed_worker_is_stopped_and_ends():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('job'))
    bench.advance(60.0)
    (allocation,) = bench.plan().starts
    allocation.is_start_sent = True
    allocation.start_deadline_ms = bench.clock_ms + 1500
    bench.advance(4.0)
    # The clock of the new incarnation starts at 0.
    bench.clock_ms = 100
    plan, _ = bench.report('w1', started_unix_ms=2)
    assert plan.stops == [allocation]
    assert job.units[0].phase is UnitPhase.ACTIVE
    allocation.stop_confirmed_at_s = bench.now_s
    bench.advance(0.1)
    bench.report('w1', started_unix_ms=2)
    assert job.units[0].phase is UnitPhase.WAITING


def test_runs_of_unreachable_worker_restart_after_lease_expiry():
    bench, job = start_job()
    bench.add_worker(entry('w2'))
    worker = bench.engine.workers['w1']
    worker.record_lease(bench.clock_ms + 8000)
    worker.failed_polls = 1
    bench.advance(8.0)
    bench.engine.expire_leases(unix_ms=bench.unix_ms, now_s=bench.now_s)
    assert job.units[0].phase is UnitPhase.ACTIVE
    # The worker's clock may run up to 2 percent slow.
    bench.advance(0.2)
    bench.engine.expire_leases(unix_ms=bench.unix_ms, now_s=bench.now_s)
    assert [allocation.worker for allocation in bench.plan().starts] == ['w2']


def test_end_incarnation_ends_all_runs_of_the_worker():
    bench, job = start_job()
    worker = bench.engine.workers['w1']
    bench.engine.end_incarnation(worker, unix_ms=1, now_s=bench.now_s)
    assert job.units[0].phase is UnitPhase.WAITING
    assert not worker.has_reported


def test_capacity_is_held_until_the_end_is_reported():
    bench, _ = start_job()
    allocation = only_allocation(bench)
    worker = bench.engine.workers['w1']
    free_while_running = worker.free_capacity().accelerators
    bench.engine.cancel(allocation.unit.job, unix_ms=1, now_s=1)
    assert worker.free_capacity().accelerators == free_while_running
    bench.end(allocation, EndKind.STOPPED)
    assert worker.free_capacity().accelerators == free_while_running + 1


def test_orphans_are_stopped_and_block_the_worker():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('known'))
    (allocation,) = bench.plan().starts
    orphan = allocation.ref._replace(run=9)
    _, report_changes = bench.report('w1', running=[(orphan, '', 0)])
    assert report_changes.orphans == [orphan]
    bench.submit(job_spec('next'))
    assert bench.plan().starts == []
    assert job.units[0].phase is UnitPhase.ACTIVE


def test_job_id_is_unique():
    bench = Bench(entry('w1'))
    first = bench.submit(job_spec('job'))
    assert bench.submit(job_spec('job')) is first
    with pytest.raises(JobConflictError):
        bench.submit(job_spec('job', step(2)))


def test_stalled_task_is_stopped():
    bench, job = start_job()
    bench.advance(1.0)
    bench.report('w1', running=[(only_allocation(bench).ref, '', 40)])
    for _ in range(4):
        bench.advance(1.0)
        bench.report('w1', running=[(only_allocation(bench).ref, '', 40)])
    assert bench.plan().stops == [only_allocation(bench)]
    assert bench.engine.reliability.is_quarantined('w1', bench.now_s)


def test_worker_that_fails_unrelated_jobs_gets_one_probe():
    bench = Bench(entry('w1'))
    for name in ('a', 'b'):
        job = bench.submit(job_spec(name))
        bench.start_all()
        bench.end(only_allocation(bench), EndKind.FAILED)
        bench.engine.cancel(job, unix_ms=1, now_s=bench.now_s)
    bench.submit(job_spec('many', step(5)))
    assert bench.plan().starts == []
    bench.advance(3.5)
    assert len(bench.plan().starts) == 1


def test_run_that_outlasts_its_draining_worker_is_stopped_early():
    bench = Bench(entry('w1'))
    bench.submit(job_spec('long', step(estimated_ms=20_000)))
    bench.submit(job_spec('short', step(estimated_ms=3000)))
    bench.start_all()
    bench.add_worker(entry('w1', is_draining=True, shutdown_in_ms=3000))
    assert [allocation.unit.job.id for allocation in bench.plan().stops] == [
        'long'
    ]


def test_ended_jobs_are_removed_after_retention_time():
    bench, job = start_job()
    bench.end(only_allocation(bench), EndKind.DONE)
    assert bench.engine.remove_ended_jobs(bench.now_s + 120) == []
    assert bench.engine.remove_ended_jobs(bench.now_s + 601) == [job.id]
