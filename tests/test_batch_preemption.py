"""Room for urgent work in a full pool."""

import pytest
from batch_builders import Bench, entry, job_spec, racks, step

from bulrushcove.batch.workers import EndKind

# Within which an urgent job covered by its guarantee must have begun.
BOUND_S = 2.9
STOP_S = 0.9


def fill(bench, *specs):
    for spec in specs:
        bench.submit(spec)
    return bench.start_all()


def test_urgent_work_displaces_others_within_its_bound():
    bench = Bench(*racks(1, 4), guaranteed=32)
    fill(bench, job_spec('flood', step(32, estimated_ms=60_000), priority=2))
    bench.submit(job_spec('urgent', step(2, 8, is_gang=True), priority=0))
    began_s = bench.now_s
    starts = []
    while bench.now_s - began_s < BOUND_S and not starts:
        plan = bench.plan()
        starts = plan.starts
        bench.advance(STOP_S)
        for allocation in plan.stops:
            bench.end(allocation, EndKind.STOPPED)
    assert len(starts) == 2


def test_nothing_takes_the_room_while_it_is_cleared():
    bench = Bench(entry('w1'), guaranteed=8)
    fill(bench, job_spec('flood', step(8, estimated_ms=60_000), priority=2))
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


def test_the_cheapest_work_is_stopped():
    bench = Bench(entry('w1'), entry('w2'), guaranteed=8)
    kept = step(8, accelerators=1, is_gang=True, estimated_ms=60_000)
    saved = step(1, 8, writes_checkpoints=True, estimated_ms=60_000)
    fill(bench, job_spec('plain', kept), job_spec('saved', saved))
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


def test_room_that_frees_by_itself_is_waited_for():
    bench = Bench(entry('w1'), guaranteed=8)
    fill(bench, job_spec('nearly', step(1, 8, estimated_ms=10_000)))
    bench.advance(9.5)
    (allocation,) = bench.engine.workers['w1'].allocations.values()
    bench.report('w1', running=[(allocation.ref, '', 95)])
    bench.submit(job_spec('urgent', step(1, 8), priority=0))
    assert bench.plan().stops == []
    bench.advance(1.0)
    bench.report('w1', running=[(allocation.ref, '', 96)])
    assert bench.plan().stops == [allocation]


@pytest.mark.parametrize(('guaranteed', 'is_stopped'), [(8, True), (0, False)])
def test_beyond_the_guarantee_stops_must_pay(guaranteed, is_stopped):
    bench = Bench(entry('w1'), guaranteed=guaranteed)
    fill(bench, job_spec('large', step(1, 8, estimated_ms=60_000)))
    bench.advance(50)
    (allocation,) = bench.engine.workers['w1'].allocations.values()
    bench.report('w1', running=[(allocation.ref, '', 80)])
    urgent = step(1, 8, estimated_ms=1000)
    bench.submit(job_spec('urgent', urgent, priority=0))
    assert bool(bench.plan().stops) is is_stopped


def test_urgent_work_is_never_stopped_for_urgent_work():
    bench = Bench(entry('w1'), guaranteed=16)
    fill(bench, job_spec('first', step(1, 8), priority=0))
    bench.submit(job_spec('second', step(1, 8), priority=0))
    assert bench.plan().stops == []
