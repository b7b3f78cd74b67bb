"""Where units go; each test replays the load that a choice answers."""

import pytest
from batch_builders import Bench, entry, job_spec, racks, step

from bulrushcove.batch.exceptions import InvalidJobError, JobRefusedError
from bulrushcove.batch.headroom import UrgentDemand, reserved_workers
from bulrushcove.batch.job_spec import check_job
from bulrushcove.batch.placement import Candidate
from bulrushcove.batch.workers import EndKind


def workers_of(plan):
    return [allocation.worker for allocation in plan.starts]


def test_small_tasks_fill_broken_workers():
    bench = Bench(*racks(1, 2))
    bench.submit(job_spec('a'))
    first = workers_of(bench.start_all())
    for name in 'bcdefgh':
        bench.submit(job_spec(name))
    assert set(workers_of(bench.start_all())) == set(first)


def test_small_tasks_leave_whole_racks_free():
    bench = Bench(*racks(3, 4))
    for number in range(30):
        bench.submit(job_spec(f'small-{number}'))
    bench.start_all()
    tight = step(4, accelerators=8, is_gang=True, same_rack=True)
    bench.submit(job_spec('large', tight))
    assert len(bench.plan().starts) == 4


def test_a_gang_starts_whole_or_not_at_all():
    bench = Bench(*racks(1, 2))
    bench.submit(job_spec('large', step(3, accelerators=8, is_gang=True)))
    assert not bench.plan().starts
    bench.add_worker(entry('w9'))
    assert len(bench.plan().starts) == 3


def test_a_tight_gang_stays_in_one_rack():
    bench = Bench(*racks(2, 2))
    bench.submit(job_spec('other', step(accelerators=8)))
    bench.start_all()
    tight = step(2, accelerators=8, is_gang=True, same_rack=True)
    bench.submit(job_spec('tight', tight))
    plan = bench.plan()
    racks_used = {
        bench.engine.workers[name].entry.rack for name in workers_of(plan)
    }
    assert len(racks_used) == 1


def test_tasks_wait_for_their_data_but_not_for_ever():
    bench = Bench(entry('w1', rack='r1'), entry('w2', rack='r2'))
    near = step(accelerators=8, near_rack='r1')
    bench.submit(job_spec('first', near))
    bench.start_all()
    bench.submit(job_spec('second', step(accelerators=2, near_rack='r1')))
    assert not bench.plan().starts
    bench.add_worker(entry('w3', rack='r3'))
    bench.advance(2.5)
    assert len(bench.plan().starts) == 1


@pytest.mark.parametrize(
    ('wish', 'expected'),
    [
        ({'required_label': 'big'}, ['w2']),
        ({'max_per_worker': 1}, ['w1', 'w2']),
    ],
)
def test_wishes_are_kept(wish, expected):
    bench = Bench(entry('w1'), entry('w2', labels=('r1', 'big')))
    bench.submit(job_spec('job', step(2, **wish)))
    assert sorted(set(workers_of(bench.plan()))) == expected


def test_nothing_starts_where_it_must_not():
    bench = Bench(entry('w1', domain='a'), entry('w2', domain='b'))
    bench.add_worker(entry('w2', domain='b', is_draining=True))
    bench.engine.desired_state = bench.engine.desired_state.__class__(
        policy=bench.engine.desired_state.policy, closed_domains=frozenset('a')
    )
    bench.submit(job_spec('job'))
    assert not bench.plan().starts


def test_a_silent_worker_gets_nothing():
    bench = Bench(entry('w1'))
    bench.engine.workers['w1'].failed_polls = 1
    bench.submit(job_spec('job'))
    assert not bench.plan().starts


def test_large_gangs_are_not_starved_by_small_tasks():
    """Small tasks take each accelerator that comes free; 40 s of it."""
    bench = Bench(*racks(1, 2))
    for number in range(16):
        bench.submit(job_spec(f'old-{number}', step(estimated_ms=4000)))
    bench.start_all()
    bench.submit(
        job_spec('large', step(2, accelerators=8, is_gang=True), priority=1)
    )
    started = False
    for second in range(40):
        bench.advance(1.0)
        bench.submit(
            job_spec(f'new-{second}', step(3, estimated_ms=4000), priority=2)
        )
        for worker in bench.engine.workers.values():
            for allocation in tuple(worker.allocations.values()):
                allocation.percent = min(99, allocation.percent + 20)
                allocation.last_progress_at_s = bench.now_s
                if bench.now_s - allocation.start_confirmed_at_s >= 4:
                    bench.end(allocation, EndKind.DONE)
        started = started or any(
            allocation.unit.job.id == 'large'
            for allocation in bench.start_all().starts
        )
    assert started


def test_room_is_kept_for_urgent_arrivals():
    candidates = [
        Candidate(
            worker=one.worker,
            rack=one.rack,
            labels=one.labels,
            free=one.capacity,
            capacity=one.capacity,
        )
        for one in racks(2, 4)
    ]
    demand = UrgentDemand()
    assert reserved_workers(candidates, demand.rate(0)) == frozenset()
    for second in range(8):
        demand.record(8, float(second))
    kept = reserved_workers(candidates, demand.rate(8.0))
    assert len(kept) == 2
    assert len({name[1] for name in kept}) == 2
    assert demand.rate(80.0) < 0.1


def test_urgent_jobs_start_in_a_burst_of_other_work():
    bench = Bench(*racks(2, 4), guaranteed=64)
    for number in range(4):
        bench.submit(job_spec(f'u{number}', step(2, 8), priority=0))
        bench.start_all()
        for worker in bench.engine.workers.values():
            for allocation in tuple(worker.allocations.values()):
                bench.end(allocation, EndKind.DONE)
        bench.advance(1.0)
    bench.submit(job_spec('flood', step(200), priority=2))
    bench.start_all()
    bench.submit(job_spec('urgent', step(1, 8), priority=0))
    plan = bench.plan()
    assert len(plan.starts) == 1
    assert not plan.stops


@pytest.mark.parametrize(
    'steps',
    [
        (step(0),),
        (step(after=(0,)),),
        (step(), step(after=(1,))),
        (step(accelerators=-1),),
        (step(30_000),),
    ],
)
def test_jobs_that_make_no_sense_are_refused(steps):
    with pytest.raises(InvalidJobError):
        check_job(job_spec('job', *steps))


def test_a_job_that_no_worker_could_run_is_refused_at_once():
    bench = Bench(entry('w1'))
    with pytest.raises(JobRefusedError, match='step 0'):
        bench.submit(job_spec('job', step(accelerators=9)))
    assert not bench.engine.jobs
