"""Test bench: controls of one failure domain on a manual clock, with faults.

Controllers, job store, election and permits are the real ones. The store, the
workers and the connections to them are fakes in memory.
"""

import asyncio
from collections import defaultdict
from contextlib import contextmanager
from functools import partial

import msgspec

from bulrushcove import naive_scheduler
from bulrushcove.clock import ManualClock
from bulrushcove.configuration import Configuration
from bulrushcove.configuration_holder import ConfigurationHolder
from bulrushcove.contract import Contract
from bulrushcove.controller_context import ControllerContext
from bulrushcove.domain_controller import DomainController
from bulrushcove.domain_scheduler import as_planner
from bulrushcove.election import Election
from bulrushcove.exceptions import (
    PeerUnreachableError,
    StoreError,
    StoreUnavailableError,
    WorkerError,
)
from bulrushcove.job import JobRecord, JobSpec
from bulrushcove.job_store import JobStore
from bulrushcove.permit import StartPermits
from bulrushcove.settings import ControlSettings
from bulrushcove.states import DomainState, JobState, VmRole
from bulrushcove.store import JOBS_PREFIX
from bulrushcove.vm_list import VmEntry
from bulrushcove.worker_api import WorkerDescription
from dev.history.bounds import PARTIAL_GANG_S, START_AFTER_TAKE_OUT_S
from dev.history.events import TaskStep
from dev.history.gangs import compute_longest_partial_s
from dev.history.runs import group_runs_by_attempt
from dev.standins.worker_tasks import WorkerTasks
from tests.fake_store import FakeStore

DOMAIN = 'Centenario'
OTHER_DOMAIN = 'Guichon'
WORKERS = ('w1', 'w2')
TICK_S = 0.25
NAIVE_PLANNER = as_planner(naive_scheduler.plan)
SETTINGS = ControlSettings(stream_port=0, http_port=0)


class HistoryLog:
    """Collects the events of the workers."""

    def __init__(self):
        self.events = []

    def write(self, event):
        self.events.append(event)


class RecordingStore(FakeStore):
    """Store that keeps every job record that was written."""

    def __init__(self, clock):
        super().__init__(clock)
        self.written = []

    def _put(self, write):
        super()._put(write)
        if write.key.startswith(JOBS_PREFIX):
            record = msgspec.msgpack.decode(write.value, type=JobRecord)
            self.written.append(record)


class KilledError(Exception):
    """Raised in a control that is killed, to abort its current step."""


class StoreLink:
    """Connection of one control to the store."""

    def __init__(self, control):
        self.control = control
        self.is_cut_off = False

    def __getattr__(self, name):
        bench = self.control.bench
        call = getattr(bench.store, name)

        async def call_through_link(*arguments, **options):
            await bench.before_step(self.control)
            if self.is_cut_off:
                raise StoreUnavailableError('cut off')
            return await call(*arguments, **options)

        return call_through_link


class WorkerLink:
    """Connection of one control to the workers.

    unreachable: workers that cannot be reached.
    responses_to_lose: number of next requests that take effect, but whose
        responses are lost.
    requests_to_delay: number of next requests that are delivered later and
        get no response.
    """

    def __init__(self, control):
        self.control = control
        self.bench = control.bench
        self.unreachable = set()
        self.responses_to_lose = 0
        self.requests_to_delay = 0

    async def describe(self, vm):
        self._reach(vm)
        return self.bench.tasks[vm.vm].description

    async def sync(self, vm, request):
        await self.bench.before_step(self.control)
        self._reach(vm)
        if self.requests_to_delay:
            self.requests_to_delay -= 1
            self.bench.delayed_requests.append((vm.vm, request))
            raise WorkerError('no response')
        response = self.bench.deliver(vm.vm, request)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise WorkerError('response lost')
        return response

    def _reach(self, vm):
        if vm.vm in self.unreachable or vm.vm in self.bench.frozen_workers:
            raise WorkerError('no response')


