import pytest
from msgspec.structs import replace

from bulrushcove import scheduling_pass
from bulrushcove.contract import GuaranteedShape, JobLimits
from bulrushcove.states import Adjacency, Urgency
from tests.snapshot_builders import (
    NOW_S,
    contract,
    gang,
    job,
    snapshot,
    worker,
)

WORKER, RACK, DOMAIN = Adjacency.WORKER, Adjacency.RACK, Adjacency.DOMAIN


def tasks_by_worker(plan):
    return {
        job_start.job: {
            part.worker: len(part.parts) for part in job_start.placement
        }
        for job_start in plan.starts
    }


def shape(accelerators, adjacency=WORKER, count=1):
    return GuaranteedShape(accelerators, adjacency, None, count)


def test_small_jobs_use_partly_occupied_workers():
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1', free=8), worker('w2', free=3)],
            queued=[job('a', accelerators=2)],
        )
    )
    assert tasks_by_worker(plan) == {'a': {'w2': 1}}
    assert plan.starts[0].borrowed


def test_guaranteed_start_names_its_slot():
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1')],
            queued=[job('a', accelerators=8)],
            contracts=[contract(guaranteed=[shape(8)])],
        )
    )
    (job_start,) = plan.starts
    assert not job_start.borrowed
    assert job_start.slot_name == '8/worker/any#1'


def borrowed_gangs(unsaved_s):
    """Return borrowed one-task gangs of ``shop`` that fill two workers."""
    return [
        gang(
            job(f'{name}-{index}', 'shop'),
            {name: 1},
            borrowed=True,
            unsaved_s=unsaved_s[name],
        )
        for name in ('w1', 'w2')
        for index in range(8)
    ]


def test_preemption_for_a_shape_loses_the_least_work():
    full = [worker('w1', free=0), worker('w2', free=0)]
    running = borrowed_gangs({'w1': 50.0, 'w2': 5.0})
    agreed = [contract(guaranteed=[shape(8)]), contract('shop')]
    plan = scheduling_pass.plan(
        snapshot(
            workers=full,
            queued=[job('a', accelerators=8)],
            running=running,
            contracts=agreed,
        )
    )
    assert not plan.starts
    assert {preemption.attempt for preemption in plan.preemptions} == {
        borrowed.attempt for borrowed in running if 'w2' in borrowed.job
    }


def test_stopping_gangs_are_not_preempted_again():
    running = [
        gang(borrowed.record, {'w2': 1}, borrowed=True, stopping=True)
        for borrowed in borrowed_gangs({'w1': 0.0, 'w2': 0.0})
        if 'w2' in borrowed.job
    ]
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1', free=0), worker('w2', free=0)],
            queued=[job('a', accelerators=8), job('late', 'shop')],
            running=running,
            contracts=[contract(guaranteed=[shape(8)]), contract('shop')],
        )
    )
    assert not plan.preemptions
    assert not plan.starts


def test_preempted_capacity_is_reserved_for_the_preempting_job():
    """A later small job does not take capacity that becomes free first."""
    stopping = [
        gang(job(f's{index}', 'shop'), {'w1': 1}, borrowed=True, stopping=True)
        for index in range(4)
    ]
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1', free=4)],
            queued=[job('late', 'shop'), job('a', accelerators=8)],
            running=stopping,
            contracts=[contract(guaranteed=[shape(8)]), contract('shop')],
        )
    )
    assert not plan.starts


@pytest.mark.parametrize(
    ('borrowed', 'preempted_count'), [(True, 1), (False, 0)]
)
def test_only_borrowed_work_is_preempted(borrowed, preempted_count):
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1', free=0)],
            queued=[job('a', accelerators=8)],
            running=[gang(job('b', 'shop', 8), {'w1': 1}, borrowed)],
            contracts=[contract(guaranteed=[shape(8)]), contract('shop')],
        )
    )
    assert len(plan.preemptions) == preempted_count


def test_guaranteed_work_leaves_capacity_for_other_shapes():
    """Both gangs of ``mill`` share a worker, as ``shop`` needs the other."""
    agreed = [
        contract(guaranteed=[shape(4), shape(4)]),
        contract('shop', guaranteed=[shape(8)]),
    ]
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1'), worker('w2')],
            queued=[job('a', accelerators=4), job('b', accelerators=4)],
            contracts=agreed,
        )
    )
    spread = tasks_by_worker(plan)
    assert [job_start.borrowed for job_start in plan.starts] == [False, False]
    assert spread['a'] == spread['b']


def test_urgent_job_preempts_borrowed_normal_work():
    running = borrowed_gangs({'w1': 50.0, 'w2': 5.0})
    agreed = [contract(guaranteed=[shape(8)]), contract('shop')]
    guaranteed_gang = gang(job('own', accelerators=8), {'w3': 1})
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker(name, free=0) for name in ('w1', 'w2', 'w3')],
            queued=[job('a', urgency=Urgency.URGENT)],
            running=[*running, guaranteed_gang],
            contracts=agreed,
        )
    )
    (preemption,) = plan.preemptions
    assert preemption.attempt.startswith('w2')


def test_unrunnable_jobs_do_not_block_others():
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1')],
            queued=[
                job('wide', tasks=9),
                job('deep', cores=33),
                job('split', tasks=2, accelerators=5, adjacency=WORKER),
                job('fine'),
            ],
        )
    )
    assert {unrunnable_job.job for unrunnable_job in plan.unrunnable_jobs} == {
        'wide',
        'deep',
        'split',
    }
    assert tasks_by_worker(plan) == {'fine': {'w1': 1}}


