"""Cancellations under faults of the store and changes of the leader.

Submissions reach any leader, also a replaced one, at any time and any number of
times: other VMs hold them and send them again.
"""

import asyncio

import pytest
from cancellation_model import JOBS, MAX_LEADERS, Deployment
from fake_store import StoreFault
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bulrushcove.batch.cancellations import Cancellations
from bulrushcove.node import job_requests as job_requests_module
from bulrushcove.node import store_writer as store_writer_module
from bulrushcove.node.job_records import JobRecords
from bulrushcove.node.write_queue import Batch

NAMES = st.sampled_from(JOBS)
# 0: the current leader; above: one that it replaced.
AGES = st.sampled_from((0, 0, 0, 1, 2))
# How far handlers get before the next event, in steps of the loop.
STEPS = st.sampled_from((1, 3, 5, 10, 40))
# Within these all handlers end once the store responds.
SETTLE_STEPS = 3000


class CancellationMachine(RuleBasedStateMachine):
    """Checks that an answered cancellation binds all later leaders."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.loop = self.runner.get_loop()
        self.deployment = Deployment(self.loop)
        self.store = self.deployment.store
        self.handlers = []
        self.replace_leader()
        self.settle()

    def handle(self, handler, steps):
        """Start ``handler`` and let it go on for ``steps`` of the loop."""
        self.handlers.append(self.deployment.spawn(handler))
        self.go_on(steps)

    def find_leader(self, age):
        leaders = self.deployment.leaders
        return leaders[-1 - age % len(leaders)]

    @rule(job=NAMES, age=AGES, steps=STEPS)
    def submit(self, job, age, steps):
        leader = self.find_leader(age)
        self.handle(self.deployment.submit(job, leader), steps)

    @rule(job=NAMES, age=AGES, steps=STEPS)
    def cancel(self, job, age, steps):
        leader = self.find_leader(age)
        self.handle(self.deployment.inquire(job, leader, cancels=True), steps)

    @rule(job=NAMES, age=AGES, steps=STEPS)
    def query(self, job, age, steps):
        leader = self.find_leader(age)
        self.handle(self.deployment.inquire(job, leader, cancels=False), steps)

    @rule(number=st.integers(0, 7))
    def close_stream(self, number):
        """Cancel a handler, as when the stream of its request closes."""
        if self.handlers:
            self.handlers.pop(number % len(self.handlers)).cancel()

    @rule(job=NAMES)
    def end(self, job):
        self.loop.run_until_complete(self.find_leader(0).end(job))

    @rule()
    def replace_leader(self):
        leaders = self.deployment.leaders
        self.deployment.elect()
        if len(leaders) > MAX_LEADERS:
            stopped = leaders.pop(0).store_writer.stop()
            self.loop.run_until_complete(stopped)

    @rule(steps=STEPS)
    def go_on(self, steps):
        self.loop.run_until_complete(take_steps(steps))

    @rule(faults=st.lists(st.sampled_from(StoreFault), min_size=1, max_size=4))
    def fail_calls(self, faults):
        self.store.scripted_faults.extend(faults)

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.1)), steps=STEPS)
    def take_store_down(self, seconds, steps):
        self.store.down = True
        self.go_on(steps)
        self.deployment.clock.advance(seconds)
        self.go_on(steps)

    @rule(steps=STEPS)
    def bring_store_back(self, steps):
        self.store.down = False
        self.go_on(steps)

    @rule(number=st.integers(0, 3))
    def deliver_late_commit(self, number):
        late = self.store.late_commits
        if late:
            self.store._commit(*late.pop(number % len(late)))

    @rule()
    def settle(self):
        """Let the store respond until all handlers have ended."""
        self.store.down = False
        self.store.scripted_faults.clear()
        self.deployment.clock.advance(1.1)
        steps_left = SETTLE_STEPS
        while self.deployment.tasks and steps_left:
            self.go_on(1)
            steps_left -= 1
        assert not self.deployment.tasks

    @invariant()
    def check(self):
        violations = self.deployment.find_violations()
        assert not violations, violations

    def teardown(self):
        with self.runner:
            self.settle()
            self.store.deliver_commits()
            self.check()
            for leader in self.deployment.leaders:
                self.loop.run_until_complete(leader.store_writer.stop())


async def take_steps(count):
    for _ in range(count):
        await asyncio.sleep(0)


def run_machine(**options):
    run_state_machine_as_test(
        CancellationMachine,
        settings=settings(
            max_examples=150,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(HealthCheck),
            **options,
        ),
    )


@pytest.fixture(autouse=True)
def without_pauses(monkeypatch):
    monkeypatch.setattr(job_requests_module, 'STORE_CHECK_INTERVAL_S', 0)
    monkeypatch.setattr(store_writer_module, 'RETRY_INTERVAL_S', 0)
    monkeypatch.setattr(store_writer_module, 'TRANSACTION_SPACING_S', 0)


def test_an_answered_cancellation_binds_later_leaders():
    run_machine()


@pytest.mark.parametrize(
    ('owner', 'method', 'result'),
    [
        (Cancellations, 'refuse_cancelled', None),
        (JobRecords, 'pending_end', None),
    ],
)
def test_the_model_finds_a_missing_guarantee(
    owner, method, result, monkeypatch
):
    """Control case: without each of these, jobs run on."""
    monkeypatch.setattr(owner, method, lambda *_: result)
    with pytest.raises(AssertionError, match='job-'):
        run_machine(phases=[Phase.generate], report_multiple_bugs=False)


def test_the_model_finds_a_withdrawn_record_that_is_stored(monkeypatch):
    """Control case: a commit without a response counts as rejected."""
    monkeypatch.setattr(Batch, 'may_have_stored', lambda *_: False)
    machine = CancellationMachine()
    lost = [StoreFault.LATE_WRITE, StoreFault.NONE]
    machine.fail_calls([*lost, StoreFault.DOWN])
    machine.submit(JOBS[0], age=0, steps=3)
    machine.take_store_down(0.5, steps=40)
    with pytest.raises(AssertionError, match='was rejected'):
        machine.teardown()