class Control:
    """One control process that the test runs step by step."""

    def __init__(self, bench, vm):
        self.bench = bench
        self.store = StoreLink(self)
        self.client = WorkerLink(self)
        self.holder = ConfigurationHolder()
        self.permits = StartPermits()
        self.election = Election(
            self.store, bench.clock, vm, f'{vm}-1', SETTINGS.control_lease_ms
        )
        self.context = ControllerContext(
            vm=vm,
            settings=SETTINGS,
            clock=bench.clock,
            job_store=JobStore(self.store),
            client=self.client,
            configuration_holder=self.holder,
            permits=self.permits,
            vms=lambda: tuple(bench.vms.values()),
            views=lambda: bench.views,
            statuses=tuple,
            publish=lambda _view: None,
            notify=_no_peers,
            plan=bench.planner,
        )
        self.controller = None
        self.is_running = True
        # Whether its polls of the configuration succeed.
        self.can_poll = True
        self._renewed_at_s = 0.0
        self._polled_at_s = dict.fromkeys(WORKERS, 0.0)

    def steps(self):
        """Return the next steps of this process, in order."""
        rounds = [partial(self.poll_worker, worker) for worker in WORKERS]
        return [self.poll, self.elect, *rounds, self.run_pass_if_active]

    async def poll(self):
        """Read the configuration and renew the start permit."""
        reachable = not self.store.is_cut_off and not self.bench.store.down
        if self.can_poll and reachable:
            self.holder.adopt(self.bench.configuration)
            now_s = self.bench.clock.monotonic_s()
            self.permits.record_proof(self.bench.configuration.revision, now_s)

    async def elect(self):
        now_s = self.bench.clock.monotonic_s()
        controller = self.controller
        if controller is not None and controller.is_fenced:
            self.controller = None
            return
        try:
            if controller is None or controller.domain_lease.is_lost:
                await self._campaign()
            elif now_s - self._renewed_at_s >= 2:
                self._renewed_at_s = now_s
                await self.election.renew(controller.domain_lease)
        except StoreError:
            return

    async def poll_worker(self, worker):
        """Exchange one request and response if it is due or urgent."""
        if self.controller is None:
            return
        now_s = self.bench.clock.monotonic_s()
        due = (
            now_s - self._polled_at_s[worker] >= SETTINGS.worker_round_ms / 1000
        )
        if due or worker in self.controller.table.urgent_workers:
            await self._exchange(worker)

    async def run_pass_if_active(self):
        if self.controller is not None and not self.controller.is_fenced:
            await self.controller.run_pass()

    async def _campaign(self):
        if await self.election.find_active_control(DOMAIN) is not None:
            return
        domain_lease = await self.election.campaign(DOMAIN)
        if domain_lease is None:
            return
        self.controller = DomainController(domain_lease, self.context)
        for worker in WORKERS:
            await self._exchange(worker)

    async def _exchange(self, worker):
        self._polled_at_s[worker] = self.bench.clock.monotonic_s()
        vm = self.bench.vms[worker]
        await self.controller.rounds.run_round(worker, vm)


async def _no_fault(_control):
    """Inject no fault."""


async def _no_peers(_notice):
    raise PeerUnreachableError('no peers here')


