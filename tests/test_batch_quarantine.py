"""Quarantine and probation of workers: each ends by itself."""

import pytest
from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.job_state import JobPhase
from bulrushcove.batch.worker_reliability import FIRST_QUARANTINE_S
from bulrushcove.batch.workers import EndKind

LONGEST_PROBATION_S = 15.0
# Users are promised a start within this time where there is room.
MAX_START_S = 3.0


def fail_on(bench, name, accelerators=8):
    """Fail a job of one task for each worker on all of them."""
    count = len(bench.engine.workers)
    job = bench.submit(job_spec(name, step(count, accelerators), attempts=1))
    bench.start_all()
    for worker in bench.engine.workers.values():
        for allocation in tuple(worker.allocations.values()):
            if allocation.unit.job is job:
                bench.end(allocation, EndKind.FAILED)
    assert job.has_ended


def bench_on_probation(count=4):
    """Return a bench whose workers are all on probation, and idle."""
    bench = Bench(*(entry(f'w{number}') for number in range(count)))
    for name in ('hopeless-1', 'hopeless-2'):
        fail_on(bench, name)
    bench.advance(3.1)
    for name in bench.engine.workers:
        assert bench.engine.reliability.is_on_probation(name, bench.now_s)
    return bench


def start_count(bench, spec):
    bench.submit(spec)
    return len(bench.plan().starts)


def test_a_gang_larger_than_the_number_of_workers_on_probation_starts():
    """It waited for good: no run could end the probation (review/5)."""
    bench = bench_on_probation()
    assert start_count(bench, job_spec('gang', step(6, is_gang=True))) == 6


def test_a_worker_on_probation_takes_no_second_unit_beside_a_gang():
    bench = bench_on_probation(count=1)
    assert start_count(bench, job_spec('gang', step(6, is_gang=True))) == 6
    assert start_count(bench, job_spec('other')) == 0


def test_an_urgent_gang_preempts_beside_a_worker_on_probation():
    """Preemption left out what an idle worker on probation can hold."""
    bench = bench_on_probation(count=1)
    bench.add_worker(entry('sound', labels=('r1', 'sound')))
    batch = job_spec('batch', step(accelerators=8, required_label='sound'))
    bench.submit(batch)
    bench.start_all()
    bench.submit(job_spec('urgent', step(10, is_gang=True), priority=0))
    stops = bench.plan().stops
    assert [one.unit.job.id for one in stops] == ['batch']


def test_probation_ends_while_a_service_occupies_the_worker():
    """A task that never ends kept the rest of the worker idle for good."""
    bench = bench_on_probation(count=1)
    assert start_count(bench, job_spec('service', step(is_service=True))) == 1
    bench.confirm()
    assert start_count(bench, job_spec('second')) == 0
    bench.advance(LONGEST_PROBATION_S)
    bench.confirm()
    assert len(bench.plan().starts) == 1


def test_a_failure_after_probation_ended_quarantines_at_once():
    bench = bench_on_probation(count=1)
    bench.advance(LONGEST_PROBATION_S)
    assert not bench.engine.reliability.is_on_probation('w0', bench.now_s)
    fail_on(bench, 'hopeless-3')
    assert bench.engine.reliability.is_quarantined('w0', bench.now_s)
    bench.advance(FIRST_QUARANTINE_S + 0.1)
    assert bench.engine.reliability.is_quarantined('w0', bench.now_s)


def test_a_success_ends_probation():
    bench = bench_on_probation(count=1)
    bench.submit(job_spec('sound'))
    bench.start_all()
    (allocation,) = bench.engine.workers['w0'].allocations.values()
    bench.end(allocation, EndKind.DONE)
    assert start_count(bench, job_spec('many', step(8))) == 8


def test_a_job_starts_while_failing_jobs_have_quarantined_every_worker():
    """All workers stayed idle for up to 12 s, although jobs were at fault."""
    bench = Bench(*(entry(f'w{number}') for number in range(4)))
    for name in ('hopeless-1', 'hopeless-2'):
        fail_on(bench, name)
    assert start_count(bench, job_spec('gang', step(6, is_gang=True))) == 6


def test_quarantined_workers_stay_closed_while_most_of_the_pool_is_sound():
    bench = Bench(*(entry(f'bad{number}') for number in range(3)))
    for name in ('hopeless-1', 'hopeless-2'):
        fail_on(bench, name)
    for number in range(3):
        bench.add_worker(entry(f'sound{number}'))
    plan_count = start_count(bench, job_spec('many', step(48)))
    assert plan_count == 24
    assert not any(
        bench.engine.workers[f'bad{number}'].allocations for number in range(3)
    )


