import pytest

from bulrushcove.domain_controller import DomainController
from bulrushcove.messages import DomainView
from bulrushcove.move_planner import (
    MAX_BALANCING_MOVES,
    MAX_FORCED_MOVES,
    MovePlanner,
    must_leave,
)
from bulrushcove.scheduling_pass import plan_in_steps
from bulrushcove.states import DomainState, JobState
from bulrushcove.worker_reliability import WorkerReliability
from dev.history.events import TaskStep
from tests.domain_bench import DOMAIN, OTHER_DOMAIN, Bench, starts, violations
from tests.snapshot_builders import contract, job


@pytest.fixture
def bench():
    bench = Bench(plan_in_steps)
    yield bench
    bench.close()


def run_until_settled(bench, jobs, limit_s=120):
    for _ in range(limit_s):
        if all(bench.is_settled(job) for job in jobs):
            return
        bench.run_for(1)


def view(domain=OTHER_DOMAIN, free=16, queued=0, largest=8):
    return DomainView(domain, 'vm-3', 1, 2, 2, free, 16, 16, largest, queued, 0)


def test_all_tasks_of_a_gang_run(bench):
    bench.submit('job')
    run_until_settled(bench, ['job'])
    assert bench.record('job').state is JobState.SUCCEEDED
    assert not list(violations(bench))


def fail_on_one_worker(bench):
    """Return the states of the jobs and the number of failed tasks."""
    bench.tasks['w1'].fails_everything = True
    jobs = [f'job-{number}' for number in range(12)]
    for name in jobs:
        bench.submit(name, tasks=1, run_ms=1000)
    run_until_settled(bench, jobs)
    states = {bench.record(name).state for name in jobs}
    failed = [
        event for event in bench.history.events if event.step is TaskStep.FAIL
    ]
    return states, len(failed)


def test_a_worker_that_fails_everything_is_quarantined(bench):
    states, failed = fail_on_one_worker(bench)
    assert states == {JobState.SUCCEEDED}
    # Three jobs fail, then probes follow after 30 s and after 60 s.
    assert 3 <= failed <= 5


def test_check_catches_a_missing_quarantine(bench, monkeypatch):
    monkeypatch.setattr(WorkerReliability, 'is_reliable', lambda *_: True)
    _states, failed = fail_on_one_worker(bench)
    assert failed > 5


def test_each_cancellation_takes_one_write(bench):
    jobs = [f'job-{number}' for number in range(50)]
    for name in jobs:
        bench.submit(name, run_ms=60_000)
    bench.run_for(3)
    for name in jobs:
        bench.change(name, cancel_requested=True)
    written = len(bench.store.written)
    calls = bench.store.calls
    bench.run_for(3)
    states = {bench.record(name).state for name in jobs}
    assert states == {JobState.CANCELLED}
    assert len(bench.store.written) == written + len(jobs)
    # The other calls are scans, elections and renewals of two controls.
    assert bench.store.calls - calls < len(jobs) * 2 + 40


def test_a_frozen_control_detects_its_expired_lease(bench):
    bench.run_for(3)
    controller = bench.controls[0].controller
    assert controller.may_start()
    bench.clock.advance(7)
    bench.run(bench.controls[0].poll())
    assert not controller.may_start()


def test_a_job_that_fits_no_other_domain_stays(bench):
    bench.submit('job', tasks=2)
    bench.views = (view(largest=4),)
    bench.set_domain(DomainState.OUT_OF_SERVICE)
    bench.run_for(5)
    assert bench.record('job').domain == DOMAIN
    assert not starts(bench)


def planner_of(bench, *views):
    return MovePlanner(DOMAIN, bench.configuration, views)


def test_forced_moves_are_limited_per_pass(bench):
    jobs = [
        job(f'job-{number}', 'litoral', accelerators=8)
        for number in range(MAX_FORCED_MOVES + 10)
    ]
    moves = planner_of(bench, view()).forced_moves(jobs)
    assert len(moves) == MAX_FORCED_MOVES
    assert {move.domain for move in moves} == {OTHER_DOMAIN}


def test_balancing_moves_need_idle_capacity_and_are_few(bench):
    jobs = [job(f'job-{number}', 'litoral') for number in range(50)]
    moves = planner_of(bench, view()).balancing_moves(jobs)
    assert len(moves) == MAX_BALANCING_MOVES
    assert not planner_of(bench, view(queued=1)).balancing_moves(jobs)
    assert not planner_of(bench, view(free=0)).balancing_moves(jobs)


def test_no_job_moves_to_a_hidden_domain(bench):
    hidden = contract('litoral', hidden_domains=(OTHER_DOMAIN,))
    bench.configuration.contracts['litoral'] = hidden
    record = job('job', 'litoral')
    assert not planner_of(bench, view()).forced_moves([record])
    assert must_leave(record, OTHER_DOMAIN, bench.configuration)
    assert not must_leave(record, DOMAIN, bench.configuration)


async def test_passes_continue_after_an_error(monkeypatch):
    bench = Bench()
    control = bench.controls[0]
    await control.poll()
    await control.elect()
    controller = control.controller
    passes = []

    async def fail():
        passes.append(1)
        if len(passes) > 2:
            controller._stopped.set()
        raise ValueError('a record that no pass can read')

    monkeypatch.setattr(controller, 'run_pass', fail)
    monkeypatch.setattr(controller, '_wait_for_change', _skip_wait)
    monkeypatch.setattr(controller.rounds, 'poll_all_once', _skip_wait)
    await DomainController._run_passes.fun(controller)
    assert len(passes) == 3


async def _skip_wait():
    """Return at once."""