class Bench:
    """Two workers, two controls, the store and the event history."""

    def __init__(self, planner=NAIVE_PLANNER):
        self.planner = planner
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.store = RecordingStore(self.clock)
        self.history = HistoryLog()
        self.delayed_requests = []
        self.frozen_workers = set()
        self.views = ()
        self.out_since_s = None
        self.incarnation = 0
        self.tasks = {}
        for worker in WORKERS:
            self.restart_worker(worker)
        self.vms = {
            worker: VmEntry(worker, VmRole.WORKER, DOMAIN, '127.0.0.1', 1)
            for worker in WORKERS
        }
        # Pairs of a time in seconds and an action to await then.
        self.scheduled_actions = []
        self.configuration = Configuration(
            1,
            {'litoral': Contract(organisation='litoral', token_sha256=())},
            {
                DOMAIN: DomainState.IN_SERVICE,
                OTHER_DOMAIN: DomainState.IN_SERVICE,
            },
        )
        self.controls = [Control(self, 'vm-1'), Control(self, 'vm-2')]
        # Awaited before each step of a control and before each message that
        # it sends, to inject faults at an exact point.
        self.before_step = _no_fault

    def close(self):
        self.loop.close()

    async def freeze(self, control, seconds):
        """Run the other processes for a while without ``control``."""
        control.is_running = False
        await self.run_for_async(seconds)
        control.is_running = True

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def restart_worker(self, worker):
        """Restart the worker, which loses its state and its tasks."""
        for task in self._running_tasks(worker):
            self._log_lapse(task)
        description = WorkerDescription(worker, DOMAIN, 'r1', 8, 32, 65_536)
        self.tasks[worker] = WorkerTasks(description, self.clock, self.history)

    def deliver(self, worker, request):
        return self.tasks[worker].sync(request)

    def deliver_delayed_requests(self):
        """Deliver the delayed requests."""
        while self.delayed_requests:
            worker, request = self.delayed_requests.pop(0)
            self.deliver(worker, request)

    def tick(self):
        self.run(self._tick())

    def run_for(self, seconds):
        self.run(self.run_for_async(seconds))

    async def run_for_async(self, seconds):
        for _ in range(int(seconds / TICK_S)):
            await self._tick()

    def schedule(self, seconds, action):
        """Await ``action`` after ``seconds``."""
        self.scheduled_actions.append(
            (self.clock.monotonic_s() + seconds, action)
        )

    def submit(self, job, **options):
        self.run(self.submit_async(job, **options))

    async def submit_async(self, job, tasks=2, idempotent=True, run_ms=4000):
        payload = {'run_ms': run_ms, 'result': f'{job} done'}
        record = JobRecord(
            job=job,
            organisation='litoral',
            spec=JobSpec(
                kind='review',
                tasks=tasks,
                accelerators_per_task=8,
                idempotent=idempotent,
                payload=msgspec.json.encode(payload).decode(),
            ),
            state=JobState.QUEUED,
            domain=DOMAIN,
            accepted_unix_ms=self.clock.unix_ms(),
        )
        with self.without_store_faults():
            await JobStore(self.store).create(record)

    def change(self, job, **fields):
        """Change the record as an entry VM would, unless it is final."""
        jobs = JobStore(self.store)
        with self.without_store_faults():
            stored = self.run(jobs.load(job))
            if not stored.record.state.is_final:
                record = msgspec.structs.replace(stored.record, **fields)
                self.run(jobs.replace(stored, record))

    def replace_control(self, number):
        """Kill a control and start a new one in its place."""
        self.incarnation += 1
        vm = f'vm-{number}-{self.incarnation}'
        self.controls[number] = Control(self, vm)

    def record(self, job):
        with self.without_store_faults():
            return self.run(JobStore(self.store).load(job)).record

    @contextmanager
    def without_store_faults(self):
        """Suspend the faults of the store for calls of the test itself."""
        no_faults = {'down': False, 'lose_responses': 0, 'lose_writes': 0}
        faults = {name: getattr(self.store, name) for name in no_faults}
        self._set_faults(no_faults)
        yield
        self._set_faults(faults)

    def set_domain(self, state):
        domains = self.configuration.domains | {DOMAIN: state}
        self.configuration = msgspec.structs.replace(
            self.configuration,
            revision=self.configuration.revision + 1,
            domains=domains,
        )
        is_out = state is DomainState.OUT_OF_SERVICE
        self.out_since_s = self.clock.monotonic_s() if is_out else None

    async def end_faults(self):
        """End every fault; thawing workers first end their expired leases."""
        for worker in self.frozen_workers:
            self.tasks[worker].advance()
        self.frozen_workers.clear()
        self.store.down = False
        for control in self.controls:
            control.is_running = True
            control.can_poll = True
            control.store.is_cut_off = False
            control.client.unreachable.clear()

    def is_settled(self, job):
        """Return whether the job has ended or belongs to another domain."""
        record = self.record(job)
        return record.state.is_final or record.domain != DOMAIN

    def _set_faults(self, faults):
        for name, fault in faults.items():
            setattr(self.store, name, fault)

    def _running_tasks(self, worker):
        tasks = self.tasks.get(worker)
        return list(tasks._table.tasks.values()) if tasks else []

    def _log_lapse(self, task):
        for event in tuple(self.history.events):
            reserved = task.reservation
            mine = (event.attempt, event.part) == (
                reserved.attempt,
                reserved.part,
            )
            if mine and event.step is TaskStep.START:
                now_s = self.clock.monotonic_s()
                self.history.write(
                    msgspec.structs.replace(
                        event, step=TaskStep.LAPSE, at_s=now_s
                    ),
                )

    async def _tick(self):
        """Advance the clock and run all steps of every process once."""
        self.clock.advance(TICK_S)
        now_s = self.clock.monotonic_s()
        while self.scheduled_actions and self.scheduled_actions[0][0] <= now_s:
            _, action = self.scheduled_actions.pop(0)
            await action()
        for worker, tasks in self.tasks.items():
            if worker not in self.frozen_workers:
                tasks.advance()
        for control in self.controls:
            try:
                await self._act(control)
            except KilledError:
                control.is_running = False

    async def _act(self, control):
        for step in control.steps():
            if control.is_running:
                await self.before_step(control)
                await step()


