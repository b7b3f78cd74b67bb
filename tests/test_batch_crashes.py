"""Tasks that crash each worker that starts them."""

import msgspec
import pytest
from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.crash_history import CrashHistory
from bulrushcove.batch.engine import Engine
from bulrushcove.batch.job_state import JobPhase
from bulrushcove.batch.membership import mark_unlisted, remove_departed
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from bulrushcove.batch.workers import EndKind

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
            allocation.start_sent_at_s = self.now_s
        self.advance(0.01)
        self.confirm()
        return plan

    def crash(self, name):
        """Crash a worker that is noticed at once and is back soon."""
        worker = self.engine.workers[name]
        worker.failed_polls = 1
        worker.silent_since_s = self.now_s
        self.advance(RESTART_S)
        return self.restart(name)

    def confirm(self):
        """Report from all workers that are not silent."""
        for name, worker in self.engine.workers.items():
            refs = [(ref, '', 0) for ref in worker.allocations]
            if not worker.failed_polls:
                self.report(name, running=refs)

    def lose(self, name):
        """Let a worker fall silent, so that its entry and leases expire."""
        worker = self.engine.workers[name]
        worker.failed_polls = 1
        worker.silent_since_s = self.now_s
        worker.leases_expire_at_s = self.now_s + 8.2
        mark_unlisted(self.engine.workers, name, self.now_s + 4.0)

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


def test_deadly_gang_member_is_found_and_its_gang_given_up():
    bench = CrashBench('w1', 'w2', 'w3', 'w4', 'w5', 'w6')
    job = bench.submit(job_spec('gang', step(4, 2, is_gang=True)))
    starts = 0
    for _ in range(10):
        bench.start_all()
        for worker in workers_of(job, 2):
            starts += 1
            bench.crash(worker)
        for allocation in list(job.units[0].allocations.values()):
            bench.end(allocation, EndKind.GANG_ABORTED)
        bench.advance(2.0)
    assert starts <= MAX_STARTS
    assert job.reason == 'step 0: task 2 crashed 3 workers'


def test_deadly_task_whose_start_is_never_confirmed_is_given_up():
    bench = CrashBench()
    job = bench.submit(job_spec('deadly'))
    starts = 0
    for _ in range(10):
        for allocation in bench.plan().starts:
            starts += 1
            allocation.is_start_sent = True
            allocation.start_sent_at_s = bench.now_s
            bench.crash(allocation.worker)
            allocation.stop_confirmed_at_s = bench.now_s
            bench.advance(0.1)
            bench.report(allocation.worker)
        bench.advance(1.0)
    assert starts <= MAX_STARTS
    assert job.phase is JobPhase.FAILED


def test_urgent_deadly_task_is_given_up():
    bench = CrashBench()
    job = bench.submit(job_spec('deadly', step(2), priority=0))
    assert bench.run_deadly(job) <= MAX_STARTS
    assert job.phase is JobPhase.FAILED


def test_suspect_runs_alone_until_it_has_survived():
    bench = CrashBench('w1', 'w2')
    suspect = bench.submit(job_spec('suspect'))
    bench.start_all()
    bench.crash('w1')
    bench.submit(job_spec('other', step(3)))
    starts = bench.start_all().starts
    (own_worker,) = workers_of(suspect, 0)
    others = [one for one in starts if one.unit.job is not suspect]
    assert len(others) == 3
    assert own_worker not in {one.worker for one in others}
    bench.submit(job_spec('next', step(16)))
    assert own_worker not in {one.worker for one in bench.start_all().starts}
    bench.advance(2.0)
    bench.confirm()
    assert not suspect.units[0].crashes
    assert own_worker in {one.worker for one in bench.plan().starts}


