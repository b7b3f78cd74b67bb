"""Injects each fault before each step of a job's execution.

A step is an action of the active control or a message that it sends: a poll, an
election, a round with one worker, a scheduling pass, a call of the store. The
same job is run again for each step, with the fault injected right before it.
"""

from functools import partial

import pytest

from bulrushcove import attempts, domain_jobs, instructions, outcomes
from bulrushcove.domain_controller import DomainController
from bulrushcove.domain_jobs import DomainJobs
from bulrushcove.gang import GangAttempt
from bulrushcove.messages import DomainView
from bulrushcove.states import DomainState, JobState, TaskState
from bulrushcove.store import WriteAnswer
from dev.standins.worker_tasks import WorkerTasks
from tests.domain_bench import (
    OTHER_DOMAIN,
    Bench,
    KilledError,
    late_starts,
    starts,
    violations,
)

FAULT_DURATION_S = 20
SETTLE_S = 90
RUN_MS = 1500
# Covers all steps of a run without faults, and some after the run ends.
STEPS = range(1, 90)


async def kill_control(_bench, _control):
    raise KilledError


async def freeze_control(bench, control):
    await bench.freeze(control, FAULT_DURATION_S)


async def cut_worker(bench, _control):
    for control in bench.controls:
        control.client.unreachable.add('w1')


async def freeze_worker(bench, _control):
    bench.frozen_workers.add('w1')


async def restart_worker(bench, _control):
    bench.restart_worker('w1')


async def lose_worker_response(_bench, control):
    control.client.responses_to_lose = 1


async def delay_request(_bench, control):
    control.client.requests_to_delay = 1


async def lose_store_response(bench, _control):
    bench.store.lose_responses = 1


async def lose_store_write(bench, _control):
    bench.store.lose_writes = 1


async def platform_down(bench, _control):
    bench.store.down = True


async def cut_control_from_platform(_bench, control):
    control.store.is_cut_off = True


async def isolate_control(_bench, control):
    control.store.is_cut_off = True
    control.client.unreachable.add('w1')


FAULTS = (
    kill_control,
    freeze_control,
    cut_worker,
    freeze_worker,
    restart_worker,
    lose_worker_response,
    delay_request,
    lose_store_response,
    lose_store_write,
    platform_down,
    cut_control_from_platform,
    isolate_control,
)


def run_with_fault(fault, step, idempotent, run_ms=RUN_MS):
    """Run one job with ``fault`` right before ``step``; return the bench."""
    bench = Bench()
    bench.submit('job', idempotent=idempotent, run_ms=run_ms)
    steps_taken = []

    async def inject_fault(control):
        if control is bench.controls[0]:
            steps_taken.append(control)
            if len(steps_taken) == step:
                await fault(bench, control)

    bench.before_step = inject_fault
    while len(steps_taken) < step:
        bench.tick()
    bench.run_for(FAULT_DURATION_S)
    bench.deliver_delayed_requests()
    bench.run(bench.end_faults())
    for _ in range(SETTLE_S):
        bench.run_for(1)
        if bench.is_settled('job'):
            break
    bench.run_for(2)
    bench.close()
    return bench


def find_violations(fault, idempotent, **options):
    """Run the job once per step; yield a line for each violation."""
    allowed = {JobState.SUCCEEDED}
    if not idempotent:
        allowed.add(JobState.UNKNOWN)
    for step in STEPS:
        bench = run_with_fault(fault, step, idempotent, **options)
        state = bench.store.written[-1].state
        if state not in allowed:
            yield f'step {step}: {state}'
        for line in violations(bench):
            yield f'step {step}: {line}'


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('fault', FAULTS)
def test_fault_at_any_step_violates_nothing(fault, idempotent):
    assert not list(find_violations(fault, idempotent))


async def cut_worker_briefly(bench, control):
    await cut_worker(bench, control)
    bench.schedule(2, bench.end_faults)


def test_short_worker_outage_stops_no_running_job():
    for step in STEPS:
        bench = run_with_fault(cut_worker_briefly, step, True, run_ms=6000)
        states = [record.state for record in bench.store.written]
        running_index = states.index(JobState.RUNNING)
        assert JobState.QUEUED not in states[running_index:]


def test_control_that_resumes_after_failover_is_fenced():
    for step in STEPS[::3]:
        bench = run_with_fault(freeze_control, step, idempotent=True)
        assert bench.controls[0].controller is None
        assert bench.controls[1].controller is not None


def test_check_detects_a_worker_without_fencing(monkeypatch):
    sync = WorkerTasks.sync

    def accept_all(tasks, request):
        tasks._epoch = 0
        return sync(tasks, request)

    monkeypatch.setattr(WorkerTasks, 'sync', accept_all)
    bench = run_with_fault(freeze_control, 30, idempotent=True)
    assert bench.controls[0].controller is not None


