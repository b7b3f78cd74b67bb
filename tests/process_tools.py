"""Helpers of tests/test_processes_*.py: runs real processes under faults."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import asynccontextmanager, contextmanager

import aiohttp
import msgspec

from bulrushcove.clock import MS_PER_S
from bulrushcove.ids import DomainName, OrganisationId, VmId
from bulrushcove.job import JobSpec
from bulrushcove.states import DomainState, Outcome, Urgency
from dev.history.bounds import REVISION_SPREAD_S
from dev.history.checker import check_history
from dev.history.events import RequestEvent, TaskEvent, TaskStep
from dev.history.records import CallerJob, CallerRequest, History
from dev.launch.http import wait_until
from dev.launch.topology import EntryVm
from dev.launcher import Cluster, DomainSize, LaunchOptions, launched
from dev.standins.faults import Faults
from dev.standins.simulated_task import Payload
from dev.workload.callers import Callers
from dev.workload.offered_load import OfferedJob, OfferedRequest
from dev.workload.operator_client import OperatorClient
from dev.workload.organisations import ORGANISATIONS

FRAY_BENTOS = DomainName('Fray Bentos')
GUICHON = DomainName('Guichón')
CENTENARIO = DomainName('Centenario')
SIZES = (
    DomainSize(FRAY_BENTOS, 'fray-bentos', 2, 2, 2),
    DomainSize(GUICHON, 'guichon', 1, 2, 2),
    DomainSize(CENTENARIO, 'centenario', 1, 2, 2),
)
OPTIONS = LaunchOptions(
    sizes=SIZES,
    with_links=True,
    control_changes={'control_lease_ms': 3000, 'remote_takeover_ms': 6000},
    entry_changes={'balancer_interval_ms': 500},
)
READY_TIMEOUT_S = 25
DEADLINE_MS = 5000
NO_FAULTS = Faults()
ORGANISATION = ORGANISATIONS[0].organisation


@contextmanager
def launched_cluster(**control_changes: int) -> Iterator[Cluster]:
    """Launch the small cluster and wait until its contracts are in force."""
    options = msgspec.structs.replace(
        OPTIONS,
        control_changes={**OPTIONS.control_changes, **control_changes},
    )
    poll_s = control_changes.get('poll_ms', 0) / MS_PER_S
    with launched(options) as cluster:
        # In another thread, as the caller may already run an event loop.
        with ThreadPoolExecutor(1) as pool:
            configuring = _configure(cluster, REVISION_SPREAD_S + poll_s)
            pool.submit(asyncio.run, configuring).result()
        yield cluster


async def _configure(cluster: Cluster, timeout_s: float) -> None:
    async with aiohttp.ClientSession() as session:
        operator = OperatorClient(session, cluster.entry_vms)
        await _wait_for_controls(cluster, operator)
        for plan in cluster.topology.domains:
            await operator.set_domain(plan.size.domain, DomainState.IN_SERVICE)
        for organisation in ORGANISATIONS:
            contract = msgspec.structs.replace(
                organisation.contract, guaranteed=()
            )
            await operator.apply_contract(contract)
        await operator.wait_in_force(timeout_s)


async def _wait_for_controls(
    cluster: Cluster, operator: OperatorClient
) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        status = await operator.status()
        active = [
            domain for domain in status.domains if domain.view is not None
        ]
        if len(active) == len(cluster.topology.domains):
            return
        await asyncio.sleep(0.2)
    raise TimeoutError('a failure domain has no active control')


class ClusterRun:
    """Callers and the operator of one test, and their records."""

    def __init__(
        self, cluster: Cluster, session: aiohttp.ClientSession, name: str
    ) -> None:
        """Start a run; ``name`` makes its ids unique."""
        self.cluster = cluster
        self.operator = OperatorClient(session, cluster.entry_vms)
        self.callers = Callers(
            session,
            {
                organisation.organisation: organisation.token
                for organisation in ORGANISATIONS
            },
            cluster.entry_vms,
            random.Random(name),
            deadline_ms=DEADLINE_MS,
        )
        self.requests: list[CallerRequest] = []
        self.jobs: list[CallerJob] = []
        self.name = name
        self.started_at_s = time.monotonic()
        self._offered = 0

    def offer_request(self, **changes) -> OfferedRequest:
        """Return a request with a unique id."""
        self._offered += 1
        service_ms = changes.pop('service_ms', 20)
        answer_bytes = changes.pop('answer_bytes', 2000)
        body = {'service_ms': service_ms, 'answer_bytes': answer_bytes}
        offered = OfferedRequest(
            at_s=0,
            organisation=ORGANISATION,
            request=f'{self.name}-{self._offered}',
            idempotent=True,
            urgency=Urgency.NORMAL,
            body=msgspec.json.encode(body),
            answer_bytes=answer_bytes,
        )
        return msgspec.structs.replace(offered, **changes)

    def offer_job(self, run_ms: int, **spec) -> OfferedJob:
        """Return a job with a unique id."""
        self._offered += 1
        job = f'{self.name}-{self._offered}'
        payload = Payload(run_ms=run_ms, result=f'result of {job}')
        job_spec = JobSpec(
            kind='boiler-review',
            payload=msgspec.json.encode(payload).decode(),
            declared_run_ms=run_ms,
            **spec,
        )
        return OfferedJob(
            at_s=0,
            organisation=ORGANISATION,
            job=job,
            spec=job_spec,
            expected_results=(payload.result,) * job_spec.tasks,
        )

    async def send(self, offered: OfferedRequest, vm=None) -> CallerRequest:
        """Send one request and keep its record."""
        record = await self.callers.send_request(offered, vm)
        self.requests.append(record)
        return record

    async def send_requests_for(
        self,
        seconds: float,
        pause_s: float = 0.05,
        idempotents: tuple[bool, ...] = (True, False),
        **changes,
    ) -> None:
        """Send a request every ``pause_s``, cycling through ``idempotents``."""
        deadline_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < deadline_s:
                position = self._offered % len(idempotents)
                offered = self.offer_request(
                    idempotent=idempotents[position], **changes
                )
                group.create_task(self.send(offered))
                await asyncio.sleep(pause_s)

    async def run_job(
        self, offered: OfferedJob, timeout_s: float = 40
    ) -> CallerJob:
        """Run one job and keep its record."""
        deadline_s = time.monotonic() + timeout_s
        record = await self.callers.run_job(offered, deadline_s)
        self.jobs.append(record)
        return record

    async def find_active_control(self, domain: DomainName) -> VmId:
        """Return the VM whose control is active for ``domain``."""
        return await self.operator.find_active_control(domain)

    async def wait_for_start(
        self, offered: OfferedJob, timeout_s: float = 20
    ) -> list[TaskEvent]:
        """Wait until all parts of a job have started."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            starts = self.find_starts(offered)
            if len({event.part for event in starts}) == offered.spec.tasks:
                return starts
            await asyncio.sleep(0.1)
        raise TimeoutError(f'job {offered.job} has not started')

    async def wait_for_any_start(
        self, offered_jobs: Sequence[OfferedJob], timeout_s: float = 20
    ) -> None:
        """Wait until all parts of one of the jobs have started."""
        waits = [
            asyncio.create_task(self.wait_for_start(offered, timeout_s))
            for offered in offered_jobs
        ]
        done, open_waits = await asyncio.wait(
            waits, return_when=asyncio.FIRST_COMPLETED
        )
        for wait in open_waits:
            wait.cancel()
        for wait in done:
            wait.result()

    def find_starts(self, offered: OfferedJob) -> list[TaskEvent]:
        """Return the start events of a job's tasks so far."""
        return [
            event
            for event in self._events(TaskEvent)
            if event.step is TaskStep.START
            and event.job.endswith(f'/{offered.job}')
        ]

    def collect_history(self, **observations) -> History:
        """Return the events and records since the start of this run."""
        return History(
            tasks=self._events(TaskEvent),
            requests=self._events(RequestEvent),
            caller_requests=tuple(self.requests),
            caller_jobs=tuple(self.jobs),
            domain_changes=tuple(self.operator.domain_changes),
            **observations,
        )

    def check(self, **observations) -> None:
        """Assert that the history violates no property."""
        violations = check_history(self.collect_history(**observations))
        assert not violations, violations

    def list_outcomes(self) -> set[Outcome | None]:
        """Return the outcomes reported to callers of requests."""
        return {request.outcome for request in self.requests}

    def list_refusals(self) -> list[str]:
        """Return the distinct reasons why requests did not run."""
        return sorted(
            {
                f'{request.outcome}: {request.message}'
                for request in self.requests
                if request.outcome is not Outcome.RAN
            }
        )

    def _events(self, kind):
        return tuple(
            event
            for event in self.cluster.events()
            if event.at_s >= self.started_at_s and isinstance(event, kind)
        )


