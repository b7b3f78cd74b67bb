"""Progress expected of runs: long ones go on, standing ones are found."""

import random
from functools import partial

import pytest
from batch_builders import Bench, entry, job_spec, step
from progress_fleet import Fleet

from bulrushcove.batch.job_state import AllocationPhase
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from bulrushcove.batch.workers import EndKind

TASK_S = 12.0
SLOW_SPEED = 0.55
FAR_FACTOR = 3.0
LONG_FACTOR = 7.0
# Standing workers are found within this time.
MAX_FOUND_S = 5.0
# Users are promised a start within this time where there is room.
MAX_START_S = 3.0


class HeavyTail:
    """Rates of a queue in which every 33rd task takes seven times as long."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.factors = {}

    def percent_s(self, unit):
        """A gang is as slow as its slowest member on its slowest worker."""
        if unit.ref not in self.factors:
            tasks = [self._draw_task() for _ in range(unit.size)]
            self.factors[unit.ref] = max(tasks)
        allocations = unit.allocations.values()
        is_slow = any(one.worker.startswith('slow') for one in allocations)
        is_far = len({one.worker[-2:] for one in allocations}) > 1
        factor = self.factors[unit.ref]
        if is_slow:
            factor /= SLOW_SPEED
        if is_far and unit.spec.same_rack:
            factor *= FAR_FACTOR
        return TASK_S / 100 * factor

    def _draw_task(self):
        is_long = self.rng.random() < 0.03
        length = LONG_FACTOR if is_long else 1
        return length * self.rng.uniform(0.7, 1.3)


def mixed_entries():
    """Four racks of three workers of the usual speed and a slow one."""
    return [
        entry(f'{kind}{number}-r{rack}', rack=f'r{rack}')
        for rack in range(4)
        for number, kind in enumerate(('fast', 'fast', 'fast', 'slow'))
    ]


def gang(count, **others):
    return step(
        count,
        is_gang=True,
        same_rack=True,
        estimated_ms=int(TASK_S * 1000),
        **others,
    )


def single(count=1, **others):
    return step(count, estimated_ms=int(TASK_S * 1000), **others)


@pytest.mark.parametrize('seed', range(6))
def test_long_tasks_are_left_alone(seed):
    """One percent of some takes longer than 3.5 s, on sound workers."""
    tail = HeavyTail(seed)
    fleet = Fleet(*mixed_entries(), percent_s=tail.percent_s)
    for number in range(12):
        fleet.submit(
            job_spec(f'gang-{number}', gang(13)),
            job_spec(f'wide-{number}', gang(30)),
            job_spec(f'tasks-{number}', single(4)),
        )
        assert not fleet.play(12)


@pytest.mark.parametrize('seed', range(6))
def test_standing_workers_are_found_beside_a_burst(seed):
    """A tenth of the workers; gangs elsewhere, and long tasks, go on."""
    tail = HeavyTail(seed)
    fleet = Fleet(*mixed_entries(), percent_s=tail.percent_s)
    fleet.submit(
        *(job_spec(f'task-{number}', single()) for number in range(60)),
        *(job_spec(f'gang-{number}', gang(13)) for number in range(3)),
    )
    fleet.play(4.5)
    fleet.standing = {'fast0-r0', 'fast1-r2'}
    standing_runs = runs_on(fleet, fleet.standing)
    begun_s = fleet.bench.now_s
    fleet.submit(
        *(job_spec(f'burst-{number}', gang(8)) for number in range(4)),
        *(job_spec(f'later-{number}', single(8)) for number in range(12)),
    )
    stops = fleet.play(10)
    units = {allocation.unit.ref for allocation in stops}
    assert units
    assert units <= standing_runs
    tried = {
        allocation.unit.ref
        for name in fleet.standing
        for allocation in fleet.workers[name].allocations.values()
        if allocation.unit.placed_at_s > begun_s + MAX_FOUND_S
    }
    assert len(tried) <= len(fleet.standing)


def runs_on(fleet, names):
    return {
        allocation.unit.ref
        for name in names
        for allocation in fleet.workers[name].allocations.values()
    }


def steady(percent_s, unit):
    """Return the seconds of a percent, ``percent_s`` by name of the job."""
    return percent_s.get(unit.job.id, 0.2)


def test_a_standing_task_is_found_within_seconds():
    fleet = Fleet(entry('w1'), entry('w2'), percent_s=lambda _: 0.12)
    fleet.submit(job_spec('task', single()))
    fleet.play(2)
    (worker,) = (one for one in fleet.workers.values() if one.allocations)
    fleet.standing = {worker.id}
    assert len(fleet.play(MAX_FOUND_S)) == 1
    assert not worker.allocations


def test_a_gang_with_much_unsaved_work_outlasts_a_short_standstill():
    """A stop would lose more than the standstill."""
    fleet = Fleet(entry('w1'), entry('w2'), percent_s=lambda _: 0.5)
    fleet.submit(job_spec('gang', gang(16)))
    fleet.play(30)
    fleet.standing = {'w1'}
    assert not fleet.play(9)
    fleet.standing = set()
    assert not fleet.play(5)


def test_a_gang_is_stopped_once_the_standstill_costs_more():
    fleet = Fleet(entry('w1'), entry('w2'), percent_s=lambda _: 0.1)
    fleet.submit(job_spec('gang', gang(16)))
    fleet.play(6)
    fleet.standing = {'w1'}
    assert not fleet.play(6)
    assert len(fleet.play(6)) == 16


def test_a_gang_waits_for_what_a_cheap_stop_shows():
    fleet = Fleet(
        entry('w1', accelerators=4),
        entry('w2', accelerators=4),
        percent_s=lambda _: 0.1,
    )
    fleet.submit(job_spec('gang', gang(6)))
    fleet.play(3)
    fleet.submit(job_spec('task', single()), job_spec('other', single()))
    fleet.play(1.5)
    fleet.standing = {'w1', 'w2'}
    stops = fleet.play(12)
    sizes = [allocation.unit.size for allocation in stops]
    assert sizes[0] == 1
    assert 6 in sizes


def test_a_silent_run_beside_others_that_go_on_is_long():
    """Neither its worker nor the run is taken for standing still."""
    percent_s = {'long': 6.0}
    fleet = Fleet(entry('w1'), percent_s=partial(steady, percent_s))
    fleet.submit(job_spec('long', step()), job_spec('usual', step()))
    assert not fleet.play(12)
    reliability = fleet.bench.engine.reliability
    assert not reliability.is_quarantined('w1', fleet.bench.now_s)


def test_a_run_that_is_stuck_by_itself_is_found():
    percent_s = {'stuck': 1000.0}
    fleet = Fleet(
        entry('w1'), entry('w2'), percent_s=partial(steady, percent_s)
    )
    fleet.submit(job_spec('stuck', step()), job_spec('usual', step()))
    assert [one.unit.job.id for one in fleet.play(18)] == ['stuck']
    reliability = fleet.bench.engine.reliability
    assert not reliability.is_quarantined('w1', fleet.bench.now_s)


def test_any_progress_ends_a_suspicion():
    fleet = Fleet(entry('w1'), percent_s=lambda _: 0.2)
    fleet.submit(job_spec('task', single()))
    fleet.play(6)
    fleet.standing = {'w1'}
    fleet.play(3.5)
    assert fleet.workers['w1'].suspected_since_s
    fleet.standing = set()
    fleet.play(0.5)
    assert not fleet.workers['w1'].suspected_since_s


def test_a_suspected_worker_gets_nothing_new():
    """A standing worker is used no more before its runs are stopped."""
    fleet = Fleet(entry('w1'), entry('w2'), percent_s=lambda _: 0.2)
    fleet.submit(job_spec('task', single(3)))
    fleet.play(12)
    (used,) = (one.id for one in fleet.workers.values() if one.allocations)
    fleet.standing = {used}
    assert not fleet.play(3)
    fleet.submit(job_spec('new', single()))
    fleet.play(0.25)
    (run,) = (
        allocation.worker
        for worker in fleet.workers.values()
        for allocation in worker.allocations.values()
        if allocation.unit.job.id == 'new'
    )
    assert run != used


def test_a_suspicion_leaves_no_worker_idle():
    """A long task alone on a worker tells little of it."""
    percent_s = {'long': 60.0}
    fleet = Fleet(entry('w1'), percent_s=partial(steady, percent_s))
    fleet.submit(job_spec('long', gang(6)))
    while not fleet.workers['w1'].suspected_since_s:
        assert not fleet.play(0.25)
    (job,) = fleet.submit(job_spec('waits', step()))
    fleet.play(MAX_START_S)
    assert job.has_started


def restored(bench, job):
    """Return a new leader's bench and its copy of ``job``."""
    copy = restore_job(
        decode_submission(encode_submission(job)),
        decode_progress(encode_progress(job)),
        bench.now_s,
    )
    next_bench = Bench()
    next_bench.now_s = bench.now_s + 500
    next_bench.clock_ms = bench.clock_ms
    next_bench.engine.restore([copy], next_bench.now_s + 20)
    return next_bench, copy


