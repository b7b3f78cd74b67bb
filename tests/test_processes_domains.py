"""Failure domains partitioned from the platform and from each other."""

import asyncio
import signal
import time

import pytest

from bulrushcove.states import DomainState, JobState, Outcome
from dev.history.bounds import REVISION_SPREAD_S, START_AFTER_TAKE_OUT_S
from dev.history.records import ObservedRevision
from dev.launch.topology import PLATFORM
from dev.launcher import control_name
from tests import process_tools as tools

SMALL_JOBS = 24


@pytest.fixture(scope='module')
def cluster():
    with tools.launched_cluster() as launched:
        yield launched


def start_jobs(run, run_ms=400, count=SMALL_JOBS):
    """Start enough jobs that every domain starts tasks for several seconds."""
    offered_jobs = [
        run.offer_job(run_ms, accelerators_per_task=8) for _ in range(count)
    ]
    return [
        asyncio.create_task(run.run_job(offered_job))
        for offered_job in offered_jobs
    ]


async def test_take_out_reaches_a_domain_cut_off_from_the_platform(cluster):
    async with tools.new_run(cluster, 'relay') as run:
        cluster.cut(tools.GUICHON, PLATFORM)
        try:
            running = start_jobs(run)
            await asyncio.sleep(1)
            await run.operator.set_domain(
                tools.GUICHON, DomainState.OUT_OF_SERVICE
            )
            await asyncio.sleep(START_AFTER_TAKE_OUT_S + 2)
        finally:
            cluster.cut(tools.GUICHON, PLATFORM, cut=False)
        await run.operator.set_domain(tools.GUICHON, DomainState.IN_SERVICE)
        await asyncio.gather(*running)
        run.check()


async def test_no_start_in_a_domain_cut_off_from_everything(cluster):
    async with tools.new_run(cluster, 'cut') as run:
        link_ends = (PLATFORM, tools.FRAY_BENTOS, tools.CENTENARIO)
        running = start_jobs(run)
        for link_end in link_ends:
            cluster.cut(tools.GUICHON, link_end)
        try:
            await run.operator.set_domain(
                tools.GUICHON, DomainState.OUT_OF_SERVICE
            )
            await asyncio.sleep(START_AFTER_TAKE_OUT_S + 2)
        finally:
            for restored_link_end in link_ends:
                cluster.cut(tools.GUICHON, restored_link_end, cut=False)
        await asyncio.sleep(2)
        await run.operator.set_domain(tools.GUICHON, DomainState.IN_SERVICE)
        await asyncio.gather(*running)
        run.check()


async def test_domain_that_is_cut_off_serves_its_own_requests(cluster):
    (vm,) = [vm for vm in cluster.entry_vms if vm.domain == tools.GUICHON]
    link_ends = (PLATFORM, tools.FRAY_BENTOS, tools.CENTENARIO)
    async with tools.new_run(cluster, 'island') as run:
        for link_end in link_ends:
            cluster.cut(tools.GUICHON, link_end)
        try:
            await asyncio.sleep(3)
            records = [
                await run.send(run.offer_request(idempotent=True), vm)
                for _ in range(10)
            ]
        finally:
            for restored_link_end in link_ends:
                cluster.cut(tools.GUICHON, restored_link_end, cut=False)
        run.check()
    served = [request.outcome for request in records]
    assert served.count(Outcome.RAN) == len(records)


async def test_resumed_control_starts_nothing_in_a_domain_out_of_service(
    cluster,
):
    async with tools.new_run(cluster, 'wake') as run:
        frozen = control_name(await run.find_active_control(tools.GUICHON))
        running = start_jobs(run)
        await asyncio.sleep(0.5)
        cluster.processes.signal(frozen, signal.SIGSTOP)
        await run.operator.set_domain(tools.GUICHON, DomainState.OUT_OF_SERVICE)
        await asyncio.sleep(START_AFTER_TAKE_OUT_S + 0.5)
        cluster.processes.signal(frozen, signal.SIGCONT)
        await asyncio.sleep(2)
        await run.operator.set_domain(tools.GUICHON, DomainState.IN_SERVICE)
        await asyncio.gather(*running)
        run.check()


async def test_returned_domain_runs_tasks_again(cluster):
    async with tools.new_run(cluster, 'return') as run:
        await run.operator.set_domain(
            tools.CENTENARIO, DomainState.OUT_OF_SERVICE
        )
        await run.operator.wait_in_force(REVISION_SPREAD_S)
        during = await asyncio.gather(*start_jobs(run, count=6))
        await run.operator.set_domain(tools.CENTENARIO, DomainState.IN_SERVICE)
        returned_at_s = time.monotonic()
        await run.operator.wait_in_force(REVISION_SPREAD_S)
        after = await asyncio.gather(*start_jobs(run, count=18))
        run.check()
    assert {job.state for job in (*during, *after)} == {JobState.SUCCEEDED}
    times_s = [
        event.at_s
        for event in run.collect_history().tasks
        if event.domain == tools.CENTENARIO
    ]
    assert max(times_s) > returned_at_s


async def test_revision_reaches_a_domain_without_the_platform(cluster):
    async with tools.new_run(cluster, 'spread') as run:
        cluster.cut(tools.GUICHON, PLATFORM)
        try:
            await run.operator.set_domain(
                tools.GUICHON, DomainState.OUT_OF_SERVICE
            )
            await run.operator.set_domain(tools.GUICHON, DomainState.IN_SERVICE)
            await asyncio.sleep(REVISION_SPREAD_S)
            records = [
                ObservedRevision(
                    at_s=time.monotonic() + 0.1,
                    process=vm.vm,
                    revision=(await run.operator.status(vm)).revision,
                )
                for vm in cluster.entry_vms
            ]
        finally:
            cluster.cut(tools.GUICHON, PLATFORM, cut=False)
        run.check(
            accepted_revisions=tuple(run.operator.accepted_revisions),
            observed_revisions=tuple(records),
        )