def test_a_large_job_gets_a_reservation():
    """Small jobs do not start on the workers reserved for the large one."""
    running = [
        gang(job('short', accelerators=4), {'w1': 1}, True, started_s=NOW_S),
        gang(job('long', 'shop', 4), {'w2': 1}, True, started_s=NOW_S),
    ]
    queued = [
        job('large', accelerators=8),
        job('small', accelerators=4, declared_run_ms=600_000),
        job('small2', accelerators=4, declared_run_ms=600_000),
    ]
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1', free=4), worker('w2', free=4)],
            queued=queued,
            running=running,
            contracts=[contract(), contract('shop')],
        )
    )
    (reservation,) = plan.reservations
    assert reservation.job == 'large'
    assert len(plan.starts) == 1
    assert reservation.placement[0].worker not in tasks_by_worker(plan)['small']


def test_borrowing_is_limited_by_the_contract():
    limits = JobLimits(max_borrowed_accelerators=2)
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1')],
            queued=[job(f'j{index}') for index in range(4)],
            contracts=[contract(jobs=limits)],
        )
    )
    assert len(plan.starts) == 2
    assert {waiting_job.reason for waiting_job in plan.waiting_jobs} == {
        'the organisation is at its limit of borrowed accelerators'
    }


def test_cancelled_jobs_are_skipped():
    cancelled = [
        replace(job(f'j{index}'), cancel_requested=True)
        for index in range(1000)
    ]
    plan = scheduling_pass.plan(
        snapshot(workers=[worker('w1')], queued=[*cancelled, job('kept')])
    )
    assert tasks_by_worker(plan) == {'kept': {'w1': 1}}


def test_a_shape_of_this_domain_precedes_a_movable_one():
    """One worker cannot hold both; the movable shape fits other domains."""
    bound = GuaranteedShape(8, WORKER, 'north')
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1')],
            queued=[job('a', accelerators=8)],
            contracts=[
                contract(guaranteed=[shape(8)]),
                contract('shop', guaranteed=[bound]),
            ],
        )
    )
    assert [job_start.borrowed for job_start in plan.starts] == [True]


def test_large_job_preempts_small_gangs_of_its_organisation():
    """Small jobs of ``mill`` use its only shape when the large one arrives."""
    agreed = [contract(guaranteed=[shape(8)])]
    small = [gang(job(f's{index}'), {'w1': 1}) for index in range(8)]
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1', free=0)],
            queued=[job('large', accelerators=8)],
            running=small,
            contracts=agreed,
        )
    )
    assert len(plan.preemptions) == 8
    (reservation,) = plan.reservations
    assert (reservation.job, reservation.awaits_preemption) == ('large', True)


@pytest.mark.parametrize(
    ('waited_ms', 'preemption_count'), [(1000, 0), (61_000, 1)]
)
def test_a_small_job_waits_before_preemption(waited_ms, preemption_count):
    plan = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1', free=0)],
            queued=[job('part', accepted_ms=1_000_000 - waited_ms)],
            running=borrowed_gangs({'w1': 1.0, 'w2': 1.0})[:8],
            contracts=[contract(guaranteed=[shape(8)]), contract('shop')],
        )
    )
    assert len(plan.preemptions) == preemption_count


def test_preempted_capacity_goes_to_the_preempting_job():
    """An older job of the same organisation does not take the capacity."""
    agreed = [contract(guaranteed=[shape(8)]), contract('shop')]
    running = borrowed_gangs({'w1': 5.0, 'w2': 50.0})
    first = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1', free=0), worker('w2', free=0)],
            queued=[job('a', accelerators=8, accepted_ms=5)],
            running=running,
            contracts=agreed,
        )
    )
    second = scheduling_pass.plan(
        snapshot(
            workers=[worker('w1', free=8), worker('w2', free=0)],
            queued=[
                job('older', accelerators=8),
                job('a', accelerators=8, accepted_ms=5),
            ],
            running=running[8:],
            contracts=agreed,
            reservations=first.reservations,
        )
    )
    assert tasks_by_worker(second) == {'a': {'w1': 1}}


def test_preemption_skips_victims_in_capacity_of_other_shapes():
    """The cheapest victim runs in the rack that the shape of ``shop`` needs."""
    agreed = [
        contract(guaranteed=[shape(1, DOMAIN)]),
        contract('shop', [shape(16, RACK)]),
        contract('guest'),
    ]
    used = gang(job('used', 'shop', 8), {'w1': 1})
    cheap = gang(job('cheap', 'guest'), {'w2': 1}, borrowed=True)
    expensive = [
        gang(job(f'd{index}', 'guest', 7), {name: 1}, True, unsaved_s=90.0)
        for index, name in enumerate(('w2', 'w3', 'w4'))
    ]
    moderate = [
        gang(job(f'm{name}', 'guest'), {name: 1}, True, unsaved_s=60.0)
        for name in ('w3', 'w4')
    ]
    racks = {'w1': 'r1', 'w2': 'r1', 'w3': 'r2', 'w4': 'r2'}
    plan = scheduling_pass.plan(
        snapshot(
            workers=[
                worker(name, rack, free=0) for name, rack in racks.items()
            ],
            queued=[job('a')],
            running=[used, cheap, *expensive, *moderate],
            contracts=agreed,
        )
    )
    (preemption,) = plan.preemptions
    assert preemption.attempt == 'mw3-1'
