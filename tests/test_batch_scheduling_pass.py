"""Passes over many waiting units on a full deployment stay short."""

import time

import pytest
from batch_builders import Bench, job_spec, racks, step

from bulrushcove.batch import preemption_decider
from bulrushcove.batch.preemption_decider import MAX_PREEMPTIONS

WORKERS = 48
# Looking at every seat for every waiting unit took over ten times as long.
PASS_BOUND_S = 0.5


def full_bench(guaranteed=0):
    """Return a bench on which each accelerator runs a task of its own."""
    bench = Bench(*racks(6, WORKERS // 6), guaranteed=guaranteed)
    for number in range(WORKERS):
        filling = step(8, estimated_ms=60_000)
        bench.submit(job_spec(f'fill-{number}', filling, priority=2))
    bench.start_all()
    bench.advance(1)
    return bench


def submit_urgent(bench, count, accelerators=1):
    for number in range(count):
        wanted = step(4, accelerators=accelerators, estimated_ms=2500)
        bench.submit(job_spec(f'urgent-{number}', wanted, priority=0))


def test_a_pass_over_a_burst_is_short():
    bench = full_bench()
    submit_urgent(bench, 100)
    began_s = time.process_time()
    bench.plan()
    assert time.process_time() - began_s < PASS_BOUND_S


def test_room_is_cleared_for_a_few_units_a_pass():
    bench = full_bench(guaranteed=8 * WORKERS)
    submit_urgent(bench, 4)
    plan = bench.plan()
    assert len(plan.stops) == MAX_PREEMPTIONS
    assert plan.is_partial
    # The next pass goes on with the others.
    plan = bench.plan()
    assert len(plan.stops) == 16 - MAX_PREEMPTIONS
    assert not plan.is_partial


def test_equal_units_are_not_searched_for_again(monkeypatch):
    """Nothing may be stopped: one search tells for all of them."""
    bench = full_bench()
    searches = []

    def count(unit, *_parts):
        searches.append(unit)

    monkeypatch.setattr(preemption_decider, 'plan_preemption', count)
    submit_urgent(bench, 10)
    bench.plan()
    assert len(searches) == 1


@pytest.mark.parametrize('urgent', [1, 3])
def test_two_units_do_not_count_on_the_same_room(urgent):
    bench = full_bench(guaranteed=8 * WORKERS)
    for number in range(urgent):
        wanted = step(1, accelerators=8, estimated_ms=2500)
        bench.submit(job_spec(f'urgent-{number}', wanted, priority=0))
    stops = bench.plan().stops
    assert len(stops) == 8 * urgent
    assert len({allocation.worker for allocation in stops}) == urgent