def run_of(job):
    (allocation,) = job.units[0].allocations.values()
    return allocation


def test_a_new_leader_knows_how_long_a_run_has_been_silent():
    """The clock of the worker tells, whatever the leaders' clocks are."""
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('task'))
    bench.start_all()
    bench.advance(3)
    bench, job = restored(bench, job)
    run = run_of(job)
    bench.report('w1', running=[(run.ref, '', 0)])
    assert not bench.plan().stops
    bench.advance(1)
    bench.report('w1', running=[(run.ref, '', 0)])
    assert bench.plan().stops == [run]


def test_a_new_leader_knows_the_rate_of_a_run():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('task'))
    bench.start_all()
    bench.advance(50)
    bench, job = restored(bench, job)
    run = run_of(job)
    bench.report('w1', running=[(run.ref, '', 10)])
    assert run.percent_ms == pytest.approx(5000)
    bench.advance(12)
    bench.report('w1', running=[(run.ref, '', 10)])
    assert not bench.plan().stops


def test_a_restarted_worker_does_not_date_its_new_runs():
    """Its clock begins anew."""
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('task'))
    bench.advance(100)
    bench.report('w1')
    bench.start_all()
    bench, job = restored(bench, job)
    run = run_of(job)
    bench.clock_ms = 2000
    row = (run.ref, '', 0)
    bench.report('w1', running=[row], started_unix_ms=2)
    bench.advance(3)
    bench.report('w1', running=[row], started_unix_ms=2)
    assert not bench.plan().stops


