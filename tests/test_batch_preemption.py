"""Preemption for urgent work in a full pool."""

import msgspec
import pytest
from batch_builders import Bench, entry, job_spec, racks, step

from bulrushcove.batch.policy import DesiredState, Organisation
from bulrushcove.batch.workers import EndKind

# An urgent job within its guarantee must have started by then.
MAX_START_S = 2.9
STOP_DURATION_S = 0.9


def start_jobs(bench, *specs):
    for spec in specs:
        bench.submit(spec)
    return bench.start_all()


def test_urgent_work_preempts_within_its_time_limit():
    bench = Bench(*racks(1, 4), guaranteed=32)
    start_jobs(
        bench, job_spec('flood', step(32, estimated_ms=60_000), priority=2)
    )
    bench.submit(job_spec('urgent', step(2, 8, is_gang=True), priority=0))
    submitted_at_s = bench.now_s
    starts = []
    while bench.now_s - submitted_at_s < MAX_START_S and not starts:
        plan = bench.plan()
        starts = plan.starts
        bench.advance(STOP_DURATION_S)
        for allocation in plan.stops:
            bench.end(allocation, EndKind.STOPPED)
    assert len(starts) == 2


def test_capacity_being_preempted_is_reserved_for_its_unit():
    bench = Bench(entry('w1'), guaranteed=8)
    start_jobs(
        bench, job_spec('flood', step(8, estimated_ms=60_000), priority=2)
    )
    bench.submit(job_spec('urgent', step(1, 8), priority=0))
    stops = bench.plan().stops
    assert len(stops) == 8
    bench.submit(job_spec('more', step(8), priority=2))
    for allocation in stops[:4]:
        bench.end(allocation, EndKind.STOPPED)
    plan = bench.plan()
    assert plan.starts == []
    assert plan.stops == []
    for allocation in stops[4:]:
        bench.end(allocation, EndKind.STOPPED)
    assert [allocation.unit.job.id for allocation in bench.plan().starts] == [
        'urgent'
    ]


def test_work_with_the_least_loss_is_preempted():
    bench = Bench(entry('w1'), entry('w2'), guaranteed=8)
    plain_step = step(8, accelerators=1, is_gang=True, estimated_ms=60_000)
    checkpointed_step = step(1, 8, writes_checkpoints=True, estimated_ms=60_000)
    start_jobs(
        bench,
        job_spec('plain', plain_step),
        job_spec('saved', checkpointed_step),
    )
    bench.advance(30)
    for worker in bench.engine.workers.values():
        bench.report(
            worker.id,
            running=[
                (allocation.ref, '', 50)
                for allocation in worker.allocations.values()
            ],
        )
    bench.submit(job_spec('urgent', step(1, 8), priority=0))
    assert {allocation.unit.job.id for allocation in bench.plan().stops} == {
        'saved'
    }


def test_capacity_about_to_be_freed_is_waited_for():
    bench = Bench(entry('w1'), guaranteed=8)
    start_jobs(bench, job_spec('nearly', step(1, 8, estimated_ms=10_000)))
    bench.advance(9.5)
    (allocation,) = bench.engine.workers['w1'].allocations.values()
    bench.report('w1', running=[(allocation.ref, '', 95)])
    bench.submit(job_spec('urgent', step(1, 8), priority=0))
    assert bench.plan().stops == []
    bench.advance(1.0)
    bench.report('w1', running=[(allocation.ref, '', 96)])
    assert bench.plan().stops == [allocation]


@pytest.mark.parametrize(
    ('guaranteed', 'is_preempted'), [(8, True), (0, False)]
)
def test_preemption_beyond_the_guarantee_must_be_worth_its_cost(
    guaranteed, is_preempted
):
    bench = Bench(entry('w1'), guaranteed=guaranteed)
    start_jobs(bench, job_spec('large', step(1, 8, estimated_ms=60_000)))
    bench.advance(50)
    (allocation,) = bench.engine.workers['w1'].allocations.values()
    bench.report('w1', running=[(allocation.ref, '', 80)])
    urgent = step(1, 8, estimated_ms=1000)
    bench.submit(job_spec('urgent', urgent, priority=0))
    assert bool(bench.plan().stops) is is_preempted


def test_urgent_work_does_not_preempt_urgent_work():
    bench = Bench(entry('w1'), guaranteed=16)
    start_jobs(bench, job_spec('first', step(1, 8), priority=0))
    bench.submit(job_spec('second', step(1, 8), priority=0))
    assert bench.plan().stops == []


def bench_full_of_urgent_work(guaranteed):
    """Return a bench that ``mill``, with this guarantee, fills by itself."""
    bench = Bench(entry('w1'), entry('w2'))
    organisations = tuple(
        Organisation(name=name, guaranteed_accelerators=accelerators)
        for name, accelerators in (('mill', guaranteed), ('shop', 8))
    )
    policy = msgspec.structs.replace(
        bench.engine.desired_state.policy, organisations=organisations
    )
    bench.engine.desired_state = DesiredState(policy=policy)
    flood = step(2, accelerators=8, estimated_ms=80_000)
    start_jobs(bench, job_spec('flood', flood, priority=0))
    bench.advance(1)
    urgent = step(accelerators=8, estimated_ms=80_000)
    bench.submit(job_spec('urgent', urgent, priority=0, organisation='shop'))
    return bench


def test_a_guarantee_is_kept_against_urgent_work_beyond_another_one():
    """Urgent work of another organisation was never stopped (RECLAIM)."""
    bench = bench_full_of_urgent_work(guaranteed=8)
    submitted_at_s = bench.now_s
    started = set()
    while bench.now_s - submitted_at_s < MAX_START_S and not started:
        plan = bench.plan()
        started = {allocation.unit.job.id for allocation in plan.starts}
        bench.advance(STOP_DURATION_S)
        for allocation in plan.stops:
            bench.end(allocation, EndKind.STOPPED)
    assert started == {'urgent'}
    flood = bench.engine.jobs['flood']
    assert sum(bool(unit.allocations) for unit in flood.units) == 1


def test_urgent_work_within_its_guarantee_is_not_preempted():
    bench = bench_full_of_urgent_work(guaranteed=16)
    assert bench.plan().stops == []
    bench.advance(1)
    assert bench.plan().stops == []


def test_a_gang_with_more_tasks_than_workers_preempts():
    """A plan made room for one task of it on each worker only."""
    bench = Bench(entry('w1'), entry('w2'), guaranteed=12)
    flood = step(16, estimated_ms=80_000)
    start_jobs(bench, job_spec('flood', flood, priority=2))
    bench.advance(1)
    bench.submit(job_spec('urgent', step(12, is_gang=True), priority=0))
    assert len(bench.plan().stops) == 12