def wait_for_start(bench, job):
    """Return after how many seconds the first run of ``job`` is placed."""
    begun_at_s = bench.now_s
    while not any(unit.allocations for unit in job.units):
        bench.start_all()
        bench.advance(0.25)
        bench.confirm()
        assert bench.now_s - begun_at_s < 15
    return bench.now_s - begun_at_s


@pytest.mark.parametrize('count', [1, 2, 3, 4])
def test_a_gang_starts_on_a_small_fleet_after_hopeless_jobs(count):
    """It waited for up to 12 s beside two idle workers (review/5)."""
    bench = Bench(*(entry(f'w{number}') for number in range(count)))
    for name in ('hopeless-1', 'hopeless-2', 'hopeless-3', 'hopeless-4'):
        fail_on(bench, name)
        bench.advance(10.0)
    fail_on(bench, 'hopeless-5')
    gang = bench.submit(job_spec('gang', step(6, is_gang=True)))
    assert wait_for_start(bench, gang) <= MAX_START_S


def test_a_gang_starts_beside_long_tasks_after_hopeless_jobs():
    """It waited for the end of a quarantine beside long tasks."""
    bench = Bench(entry('w0'), entry('w1'))
    bench.submit(job_spec('long', step(2, accelerators=2, max_per_worker=1)))
    bench.start_all()
    for name in ('hopeless-1', 'hopeless-2'):
        fail_on(bench, name, accelerators=6)
    gang = bench.submit(job_spec('gang', step(6, is_gang=True)))
    assert wait_for_start(bench, gang) <= MAX_START_S


@pytest.mark.parametrize(('labelled', 'others'), [(4, 4), (6, 6), (1, 7)])
def test_a_gang_starts_on_the_workers_of_its_label(labelled, others):
    """All that it could use were quarantined, but not most of the pool."""
    bench = Bench(
        *(entry(f'w{number}', labels=('big',)) for number in range(labelled))
    )
    for name in ('hopeless-1', 'hopeless-2'):
        fail_on(bench, name)
    for number in range(others):
        bench.add_worker(entry(f'other{number}'))
    gang = bench.submit(
        job_spec('gang', step(6, is_gang=True, required_label='big'))
    )
    assert wait_for_start(bench, gang) <= MAX_START_S


def test_many_tasks_start_on_idle_workers_on_probation():
    """Each worker took one task until that one was done."""
    bench = bench_on_probation()
    jobs = [bench.submit(job_spec(f'job-{number}')) for number in range(12)]
    assert max(wait_for_start(bench, job) for job in jobs) <= MAX_START_S


def end_runs(bench, broken):
    """End all runs on the worker ``broken``, and those that are done."""
    for worker in bench.engine.workers.values():
        for allocation in tuple(worker.allocations.values()):
            if worker.id == broken:
                bench.end(allocation, EndKind.FAILED)
            elif bench.now_s - allocation.start_confirmed_at_s > 3:
                bench.end(allocation, EndKind.DONE)


def play_queue(bench, broken, seconds, arrivals_per_s):
    """Return the jobs of a queue whose tasks fail at once on ``broken``."""
    jobs = []
    for turn in range(seconds * 10):
        if turn * arrivals_per_s % 10 < arrivals_per_s:
            spec = job_spec(f'job-{turn}', step(estimated_ms=3000))
            jobs.append(bench.submit(spec))
        bench.start_all()
        bench.advance(0.1)
        end_runs(bench, broken)
    return jobs


@pytest.mark.parametrize(
    ('workers', 'arrivals_per_s', 'most_failures'),
    [
        # The other workers hold the queue.
        (4, 5, 10),
        # They are full, and under half of the pool is in use: a trial each
        # 1.5 s at most.
        (2, 3, 40),
        (3, 6, 40),
        # Under heavy load it is tried after its quarantines only.
        (6, 14, 10),
    ],
)
def test_a_broken_worker_does_not_draw_the_queue(
    workers, arrivals_per_s, most_failures
):
    """It fails each task at once and looks idle."""
    bench = Bench(*(entry(f'w{number}') for number in range(workers)))
    jobs = play_queue(bench, 'w0', 60, arrivals_per_s)
    failures = sum(unit.failures for job in jobs for unit in job.units)
    assert failures <= most_failures
    assert not any(job.phase is JobPhase.FAILED for job in jobs)
