"""Runs one control daemon against stand-ins hosted in this process."""

import asyncio
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import aiohttp

from bulrushcove.clock import SystemClock
from bulrushcove.job_store import JobStore
from bulrushcove.states import JobState, VmRole
from bulrushcove.store import CONFIGURATION_KEY, Write
from bulrushcove.store_etcd import EtcdStore
from bulrushcove.vm_list import VmEntry, VmList
from dev.capacity_cluster import (
    DOMAIN,
    GANG_TASKS,
    describe_worker,
    host_routes,
    make_configuration,
    make_record,
    make_settings,
)
from dev.history.events import EventLog
from dev.launch.ports import choose_ports
from dev.launch.processes import Processes
from dev.launch.settings_file import format_settings
from dev.standins.hosting import HOST
from dev.standins.kv_state import KvState
from dev.standins.platform import KvServer
from dev.standins.vm_list import DelayedVmList
from dev.standins.worker import make_worker_server
from dev.standins.worker_tasks import WorkerTasks

FILL_TIMEOUT_S = 90
SETTLE_S = 3
CONTROL = 'control'


class Cost(NamedTuple):
    """Resource use of one control daemon while it was measured."""

    workers: int
    tasks: int
    cpu_percent: float
    worker_kb_s: float
    resident_mb: float
    platform_calls_s: float


class CapacityBench:
    """Stand-ins and one control daemon."""

    def __init__(self, workers: int, directory: Path) -> None:
        """Prepare ``workers`` workers; writes files below ``directory``."""
        ports = choose_ports(workers + 4)
        self.directory = directory
        self.processes = Processes(directory)
        self._state = KvState(SystemClock())
        self._settings = make_settings(ports[:4])
        log = EventLog(directory / 'workers.jsonl')
        tasks = [
            WorkerTasks(describe_worker(number), SystemClock(), log)
            for number in range(workers)
        ]
        listed = [
            VmEntry(each.description.worker, VmRole.WORKER, DOMAIN, HOST, port)
            for each, port in zip(tasks, ports[4:], strict=True)
        ]
        vm_list = DelayedVmList(VmList(tuple(listed)), 0, SystemClock())
        self.servers = [
            host_routes('kv', ports[0], KvServer(self._state).routes()),
            host_routes('vms', ports[1], vm_list.routes()),
            *map(make_worker_server, tasks, ports[4:]),
        ]

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start the stand-ins, then the control daemon."""
        for server in self.servers:
            await server.start()
        self._session = session
        store = EtcdStore(session, self._settings.platform)
        self._jobs = JobStore(store)
        await store.write(Write(CONFIGURATION_KEY, make_configuration(), 0))
        path = self.directory / 'settings.toml'
        path.write_text(format_settings(self._settings))
        self.processes.start(
            CONTROL, 'bulrushcove.control', f'--settings={path}'
        )

    async def run_tasks(self, tasks: int) -> None:
        """Submit ``tasks`` tasks in gangs and wait until all run.

        Raises ``TimeoutError`` if they do not.
        """
        for number in range(tasks // GANG_TASKS):
            await self._jobs.create(make_record(number))
        for _ in range(FILL_TIMEOUT_S):
            await asyncio.sleep(1)
            if await self._all_run():
                break
        else:
            raise TimeoutError(
                f'{tasks} tasks did not start in {FILL_TIMEOUT_S} s'
            )
        await asyncio.sleep(SETTLE_S)

    async def measure(self, workers: int, tasks: int, watch_s: float) -> Cost:
        """Return the cost of the control daemon over ``watch_s`` seconds."""
        before = await self._metrics()
        cpu_s = self.processes.cpu_s(CONTROL)
        await asyncio.sleep(watch_s)
        cpu_s = self.processes.cpu_s(CONTROL) - cpu_s
        after = await self._metrics()
        sent = _total(after, 'worker_bytes') - _total(before, 'worker_bytes')
        calls = _total(after, 'platform_') - _total(before, 'platform_')
        return Cost(
            workers=workers,
            tasks=tasks,
            cpu_percent=100 * cpu_s / watch_s,
            worker_kb_s=sent / 1000 / watch_s,
            resident_mb=self.processes.resident_mb(CONTROL),
            platform_calls_s=calls / watch_s,
        )

    async def _all_run(self) -> bool:
        scan = await self._jobs.scan()
        return all(
            stored.record.state is JobState.RUNNING for stored in scan.jobs
        )

    async def _metrics(self) -> str:
        port = self._settings.control.http_port
        async with self._session.get(
            f'http://{HOST}:{port}/metrics'
        ) as response:
            return await response.text()


def _total(metrics: str, name: str) -> float:
    return sum(
        float(line.rsplit(' ', 1)[-1])
        for line in metrics.splitlines()
        if line.startswith(f'bulrushcove_{name}')
    )


@asynccontextmanager
async def running_bench(workers: int) -> AsyncIterator[CapacityBench]:
    """Run a bench with ``workers`` workers within the context."""
    with tempfile.TemporaryDirectory() as directory:
        bench = CapacityBench(workers, Path(directory))
        async with aiohttp.ClientSession() as session:
            try:
                await bench.start(session)
                yield bench
            finally:
                bench.processes.end()
                for server in bench.servers:
                    await server.stop()
