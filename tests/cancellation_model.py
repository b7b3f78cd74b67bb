"""Leaders that take over from each other on one store, and their callers."""

import asyncio
import contextlib

from batch_builders import ORGANISATION, job_spec
from fake_watchable_store import FakeWatchableStore
from test_node_replaced_leader import FakeLeadership

from bulrushcove.batch.engine import Engine
from bulrushcove.batch.job_state import JobPhase
from bulrushcove.batch.records import decode_progress
from bulrushcove.clock import ManualClock
from bulrushcove.exceptions import StoreError
from bulrushcove.ids import Epoch, IncarnationId, JobId, VmId
from bulrushcove.metrics import new_metrics
from bulrushcove.node.job_records import (
    JobRecords,
    load_jobs,
    restore_cancellations,
)
from bulrushcove.node.job_request_router import JobRequestRouter
from bulrushcove.node.job_requests import JobRequestHandler
from bulrushcove.node.messages import (
    Inquiry,
    LeaderRecord,
    Submit,
    SubmitOutcome,
)
from bulrushcove.node.metrics import NodeMetrics
from bulrushcove.node.store_keys import LEADER_KEY, job_key, progress_key
from bulrushcove.node.store_writer import (
    LeadershipLostError,
    StoreWriter,
    WriteWithdrawnError,
)
from bulrushcove.store import StoreLeaseId, Write

JOBS = (JobId('job-0'), JobId('job-1'))
ENDED = {JobPhase.SUCCEEDED, JobPhase.FAILED, JobPhase.CANCELLED}
REJECTED = {
    SubmitOutcome.REFUSED,
    SubmitOutcome.UNAVAILABLE,
    SubmitOutcome.CONFLICT,
    SubmitOutcome.NOT_LEADER,
}
# The current leader and replaced ones that still serve.
MAX_LEADERS = 3
METRICS = NodeMetrics(new_metrics())


class Leader:
    """A VM that became the leader; it may not know that it was replaced."""

    def __init__(self, deployment, epoch):
        self.deployment = deployment
        self.epoch = epoch
        store, clock = deployment.store, deployment.clock
        record = LeaderRecord(
            VmId('vm'), IncarnationId('i'), 'a:1', StoreLeaseId(0), epoch
        )
        leadership = FakeLeadership(clock, epoch)
        self.engine = Engine()
        self.store_writer = StoreWriter(store, leadership, record, clock)
        self.records = JobRecords(self.store_writer)
        self.job_requests = JobRequestHandler(
            self.engine, self.records, clock, METRICS
        )
        self.job_requests.run_pass = self.run_pass
        self.is_loaded = False
        self.router = JobRequestRouter(leadership, None, store, clock)
        self.router.scheduler = self

    async def load(self):
        """Load the jobs, as ``Scheduler`` does."""
        await self.store_writer.start()
        store, clock = self.deployment.store, self.deployment.clock
        loaded = None
        while loaded is None:
            with contextlib.suppress(StoreError):
                loaded = await load_jobs(store, clock)
        self.store_writer.revisions.update(loaded.revisions)
        self.engine.restore(loaded.jobs, clock.monotonic_s())
        restore_cancellations(
            self.engine.cancellations, loaded.cancellations, clock
        )
        self.is_loaded = True
        self.run_pass()

    def run_pass(self):
        """Start the first run of each queued job once its record is stored."""
        for job in self.engine.active.values():
            if not job.has_ended and not job.units[0].run:
                job.units[0].run = 1
                write = self.records.write_progress(job)
                self.deployment.spawn(self.start(job, write))

    async def start(self, job, write):
        try:
            await asyncio.shield(write)
        except (LeadershipLostError, WriteWithdrawnError):
            return
        if not job.has_ended and self.deployment.leads(self):
            job.phase = JobPhase.RUNNING
            self.records.write_progress(job)
            self.deployment.record_start(job.id)

    async def end(self, job_id):
        """Let the task of a job be done, if the job runs."""
        job = self.engine.jobs.get(job_id)
        if job is not None and job.phase is JobPhase.RUNNING:
            job.phase = JobPhase.SUCCEEDED
            self.records.write_end(job)


class Deployment:
    """The leaders in turn, and what callers were told."""

    def __init__(self, loop):
        self.loop = loop
        self.clock = ManualClock()
        self.store = FakeWatchableStore(self.clock)
        self.leaders = []
        self.tasks = set()
        # How cancellations were answered, by job; empty: no such job.
        self.answered = {}
        # Outcomes of the submissions of each job; None: not known yet.
        self.outcomes = {job: {} for job in JOBS}
        self.violations = []

    def spawn(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def elect(self):
        """Write the record of a new leader, which begins to load."""
        known = self.store.values.get(LEADER_KEY)
        write = Write(LEADER_KEY, b'vm', known.mod_revision if known else 0)
        answer = self.store._commit((write,), ())
        leader = Leader(self, Epoch(answer.store_revision))
        self.leaders.append(leader)
        self.spawn(leader.load())

    def leads(self, leader):
        return self.store.values[LEADER_KEY].mod_revision == leader.epoch

    def record_start(self, job):
        if job in self.answered:
            self.violations.append(f'{job} starts after its cancellation')

    async def submit(self, job, leader):
        number = len(self.outcomes[job])
        self.outcomes[job][number] = None
        outcome = SubmitOutcome.UNKNOWN
        try:
            answer = await leader.router.handle_submit(
                Submit(job_spec(job), wait_ms=600_000, may_forward=False)
            )
            outcome = answer.outcome
        finally:
            self.outcomes[job][number] = outcome

    async def inquire(self, job, leader, *, cancels):
        earlier = self.answered.get(job)
        answer = await leader.router.handle_inquiry(
            Inquiry(job, ORGANISATION, cancels=cancels, may_forward=False)
        )
        # A leader that is cut off returns what it knows for a while.
        if not answer.is_known or not (cancels or self.leads(leader)):
            return
        if cancels:
            earlier = self.answered.setdefault(job, answer.phase)
        if earlier not in {None, answer.phase}:
            self.violations.append(f'{job}: {earlier!r}, now {answer.phase!r}')

    def find_violations(self):
        """Return what breaks a promise to a caller."""
        found = list(self.violations)
        for job in self.answered:
            if self.stored_phase(job) not in ENDED | {None}:
                found.append(f'{job} is stored after its cancellation')
            known = self.leaders[-1].engine.jobs.get(job)
            if known is not None and not known.has_ended:
                found.append(f'{job} is active after its cancellation')
        for job, outcomes in self.outcomes.items():
            is_rejected = REJECTED.issuperset(outcomes.values())
            if is_rejected and self.stored_phase(job) is not None:
                found.append(f'{job} is stored, and was rejected')
        return found

    def stored_phase(self, job):
        """Return the phase of ``job`` in the store; None: not stored."""
        if job_key(job) not in self.store.values:
            return None
        progress = self.store.values.get(progress_key(job))
        if progress is None:
            return JobPhase.QUEUED
        return JobPhase(decode_progress(progress.value).phase)
