"""Workers that fail while gangs start and run."""

import asyncio

import pytest

from bulrushcove.states import JobState
from dev.history.events import TaskStep
from tests import process_tools as tools

# As many tasks as there are workers in a domain: both hold parts.
GANG = {'tasks': 2, 'accelerators_per_task': 8}


@pytest.fixture(scope='module')
def cluster():
    with tools.launched_cluster() as launched:
        yield launched


def workers_of(cluster):
    return [
        hosted.description.worker
        for plan in cluster.topology.domains
        for hosted in plan.workers
    ]


@pytest.mark.parametrize(
    'faults',
    [
        {'effect_without_answer': True},
        {'cut': True},
        {'frozen': True},
        {'late_ms': 2500},
        {'down': True},
        {'fails_everything': True},
    ],
    ids=lambda each: next(iter(each)),
)
async def test_every_other_worker_fails_for_a_while(cluster, faults):
    name = next(iter(faults)).replace('_', '-')
    async with tools.new_run(cluster, name) as run:
        offers = [
            run.offer_job(800, idempotent=bool(number % 2), **GANG)
            for number in range(6)
        ]
        with tools.faults_of(cluster, *workers_of(cluster)[::2], **faults):
            running = [
                asyncio.create_task(run.run_job(each, timeout_s=60))
                for each in offers
            ]
            await asyncio.sleep(4)
        await asyncio.gather(*running)
        run.check()
    assert JobState.SUCCEEDED in {job.state for job in run.jobs}


async def test_worker_frozen_past_its_lease_ends_the_whole_gang(cluster):
    async with tools.new_run(cluster, 'lapse') as run:
        offered = run.offer_job(25_000, **GANG)
        running = asyncio.create_task(run.run_job(offered, timeout_s=75))
        (first, _) = await run.wait_for_start(offered)
        with tools.faults_of(cluster, first.worker, frozen=True):
            await asyncio.sleep(12)
        job = await running
        run.check()
    assert job.state is JobState.SUCCEEDED
    # Control: the freeze did end an attempt.
    steps = {event.step for event in run.history().tasks}
    assert steps & {TaskStep.LAPSE, TaskStep.STOP}


async def test_cancellation_wave(cluster):
    async with tools.new_run(cluster, 'wave') as run:
        offers = [run.offer_job(20_000, **GANG) for _ in range(20)]
        running = [asyncio.create_task(run.run_job(each)) for each in offers]
        await run.wait_for_start(offers[0])
        await asyncio.gather(*[run.callers.cancel_job(each) for each in offers])
        jobs = await asyncio.gather(*running)
        run.jobs = [tools.cancelled(job) for job in jobs]
        run.check()
    assert {job.state for job in run.jobs} == {JobState.CANCELLED}
