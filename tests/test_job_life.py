"""Every fault at every step of a job's life.

A step is an action of the active control or a message that it sends: a poll, an
election, a round with one worker, a pass, a call of the store. The same life
is lived again for each step, with the fault brought about right before it.
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

FAULT_S = 20
SETTLE_S = 90
RUN_MS = 1500
# Steps of an undisturbed life, and some after its end.
STEPS = range(1, 90)


async def kill_control(_bench, _control):
    raise KilledError


async def freeze_control(bench, control):
    await bench.freeze(control, FAULT_S)


async def cut_worker(bench, _control):
    for control in bench.controls:
        control.client.cut.add('w1')


async def freeze_worker(bench, _control):
    bench.frozen_workers.add('w1')


async def restart_worker(bench, _control):
    bench.restart_worker('w1')


async def lose_worker_answer(_bench, control):
    control.client.lose = 1


async def delay_request(_bench, control):
    control.client.delay = 1


async def lose_store_answer(bench, _control):
    bench.store.lose_answers = 1


async def lose_store_write(bench, _control):
    bench.store.lose_writes = 1


async def platform_down(bench, _control):
    bench.store.down = True


async def cut_control_from_platform(_bench, control):
    control.store.cut = True


async def isolate_control(_bench, control):
    control.store.cut = True
    control.client.cut.add('w1')


FAULTS = (
    kill_control,
    freeze_control,
    cut_worker,
    freeze_worker,
    restart_worker,
    lose_worker_answer,
    delay_request,
    lose_store_answer,
    lose_store_write,
    platform_down,
    cut_control_from_platform,
    isolate_control,
)


def live(fault, step, idempotent, run_ms=RUN_MS):
    """Return a bench whose one job has lived through ``fault``."""
    bench = Bench()
    bench.submit('job', idempotent=idempotent, run_ms=run_ms)
    seen = []

    async def count(control):
        if control is bench.controls[0]:
            seen.append(control)
            if len(seen) == step:
                await fault(bench, control)

    bench.before_step = count
    while len(seen) < step:
        bench.tick()
    bench.run_for(FAULT_S)
    bench.deliver_late()
    bench.run(bench.heal())
    for _ in range(SETTLE_S):
        bench.run_for(1)
        if bench.is_settled('job'):
            break
    bench.run_for(2)
    bench.close()
    return bench


def check_lives(fault, idempotent, **options):
    """Yield a line for each step after which something was wrong."""
    allowed = {JobState.SUCCEEDED}
    if not idempotent:
        allowed.add(JobState.UNKNOWN)
    for step in STEPS:
        bench = live(fault, step, idempotent, **options)
        state = bench.store.written[-1].state
        if state not in allowed:
            yield f'step {step}: {state}'
        for line in violations(bench):
            yield f'step {step}: {line}'


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('fault', FAULTS)
def test_a_fault_at_any_step(fault, idempotent):
    assert not list(check_lives(fault, idempotent))


async def cut_worker_briefly(bench, control):
    await cut_worker(bench, control)
    bench.after(2, bench.heal)


def test_a_short_silence_stops_nothing_that_runs():
    for step in STEPS:
        bench = live(cut_worker_briefly, step, True, run_ms=6000)
        states = [record.state for record in bench.store.written]
        begun = states.index(JobState.RUNNING)
        assert JobState.QUEUED not in states[begun:]


def test_a_woken_control_is_fenced_and_gives_up():
    for step in STEPS[::3]:
        bench = live(freeze_control, step, idempotent=True)
        assert bench.controls[0].controller is None
        assert bench.controls[1].controller is not None


def test_check_catches_a_worker_without_fence(monkeypatch):
    sync = WorkerTasks.sync

    def accept_all(tasks, request):
        tasks._epoch = 0
        return sync(tasks, request)

    monkeypatch.setattr(WorkerTasks, 'sync', accept_all)
    bench = live(freeze_control, 30, idempotent=True)
    assert bench.controls[0].controller is not None


def test_check_catches_a_second_run(monkeypatch):
    closing_record = domain_jobs.closing_record

    def repeat_unknown(gang, now_unix_ms):
        record = closing_record(gang, now_unix_ms)
        if record.state is JobState.UNKNOWN:
            return outcomes._requeue(gang)
        return record

    monkeypatch.setattr(domain_jobs, 'closing_record', repeat_unknown)
    wrong = check_lives(restart_worker, idempotent=False)
    assert any('not idempotent and ran 2 times' in line for line in wrong)


def test_check_catches_an_unrecorded_start(monkeypatch):
    monkeypatch.setattr(domain_jobs, 'needs_start_record', lambda _gang: False)
    monkeypatch.setattr(attempts, 'needs_start_record', lambda _gang: False)
    wrong = check_lives(isolate_control, idempotent=False, run_ms=20_000)
    assert any('not idempotent and ran 2 times' in line for line in wrong)


def test_check_catches_a_gang_whose_parts_are_not_watched(monkeypatch):
    monkeypatch.setattr(attempts, '_check_reports', lambda *_: None)
    monkeypatch.setattr(attempts, '_check_responsiveness', lambda *_: None)
    monkeypatch.setattr(instructions, 'is_renewable', lambda *_: True)
    wrong = check_lives(restart_worker, idempotent=True, run_ms=20_000)
    assert any('ran partially' in line for line in wrong)


def test_check_catches_a_result_of_a_part(monkeypatch):
    def any_finished(gang):
        return any(
            allocation.all_in(TaskState.FINISHED)
            for allocation in gang.allocations.values()
        )

    monkeypatch.setattr(GangAttempt, 'is_finished', property(any_finished))
    wrong = check_lives(freeze_worker, idempotent=True)
    assert any('succeeded with' in line for line in wrong)


def test_check_catches_a_store_without_compare(monkeypatch):
    def overwrite(fault):
        async def with_overwrite(bench, control):
            bench.store._write = lambda writes: _put_all(bench.store, writes)
            await fault(bench, control)

        return with_overwrite

    wrong = check_lives(overwrite(freeze_control), idempotent=True)
    assert any('changed from' in line for line in wrong)


def _put_all(store, writes):
    store.store_revision += 1
    for write in writes:
        store._put(write)
    return WriteAnswer(True, store.store_revision)


def test_check_catches_a_control_that_adopts_nothing(monkeypatch):
    monkeypatch.setattr(DomainJobs, 'adopt_attempts', lambda *_: None)
    wrong = check_lives(kill_control, idempotent=True)
    assert any('JobState.RUNNING' in line for line in wrong)


async def take_out_unseen(bench, control):
    """Take the domain out where its active control cannot learn of it."""
    control.store.cut = True
    bench.set_domain(DomainState.OUT_OF_SERVICE)


async def take_out_in_outage(bench, _control):
    bench.set_domain(DomainState.OUT_OF_SERVICE)
    bench.store.down = True


async def take_out_unread(bench, _control):
    """Take the domain out while polls of the configuration hang."""
    for control in bench.controls:
        control.polls = False
    bench.set_domain(DomainState.OUT_OF_SERVICE)
    bench.after(6, partial(bench.submit_async, 'late job'))


async def take_out_frozen(bench, control):
    bench.set_domain(DomainState.OUT_OF_SERVICE)
    await freeze_control(bench, control)


def late_starts_of_lives(fault, idempotent=True):
    return [
        f'step {step}: {event.attempt}'
        for step in STEPS
        for event in late_starts(live(fault, step, idempotent))
    ]


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(
    'fault',
    [take_out_unseen, take_out_in_outage, take_out_unread, take_out_frozen],
)
def test_no_start_after_a_take_out(fault, idempotent):
    assert not late_starts_of_lives(fault, idempotent)


def test_check_catches_a_start_without_permit(monkeypatch):
    monkeypatch.setattr(DomainController, 'may_start', lambda _: True)
    assert late_starts_of_lives(take_out_unread)


async def take_out(bench, _control):
    view = DomainView(OTHER_DOMAIN, 'vm-3', 1, 2, 2, 16, 16, 16, 8, 0, 0)
    bench.views = (view,)
    bench.set_domain(DomainState.OUT_OF_SERVICE)


@pytest.mark.parametrize('idempotent', [True, False])
def test_a_domain_taken_out_lets_its_jobs_go(idempotent):
    for step in STEPS:
        bench = live(take_out, step, idempotent, run_ms=12_000)
        record = bench.store.written[-1]
        moved = record.domain == OTHER_DOMAIN
        assert moved or record.state is JobState.SUCCEEDED
        assert not violations(bench)
        assert not late_starts(bench)
        if moved and starts(bench):
            # Stopped after a checkpoint of each part.
            assert idempotent
            assert all(record.checkpoints)
