"""What is stopped in a burst of urgent work, and what is waited for."""

import pytest
from batch_builders import Bench, entry, job_spec, step
from burst_player import BurstPlayer

from bulrushcove.batch.job_state import AllocationPhase
from bulrushcove.batch.preemption_cost import (
    RunningUnit,
    ends_soon,
    loss_core_s,
    preemption_cost,
)
from bulrushcove.batch.workers import EndKind

# An urgent job within its guarantee must have started by then.
MAX_START_S = 2.7
STOP_DURATION_S = 0.9


def bench_of(count, **others):
    return Bench(*(entry(f'w{number}') for number in range(count)), **others)


def start(bench, *specs):
    for spec in specs:
        bench.submit(spec)
    plan = bench.start_all()
    for spec in specs:
        assert bench.engine.jobs[spec.job].has_started
    return plan


def report_progress(bench, percents):
    """Report the progress of each job's runs, by its id."""
    for worker in bench.engine.workers.values():
        bench.report(
            worker.id,
            running=[
                (one.ref, '', percents.get(one.unit.job.id, one.percent))
                for one in worker.allocations.values()
            ],
        )


def jobs_of(allocations):
    return {allocation.unit.job.id for allocation in allocations}


def test_a_gang_is_stopped_in_place_of_more_work_on_the_same_workers():
    """Its loss was counted on each worker, so that it looked dearest."""
    bench = bench_of(8, guaranteed=64)
    singles = [
        job_spec(f'single{number}', step(1, 8, estimated_ms=60_000))
        for number in range(4)
    ]
    start(bench, *singles)
    bench.advance(1)
    start(
        bench, job_spec('gang', step(4, 8, is_gang=True, estimated_ms=60_000))
    )
    bench.advance(2)
    bench.submit(job_spec('urgent', step(4, 8, is_gang=True), priority=0))
    assert jobs_of(bench.plan().stops) == {'gang'}


def test_a_gang_is_spared_if_single_tasks_lose_less():
    bench = bench_of(8, guaranteed=64)
    start(
        bench, job_spec('gang', step(4, 8, is_gang=True, estimated_ms=60_000))
    )
    bench.advance(20)
    start(
        bench,
        *(
            job_spec(f'single{number}', step(1, 8, estimated_ms=60_000))
            for number in range(4)
        ),
    )
    bench.advance(1)
    report_progress(bench, {'gang': 35})
    bench.submit(job_spec('urgent', step(2, 8, is_gang=True), priority=0))
    stopped = jobs_of(bench.plan().stops)
    assert len(stopped) == 2
    assert 'gang' not in stopped


def test_a_run_far_beyond_the_usual_time_has_lost_the_most():
    """Its loss was taken for none: more was left than a usual run takes."""
    bench = bench_of(2, guaranteed=8)
    estimates = bench.engine.estimates
    for _ in range(3):
        estimates.record_run('queue-1', 9000)
    start(bench, job_spec('long', step(1, 8)))
    bench.advance(20)
    report_progress(bench, {'long': 30})
    start(bench, job_spec('young', step(1, 8)))
    bench.advance(3)
    report_progress(bench, {'long': 34, 'young': 33})
    bench.submit(job_spec('urgent', step(1, 8), priority=0))
    assert jobs_of(bench.plan().stops) == {'young'}


def test_work_that_ends_within_half_a_second_is_not_stopped():
    """A gang that needed one more worker stopped the run that ended, too."""
    bench = bench_of(2, guaranteed=16)
    start(bench, job_spec('ending', step(1, 8, estimated_ms=5000)))
    bench.advance(4.6)
    report_progress(bench, {'ending': 92})
    start(bench, job_spec('long', step(1, 8, estimated_ms=60_000)))
    bench.submit(job_spec('urgent', step(2, 8, is_gang=True), priority=0))
    stops = bench.plan().stops
    assert jobs_of(stops) == {'long'}
    (unit,) = bench.engine.jobs['ending'].units
    (ending,) = unit.allocations.values()
    bench.advance(0.4)
    bench.end(ending, EndKind.DONE)
    for allocation in stops:
        bench.end(allocation, EndKind.STOPPED)
    assert jobs_of(bench.plan().starts) == {'urgent'}


def play_estimates_that_are_wrong(factor):
    """Return what an urgent gang waits if runs take ``factor`` as long."""
    bench = bench_of(3, guaranteed=24)
    player = BurstPlayer(
        bench,
        lambda unit: factor * unit.spec.estimated_ms / 1000,
        stop_s=STOP_DURATION_S,
    )
    for number, estimated_ms in enumerate((1200, 1700, 8000)):
        bench.submit(
            job_spec(f'job{number}', step(1, 8, estimated_ms=estimated_ms))
        )
    player.play(1.0)
    submitted_at_s = bench.now_s
    bench.submit(job_spec('urgent', step(3, 8, is_gang=True), priority=0))
    player.play(MAX_START_S + 1)
    return player.started_at_s['urgent'] - submitted_at_s


