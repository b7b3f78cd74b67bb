"""Suspected workers: what they still get, and which of them is at fault."""

import pytest
from batch_builders import Bench, entry, job_spec, step
from progress_fleet import Fleet

from bulrushcove.batch.progress_expectation import is_far
from bulrushcove.batch.progress_model import (
    MAX_SHORT_POLLS_S,
    needs_short_polls,
)
from bulrushcove.batch.workers import RunningTask, WorkerReport

# Users are promised a start within this time where there is room.
MAX_START_S = 3.0
PASS_S = 0.25
# Longer than a standstill that costs more than the gangs here.
MAX_STOP_S = 20.0


def gang(count, **others):
    return step(
        count, is_gang=True, same_rack=True, estimated_ms=12_000, **others
    )


def count_runs(worker, job):
    runs = worker.allocations.values()
    return sum(one.unit.job.id == job for one in runs)


def start_in_time(fleet, count):
    jobs = fleet.submit(
        *(job_spec(f'waits-{number}', step()) for number in range(count))
    )
    fleet.play(MAX_START_S + PASS_S)
    return all(job.has_started for job in jobs)


@pytest.mark.parametrize('percent_s', [8.0, 20.0, 60.0])
def test_units_do_not_wait_for_a_first_percent(percent_s):
    """Long tasks on sound workers, which are suspected or on trial."""
    fleet = Fleet(entry('w1'), entry('w2'), percent_s=lambda _: percent_s)
    fleet.submit(job_spec('long', step(2, max_per_worker=1)))
    fleet.play(4.5)
    assert start_in_time(fleet, 5)


def test_units_start_on_standing_workers_where_no_other_is_left():
    fleet = Fleet(entry('w1'), entry('w2'), percent_s=lambda _: 0.5)
    fleet.submit(job_spec('long', gang(2, max_per_worker=1)))
    fleet.play(30)
    fleet.standing = {'w1', 'w2'}
    fleet.play(6)
    assert start_in_time(fleet, 6)


def test_units_start_beside_a_gang_that_has_become_slow():
    percents_s = {'slow': 0.5}
    fleet = Fleet(
        entry('w1'),
        entry('w2'),
        percent_s=lambda unit: percents_s.get(unit.job.id, 8.0),
    )
    fleet.submit(job_spec('slow', gang(2, max_per_worker=1)))
    fleet.play(30)
    percents_s['slow'] = 12.0
    fleet.play(6)
    assert start_in_time(fleet, 6)


@pytest.mark.parametrize('bad', ['w1', 'w2', 'w3'])
def test_gangs_on_the_same_workers_clear_none_of_them(bad):
    """That both are silent tells not which worker holds them up."""
    names = ('w1', 'w2', 'w3')
    fleet = Fleet(
        *(entry(name, accelerators=8) for name in names),
        percent_s=lambda _: 0.1,
    )
    fleet.submit(*(job_spec(name, gang(12, max_per_worker=4)) for name in 'ab'))
    fleet.play(4)
    fleet.standing = {bad}
    until_s = fleet.bench.now_s + MAX_STOP_S
    while not fleet.play(PASS_S):
        assert fleet.bench.now_s < until_s
    reliability = fleet.bench.engine.reliability
    assert reliability.is_quarantined(bad, fleet.bench.now_s)


@pytest.mark.parametrize('bad', ['w1', 'w2', 'w3'])
def test_gangs_end_elsewhere_after_one_stop(bad):
    """Both leave the worker that stands still."""
    fleet = Fleet(
        *(entry(f'w{number}', accelerators=8) for number in range(1, 7)),
        percent_s=lambda _: 0.1,
    )
    jobs = fleet.submit(
        *(job_spec(name, gang(12, max_per_worker=4)) for name in 'ab')
    )
    fleet.play(4)
    fleet.standing = {bad}
    assert len(fleet.play(30)) <= 24
    assert all(job.has_ended for job in jobs)


def test_a_closed_worker_gets_one_unit():
    """Also where most workers are suspected, so that all are tried."""
    fleet = Fleet(
        *(entry(f'w{number}', accelerators=8) for number in range(3)),
        percent_s=lambda _: 0.1,
    )
    fleet.submit(job_spec('gang', gang(6, max_per_worker=2)))
    fleet.play(6)
    fleet.standing = {'w1'}
    workers = fleet.workers.values()
    while sum(bool(one.suspected_since_s) for one in workers) < len(workers):
        assert not fleet.play(PASS_S)
    fleet.submit(job_spec('new', step(18)))
    fleet.play(PASS_S)
    assert all(count_runs(worker, 'new') <= 1 for worker in workers)


