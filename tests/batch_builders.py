"""Builders of jobs, workers and engines for tests of the batch scheduler."""

from bulrushcove.batch.engine import Engine
from bulrushcove.batch.ids import PoolName, QueueName
from bulrushcove.batch.job_spec import JobSpec, QueueTerms, StepSpec, TaskSize
from bulrushcove.batch.membership import record_entry
from bulrushcove.batch.policy import DesiredState, Organisation, Policy
from bulrushcove.batch.workers import (
    EndedTask,
    RunningTask,
    WorkerEntry,
    WorkerReport,
)
from bulrushcove.ids import DomainName, JobId, OrganisationId, RackId, WorkerId

POOL = PoolName('pool')
ORGANISATION = OrganisationId('mill')


def size(accelerators=1, cpu=1000, memory=100):
    return TaskSize(cpu, memory, accelerators)


def step(count=1, accelerators=1, **others):
    return StepSpec(task_count=count, size=size(accelerators), **others)


def job_spec(name, *steps, priority=1, attempts=3, **others):
    terms = QueueTerms(
        queue=QueueName(f'queue-{priority}'),
        pool=POOL,
        organisation=others.pop('organisation', ORGANISATION),
        priority=priority,
        max_attempts=attempts,
        stretch=3.0,
        target_ms=1500,
    )
    return JobSpec(
        job=JobId(name),
        payload='work',
        steps=steps or (step(),),
        terms=terms,
        **others,
    )


def entry(name, rack='r1', domain='a', accelerators=8, **others):
    return WorkerEntry(
        worker=WorkerId(name),
        pool=POOL,
        address=f'{name}:80',
        domain=DomainName(domain),
        rack=RackId(rack),
        labels=frozenset(others.pop('labels', (rack,))),
        capacity=TaskSize(32_000, 64_000, accelerators),
        started_unix_ms=others.pop('started_unix_ms', 1),
        **others,
    )


def report(clock_ms=1000, running=(), ended=(), started_unix_ms=1):
    return WorkerReport(
        clock_ms=clock_ms,
        started_unix_ms=started_unix_ms,
        running=tuple(RunningTask(*row) for row in running),
        ended=tuple(EndedTask(*row) for row in ended),
    )


def desired_state(guaranteed=0, closed=()):
    policy = Policy(
        version=1,
        queues=(),
        organisations=(
            Organisation(name=ORGANISATION, guaranteed_accelerators=guaranteed),
        ),
        pools=(),
    )
    return DesiredState(policy=policy, closed_domains=frozenset(closed))


class Bench:
    """An engine whose workers carry out every order immediately."""

    def __init__(self, *entries, guaranteed=0):
        self.engine = Engine()
        self.engine.desired_state = desired_state(guaranteed)
        self.now_s = 100.0
        self.clock_ms = 1000
        for worker_entry in entries:
            self.add_worker(worker_entry)

    def add_worker(self, worker_entry):
        worker = record_entry(
            self.engine.workers,
            self.engine.reliability,
            worker_entry,
            self.now_s,
        )
        if not worker.has_reported:
            self.report(worker_entry.worker)
        return worker

    def report(self, name, running=(), ended=(), **others):
        worker = self.engine.workers[name]
        return self.engine.apply_report(
            worker,
            report(self.clock_ms, running, ended, **others),
            requested_at_s=self.now_s,
            now_s=self.now_s,
            unix_ms=self.unix_ms,
        )

    @property
    def unix_ms(self):
        return int(self.now_s * 1000)

    def submit(self, spec):
        job, _ = self.engine.submit(
            spec, unix_ms=self.unix_ms, now_s=self.now_s
        )
        return job

    def plan(self):
        return self.engine.plan(unix_ms=self.unix_ms, now_s=self.now_s)

    def start_all(self):
        """Place all units that fit and confirm their starts."""
        plan = self.plan()
        next_plan = plan
        while next_plan.starts and next_plan.is_partial:
            next_plan = self.plan()
            plan.starts.extend(next_plan.starts)
            plan.extend(next_plan)
        for allocation in plan.starts:
            allocation.is_start_sent = True
            allocation.start_deadline_ms = self.clock_ms + 1500
        self.confirm()
        return plan

    def confirm(self):
        for name, worker in self.engine.workers.items():
            refs = [
                (allocation.ref, '', 0)
                for allocation in worker.allocations.values()
            ]
            self.report(name, running=refs)

    def advance(self, seconds):
        self.now_s += seconds
        self.clock_ms += int(seconds * 1000)

    def end(self, allocation, kind, checkpoint=''):
        """Report the end of ``allocation`` from its worker."""
        worker = self.engine.workers[allocation.worker]
        others = [
            (other.ref, '', other.percent)
            for other in worker.allocations.values()
            if other is not allocation
        ]
        number = worker.ends.processed + 1
        return self.report(
            allocation.worker,
            running=others,
            ended=[(number, allocation.ref, kind, checkpoint)],
        )


def racks(count=3, workers=4, **others):
    return [
        entry(f'w{rack}{number}', rack=f'r{rack}', **others)
        for rack in range(count)
        for number in range(workers)
    ]
