"""A new leader polls the listed workers a limited number at a time."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from batch_builders import Bench, entry, job_spec, report
from fake_watchable_store import FakeWatchableStore
from test_node_worker_link import FakeWorkerClient, RecordingEventHandler

from bulrushcove.clock import ManualClock
from bulrushcove.ids import Epoch
from bulrushcove.node import worker_registry as registry_module
from bulrushcove.node.worker_registry import (
    WorkerAdapter,
    WorkerRegistry,
    first_poll_limit,
)
from bulrushcove.store import Write

WORKERS = 60
SMALL_VM_CORES = 0.5


class SilentWorkerClient(FakeWorkerClient):
    """A client of a worker that lost power: no call ever returns."""

    async def report(
        self, epoch, *, started_unix_ms, stored_end, lease_end_ms, wait_ms
    ):
        await asyncio.Event().wait()


class Deployment:
    """Workers in the store; those named ``dark-...`` are silent."""

    def __init__(self):
        self.bench = Bench()
        # Addresses that workers have moved to, and the clients made.
        self.addresses = {}
        self.clients = []
        self.engine = self.bench.engine
        self.store = FakeWatchableStore(ManualClock())
        self.registry = WorkerRegistry(
            self.engine,
            self.store,
            WorkerAdapter('', self.decode, self.make_client, lambda _: None),
            RecordingEventHandler(self.bench),
            epoch=Epoch(1),
            settings=SimpleNamespace(
                max_lease_ms=8000, cpu_cores=SMALL_VM_CORES
            ),
            clock=ManualClock(),
        )

    def decode(self, key, encoded):
        worker_entry = entry(key)
        address = self.addresses.get(key, worker_entry.address)
        return msgspec.structs.replace(worker_entry, address=address)

    def make_client(self, worker, address):
        self.clients.append((worker, address))
        if worker.startswith('dark'):
            return SilentWorkerClient()
        client = FakeWorkerClient()
        client.reports = [report()]
        return client

    async def list_workers(self, *names):
        for name in names:
            await self.store.commit((Write(name, b'entry', 0),))

    async def move(self, name, address):
        self.addresses[name] = address
        (item,) = (await self.store.read(name)).found
        await self.store.commit((Write(name, b'moved', item.mod_revision),))

    def reported(self):
        return [
            worker.id
            for worker in self.engine.workers.values()
            if worker.has_reported
        ]


async def wait_for(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def deployment(monkeypatch):
    monkeypatch.setattr(registry_module, 'FIRST_POLL_SLOT_S', 0.01)
    deployment = Deployment()
    yield deployment
    await deployment.registry.stop()


async def test_a_domain_without_power_does_not_delay_the_other_workers(
    deployment,
):
    """At 1,500 workers a leader needed 5 s to serve after such a loss."""
    await deployment.list_workers(
        *(f'dark-{number}' for number in range(WORKERS)),
        *(f'well-{number}' for number in range(WORKERS)),
    )
    await deployment.registry.start()
    await asyncio.sleep(0.5)
    assert len(deployment.reported()) == WORKERS


async def test_polls_of_silent_workers_are_limited_at_first(deployment):
    await deployment.list_workers(
        *(f'dark-{number}' for number in range(WORKERS))
    )
    await deployment.registry.start()
    await asyncio.sleep(0.005)
    links = deployment.registry._links
    assert 0 < len(links) <= first_poll_limit(SMALL_VM_CORES)


def test_a_large_vm_polls_more_workers_at_a_time():
    """1,500 workers at a distance of 60 ms took 8 s with 24 at a time."""
    assert first_poll_limit(0.1) == first_poll_limit(SMALL_VM_CORES) == 24
    assert first_poll_limit(2.15) > 100


async def test_a_worker_that_restarts_at_another_address_is_called_there(
    deployment, monkeypatch
):
    """It was called at its old address for as long as it was listed."""
    monkeypatch.setattr(registry_module, 'ENTRY_BATCHING_DELAY_S', 0.01)
    await deployment.list_workers('w1')
    await deployment.registry.start()
    await asyncio.sleep(0.05)
    old_link = deployment.registry.find_link('w1')
    await deployment.move('w1', 'elsewhere:80')
    await wait_for(lambda: deployment.registry.find_link('w1') is not old_link)
    await asyncio.sleep(0.05)
    assert deployment.clients == [('w1', 'w1:80'), ('w1', 'elsewhere:80')]
    assert old_link.should_stop


async def test_a_stop_that_found_no_link_is_sent_once_there_is_one(
    deployment, monkeypatch
):
    """The run of a cancelled job went on, and its lease was renewed."""
    monkeypatch.setattr(registry_module, 'ENTRY_BATCHING_DELAY_S', 0.01)
    await deployment.list_workers('w1')
    await deployment.registry.start()
    await asyncio.sleep(0.05)
    registry = deployment.registry
    deployment.bench.submit(job_spec('job'))
    (run,) = deployment.bench.start_all().starts
    # Other workers are polled first.
    registry._first_polls = asyncio.Semaphore(0)
    await deployment.move('w1', 'elsewhere:80')
    await wait_for(lambda: registry.find_link('w1') is None)
    registry.order_stops(
        deployment.engine.cancel(run.unit.job, unix_ms=1, now_s=1)
    )
    registry._first_polls.release()
    await wait_for(lambda: registry.find_link('w1') is not None)
    await asyncio.sleep(0.05)
    assert registry.find_link('w1').client.stops == [run.ref]