@pytest.mark.parametrize('slow_percent', [0, 1])
def test_a_run_is_not_stopped_for_silence_before_a_new_speed(slow_percent):
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('filler', step(fills_idle=True)))
    bench.start_all()
    (run,) = job.units[0].allocations.values()
    for percent in range(1, 5):
        bench.advance(0.5)
        bench.report('w1', running=[(run.ref, '', percent)])
    run.speed_percent = slow_percent
    for _ in range(40):
        bench.advance(1)
        bench.report('w1', running=[(run.ref, '', 4)])
        assert not bench.plan().stops
    run.speed_percent = 100
    bench.advance(0.25)
    bench.report('w1', running=[(run.ref, '', 4)])
    assert not bench.plan().stops


def test_a_new_speed_is_no_progress_of_the_worker():
    bench = Bench(entry('w1'))
    filler = bench.submit(job_spec('filler', step(fills_idle=True)))
    jobs = [bench.submit(job_spec(name)) for name in 'ab']
    bench.start_all()
    (slowed,) = filler.units[0].allocations.values()
    refs = [
        run.ref
        for job in (filler, *jobs)
        for run in job.units[0].allocations.values()
    ]
    for tick in range(16):
        bench.advance(0.5)
        percent = min(tick, 6)
        slowed.speed_percent = 50 if tick > 8 and tick % 2 else 100
        bench.report('w1', running=[(ref, '', percent) for ref in refs])
    assert bench.engine.workers['w1'].suspected_since_s


def test_a_run_missing_from_a_cut_report_is_no_progress():
    """The others there have fallen silent."""
    bench = Bench(entry('w1'))
    jobs = [bench.submit(job_spec(name)) for name in 'abc']
    bench.start_all()
    refs = [
        run.ref for job in jobs for run in job.units[0].allocations.values()
    ]
    for tick in range(1, 5):
        bench.advance(1)
        bench.report('w1', running=[(ref, '', 5 * tick) for ref in refs])
    worker = bench.engine.workers['w1']
    for _ in range(4):
        bench.advance(1)
        report = WorkerReport(
            clock_ms=bench.clock_ms,
            started_unix_ms=worker.entry.started_unix_ms,
            running=tuple(RunningTask(ref, '', 20) for ref in refs[:2]),
            ended=(),
            is_cut=True,
        )
        bench.engine.apply_report(
            worker,
            report,
            requested_at_s=bench.now_s,
            now_s=bench.now_s,
            unix_ms=bench.unix_ms,
        )
    assert worker.suspected_since_s


def test_runs_that_have_ended_show_progress():
    """A long task beside a chain of short ones, which end between reports."""
    percents_s = {'long': 6.0}
    fleet = Fleet(
        entry('w1'),
        percent_s=lambda unit: percents_s.get(unit.job.id, 0.0025),
    )
    fleet.submit(job_spec('long', step()))
    for number in range(24):
        fleet.submit(job_spec(f'short-{number}', step()))
        assert not fleet.play(0.5)


def standstill_lengths(fleet):
    return list(fleet.bench.engine.evidence.progress._spells_ms)


def test_a_standstill_of_a_gang_teaches_no_length():
    """It may be long by itself; its members are on many workers."""
    fleet = Fleet(
        *(entry(f'w{number}', accelerators=4) for number in range(6)),
        percent_s=lambda _: 0.1,
    )
    fleet.submit(job_spec('gang', gang(24)))
    fleet.play(6)
    fleet.standing = {'w1'}
    assert not fleet.play(4)
    fleet.standing = set()
    fleet.play(1)
    assert not standstill_lengths(fleet)


def test_long_percents_teach_no_length():
    fleet = Fleet(entry('w1'), entry('w2'), percent_s=lambda _: 12.0)
    fleet.submit(*(job_spec(f'long-{number}', gang(8)) for number in range(2)))
    fleet.play(30)
    assert not standstill_lengths(fleet)


