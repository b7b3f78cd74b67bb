"""Serving tasks keep their response times beside tasks that fill."""

import pytest
from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.disruption_budget import is_within_disruption_budget
from bulrushcove.batch.job_spec import StepSpec, TaskSize
from bulrushcove.batch.job_state import AllocationPhase
from bulrushcove.batch.throttle import (
    SETTLE_S,
    has_colocated_services,
    update_throttle,
)

TARGET_MS = 100
# Harm that lasts this long is more than users of a serving task accept.
IMPACT_S = 4.0
REPORT_S = 0.5


def shared_bench():
    """Return a bench whose only worker serves and is filled."""
    bench = Bench(entry('w1'))
    serving = step(is_service=True, target_tail_ms=TARGET_MS)
    bench.submit(job_spec('serving', serving))
    bench.submit(job_spec('filling', step(2, fills_idle=True), priority=2))
    bench.start_all()
    return bench


def seats_of(bench, name):
    return [
        allocation
        for allocation in bench.engine.workers['w1'].allocations.values()
        if allocation.unit.job.id == name
    ]


def follow(bench, tail_ms):
    """Report a tail; the worker takes on the pace that is ordered."""
    bench.advance(REPORT_S)
    worker = bench.engine.workers['w1']
    for allocation in seats_of(bench, 'serving'):
        allocation.load = tail_ms
    for allocation in update_throttle(worker, bench.now_s):
        allocation.speed_percent = worker.speed_percent
    return worker.speed_percent


def test_a_worker_that_serves_and_fills_is_shared():
    bench = shared_bench()
    assert has_colocated_services(bench.engine.workers['w1'])
    assert not has_colocated_services(Bench(entry('w1')).engine.workers['w1'])


def test_filling_tasks_halt_when_the_tail_is_over_its_target():
    bench = shared_bench()
    assert not follow(bench, TARGET_MS)
    assert {
        allocation.speed_percent for allocation in seats_of(bench, 'filling')
    } == {0}
    # The serving task itself is never slowed.
    assert seats_of(bench, 'serving')[0].speed_percent == 100


@pytest.mark.parametrize('harm_per_percent', [0.4, 1.0, 3.0])
def test_harm_never_lasts(harm_per_percent):
    """The tail grows with the pace of what fills, by an unknown amount."""
    bench = shared_bench()
    pace = 100
    over_s = 0
    worst_s = 0
    for _ in range(60):
        tail_ms = 40 + harm_per_percent * pace
        over_s = over_s + REPORT_S if tail_ms > TARGET_MS and pace else 0
        worst_s = max(worst_s, over_s)
        pace = follow(bench, tail_ms)
    assert worst_s < IMPACT_S / 2


def test_filling_tasks_get_their_speed_back_in_steps():
    bench = shared_bench()
    follow(bench, TARGET_MS)
    paces = [follow(bench, 10) for _ in range(12)]
    assert paces[0] < 100
    assert paces == sorted(paces)
    assert paces[-1] == 100
    assert SETTLE_S >= 2 * REPORT_S


def test_no_more_filling_tasks_come_to_a_slowed_worker():
    bench = shared_bench()
    follow(bench, TARGET_MS)
    bench.submit(job_spec('more', step(fills_idle=True), priority=2))
    assert not bench.plan().starts


def test_filling_work_finds_room_where_equal_work_finds_none():
    """It takes no processor time that others count on."""
    bench = Bench(entry('w1'))
    whole = TaskSize(32_000, 100, 1)
    bench.submit(job_spec('full', StepSpec(task_count=1, size=whole)))
    bench.start_all()
    for name, fills in (('equal', False), ('filling', True)):
        wanted = StepSpec(task_count=1, size=whole, fills_idle=fills)
        bench.submit(job_spec(name, wanted))
    assert {allocation.unit.job.id for allocation in bench.plan().starts} == {
        'filling'
    }


def service_units(bench, max_absent, count=3):
    spec = step(count, is_service=True, max_absent=max_absent)
    job = bench.submit(job_spec('service', spec, priority=2))
    bench.start_all()
    for unit in job.units:
        for allocation in unit.allocations.values():
            allocation.phase = AllocationPhase.RUNNING
            allocation.percent = 100
    return job.units


@pytest.mark.parametrize(
    ('max_absent', 'stopped', 'allowed'),
    [(0, 1, False), (1, 1, True), (1, 2, False), (2, 2, True)],
)
def test_no_more_tasks_are_stopped_than_may_be_away(
    max_absent, stopped, allowed
):
    units = service_units(Bench(entry('w1')), max_absent)
    assert is_within_disruption_budget(units[:stopped]) is allowed


def test_a_task_that_only_starts_up_counts_as_away():
    units = service_units(Bench(entry('w1')), 1)
    next(iter(units[2].allocations.values())).percent = 40
    assert not is_within_disruption_budget(units[:1])


def test_urgent_work_displaces_only_what_may_be_away():
    bench = Bench(entry('w1', accelerators=3), guaranteed=8)
    service_units(bench, 1)
    bench.submit(job_spec('urgent', step(2), priority=0))
    bench.advance(1)
    stops = bench.plan().stops
    assert len(stops) == 1
