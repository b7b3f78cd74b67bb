"""The platform is down, slow or loses its responses."""

import asyncio
import time

import pytest

from bulrushcove.states import DomainState, JobState, Outcome
from dev.history.bounds import START_AFTER_TAKE_OUT_S
from dev.launcher import control_name, entry_name
from tests import process_tools as tools

PLATFORM = 'platform'
GANG = {'tasks': 2, 'accelerators_per_task': 4}


@pytest.fixture(scope='module')
def cluster():
    with tools.launched_cluster() as launched:
        yield launched


async def test_outage_does_not_affect_requests_or_running_gangs(cluster):
    async with tools.new_run(cluster, 'outage') as run:
        gang = run.offer_job(12_000, **GANG)
        running = asyncio.create_task(run.run_job(gang))
        starts = await run.wait_for_start(gang)
        with tools.inject_faults(cluster, PLATFORM, down=True):
            await run.send_requests_for(8, idempotents=(True,))
            submitted_at_s = time.monotonic()
            late_job = run.offer_job(500, **GANG)
            waiting = asyncio.create_task(run.run_job(late_job))
            await asyncio.sleep(2)
        restored_at_s = time.monotonic()
        job = await running
        await waiting
        run.check()
    assert job.state is JobState.SUCCEEDED
    assert {event.attempt for event in run.find_starts(gang)} == {
        starts[0].attempt
    }
    assert run.list_outcomes() == {Outcome.RAN}
    # No task starts while the domain cannot be proven to be in service.
    early_starts = [
        event
        for event in run.find_starts(late_job)
        if submitted_at_s < event.at_s < restored_at_s
    ]
    assert not early_starts


async def test_lost_write_responses_lose_and_repeat_no_job(cluster):
    async with tools.new_run(cluster, 'lost') as run:
        with tools.inject_faults(
            cluster,
            PLATFORM,
            effect_without_answer=True,
            path_prefix='/v3/kv/txn',
        ):
            offered_jobs = [
                run.offer_job(300, idempotent=bool(number % 2), **GANG)
                for number in range(6)
            ]
            running = [
                asyncio.create_task(run.run_job(offered_job))
                for offered_job in offered_jobs
            ]
            await run.send_requests_for(3)
        await asyncio.gather(*running)
        run.check()
    assert {job.accepted for job in run.jobs} == {True}


async def test_slow_platform(cluster):
    async with tools.new_run(cluster, 'slow') as run:
        with tools.inject_faults(cluster, PLATFORM, slow_ms=800):
            offered = run.offer_job(500, **GANG)
            running = asyncio.create_task(run.run_job(offered))
            await run.send_requests_for(5, idempotents=(True,))
            job = await running
        run.check()
    assert job.state is JobState.SUCCEEDED
    assert run.list_outcomes() == {Outcome.RAN}


async def test_vm_that_boots_in_an_outage_uses_its_peers(cluster):
    vm = cluster.entry_vms[1]
    async with tools.new_run(cluster, 'boot') as run:
        for name in (control_name(vm.vm), entry_name(vm.vm)):
            cluster.kill(name)
        with tools.inject_faults(cluster, PLATFORM, down=True):
            for restarted in (control_name(vm.vm), entry_name(vm.vm)):
                cluster.processes.restart(restarted)
            cluster.wait_for_vm(vm)
            await asyncio.sleep(5)
            record = await run.send(run.offer_request(), vm)
        run.check()
    assert record.outcome is Outcome.RAN


async def test_outage_right_after_a_take_out(cluster):
    async with tools.new_run(cluster, 'takeout') as run:
        offered_jobs = [run.offer_job(400, **GANG) for _ in range(20)]
        running = [
            asyncio.create_task(run.run_job(offered_job))
            for offered_job in offered_jobs
        ]
        await run.operator.set_domain(tools.GUICHON, DomainState.OUT_OF_SERVICE)
        with tools.inject_faults(cluster, PLATFORM, down=True):
            await asyncio.sleep(START_AFTER_TAKE_OUT_S + 3)
        await run.operator.set_domain(tools.GUICHON, DomainState.IN_SERVICE)
        await asyncio.gather(*running)
        run.check()