def test_suspect_waits_for_an_idle_worker_and_keeps_it_reserved():
    bench = CrashBench('w1')
    bench.submit(job_spec('before', step(8)))
    running = bench.start_all().starts
    suspect = bench.submit(job_spec('suspect'))
    suspect.units[0].crashes[0] = CrashHistory(shared=2)
    bench.submit(job_spec('next', step(8, estimated_ms=9000), priority=2))
    for allocation in running:
        # The worker has room for others, and is not idle yet.
        assert not bench.plan().starts
        bench.end(allocation, EndKind.DONE)
    (start,) = bench.start_all().starts
    assert start.unit is suspect.units[0]
    assert start.is_isolated


@pytest.mark.parametrize(('priority', 'wait_s'), [(0, 1.0), (1, 3.0)])
def test_sound_suspect_does_not_wait_long_for_a_worker_of_its_own(
    priority, wait_s
):
    bench = CrashBench('w1')
    bench.submit(job_spec('other', step(estimated_ms=20_000)))
    bench.start_all()
    suspect = bench.submit(job_spec('suspect', priority=priority))
    suspect.units[0].crashes[0] = CrashHistory(shared=1)
    assert not bench.plan().starts
    bench.advance(wait_s + 0.1)
    assert len(bench.start_all().starts) == 1


def test_job_is_not_given_up_as_its_worker_crashes_by_itself():
    bench = CrashBench('w1')
    job = bench.submit(job_spec('sound'))
    for _ in range(10):
        bench.start_all()
        bench.crash('w1')
    assert job.phase is JobPhase.RUNNING
    # Crashes of a worker that has just started say little.
    assert job.units[0].crashes[0].alone <= 1


def test_domain_that_loses_power_does_not_accuse_its_runs():
    bench = CrashBench()
    job = bench.submit(job_spec('sound', step(4, accelerators=8)))
    bench.start_all()
    bench.advance(1.5)
    for worker in bench.engine.workers.values():
        worker.failed_polls = 1
        worker.silent_since_s = bench.now_s
    bench.advance(RESTART_S)
    for name in WORKERS:
        plan, _ = bench.restart(name)
        assert not plan.accused
    assert not any(unit.crashes for unit in job.units)


def test_leaving_worker_and_lease_expiry_do_not_count_as_crashes():
    bench = CrashBench('w1', 'w2')
    job = bench.submit(job_spec('sound', step(2, accelerators=8)))
    bench.start_all()
    bench.add_worker(entry('w1', is_draining=True))
    bench.engine.end_incarnation(
        bench.engine.workers['w1'],
        unix_ms=bench.unix_ms,
        now_s=bench.now_s,
        is_replaced=True,
    )
    worker = bench.engine.workers['w2']
    worker.failed_polls = 1
    bench.advance(9.0)
    bench.engine.expire_leases(unix_ms=bench.unix_ms, now_s=bench.now_s)
    assert not any(unit.allocations for unit in job.units)
    assert not any(unit.crashes for unit in job.units)


def test_crash_is_counted_when_the_worker_is_back_after_the_lease():
    bench = CrashBench(*(f'w{number}' for number in range(8)))
    job = bench.submit(job_spec('deadly', step(2)))
    starts = 0
    crashed_worker = ''
    for _ in range(8):
        bench.start_all()
        returning_worker = crashed_worker
        crashed_worker = ''.join(workers_of(job, 0))
        if crashed_worker:
            starts += 1
            bench.lose(crashed_worker)
        bench.advance(2.0)
        if returning_worker:
            bench.restart(returning_worker)
            bench.add_worker(
                entry(
                    returning_worker,
                    started_unix_ms=bench.incarnations[returning_worker],
                )
            )
        bench.advance(6.3)
        bench.engine.expire_leases(unix_ms=bench.unix_ms, now_s=bench.now_s)
        bench.advance(0.1)
        assert not remove_departed(
            bench.engine.workers, bench.engine.reliability, bench.now_s
        )
    assert starts <= MAX_STARTS
    assert job.phase is JobPhase.FAILED


