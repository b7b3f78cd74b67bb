"""Measures the cost of scheduling decisions of the node program.

For each cluster size, fills workers with running tasks, queues more jobs than
fit, and measures the time of a scheduling pass, of a worker's report and of
encoding a job record, and the memory of the state.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec
from absl import app, flags

from bulrushcove.batch.engine import Engine
from bulrushcove.batch.ids import PoolName, QueueName
from bulrushcove.batch.job_spec import (
    JobSpec,
    QueueTerms,
    StepSpec,
    TaskSize,
)
from bulrushcove.batch.membership import record_entry
from bulrushcove.batch.records import encode_progress
from bulrushcove.batch.workers import RunningTask, WorkerEntry, WorkerReport
from bulrushcove.ids import DomainName, JobId, OrganisationId, RackId, WorkerId

SIZES = flags.DEFINE_list(
    'workers', ['24', '176', '740'], 'Numbers of workers to measure.'
)
TASKS = flags.DEFINE_integer('tasks', 26, 'Running tasks per worker.')
WAITING = flags.DEFINE_integer(
    'waiting', 200, 'Jobs that wait for free capacity.'
)

REPEATS = 5
MS_PER_S = 1000
BYTES_PER_MB = 1_000_000
WORKER_CAPACITY = TaskSize(32_000, 64_000, 8)
WORKERS_PER_RACK = 20
DOMAINS = 6
ORGANISATIONS = 86
POOL = PoolName('pool')
UNIX_MS = 1_000_000
# Too little progress for a rate: run times are estimated as declared.
PROGRESS_PERCENT = 5


class Cost(msgspec.Struct, frozen=True):
    """Measured cost of scheduling decisions at one size."""

    workers: int
    tasks: int
    pass_ms: float
    report_ms: float
    record_ms: float
    memory_mb: float


def measure_cost(workers: int, per_worker: int, waiting: int) -> Cost:
    """Return the cost with ``waiting`` jobs on full workers."""
    gc.collect()
    tracemalloc.start()
    engine = _make_full_engine(workers, per_worker)
    memory_mb = tracemalloc.get_traced_memory()[0] / BYTES_PER_MB
    tracemalloc.stop()
    rng = random.Random(workers)
    for number in range(waiting):
        _submit(engine, f'waiting-{number}', _waiting_step(rng), rng)
    worker = next(iter(engine.workers.values()))
    job = next(iter(engine.jobs.values()))
    return Cost(
        workers,
        workers * per_worker,
        _measure_ms(lambda: engine.plan(unix_ms=UNIX_MS, now_s=10.0)),
        _measure_ms(lambda: _report(engine, worker.id, now_s=10.0)),
        _measure_ms(lambda: encode_progress(job)),
        memory_mb,
    )


def _make_full_engine(workers: int, per_worker: int) -> Engine:
    engine = Engine()
    for number in range(workers):
        entry = WorkerEntry(
            worker=WorkerId(f'w-{number:04}'),
            pool=POOL,
            address=f'10.0.0.{number}:80',
            domain=DomainName(f'domain-{number % DOMAINS}'),
            rack=RackId(f'rack-{number // WORKERS_PER_RACK}'),
            labels=frozenset(),
            capacity=WORKER_CAPACITY,
            started_unix_ms=1,
        )
        record_entry(engine.workers, engine.reliability, entry, 0.0)
        _report(engine, entry.worker, now_s=0.0)
    rng = random.Random(workers)
    # Sized so that all tasks run and use up the CPU of every worker.
    size = TaskSize(WORKER_CAPACITY.cpu_millicores // per_worker, 100, 0)
    for number in range(workers):
        step = StepSpec(task_count=per_worker, size=size, estimated_ms=5000)
        _submit(engine, f'running-{number}', step, rng)
    engine.plan(unix_ms=UNIX_MS, now_s=0.0)
    for worker in engine.workers:
        _report(engine, worker, now_s=0.0)
    return engine


def _waiting_step(rng: random.Random) -> StepSpec:
    accelerators = rng.choice((1, 2, 4, 8))
    return StepSpec(
        task_count=rng.choice((1, 4, 16, 64)),
        size=TaskSize(4000, 4000, accelerators),
        estimated_ms=rng.randrange(1000, 9000),
        is_gang=rng.choice((True, True, False)),
        same_rack=rng.choice((True, False)),
    )


def _submit(
    engine: Engine, name: str, step: StepSpec, rng: random.Random
) -> None:
    organisation = rng.randrange(ORGANISATIONS)
    terms = QueueTerms(
        queue=QueueName('queue'),
        pool=POOL,
        organisation=OrganisationId(f'organisation-{organisation}'),
        priority=rng.choice((0, 1, 2)),
        stretch=3.0,
        target_ms=1500,
    )
    spec = JobSpec(job=JobId(name), payload='x', steps=(step,), terms=terms)
    engine.submit(spec, unix_ms=UNIX_MS, now_s=0.0)


def _report(engine: Engine, worker: WorkerId, *, now_s: float) -> None:
    worker_state = engine.workers[worker]
    running = tuple(
        RunningTask(ref, '', PROGRESS_PERCENT)
        for ref in worker_state.allocations
    )
    report = WorkerReport(
        clock_ms=1000, started_unix_ms=1, running=running, ended=()
    )
    engine.apply_report(
        worker_state, report, requested_at_s=now_s, now_s=now_s, unix_ms=UNIX_MS
    )


def _measure_ms(work: Callable[[], object]) -> float:
    """Return the shortest of ``REPEATS`` runs of ``work``."""
    times = []
    for _ in range(REPEATS):
        started_at_s = time.perf_counter()
        work()
        times.append((time.perf_counter() - started_at_s) * MS_PER_S)
    return min(times)


def main(_arguments: list[str]) -> None:
    """Print a table with a row for each size."""
    print('| workers | tasks | pass ms | report ms | record ms | state MB |')
    print('|---|---|---|---|---|---|')
    for workers in map(int, SIZES.value):
        cost = measure_cost(workers, TASKS.value, WAITING.value)
        print(
            f'| {cost.workers} | {cost.tasks} | {cost.pass_ms:.1f} '
            f'| {cost.report_ms:.2f} | {cost.record_ms:.2f} '
            f'| {cost.memory_mb:.1f} |'
        )


if __name__ == '__main__':
    app.run(main)
