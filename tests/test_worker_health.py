from msgspec.structs import replace

from bulrushcove import scheduling_pass
from bulrushcove.worker_reliability import WorkerReliability
from tests.snapshot_builders import job, snapshot, worker


def test_a_worker_that_fails_unrelated_jobs_is_quarantined():
    reliability = WorkerReliability()
    for nth in range(3):
        assert reliability.is_reliable('w1')
        reliability.record_failure('w1', job(f'j{nth}', kind=f'k{nth}'), 0.0)
    assert not reliability.is_reliable('w1')
    assert reliability.is_reliable('w2')


def test_probe_delay_doubles_after_each_failure():
    reliability = WorkerReliability()
    for nth in range(3):
        reliability.record_failure('w1', job(f'j{nth}'), 0.0)
    assert not reliability.is_probe_due('w1', 29.0)
    assert reliability.is_probe_due('w1', 30.0)
    reliability.record_failure('w1', job('probe'), 30.0)
    assert not reliability.is_probe_due('w1', 60.0)
    assert reliability.is_probe_due('w1', 90.0)
    reliability.record_success('w1', job('probe2'))
    assert reliability.is_reliable('w1')


def test_a_kind_that_fails_everywhere_quarantines_no_worker():
    reliability = WorkerReliability()
    for nth in range(9):
        bad = job(f'j{nth}', kind='broken')
        reliability.record_failure(f'w{nth % 3}', bad, 0.0)
    assert all(reliability.is_reliable(f'w{nth}') for nth in range(3))


def test_repeated_failures_of_one_job_quarantine_no_worker():
    reliability = WorkerReliability()
    for _ in range(5):
        reliability.record_failure('w1', job('same'), 0.0)
    assert reliability.is_reliable('w1')


def test_a_quarantined_worker_gets_one_small_job():
    quarantined = replace(worker('w1'), is_probe_only=True)
    queued = [job('gang', tasks=2), job('a'), job('b')]
    plan = scheduling_pass.plan(snapshot(workers=[quarantined], queued=queued))
    (job_start,) = plan.starts
    assert job_start.job in {'a', 'b'}
    assert job_start.borrowed
