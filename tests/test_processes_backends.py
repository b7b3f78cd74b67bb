"""Backend servers and entry VMs that fail while requests run."""

import asyncio
import signal
import time

import pytest

from bulrushcove.states import Outcome
from dev.history.bounds import ARRIVAL_AFTER_DRAIN_S
from dev.history.records import BackendDrain, PlannedStop
from dev.launcher import entry_name
from tests import process_tools as tools

ALL_FAULTS = [
    {'cut': True},
    {'effect_without_answer': True},
    {'frozen': True},
    {'late_ms': 3000},
    {'slow_ms': 3000},
    {'fails_everything': True},
    {'down': True},
    {'silence_connections': True},
]


@pytest.fixture(scope='module')
def cluster():
    with tools.launched_cluster() as launched:
        yield launched


def backends_of(cluster):
    return [
        backend.backend
        for plan in cluster.topology.domains
        for backend in plan.backends
    ]


@pytest.mark.parametrize(
    'faults', ALL_FAULTS, ids=lambda fault: next(iter(fault))
)
async def test_faults_of_every_other_server(cluster, faults):
    name = next(iter(faults)).replace('_', '-')
    async with tools.new_run(cluster, name) as run:
        # Opens connections for the fault `silence_connections`.
        await run.send_requests_for(0.5)
        with tools.inject_faults(cluster, *backends_of(cluster)[::2], **faults):
            await run.send_requests_for(2.5)
        run.check()
    lost = [record for record in run.requests if record.status is None]
    assert not lost
    assert Outcome.RAN in run.list_outcomes()


async def test_all_servers_lose_their_responses(cluster):
    """Verifies that the fault takes effect.

    Requests that are reported as not run did not run.
    """
    async with tools.new_run(cluster, 'all') as run:
        backends = backends_of(cluster)
        with tools.inject_faults(
            cluster, *backends, effect_without_answer=True
        ):
            await run.send_requests_for(2, idempotents=(False,))
        run.check()
    assert Outcome.UNKNOWN in run.list_outcomes()
    assert Outcome.RAN not in run.list_outcomes()


async def test_retry_on_another_vm_runs_at_most_once(cluster):
    async with tools.new_run(cluster, 'retry') as run:
        backends = backends_of(cluster)
        with tools.inject_faults(
            cluster, *backends, effect_without_answer=True
        ):
            offered_requests = [
                run.offer_request(idempotent=False, service_ms=100)
                for _ in range(8)
            ]
            await asyncio.gather(
                *[run.send(request) for request in offered_requests]
            )
        for offered in offered_requests:
            for vm in cluster.entry_vms:
                await run.send(offered, vm)
        run.check()


async def test_retry_after_the_entry_was_killed_runs_at_most_once(cluster):
    vm = cluster.entry_vms[0]
    async with tools.new_run(cluster, 'killed') as run:
        offered_requests = [
            run.offer_request(idempotent=False, service_ms=1500)
            for _ in range(6)
        ]
        sending = [
            asyncio.create_task(run.send(request, vm))
            for request in offered_requests
        ]
        await asyncio.sleep(0.8)
        cluster.kill(entry_name(vm.vm))
        first_records = await asyncio.gather(*sending)
        retry_records = [
            await run.send(offered, other_vm)
            for offered in offered_requests
            for other_vm in cluster.entry_vms[1:]
        ]
        tools.restart(cluster, entry_name(vm.vm))
        run.check()
    # The entry was killed while the requests ran.
    assert {record.status for record in first_records} == {None}
    assert {record.outcome for record in retry_records} == {Outcome.UNKNOWN}


async def test_draining_servers_get_no_new_requests(cluster):
    """One server reports draining itself, the VM list reports the other."""
    self_reporting, list_reported = (
        backends_of(cluster)[number] for number in (0, 2)
    )
    async with tools.new_run(cluster, 'leaving') as run:
        sending = asyncio.create_task(
            run.send_requests_for(
                ARRIVAL_AFTER_DRAIN_S + 3, idempotents=(True,)
            )
        )
        await asyncio.sleep(0.5)
        first_signal_at_s = time.monotonic()
        cluster.put_draining(self_reporting, draining=True)
        cluster.put_vm_lists(list_reported)
        await sending
        returned_at_s = time.monotonic()
        cluster.put_draining(self_reporting, draining=False)
        cluster.put_vm_lists()
        drains = [
            BackendDrain(backend, first_signal_at_s, returned_at_s)
            for backend in (self_reporting, list_reported)
        ]
        run.check(drains=tuple(drains))
        await asyncio.sleep(3)
        await run.send_requests_for(3, idempotents=(True,))
    assert not run.list_refusals()
    # Both servers serve again after draining ends.
    arrivals = {
        event.backend
        for event in run.collect_history().requests
        if event.at_s > returned_at_s
    }
    assert arrivals >= {self_reporting, list_reported}


async def test_planned_stop_of_an_entry_interrupts_no_request(cluster):
    vm = cluster.entry_vms[0]
    async with tools.new_run(cluster, 'entry-stop') as run:
        offered_requests = [
            run.offer_request(service_ms=2500, idempotent=bool(number % 2))
            for number in range(6)
        ]
        sending = [
            asyncio.create_task(run.send(request, vm))
            for request in offered_requests
        ]
        await asyncio.sleep(0.5)
        stop = PlannedStop(vm.vm, time.monotonic())
        cluster.processes.signal(entry_name(vm.vm), signal.SIGTERM)
        records = await asyncio.gather(*sending)
        assert cluster.processes.wait(entry_name(vm.vm), timeout_s=15) == 0
        tools.restart(cluster, entry_name(vm.vm))
        run.check(stops=(stop,))
    assert {record.outcome for record in records} == {Outcome.RAN}
