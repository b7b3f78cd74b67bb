"""Random faults during random jobs; prints the shortest failing sequence."""

import hypothesis
import pytest
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from bulrushcove import domain_jobs, outcomes
from bulrushcove.states import DomainState, JobState
from tests.domain_bench import (
    WORKERS,
    Bench,
    late_starts,
    starts,
    violations,
)

MAX_JOBS = 6
SETTLE_S = 120

some_worker = strategies.sampled_from(WORKERS)
some_control = strategies.sampled_from((0, 1))
some_seconds = strategies.sampled_from((0.25, 0.5, 1, 2, 3, 9, 25))


def freeze_control(_bench, control, _worker, _count):
    control.is_running = False


def cut_worker(_bench, control, worker, _count):
    control.client.unreachable.add(worker)


def cut_from_platform(_bench, control, _worker, _count):
    control.store.is_cut_off = True


def freeze_worker(bench, _control, worker, _count):
    bench.frozen_workers.add(worker)


def restart_worker(bench, _control, worker, _count):
    bench.frozen_workers.discard(worker)
    bench.restart_worker(worker)


def lose_responses(_bench, control, _worker, count):
    control.client.responses_to_lose = count


def delay_requests(_bench, control, _worker, count):
    control.client.requests_to_delay = count


def deliver_delayed_requests(bench, _control, _worker, _count):
    bench.deliver_delayed_requests()


def lose_store_responses(bench, _control, _worker, count):
    bench.store.lose_responses = count


def platform_down(bench, _control, _worker, _count):
    bench.store.down = True


FAULTS = (
    freeze_control,
    cut_worker,
    cut_from_platform,
    freeze_worker,
    restart_worker,
    lose_responses,
    delay_requests,
    deliver_delayed_requests,
    lose_store_responses,
    platform_down,
)


class DomainMachine(RuleBasedStateMachine):
    """Two controls and two workers under any faults in any order."""

    def __init__(self):
        super().__init__()
        self.bench = Bench()
        self.jobs = {}

    @precondition(lambda machine: len(machine.jobs) < MAX_JOBS)
    @rule(
        tasks=strategies.integers(1, 2),
        idempotent=strategies.booleans(),
        run_ms=strategies.sampled_from((20_000, 5000, 500)),
        seconds=some_seconds,
    )
    def submit(self, tasks, idempotent, run_ms, seconds):
        job = f'job-{len(self.jobs)}'
        self.jobs[job] = idempotent
        self.bench.submit(
            job, tasks=tasks, idempotent=idempotent, run_ms=run_ms
        )
        self.bench.run_for(seconds)

    @precondition(lambda machine: len(machine.jobs) > 2)
    @rule(number=strategies.integers(0, MAX_JOBS - 1))
    def cancel(self, number):
        jobs = sorted(self.jobs)
        job = jobs[number % len(jobs)]
        self.bench.change(job, cancel_requested=True)

    @rule(seconds=some_seconds)
    def wait(self, seconds):
        self.bench.run_for(seconds)

    @rule(
        fault=strategies.sampled_from(FAULTS),
        control=some_control,
        worker=some_worker,
        count=strategies.integers(1, 3),
        seconds=some_seconds,
        ends=strategies.booleans(),
    )
    def inject_fault(self, fault, control, worker, count, seconds, ends):
        """Inject a fault that ends after ``seconds`` or persists."""
        fault(self.bench, self.bench.controls[control], worker, count)
        self.bench.run_for(seconds)
        if ends:
            self.bench.run(self.bench.end_faults())

    @rule(control=some_control)
    def replace_control(self, control):
        self.bench.replace_control(control)

    @rule(seconds=some_seconds)
    def end_faults(self, seconds):
        self.bench.run(self.bench.end_faults())
        self.bench.run_for(seconds)

    @rule(seconds=some_seconds)
    def take_out_for(self, seconds):
        self.bench.set_domain(DomainState.OUT_OF_SERVICE)
        self.bench.run_for(seconds)
        self.check_take_out()
        self.bench.set_domain(DomainState.IN_SERVICE)

    @invariant()
    def check_history(self):
        assert not list(violations(self.bench))

    def check_take_out(self):
        if self.bench.out_since_s is not None:
            assert not late_starts(self.bench)

    def teardown(self):
        """End all faults and check that every job ends."""
        self.bench.run(self.bench.end_faults())
        for _ in range(SETTLE_S):
            if all(self.bench.is_settled(job) for job in self.jobs):
                break
            self.bench.run_for(1)
        for job, idempotent in self.jobs.items():
            record = self.bench.record(job)
            allowed = {JobState.SUCCEEDED, JobState.CANCELLED}
            if not idempotent:
                allowed.add(JobState.UNKNOWN)
            assert record.state in allowed, record
        self.check_history()
        self.bench.close()


def test_a_worker_that_thaws_ran_nothing_beyond_its_lease():
    """The part on a frozen worker ends with its lease, not when it thaws."""
    bench = Bench()
    bench.submit('job', tasks=2, run_ms=20_000)
    bench.run_for(1)
    assert len(starts(bench)) == 2
    bench.frozen_workers.add('w1')
    bench.run_for(60)
    assert not list(violations(bench))
    bench.run(bench.end_faults())
    assert not list(violations(bench))
    bench.close()


def run_machine(examples, steps, **options):
    run_state_machine_as_test(
        DomainMachine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
            **options,
        ),
    )


def test_invariants_hold_under_random_faults():
    run_machine(examples=300, steps=30)


def test_check_catches_a_second_run(monkeypatch):
    build_record_after_end = domain_jobs.build_record_after_end

    def repeat_unknown(gang, now_unix_ms):
        record = build_record_after_end(gang, now_unix_ms)
        if record.state is JobState.UNKNOWN:
            return outcomes._requeue(gang)
        return record

    monkeypatch.setattr(domain_jobs, 'build_record_after_end', repeat_unknown)
    with pytest.raises(AssertionError, match='not idempotent and ran 2 times'):
        run_machine(
            examples=300,
            steps=30,
            phases=[hypothesis.Phase.generate],
            report_multiple_bugs=False,
        )