@asynccontextmanager
async def new_run(cluster: Cluster, name: str) -> AsyncIterator[ClusterRun]:
    """Start a run once every domain has a control and every VM serves."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        run = ClusterRun(cluster, session, name)
        await _wait_for_controls(cluster, run.operator)
        for vm in cluster.entry_vms:
            await _wait_for_service(run, vm)
        yield run


async def _wait_for_service(run: ClusterRun, vm: EntryVm) -> None:
    """Wait until a VM serves again, after the faults of an earlier test."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    record = await run.send(run.offer_request(), vm)
    while record.outcome is not Outcome.RAN:
        if time.monotonic() > deadline_s:
            raise TimeoutError(f'{vm.vm} does not serve: {record.message}')
        record = await run.send(run.offer_request(), vm)
    run.requests.clear()


@contextmanager
def inject_faults(
    cluster: Cluster, *servers: str, **faults: object
) -> Iterator[None]:
    """Inject faults into ``servers`` and clear them on exit."""
    try:
        for server in servers:
            cluster.put_faults(server, Faults(**faults))
        yield
    finally:
        for restored in servers:
            cluster.put_faults(restored, NO_FAULTS)


def restart(cluster: Cluster, process_name: str) -> None:
    """Start an ended process again and wait until it is healthy."""
    vm = cluster.find_vm(VmId(process_name.rsplit('.', maxsplit=1)[0]))
    cluster.processes.restart(process_name)
    wait_until(lambda: cluster.is_healthy(vm), process_name, READY_TIMEOUT_S)


def as_cancelled(job: CallerJob) -> CallerJob:
    """Return ``job`` marked as cancelled by its caller."""
    return msgspec.structs.replace(job, cancelled=True)


def with_organisation(offered, organisation: OrganisationId):
    """Return the same request or job for another organisation."""
    return msgspec.structs.replace(offered, organisation=organisation)
