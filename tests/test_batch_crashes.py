"""Tasks that crash each worker that starts them."""

from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.engine import Engine
from bulrushcove.batch.job_state import JobPhase
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)

# The rule allows two more starts after three workers have crashed.
MAX_STARTS = 5
WORKERS = ('w1', 'w2', 'w3', 'w4')
UPTIME_S = 60.0
# A crashed worker is back after this time.
RESTART_S = 4.0


class CrashBench(Bench):
    """An engine whose workers crash right after a deadly task has started."""

    def __init__(self, *names):
        self.incarnations = {}
        self.started_at_s = {}
        super().__init__(*(entry(name) for name in names or WORKERS))
        self.advance(UPTIME_S)

    def report(self, name, running=(), ended=(), **others):
        """Report from the current incarnation, whose clock starts at 0."""
        started_unix_ms = self.incarnations.setdefault(name, 1)
        started_at_s = self.started_at_s.setdefault(name, self.now_s)
        self.clock_ms = int((self.now_s - started_at_s) * 1000)
        return super().report(
            name, running, ended, started_unix_ms=started_unix_ms, **others
        )

    def start_all(self):
        """Place all units that fit and confirm their starts."""
        plan = self.plan()
        for allocation in plan.starts:
            allocation.is_start_sent = True
        self.advance(0.01)
        self.confirm()
        return plan

    def crash(self, name):
        """Crash a worker that is noticed at once and is back soon."""
        self.engine.workers[name].failed_polls = 1
        self.advance(RESTART_S)
        return self.restart(name)

    def restart(self, name):
        """Report from a new incarnation of a worker, which runs nothing."""
        self.incarnations[name] += 1
        self.started_at_s[name] = self.now_s - 0.1
        return self.report(name)

    def run_deadly(self, job, index=0, rounds=10):
        """Crash the worker of the task ``index`` again and again.

        Returns how often the task was started.
        """
        starts = 0
        for _ in range(rounds):
            self.start_all()
            for worker in workers_of(job, index):
                starts += 1
                self.crash(worker)
            self.advance(1.0)
        return starts

    def change_leader(self, job):
        """Continue with a new engine that restores ``job`` from its record."""
        names = list(self.engine.workers)
        restored = restore_job(
            decode_submission(encode_submission(job)),
            decode_progress(encode_progress(job)),
            self.now_s,
        )
        desired_state = self.engine.desired_state
        self.engine = Engine()
        self.engine.desired_state = desired_state
        self.engine.restore([restored], leases_expire_at_s=self.now_s + 20)
        for name in names:
            self.add_worker(
                entry(name, started_unix_ms=self.incarnations[name])
            )
        return restored


def workers_of(job, index):
    return [
        allocation.worker
        for unit in job.units
        for allocation in unit.allocations.values()
        if allocation.index == index
    ]


def test_deadly_task_is_not_started_on_worker_after_worker():
    bench = CrashBench()
    job = bench.submit(job_spec('deadly', step(4)))
    assert bench.run_deadly(job) <= MAX_STARTS
    assert job.phase is JobPhase.FAILED


def test_sound_tasks_beside_a_deadly_one_are_not_given_up():
    bench = CrashBench()
    sound = bench.submit(job_spec('sound', step(4)))
    deadly = bench.submit(job_spec('deadly', step(2)))
    assert bench.run_deadly(deadly) <= MAX_STARTS
    assert sound.phase is JobPhase.RUNNING
    assert all(unit.allocations for unit in sound.units)


def test_crashes_around_changes_of_leader_count():
    bench = CrashBench()
    job = bench.submit(job_spec('deadly', step(2)))
    starts = 0
    for _ in range(8):
        bench.start_all()
        for worker in workers_of(job, 0):
            starts += 1
            bench.incarnations[worker] += 1
            bench.started_at_s[worker] = bench.now_s
            job = bench.change_leader(job)
        bench.advance(RESTART_S)
        bench.confirm()
    assert starts <= MAX_STARTS
    assert job.phase is JobPhase.FAILED