def test_leaving_worker_is_forgotten_soon_after_it_is_gone():
    bench = CrashBench('w1')
    bench.submit(job_spec('job'))
    bench.start_all()
    bench.add_worker(entry('w1', is_draining=True))
    bench.lose('w1')
    bench.advance(8.5)
    bench.engine.expire_leases(unix_ms=bench.unix_ms, now_s=bench.now_s)
    assert remove_departed(
        bench.engine.workers, bench.engine.reliability, bench.now_s
    ) == ['w1']


def test_worker_replaced_at_its_address_counts_as_a_crash():
    bench = CrashBench('w1')
    job = bench.submit(job_spec('deadly'))
    bench.start_all()
    worker = bench.engine.workers['w1']
    worker.failed_polls = 1
    worker.silent_since_s = bench.now_s
    bench.advance(RESTART_S)
    plan = bench.engine.end_incarnation(
        worker, unix_ms=bench.unix_ms, now_s=bench.now_s, is_replaced=True
    )
    assert [accused.allocation.unit.job for accused in plan.accused] == [job]
    assert job in plan.changed


def test_start_to_a_worker_that_restarted_before_is_not_accused():
    bench = CrashBench('w1')
    job = bench.submit(job_spec('sound'))
    bench.incarnations['w1'] += 1
    bench.started_at_s['w1'] = bench.now_s
    bench.advance(3.0)
    (allocation,) = bench.plan().starts
    allocation.is_start_sent = True
    allocation.start_sent_at_s = bench.now_s
    plan, _ = bench.report('w1')
    assert not plan.accused
    assert not job.units[0].crashes


def test_records_of_earlier_versions_are_read_and_read_the_new_ones():
    bench = CrashBench('w1')
    job = bench.submit(job_spec('job'))
    bench.start_all()
    bench.crash('w1')
    stored = msgspec.msgpack.decode(encode_progress(job))
    units = stored[4]
    unit = units[0]
    # Earlier versions read the first five fields.
    assert unit[:5] == [0, 1, 0, '', []]
    units[0] = unit[:5]
    earlier = decode_progress(msgspec.msgpack.encode(stored))
    assert not earlier.units[0].crashes


def busy_bench():
    """Return a bench on which each worker runs a task that lasts."""
    bench = CrashBench()
    serving = step(4, max_per_worker=1, is_service=True)
    bench.submit(job_spec('serving', serving))
    bench.start_all()
    assert all(one.allocations for one in bench.engine.workers.values())
    return bench


@pytest.mark.parametrize('is_service', [False, True])
def test_suspect_starts_soon_although_no_worker_is_idle(is_service):
    """It waited for 30 s with most of the room free."""
    bench = busy_bench()
    job = bench.submit(job_spec('suspect', step(is_service=is_service)))
    job.units[0].crashes[0] = CrashHistory(shared=2, longest_ms=2000)
    waited_s = 0
    while not job.units[0].allocations:
        bench.plan()
        bench.advance(0.5)
        bench.confirm()
        waited_s += 0.5
        assert waited_s <= 3


def test_deadly_task_is_given_up_although_no_worker_is_idle():
    """Crashes of shared workers alone never gave it up."""
    bench = busy_bench()
    job = bench.submit(job_spec('deadly'))
    assert bench.run_deadly(job, rounds=40) <= MAX_STARTS
    assert job.phase is JobPhase.FAILED


def test_crashes_of_unstable_workers_never_give_a_task_up():
    history = CrashHistory()
    for _ in range(10):
        history = history.add(100, was_alone=False, was_stable=False)
    assert not history.is_conclusive
    assert history.is_isolation_strict


def test_long_run_is_weak_evidence_after_a_change_of_leader():
    """Its age was taken for two seconds, and its job was given up."""
    bench = CrashBench()
    job = bench.submit(job_spec('sound'))
    bench.start_all()
    for _ in range(3):
        bench.advance(600)
        for name in workers_of(job, 0):
            bench.incarnations[name] += 1
            bench.started_at_s[name] = bench.now_s
        job = bench.change_leader(job)
        bench.advance(4)
        bench.start_all()
    assert job.phase is not JobPhase.FAILED
    assert not job.units[0].crashes[0].alone