@pytest.mark.parametrize('factor', [0.1, 1, 10])
def test_a_run_that_does_not_end_is_stopped_in_time(factor):
    """Failure: estimates that are wrong by ten times, either way."""
    assert play_estimates_that_are_wrong(factor) <= MAX_START_S


def test_capacity_that_is_being_freed_is_not_freed_twice():
    """What was stopped for another unit, and left over, was not counted."""
    bench = bench_of(3, guaranteed=24)
    start(bench, job_spec('other', step(1, 8, estimated_ms=60_000)))
    bench.advance(2)
    report_progress(bench, {'other': 3})
    wide = step(2, 8, is_gang=True, estimated_ms=60_000)
    start(bench, job_spec('wide', wide))
    bench.advance(0.5)
    bench.submit(job_spec('first', step(1, 8), priority=0))
    stops = bench.plan().stops
    assert jobs_of(stops) == {'wide'}
    for allocation in stops:
        allocation.phase = AllocationPhase.STOPPING
    bench.submit(job_spec('second', step(1, 8), priority=0))
    bench.advance(0.1)
    assert bench.plan().stops == []
    for allocation in stops:
        bench.end(allocation, EndKind.STOPPED)
    assert jobs_of(bench.plan().starts) == {'first', 'second'}


def play_urgent_jobs_on_a_full_pool(rounds, *, lost_workers=0):
    """Return the player after two urgent jobs every 4 s, and their waits."""
    bench = bench_of(4, guaranteed=32)
    player = BurstPlayer(bench, lambda unit: unit.spec.estimated_ms / 1000)
    for number in range(3):
        patient = step(1, 8, writes_checkpoints=True, estimated_ms=300_000)
        bench.submit(job_spec(f'patient{number}', patient, priority=2))
    waits_s = []
    for number in range(rounds):
        names = (f'urgent{number}', f'also{number}')
        for name in names:
            bench.submit(
                job_spec(name, step(1, 8, estimated_ms=1500), priority=0)
            )
        submitted_at_s = bench.now_s
        player.play(4.0)
        waits_s.extend(
            player.started_at_s[name] - submitted_at_s for name in names
        )
        if number < lost_workers:
            worker = bench.engine.workers.pop(f'w{number}')
            bench.engine.end_incarnation(
                worker, unix_ms=bench.unix_ms, now_s=bench.now_s
            )
    return player, waits_s


def test_the_same_unit_is_not_displaced_again_and_again():
    player, _ = play_urgent_jobs_on_a_full_pool(10)
    displaced = [player.stops[f'patient{number}'] for number in range(3)]
    assert sum(displaced) >= 8
    assert max(displaced) - min(displaced) <= 2


def test_urgent_jobs_start_in_time_while_workers_are_lost():
    """Failure: two of four workers go during the burst."""
    _, waits_s = play_urgent_jobs_on_a_full_pool(6, lost_workers=2)
    assert max(waits_s) <= MAX_START_S


def test_an_urgent_job_beyond_its_guarantee_pays_for_itself_in_a_burst():
    """Throwing away more than it gains delays the other callers that wait."""
    bench = bench_of(1, guaranteed=0)
    start(bench, job_spec('running', step(1, 8, estimated_ms=60_000)))
    bench.advance(3)
    report_progress(bench, {'running': 5})
    urgent = step(1, 8, estimated_ms=1500)
    bench.submit(job_spec('calm', urgent, priority=0))
    calm_stops = bench.plan().stops
    assert jobs_of(calm_stops) == {'running'}


def test_no_more_work_is_lost_than_gained_while_work_waits():
    bench = bench_of(1, guaranteed=0)
    start(bench, job_spec('running', step(1, 8, estimated_ms=60_000)))
    bench.advance(3)
    report_progress(bench, {'running': 5})
    for number in range(4):
        waiting = step(1, 8, estimated_ms=10_000)
        bench.submit(job_spec(f'waiting{number}', waiting))
    urgent = step(1, 8, estimated_ms=1500)
    bench.submit(job_spec('urgent', urgent, priority=0))
    assert bench.plan().stops == []


def test_unsaved_work_is_what_a_stop_loses():
    plain = RunningUnit(size=2, weight_cores=10, worked_s=5)
    saved = RunningUnit(size=2, weight_cores=10, worked_s=5, saves_work=True)
    assert loss_core_s(plain) == 6 + 50
    assert loss_core_s(saved) == pytest.approx(6 + 6)


def test_interrupted_units_cost_more():
    plain = RunningUnit(size=1, weight_cores=1, worked_s=1)
    again = RunningUnit(size=1, weight_cores=1, worked_s=1, interruptions=2)
    assert preemption_cost(again) == 1.5 * preemption_cost(plain)


@pytest.mark.parametrize(
    ('remaining_s', 'progress_age_s', 'is_awaited'),
    [(0.4, 0, True), (1.0, 0.6, True), (1.0, 0, False), (0.4, 2.0, False)],
)
def test_an_overdue_run_is_not_awaited(remaining_s, progress_age_s, is_awaited):
    assert ends_soon(remaining_s, progress_age_s) is is_awaited