def test_a_worker_that_does_not_answer_is_not_judged():
    fleet = Fleet(entry('w1'), percent_s=lambda _: 0.2)
    fleet.submit(job_spec('task', single()))
    fleet.play(3)
    fleet.standing = {'w1'}
    fleet.play(2.5)
    fleet.workers['w1'].failed_polls = 1
    fleet.bench.advance(30)
    assert not fleet.bench.plan().stops


def test_a_complete_member_waits_for_its_gang():
    """It is silent while the longest member works on, its worker sound."""
    bench = Bench(entry('w1', accelerators=1), entry('w2', accelerators=1))
    job = bench.submit(job_spec('gang', gang(2)))
    bench.start_all()
    first, last = job.units[0].allocations.values()
    for percent in range(1, 60):
        bench.advance(0.5)
        row = (first.ref, '', min(100, 20 * percent))
        bench.report(first.worker, running=[row])
        bench.report(last.worker, running=[(last.ref, '', percent)])
        assert not bench.plan().stops
        assert not bench.engine.workers[first.worker].suspected_since_s


def test_a_member_that_stands_still_alone_is_found():
    bench = Bench(entry('w1', accelerators=1), entry('w2', accelerators=1))
    job = bench.submit(job_spec('gang', gang(2)))
    bench.start_all()
    first, last = job.units[0].allocations.values()
    for percent in range(1, 30):
        bench.advance(0.5)
        row = (first.ref, '', min(100, 5 * percent))
        bench.report(first.worker, running=[row])
        row = (last.ref, '', 5 * min(4, percent))
        bench.report(last.worker, running=[row])
        if bench.plan().stops:
            break
    assert last.stop_reason
    reliability = bench.engine.reliability
    assert reliability.is_quarantined(last.worker, bench.now_s)
    assert not reliability.is_quarantined(first.worker, bench.now_s)


def test_a_gang_that_is_not_complete_is_not_judged():
    """Its members wait for one that starts late."""
    bench = Bench(entry('w1'), entry('w2', accelerators=1))
    job = bench.submit(job_spec('gang', step(9, is_gang=True)))
    plan = bench.plan()
    present = [one for one in plan.starts if one.worker == 'w1']
    for allocation in plan.starts:
        allocation.is_start_sent = True
        allocation.start_sent_at_s = bench.now_s
        allocation.start_deadline_ms = bench.clock_ms + 60_000
    for _ in range(5):
        bench.report('w1', running=[(one.ref, '', 0) for one in present])
        bench.advance(1)
    assert not bench.plan().stops
    assert any(
        one.phase is AllocationPhase.STARTING
        for one in job.units[0].allocations.values()
    )


def test_the_rate_of_a_run_is_compared_with_its_siblings():
    percent_s = {'slow': 0.4}
    fleet = Fleet(entry('w1'), percent_s=partial(steady, percent_s))
    for number in range(4):
        fleet.submit(job_spec(f'usual-{number}', single()))
    (slow,) = fleet.submit(job_spec('slow', single()))
    rate = fleet.bench.engine.evidence.progress.relative_rate
    fleet.play(0.25)
    assert rate(run_of(slow)) is None
    fleet.play(10)
    assert rate(run_of(slow)) == pytest.approx(0.5, rel=0.25)


def test_a_paused_task_is_not_silent():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('filler', step(fills_idle=True)))
    bench.start_all()
    run = run_of(job)
    run.speed_percent = 0
    for _ in range(60):
        bench.advance(1)
        bench.confirm()
    assert not bench.plan().stops
    bench.end(run, EndKind.DONE)