def test_check_detects_a_second_run(monkeypatch):
    build_record_after_end = domain_jobs.build_record_after_end

    def repeat_unknown(gang, now_unix_ms):
        record = build_record_after_end(gang, now_unix_ms)
        if record.state is JobState.UNKNOWN:
            return outcomes._requeue(gang)
        return record

    monkeypatch.setattr(domain_jobs, 'build_record_after_end', repeat_unknown)
    found = find_violations(restart_worker, idempotent=False)
    assert any('not idempotent and ran 2 times' in line for line in found)


def test_check_detects_an_unrecorded_start(monkeypatch):
    monkeypatch.setattr(domain_jobs, 'needs_start_record', lambda _gang: False)
    monkeypatch.setattr(attempts, 'needs_start_record', lambda _gang: False)
    found = find_violations(isolate_control, idempotent=False, run_ms=20_000)
    assert any('not idempotent and ran 2 times' in line for line in found)


def test_check_detects_a_partially_running_gang(monkeypatch):
    monkeypatch.setattr(attempts, '_check_reports', lambda *_: None)
    monkeypatch.setattr(attempts, '_check_responsiveness', lambda *_: None)
    monkeypatch.setattr(instructions, 'is_renewable', lambda *_: True)
    found = find_violations(restart_worker, idempotent=True, run_ms=20_000)
    assert any('ran partially' in line for line in found)


def test_check_detects_a_result_of_part_of_a_gang(monkeypatch):
    def any_finished(gang):
        return any(
            allocation.all_in(TaskState.FINISHED)
            for allocation in gang.allocations.values()
        )

    monkeypatch.setattr(GangAttempt, 'is_finished', property(any_finished))
    found = find_violations(freeze_worker, idempotent=True)
    assert any('succeeded with' in line for line in found)


def test_check_detects_a_store_without_compare_and_swap(monkeypatch):
    def overwrite(fault):
        async def with_overwrite(bench, control):
            bench.store._write = lambda writes: _put_all(bench.store, writes)
            await fault(bench, control)

        return with_overwrite

    found = find_violations(overwrite(freeze_control), idempotent=True)
    assert any('changed from' in line for line in found)


def _put_all(store, writes):
    store.store_revision += 1
    for write in writes:
        store._put(write)
    return WriteAnswer(True, store.store_revision)


def test_check_detects_a_control_that_adopts_no_attempts(monkeypatch):
    monkeypatch.setattr(DomainJobs, 'adopt_attempts', lambda *_: None)
    found = find_violations(kill_control, idempotent=True)
    assert any('JobState.RUNNING' in line for line in found)


async def take_out_undetected(bench, control):
    """Take the domain out of service, unknown to its active control."""
    control.store.is_cut_off = True
    bench.set_domain(DomainState.OUT_OF_SERVICE)


async def take_out_with_store_down(bench, _control):
    bench.set_domain(DomainState.OUT_OF_SERVICE)
    bench.store.down = True


async def take_out_during_hung_polls(bench, _control):
    """Take the domain out of service while configuration polls hang."""
    for control in bench.controls:
        control.can_poll = False
    bench.set_domain(DomainState.OUT_OF_SERVICE)
    bench.schedule(6, partial(bench.submit_async, 'late job'))


async def take_out_and_freeze_control(bench, control):
    bench.set_domain(DomainState.OUT_OF_SERVICE)
    await freeze_control(bench, control)


def find_late_starts(fault, idempotent=True):
    return [
        f'step {step}: {event.attempt}'
        for step in STEPS
        for event in late_starts(run_with_fault(fault, step, idempotent))
    ]


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(
    'fault',
    [
        take_out_undetected,
        take_out_with_store_down,
        take_out_during_hung_polls,
        take_out_and_freeze_control,
    ],
)
def test_no_start_in_a_domain_out_of_service(fault, idempotent):
    assert not find_late_starts(fault, idempotent)


def test_check_detects_a_start_without_permit(monkeypatch):
    monkeypatch.setattr(DomainController, 'may_start', lambda _: True)
    assert find_late_starts(take_out_during_hung_polls)


async def take_out(bench, _control):
    view = DomainView(OTHER_DOMAIN, 'vm-3', 1, 2, 2, 16, 16, 16, 8, 0, 0)
    bench.views = (view,)
    bench.set_domain(DomainState.OUT_OF_SERVICE)


@pytest.mark.parametrize('idempotent', [True, False])
def test_jobs_leave_a_domain_out_of_service(idempotent):
    for step in STEPS:
        bench = run_with_fault(take_out, step, idempotent, run_ms=12_000)
        record = bench.store.written[-1]
        moved = record.domain == OTHER_DOMAIN
        assert moved or record.state is JobState.SUCCEEDED
        assert not violations(bench)
        assert not late_starts(bench)
        if moved and starts(bench):
            # Stopped after a checkpoint of each part.
            assert idempotent
            assert all(record.checkpoints)