def test_past_standstills_tell_how_long_the_next_one_lasts():
    """Once known to be long, one is ended before it has cost more."""
    percents_s = {'a': 0.5, 'b': 0.5}
    fleet = Fleet(
        entry('w1'), percent_s=lambda unit: percents_s.get(unit.job.id, 0.1)
    )
    fleet.submit(*(job_spec(name, gang(3)) for name in 'ab'))
    fleet.play(26)
    for _ in range(3):
        fleet.standing = {'w1'}
        assert not fleet.play(10)
        fleet.standing = set()
        assert not fleet.play(3)
    assert len(standstill_lengths(fleet)) == 3
    fleet.play(18)
    fleet.submit(*(job_spec(name, gang(3)) for name in 'cd'))
    fleet.play(4)
    fleet.standing = {'w1'}
    # Without them it would be ended after about 4 s of work and 2 s more.
    assert fleet.play(4)


def test_a_long_suspicion_does_not_cost_more_reports_for_ever():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('long', step()))
    bench.start_all()
    (run,) = job.units[0].allocations.values()
    worker = bench.engine.workers['w1']
    polls = []
    for _ in range(40):
        bench.advance(0.5)
        bench.report('w1', running=[(run.ref, '', 0)])
        if worker.suspected_since_s:
            polls.append(needs_short_polls(worker))
    assert polls[0]
    assert sum(polls) * 0.5 <= MAX_SHORT_POLLS_S
    assert not polls[-1]


def test_stops_are_forgotten_with_what_they_show():
    """Also on workers that have gone."""
    fleet = Fleet(entry('w1'), entry('w2'), percent_s=lambda _: 0.1)
    fleet.submit(job_spec('gang', gang(16)))
    fleet.play(6)
    fleet.standing = {'w1'}
    while not fleet.play(PASS_S):
        assert fleet.bench.now_s < 200
    fleet.standing = set()
    fleet.play(4)
    assert not fleet.bench.engine.evidence.progress._last_stop_s


def test_a_gang_waits_for_a_moment_after_each_stop():
    """The stop of a single task may show which worker is at fault."""
    fleet = Fleet(
        entry('w1', accelerators=5),
        entry('w2', accelerators=5),
        percent_s=lambda _: 0.1,
    )
    fleet.submit(
        job_spec('gang', gang(8)), job_spec('a', step()), job_spec('b', step())
    )
    fleet.play(2.5)
    fleet.standing = {'w1', 'w2'}
    stopped_at_s = {}
    for _ in range(48):
        for stop in fleet.play(PASS_S):
            stopped_at_s.setdefault(stop.unit.job.id, fleet.bench.now_s)
    others_s = min(stopped_at_s['a'], stopped_at_s['b'])
    assert stopped_at_s['gang'] - others_s >= 2.0


def test_a_gang_beside_a_certain_worker_does_not_make_others_suspected():
    fleet = Fleet(
        entry('w1', accelerators=4),
        entry('w2', accelerators=3),
        percent_s=lambda _: 0.5,
    )
    fleet.submit(job_spec('gang', gang(6, max_per_worker=3)))
    fleet.play(1)
    fleet.submit(job_spec('single', step()))
    fleet.play(20)
    fleet.standing = {'w1'}
    fleet.play(4.5)
    assert fleet.workers['w1'].silent_jobs == 2
    assert not fleet.workers['w2'].suspected_since_s


def test_a_gang_alone_gets_longer_to_its_first_percent():
    """Nothing else tells whether its workers stand still."""
    stopped_at_s = []
    for spec in (gang(4), step(1, estimated_ms=12_000)):
        fleet = Fleet(entry('w1'), percent_s=lambda _: 1000.0)
        fleet.submit(job_spec('silent', spec))
        while not fleet.play(PASS_S):
            assert fleet.bench.now_s < 200
        stopped_at_s.append(fleet.bench.now_s - 100)
    assert stopped_at_s[0] > 1.8 * stopped_at_s[1]


def test_a_run_that_stood_still_once_is_not_expected_to_again():
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('task'))
    bench.start_all()
    (run,) = job.units[0].allocations.values()
    for percent in range(1, 8):
        bench.advance(0.5)
        bench.report('w1', running=[(run.ref, '', percent)])
    bench.advance(60)
    bench.report('w1', running=[(run.ref, '', 8)])
    assert run.percent_ms == pytest.approx(2.5 * 500)


def test_runs_far_from_their_data_do_not_lengthen_those_near_it():
    """Their limits are learnt apart."""
    bench = Bench(entry('w1', rack='r1'), entry('w2', rack='r2'))
    near = bench.submit(job_spec('near', step(near_rack='r1')))
    far = bench.submit(job_spec('far', step(near_rack='r3')))
    bench.start_all()
    workers = bench.engine.workers
    assert not is_far(near.units[0], workers)
    assert is_far(far.units[0], workers)
