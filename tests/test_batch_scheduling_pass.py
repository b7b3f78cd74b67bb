"""Scheduling passes over many waiting units on a full deployment."""

import time

import pytest
from batch_builders import Bench, job_spec, racks, step

from bulrushcove.batch import completion, preemption_decider
from bulrushcove.batch.preemption_decider import MAX_PREEMPTIONS
from bulrushcove.batch.start_limits import MAX_STARTS_PER_PASS
from bulrushcove.batch.workers import EndKind

WORKERS = 48
# Scanning every allocation for every waiting unit took over ten times as long.
MAX_PASS_S = 0.5


def make_full_bench(guaranteed=0):
    """Return a bench with a running task on each accelerator."""
    bench = Bench(*racks(6, WORKERS // 6), guaranteed=guaranteed)
    for number in range(WORKERS):
        running_step = step(8, estimated_ms=60_000)
        bench.submit(job_spec(f'fill-{number}', running_step, priority=2))
    bench.start_all()
    bench.advance(1)
    return bench


def submit_urgent(bench, count, accelerators=1):
    for number in range(count):
        urgent_step = step(4, accelerators=accelerators, estimated_ms=2500)
        bench.submit(job_spec(f'urgent-{number}', urgent_step, priority=0))


def test_pass_over_burst_is_fast():
    bench = make_full_bench()
    submit_urgent(bench, 100)
    started_at_s = time.process_time()
    bench.plan()
    assert time.process_time() - started_at_s < MAX_PASS_S


def test_preemptions_per_pass_are_limited():
    bench = make_full_bench(guaranteed=8 * WORKERS)
    submit_urgent(bench, 4)
    plan = bench.plan()
    assert len(plan.stops) == MAX_PREEMPTIONS
    assert plan.is_partial
    # The next pass continues with the other units.
    plan = bench.plan()
    assert len(plan.stops) == 16 - MAX_PREEMPTIONS
    assert not plan.is_partial


def test_declined_preemption_is_planned_once_for_equal_units(monkeypatch):
    """Nothing may be preempted, so one search decides for all of them."""
    bench = make_full_bench()
    searches = []

    def record_search(unit, *_parts):
        searches.append(unit)

    monkeypatch.setattr(preemption_decider, 'plan_preemption', record_search)
    submit_urgent(bench, 10)
    bench.plan()
    assert len(searches) == 1


@pytest.mark.parametrize('urgent', [1, 3])
def test_units_preempt_separate_workers(urgent):
    bench = make_full_bench(guaranteed=8 * WORKERS)
    for number in range(urgent):
        urgent_step = step(1, accelerators=8, estimated_ms=2500)
        bench.submit(job_spec(f'urgent-{number}', urgent_step, priority=0))
    stops = bench.plan().stops
    assert len(stops) == 8 * urgent
    assert len({allocation.worker for allocation in stops}) == urgent


def test_the_objective_of_a_job_is_computed_once_a_pass(monkeypatch):
    """With 1,500 parallel steps a pass took seconds, and leaders changed."""
    bench = Bench(*racks(1, 1))
    bench.submit(job_spec('wide', *(step() for _ in range(100))))
    objective_s = bench.engine.estimates.objective_s
    calls = []

    def count_call(spec):
        calls.append(spec.job)
        return objective_s(spec)

    monkeypatch.setattr(bench.engine.estimates, 'objective_s', count_call)
    assert len(bench.plan().starts) == 8
    assert calls == ['wide']


def test_many_starts_are_planned_in_several_passes():
    """1,500 starts at once kept the loop busy for 2 s, and leaders changed."""
    bench = Bench(*racks(6, WORKERS // 6))
    bench.submit(job_spec('wide', step(WORKERS * 8)))
    first = bench.plan()
    assert len(first.starts) == MAX_STARTS_PER_PASS
    assert first.is_partial
    second = bench.plan()
    assert len(first.starts) + len(second.starts) == WORKERS * 8
    assert not second.is_partial


def test_the_end_of_a_run_is_compared_with_its_own_unit_only(monkeypatch):
    """Each end looked at all units of its job: 2 ms of 1,500."""
    bench = Bench(*racks(1, 1))
    bench.submit(job_spec('wide', step(100)))
    first = bench.start_all().starts[0]
    failure_reason = completion._failure_reason
    compared = []

    def record_call(unit, max_attempts):
        compared.append(unit)
        return failure_reason(unit, max_attempts)

    monkeypatch.setattr(completion, '_failure_reason', record_call)
    bench.end(first, EndKind.DONE)
    assert compared == [first.unit]
