"""The control daemon over real sockets, with stand-ins in this process."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import msgspec
import pytest
from aiohttp.test_utils import unused_port

from bulrushcove.clock import SystemClock
from bulrushcove.configuration import Configuration
from bulrushcove.configuration_codec import encode_configuration
from bulrushcove.contract import Contract
from bulrushcove.control import ControlApplication
from bulrushcove.control_link import ControlLink
from bulrushcove.job import JobRecord, JobSpec
from bulrushcove.job_store import JobStore
from bulrushcove.messages import Hello, JobNotice, JobStanding
from bulrushcove.settings import check_settings
from bulrushcove.states import DomainState, JobState, VmRole
from bulrushcove.store import CONFIGURATION_KEY, Write
from bulrushcove.store_etcd import EtcdStore
from bulrushcove.vm_list import VmEntry, VmList
from bulrushcove.worker_api import WorkerDescription
from dev.history.events import EventLog, TaskStep, read_events
from dev.standins.faults import FaultInjector
from dev.standins.hosting import HostedServer
from dev.standins.kv_state import KvState
from dev.standins.platform import KvServer, expire_leases
from dev.standins.vm_list import DelayedVmList
from dev.standins.worker import _advance, make_worker_server
from dev.standins.worker_tasks import WorkerTasks

DOMAIN = 'Stockholm'
WAIT_S = 20


class Bench:
    """Stand-ins for a domain with two workers, and its control daemons."""

    def __init__(self, path):
        self.path = path / 'workers.jsonl'
        self.ports = {name: unused_port() for name in ('kv', 'w1', 'w2')}
        self.vm_port = unused_port()
        self.vms = [
            VmEntry(name, VmRole.WORKER, DOMAIN, '127.0.0.1', self.ports[name])
            for name in ('w1', 'w2')
        ]
        self.stream_ports = {vm: unused_port() for vm in ('vm-1', 'vm-2')}
        self.vms.extend(
            VmEntry(
                vm,
                VmRole.ENTRY,
                DOMAIN,
                '127.0.0.1',
                unused_port(),
                control_port=port,
            )
            for vm, port in self.stream_ports.items()
        )
        log = EventLog(self.path)
        self.tasks = [
            WorkerTasks(describe(name), SystemClock(), log)
            for name in ('w1', 'w2')
        ]

    def settings(self, vm):
        return check_settings(
            {
                'vm': {'id': vm, 'domain': DOMAIN},
                'entry': {'port': 0},
                'control': {
                    'stream_port': self.stream_ports.get(vm, 0),
                    'http_port': unused_port(),
                    'control_lease_ms': 2000,
                },
                'platform': {
                    'store_url': f'http://127.0.0.1:{self.ports["kv"]}',
                    'vm_list_url': f'http://127.0.0.1:{self.vm_port}/vms',
                },
            }
        )

    @asynccontextmanager
    async def running(self):
        state = KvState(SystemClock())
        vm_list = DelayedVmList(VmList(tuple(self.vms)), 0, SystemClock())
        servers = [
            HostedServer(name, port, routes, FaultInjector())
            for name, port, routes in (
                ('kv', self.ports['kv'], KvServer(state).routes()),
                ('vms', self.vm_port, vm_list.routes()),
            )
        ]
        workers = [
            make_worker_server(tasks, self.ports[tasks.description.worker])
            for tasks in self.tasks
        ]
        background_tasks = [
            asyncio.create_task(_advance(self.tasks, workers)),
            asyncio.create_task(expire_leases(state)),
        ]
        for server in (*servers, *workers):
            await server.start()
        async with aiohttp.ClientSession() as session:
            self.session = session
            self.store = EtcdStore(session, self.settings('test').platform)
            self.jobs = JobStore(self.store)
            await self._configure()
            yield self
        for task in background_tasks:
            task.cancel()
        for server in (*servers, *workers):
            await server.stop()

    @asynccontextmanager
    async def control(self, vm):
        settings = self.settings(vm)
        application = ControlApplication(settings)
        await application.start()
        try:
            yield settings
        finally:
            await application.stop()

    async def submit(self, job, tasks=2, **payload):
        record = JobRecord(
            job=job,
            organisation='tea',
            spec=JobSpec(
                kind='tally',
                tasks=tasks,
                accelerators_per_task=8,
                payload=msgspec.json.encode(payload).decode(),
            ),
            state=JobState.QUEUED,
            domain=DOMAIN,
            accepted_unix_ms=1,
        )
        await self.jobs.create(record)

    async def wait_for(self, job, *states):
        async with asyncio.timeout(WAIT_S):
            while True:
                record = (await self.jobs.load(job)).record
                if record.state in states:
                    return record
                await asyncio.sleep(0.05)

    def steps(self):
        events = read_events([self.path])
        return [(event.attempt, event.part, event.step) for event in events]

    async def _configure(self):
        contract = Contract(organisation='tea', token_sha256=())
        configuration = Configuration(
            1, {'tea': contract}, {DOMAIN: DomainState.IN_SERVICE}
        )
        value = encode_configuration(configuration)
        await self.store.write(Write(CONFIGURATION_KEY, value, 0))


def describe(name):
    return WorkerDescription(name, DOMAIN, 'r1', 8, 32, 65_536)


@pytest.fixture
def bench(tmp_path):
    return Bench(tmp_path)


async def test_all_parts_of_a_gang_run_and_its_results_are_stored(bench):
    async with bench.running(), bench.control('vm-1') as settings:
        await bench.submit('job-1', run_ms=300, result='stock')
        record = await bench.wait_for('job-1', JobState.SUCCEEDED)
        url = f'http://127.0.0.1:{settings.control.http_port}/metrics'
        async with bench.session.get(url) as response:
            assert 'bulrushcove_resident_bytes' in await response.text()
    assert record.results == ('stock', 'stock')
    starts = [step for step in bench.steps() if step[2] is TaskStep.START]
    assert len(starts) == 2


async def test_a_cancelled_gang_is_stopped(bench):
    async with bench.running(), bench.control('vm-1'):
        await bench.submit('job-1', run_ms=60_000)
        await bench.wait_for('job-1', JobState.RUNNING)
        stored = await bench.jobs.load('job-1')
        await bench.jobs.replace(
            stored,
            msgspec.structs.replace(stored.record, cancel_requested=True),
        )
        await bench.wait_for('job-1', JobState.CANCELLED)
    stops = [step for step in bench.steps() if step[2] is TaskStep.STOP]
    assert len(stops) == 2


async def test_a_new_control_adopts_running_gangs(bench):
    async with bench.running():
        async with bench.control('vm-1'):
            await bench.submit('job-1', run_ms=4000, result='stock')
            await bench.wait_for('job-1', JobState.RUNNING)
        async with bench.control('vm-2'):
            record = await bench.wait_for('job-1', JobState.SUCCEEDED)
    assert record.attempts == 1
    starts = [step for step in bench.steps() if step[2] is TaskStep.START]
    assert len(starts) == 2


async def test_a_standby_takes_over_from_a_control_that_is_stopped(bench):
    async with bench.running(), AsyncExitStack() as first:
        await first.enter_async_context(bench.control('vm-1'))
        await bench.submit('job-1', run_ms=6000, result='stock')
        await bench.wait_for('job-1', JobState.RUNNING)
        async with bench.control('vm-2'):
            await asyncio.sleep(1)
            await first.aclose()
            record = await bench.wait_for('job-1', JobState.SUCCEEDED)
    assert record.attempts == 1
    starts = [step for step in bench.steps() if step[2] is TaskStep.START]
    assert len(starts) == 2


async def test_the_reply_to_a_notice_says_why_the_job_waits(bench):
    async with bench.running(), bench.control('vm-1') as settings:
        hello = Hello('vm-1', DOMAIN, 'entry', 'entry-1')
        link = ControlLink(settings, hello)
        async with link:
            await bench.submit('job-1', run_ms=60_000)
            await bench.wait_for('job-1', JobState.RUNNING)
            await bench.submit('job-2')
            async with asyncio.timeout(WAIT_S):
                job_standing = JobStanding()
                while not job_standing.wait_reason:
                    await asyncio.sleep(0.1)
                    notice = JobNotice('job-2', DOMAIN)
                    job_standing = await link.notify_job(notice)
    assert job_standing.wait_reason.startswith('waits for')
