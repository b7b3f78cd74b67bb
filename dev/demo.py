"""Runs seeded requests and jobs under faults and checks the history."""

import asyncio
import random
import sys
import time

import aiohttp
from absl import app, flags

from bulrushcove.ids import DomainName
from bulrushcove.states import DomainState
from dev.history.bounds import REVISION_SPREAD_S
from dev.history.checker import check_history
from dev.history.events import RequestEvent, TaskEvent
from dev.history.records import CallerJob, CallerRequest, History
from dev.launcher import (
    Cluster,
    LaunchOptions,
    control_name,
    entry_name,
    launched,
)
from dev.workload import table
from dev.workload.callers import Callers
from dev.workload.offered_load import (
    OfferedJob,
    OfferedRequest,
    generate_jobs,
    generate_requests,
)
from dev.workload.operator_client import OperatorClient
from dev.workload.organisations import ORGANISATIONS, SPARE_DOMAIN
from dev.workload.revision_monitor import RevisionMonitor

SEED = flags.DEFINE_integer('seed', 1, 'Seed of the offered load.')
REQUESTS = flags.DEFINE_integer('requests', 1000, 'Number of requests.')
JOBS = flags.DEFINE_integer('jobs', 40, 'Number of jobs.')
DIRECTORY = flags.DEFINE_string(
    'directory', '', 'New directory for all logs of the run.'
)

LOAD_PERIOD_S = 30.0
JOBS_PERIOD_S = 24.0
TAKE_OUT_AT_S = 6.0
BRING_BACK_AT_S = 14.0
KILL_AT_S = 18.0
JOBS_END_S = 60.0
SETTLE_S = 3.0
READY_TIMEOUT_S = 20.0
KILLED_DOMAIN = DomainName('Fray Bentos')


class Demo:
    """One run: its callers, its operator and what they observed."""

    def __init__(
        self, cluster: Cluster, session: aiohttp.ClientSession, seed: int
    ) -> None:
        """Prepare the run on a launched cluster."""
        self.cluster = cluster
        self.operator = OperatorClient(session, cluster.entry_vms)
        self.revision_monitor = RevisionMonitor(
            session, self.operator, cluster.entry_vms
        )
        self.callers = Callers(
            session,
            {each.organisation: each.token for each in ORGANISATIONS},
            cluster.entry_vms,
            random.Random(seed),
        )
        self.caller_requests: list[CallerRequest] = []
        self.caller_jobs: list[CallerJob] = []
        self.injected_faults: list[str] = []
        self._seed = seed
        self._started_at_s = 0.0

    async def configure(self) -> None:
        """Put all domains in service and apply the contracts."""
        await self._wait_until_ready()
        for plan in self.cluster.topology.domains:
            await self.operator.set_domain(
                plan.size.domain, DomainState.IN_SERVICE
            )
        for organisation in ORGANISATIONS:
            await self.operator.apply_contract(organisation.contract)
        await self.operator.wait_in_force(REVISION_SPREAD_S)

    async def run(self) -> None:
        """Offer the load; take a domain out and kill a control meanwhile."""
        requests = generate_requests(
            random.Random(self._seed), REQUESTS.value, LOAD_PERIOD_S
        )
        jobs = generate_jobs(
            random.Random(self._seed), JOBS.value, JOBS_PERIOD_S
        )
        monitor_task = asyncio.create_task(self.revision_monitor.run())
        self._started_at_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for request in requests:
                group.create_task(self._send_request(request))
            for job in jobs:
                group.create_task(self._run_job(job))
            group.create_task(self._inject_faults())
        monitor_task.cancel()

    def collect_history(self) -> History:
        """Return all events and records of the run."""
        events = self.cluster.events()
        return History(
            tasks=tuple(
                event for event in events if isinstance(event, TaskEvent)
            ),
            requests=tuple(
                event for event in events if isinstance(event, RequestEvent)
            ),
            caller_requests=tuple(self.caller_requests),
            caller_jobs=tuple(self.caller_jobs),
            domain_changes=tuple(self.operator.domain_changes),
            accepted_revisions=tuple(self.operator.accepted_revisions),
            observed_revisions=tuple(self.revision_monitor.observed),
        )

    async def _send_request(self, offered: OfferedRequest) -> None:
        await self._wait_until(offered.at_s)
        record = await self.callers.send_request(offered)
        self.caller_requests.append(record)

    async def _run_job(self, offered: OfferedJob) -> None:
        await self._wait_until(offered.at_s)
        record = await self.callers.run_job(
            offered, self._started_at_s + JOBS_END_S
        )
        self.caller_jobs.append(record)

    async def _inject_faults(self) -> None:
        await self._wait_until(TAKE_OUT_AT_S)
        await self.operator.set_domain(SPARE_DOMAIN, DomainState.OUT_OF_SERVICE)
        await self._wait_until(BRING_BACK_AT_S)
        await self.operator.set_domain(SPARE_DOMAIN, DomainState.IN_SERVICE)
        await self._wait_until(KILL_AT_S)
        killed = await self.operator.find_active_control(KILLED_DOMAIN)
        self.cluster.kill(control_name(killed))
        self.injected_faults.append(
            f'{SPARE_DOMAIN} out of service from {TAKE_OUT_AT_S:.0f} s to'
            f' {BRING_BACK_AT_S:.0f} s, active control of {KILLED_DOMAIN}'
            f' on {killed} killed at {KILL_AT_S:.0f} s of {LOAD_PERIOD_S:.0f} s'
        )

    async def _wait_until(self, at_s: float) -> None:
        await asyncio.sleep(self._started_at_s + at_s - time.monotonic())

    async def _wait_until_ready(self) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            status = await self.operator.status()
            active = [each for each in status.domains if each.view is not None]
            if len(active) == len(self.cluster.topology.domains):
                return
            await asyncio.sleep(1)
        raise TimeoutError('a failure domain has no active control')


