import pytest

from bulrushcove import naive_scheduler
from bulrushcove.states import Adjacency
from tests.snapshot_builders import contract, job, snapshot, worker


def placements(plan):
    return {
        job_start.job: [
            (part.worker, part.parts) for part in job_start.placement
        ]
        for job_start in plan.starts
    }


def test_jobs_start_in_order_on_the_least_loaded_worker():
    plan = naive_scheduler.plan(
        snapshot(
            workers=[worker('w1', free=4), worker('w2', free=8)],
            queued=[job('a', accelerators=6), job('b', accelerators=3)],
        )
    )
    assert placements(plan) == {'a': [('w2', (0,))], 'b': [('w1', (0,))]}


@pytest.mark.parametrize(
    ('adjacency', 'is_started'),
    [
        (Adjacency.WORKER, False),
        (Adjacency.RACK, False),
        (Adjacency.DOMAIN, True),
    ],
)
def test_all_tasks_of_a_gang_start_adjacent_or_none(adjacency, is_started):
    plan = naive_scheduler.plan(
        snapshot(
            workers=[
                worker('w1', rack='r1', free=4),
                worker('w2', rack='r2', free=8),
            ],
            queued=[job('gang', tasks=12, adjacency=adjacency)],
        )
    )
    assert bool(plan.starts) is is_started
    spread = [part for job_start in plan.starts for part in job_start.placement]
    parts = [number for part in spread for number in part.parts]
    assert parts == list(range(12 * is_started))


@pytest.mark.parametrize(
    'limits', [{'cores': 33}, {'memory_mb': 65537}, {'accelerators': 9}]
)
def test_a_task_that_exceeds_the_worker_waits(limits):
    assert not naive_scheduler.plan(
        snapshot(workers=[worker('w1')], queued=[job('big', **limits)])
    ).starts


@pytest.mark.parametrize(
    ('capacity', 'agreed'),
    [
        (worker('w1', usable=False), contract()),
        (worker('w1', rack='r1'), contract(hidden_racks=('r1',))),
        (worker('w1'), contract(hidden_domains=('north',))),
    ],
)
def test_unusable_and_hidden_workers_get_no_tasks(capacity, agreed):
    assert not naive_scheduler.plan(
        snapshot(workers=[capacity], queued=[job('a')], contracts=[agreed])
    ).starts