def violations(bench):
    """Return descriptions of all violated invariants."""
    return [
        *_partial_gangs(bench),
        *_repeated_runs(bench),
        *_repeated_ends(bench),
        *_results_of_parts(bench),
    ]


def starts(bench):
    return [
        event for event in bench.history.events if event.step is TaskStep.START
    ]


def late_starts(bench):
    """Return the starts too long after the domain was taken out of service."""
    end_s = bench.out_since_s + START_AFTER_TAKE_OUT_S
    return [event for event in starts(bench) if event.at_s > end_s]


def _records(bench):
    return {record.job: record for record in bench.store.written}


def _runs(bench):
    events = sorted(bench.history.events, key=lambda event: event.at_s)
    return group_runs_by_attempt(events)


def _partial_gangs(bench):
    for attempt, runs in _runs(bench).items():
        tasks = _records(bench)[runs[0].start.job].spec.tasks
        ended = [_with_end(bench, run) for run in runs]
        partial_s = compute_longest_partial_s(ended, tasks)
        if partial_s > PARTIAL_GANG_S:
            yield f'{attempt} ran partially for {partial_s} s'


def _with_end(bench, run):
    """Return the run with an end: now, or its lease's end if frozen."""
    if run.end is not None:
        return run
    end_s = bench.clock.monotonic_s()
    if run.start.worker in bench.frozen_workers:
        tasks = bench.tasks[run.start.worker]._table.tasks
        end_s = min(end_s, tasks[run.attempt, run.part].expires_at_s)
    end = msgspec.structs.replace(run.start, step=TaskStep.STOP, at_s=end_s)
    return msgspec.structs.replace(run, end=end)


def _repeated_runs(bench):
    records = _records(bench)
    attempts = defaultdict(set)
    for event in starts(bench):
        attempts[event.job].add(event.attempt)
    for job, started in attempts.items():
        if len(started) > 1 and not records[job].spec.idempotent:
            yield f'{job} is not idempotent and ran {len(started)} times'


def _repeated_ends(bench):
    ended = {}
    for record in bench.store.written:
        earlier = ended.get(record.job)
        if earlier is not None:
            yield f'{record.job} changed from {earlier} to {record.state}'
        if record.state.is_final:
            ended[record.job] = record.state


def _results_of_parts(bench):
    whole = {
        attempt
        for attempt, runs in _runs(bench).items()
        if all(run.is_finished for run in runs)
    }
    for record in bench.store.written:
        if record.state is not JobState.SUCCEEDED:
            continue
        expected = (f'{record.job} done',) * record.spec.tasks
        if record.results != expected or record.current.attempt not in whole:
            yield f'{record.job} succeeded with {record.results}'