def _measure_memory_mb(cluster: Cluster) -> dict[str, float]:
    living = set(cluster.processes.running_names())
    names = [control_name(vm.vm) for vm in cluster.entry_vms]
    names.extend(entry_name(vm.vm) for vm in cluster.entry_vms)
    return {
        name: cluster.processes.resident_mb(name)
        for name in names
        if name in living
    }


def _pair_memory_uses(
    idle: dict[str, float], end: dict[str, float]
) -> list[table.MemoryUse]:
    return [
        table.MemoryUse(
            kind=name.rsplit('.', maxsplit=1)[-1],
            idle_mb=idle_mb,
            end_mb=end.get(name, 0.0),
        )
        for name, idle_mb in idle.items()
    ]


async def run_demo(cluster: Cluster, seed: int) -> list[str]:
    """Run the demo, print its summary and return the violations."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        demo = Demo(cluster, session, seed)
        await demo.configure()
        idle_mb = _measure_memory_mb(cluster)
        before = cluster.platform_stats().calls
        started_at_s = time.monotonic()
        await demo.run()
        seconds = time.monotonic() - started_at_s
        after = cluster.platform_stats().calls
        await asyncio.sleep(SETTLE_S)
    calls = {kind: after[kind] - before.get(kind, 0) for kind in after}
    history = demo.collect_history()
    uses = _pair_memory_uses(idle_mb, _measure_memory_mb(cluster))
    lines = [
        *demo.injected_faults,
        *table.format_completion_times(history),
        *table.format_request_outcomes(history.caller_requests),
        *table.format_job_states(history),
        *table.format_platform_calls(calls, seconds),
        *table.format_memory_uses(uses),
    ]
    print('\n'.join(lines))
    violations_found = [
        f'{name}: {violation}'
        for name, violations in check_history(history).items()
        for violation in violations
    ]
    return [
        *violations_found,
        *table.find_lost_requests(history.caller_requests),
        *table.find_memory_violations(uses),
    ]


def main(_arguments: list[str]) -> None:
    """Run the demo; exit with status 1 on any violation."""
    started_at_s = time.monotonic()
    with launched(LaunchOptions(directory=DIRECTORY.value)) as cluster:
        startup_s = time.monotonic() - started_at_s
        violations_found = asyncio.run(run_demo(cluster, SEED.value))
    seconds = time.monotonic() - started_at_s
    print(f'seed {SEED.value}: {seconds:.0f} s, {startup_s:.0f} s to start')
    for violation in violations_found:
        print(f'BROKEN {violation}')
    if violations_found:
        sys.exit(1)
    print('history: all checks passed')


if __name__ == '__main__':
    app.run(main)
