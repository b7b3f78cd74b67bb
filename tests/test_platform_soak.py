"""Soak test: regression seeds, and tests of its checker."""

import pytest

from dev.node_soak import Soak, SubmittedJob
from dev.node_soak_checks import (
    check_cancelled_task,
    check_start_order,
    check_task,
)
from dev.platform_standin.worker import StartOrder


# Seeds 11 and 29: while the store was unavailable, the record of one job was
# withdrawn, and the starts of all jobs placed with it were never sent.
@pytest.mark.parametrize('seed', [1, 11, 29])
async def test_no_guarantee_is_violated(seed):
    soak = Soak(seed)
    assert await soak.run() == []
    assert any(submitted.is_accepted for submitted in soak.jobs.values())


@pytest.mark.parametrize(
    'history',
    [
        [(1, 'begin', 't', 1), (2, 'begin', 't', 2)],
        [(1, 'begin', 't', 2), (2, 'failed', 't', 2), (3, 'begin', 't', 2)],
        [(1, 'begin', 't', 1), (2, 'done', 't', 1), (3, 'begin', 't', 2)],
    ],
)
def test_check_reports_violations(history):
    assert check_task('t', history)


def test_check_accepts_a_repeated_run():
    history = [
        (1, 'begin', 't', 1),
        (2, 'lapsed', 't', 1),
        (3, 'begin', 't', 2),
        (4, 'done', 't', 2),
    ]
    assert check_task('t', history) == []


@pytest.mark.parametrize(
    ('history', 'undisturbed_since_s'),
    [
        ([(13.1, 'begin', 't', 1), (13.2, 'stopped', 't', 1)], 0),
        ([(1, 'begin', 't', 1), (13.5, 'stopped', 't', 1)], 0),
        ([(1, 'begin', 't', 1), (20.5, 'done', 't', 1)], 20),
        ([(1, 'begin', 't', 1)], 20),
    ],
)
def test_check_reports_work_after_a_cancellation(history, undisturbed_since_s):
    assert check_cancelled_task('t', history, 10, undisturbed_since_s)


def test_check_accepts_a_run_that_a_fault_kept_from_being_stopped():
    history = [(12.9, 'begin', 't', 1), (20.3, 'stopped', 't', 1)]
    assert check_cancelled_task('t', history, 10, 20) == []


@pytest.mark.parametrize('is_unknown', [False, True])
def test_check_reports_a_job_accepted_after_its_cancellation(is_unknown):
    """A fault may keep a run from being stopped, but not excuse its start."""
    submitted = SubmittedJob(cancelled_at_s=10, is_cancelled_unknown=is_unknown)
    history = [(12.9, 'begin', 't', 1), (20.3, 'done', 't', 1)]
    violations = submitted.check_cancelled('t', history, 20)
    assert bool(violations) == is_unknown


@pytest.mark.parametrize(
    'order',
    [StartOrder('t', 'other', ''), StartOrder('t', 'work', 'of another task')],
)
def test_check_reports_a_start_that_nobody_asked_for(order):
    assert check_start_order(order, 'work', {('u', 'of another task')})


def test_check_accepts_a_start_from_a_checkpoint_of_the_task():
    order = StartOrder('t', 'work', 'saved')
    assert check_start_order(order, 'work', {('t', 'saved')}) == []
