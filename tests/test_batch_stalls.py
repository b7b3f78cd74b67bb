"""Runs that make no progress, while leaders change."""

from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.job_state import AllocationPhase
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from bulrushcove.batch.workers import EndKind


def change_leader(bench, job, percent=0):
    """Return a new leader's bench; its worker reports the run of ``job``."""
    restored = restore_job(
        decode_submission(encode_submission(job)),
        decode_progress(encode_progress(job)),
        bench.now_s,
    )
    next_bench = Bench()
    next_bench.now_s = bench.now_s
    next_bench.clock_ms = bench.clock_ms
    next_bench.engine.restore([restored], bench.now_s + 20)
    (allocation,) = restored.units[0].allocations.values()
    row = (allocation.ref, '', percent)
    next_bench.report(allocation.worker, running=[row])
    return next_bench, restored


def test_a_stalled_run_is_found_while_leaders_change():
    """The time without progress begins anew with each leader."""
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('stalled'))
    bench.start_all()
    stops = []
    for _ in range(20):
        for _ in range(3):
            bench.advance(1)
            bench.confirm()
            stops.extend(bench.plan().stops)
        bench, job = change_leader(bench, job)
    assert stops


class SlowTask:
    """The only task of a bench, with whole percents of ``percent_s`` each."""

    def __init__(self, bench, *, percent_s, checkpoint_s=0):
        self.bench = bench
        self.percent_s = percent_s
        self.checkpoint_s = checkpoint_s
        # When each run began, by its number.
        self.begun_s = {}
        self.stop_count = 0

    def play(self, seconds):
        """Stop and start runs as planned; return how many were stopped."""
        self.stop_count = 0
        for _ in range(seconds):
            self.stop(self.bench.start_all().stops)
            for worker in tuple(self.bench.engine.workers.values()):
                self.report(worker)
            self.bench.advance(1)
        return self.stop_count

    def stop(self, allocations):
        for allocation in allocations:
            allocation.phase = AllocationPhase.STOPPING
            self.bench.end(allocation, EndKind.STOPPED)
            self.stop_count += 1

    def report(self, worker):
        for allocation in tuple(worker.allocations.values()):
            now_s = self.bench.now_s
            age_s = now_s - self.begun_s.setdefault(allocation.run, now_s)
            saved = int(age_s / self.checkpoint_s) if self.checkpoint_s else ''
            percent = int(age_s / self.percent_s)
            row = (allocation.ref, str(saved), percent)
            self.bench.report(worker.id, running=[row])


def test_a_task_whose_percent_takes_longer_than_the_timeout_runs_on():
    """Each run was stopped after 3.5 s, for good (review/3)."""
    bench = Bench(*(entry(f'w{number}') for number in range(4)))
    bench.submit(job_spec('long'))
    task = SlowTask(bench, percent_s=9)
    assert task.play(30) == 3
    assert task.play(90) == 0


def test_a_task_that_stalls_everywhere_is_not_the_workers_fault():
    """Its workers were closed for up to 12 s each."""
    bench = Bench(*(entry(f'w{number}') for number in range(4)))
    bench.submit(job_spec('long'))
    assert SlowTask(bench, percent_s=1000).play(60) > 3
    assert not any(
        bench.engine.reliability.is_quarantined(name, bench.now_s)
        for name in bench.engine.workers
    )


def test_a_new_checkpoint_is_progress():
    bench = Bench(entry('w1'))
    bench.submit(job_spec('long', step(writes_checkpoints=True)))
    task = SlowTask(bench, percent_s=60, checkpoint_s=1)
    assert task.play(60) == 0


def test_a_new_leader_gives_a_long_task_as_much_time():
    """It would have stopped a run that had been at work for hours."""
    bench = Bench(*(entry(f'w{number}') for number in range(4)))
    job = bench.submit(job_spec('long'))
    task = SlowTask(bench, percent_s=9)
    assert task.play(60) == 3
    (allocation,) = job.units[0].allocations.values()
    next_bench, job = change_leader(bench, job, allocation.percent)
    task.bench = next_bench
    assert job.units[0].stalls == 3
    assert task.play(60) == 0
