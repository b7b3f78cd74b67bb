"""What one large job costs the leader, in each phase of its life.

``python -m dev.large_job_cost`` prints a table for docs/PLATFORM.md: bytes of
body, records and memory, and milliseconds of the event loop, in the engine
alone, with six workers. Sending starts and stops is not in it.
"""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from itertools import repeat
from types import MappingProxyType
from typing import Any, NamedTuple

import msgspec

from bulrushcove.batch.engine import Engine
from bulrushcove.batch.ids import PoolName, QueueName, RunRef
from bulrushcove.batch.job_spec import (
    JobSpec,
    QueueTerms,
    StepSpec,
    TaskSize,
)
from bulrushcove.batch.job_state import Job
from bulrushcove.batch.membership import record_entry
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from bulrushcove.batch.workers import (
    EndedTask,
    EndKind,
    RunningTask,
    WorkerEntry,
    WorkerReport,
)
from bulrushcove.ids import DomainName, JobId, OrganisationId, RackId, WorkerId

WORKERS = tuple(WorkerId(f'server-{number}') for number in range(6))
POOL = PoolName('pool')
NOW_S = 1000.0
UNIX_MS = 1_800_000_000_000
ENDS_PER_REPORT = 500
KB = 1024
MS_PER_S = 1000
MEMORY_MB = 4096


class Cost(NamedTuple):
    """One row of the table; times in milliseconds, sizes in KB."""

    submission_kb: float
    progress_kb: float
    waiting_kb: float
    running_kb: float
    ended_kb: float
    submit_ms: float
    load_ms: float
    longest_pass_ms: float
    waiting_pass_ms: float
    progress_ms: float
    report_ms: float
    ends_ms: float
    cancel_ms: float


def timed(action: Callable[[], Any]) -> tuple[float, Any]:
    """Return the milliseconds that ``action`` took, and what it returned."""
    began_s = time.perf_counter()
    outcome = action()
    return (time.perf_counter() - began_s) * MS_PER_S, outcome


def held_kb() -> float:
    """Return the KB that Python objects hold."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0] / KB


def make_engine() -> Engine:
    """Return an engine with idle workers that have reported."""
    engine = Engine(MEMORY_MB)
    for worker in WORKERS:
        entry = WorkerEntry(
            worker=worker,
            pool=POOL,
            address=f'{worker}:80',
            domain=DomainName('a'),
            rack=RackId('r'),
            labels=frozenset(('r',)),
            capacity=TaskSize(32_000, 64_000, 8),
            started_unix_ms=UNIX_MS,
        )
        record_entry(engine.workers, engine.reliability, entry, NOW_S)
        report(engine, worker, (), ())
    return engine


def make_spec(steps: tuple[StepSpec, ...]) -> JobSpec:
    """Return a job of ``steps`` as its queue accepts it."""
    terms = QueueTerms(
        queue=QueueName('queue'),
        pool=POOL,
        organisation=OrganisationId('mill'),
        max_attempts=3,
        stretch=3.0,
    )
    return JobSpec(job=JobId('ee' * 8), payload='0.2', steps=steps, terms=terms)


def report(
    engine: Engine,
    worker: WorkerId,
    running: tuple[RunRef, ...],
    ended: tuple[EndedTask, ...],
) -> None:
    """Apply a report of ``worker``."""
    rows = tuple(RunningTask(ref, '', 10) for ref in running)
    engine.apply_report(
        engine.workers[worker],
        WorkerReport(
            clock_ms=1000, started_unix_ms=UNIX_MS, running=rows, ended=ended
        ),
        requested_at_s=NOW_S,
        now_s=NOW_S,
        unix_ms=UNIX_MS,
    )


def run_passes(engine: Engine) -> float:
    """Start all that fits; return the milliseconds of the longest pass."""
    run_pass = partial(engine.plan, unix_ms=UNIX_MS, now_s=NOW_S)
    longest_ms = 0.0
    has_starts = True
    while has_starts:
        pass_ms, plan = timed(run_pass)
        longest_ms = max(longest_ms, pass_ms)
        has_starts = bool(plan.starts)
        for allocation in plan.starts:
            allocation.is_start_sent = True
    return longest_ms


def report_all(engine: Engine) -> None:
    """Report all runs as running."""
    for worker in WORKERS:
        report(engine, worker, tuple(engine.workers[worker].allocations), ())


def end_all(engine: Engine, kind: EndKind) -> None:
    """Report all runs as ended, some at a time."""
    for worker in WORKERS:
        refs = tuple(engine.workers[worker].allocations)
        for first in range(0, len(refs), ENDS_PER_REPORT):
            last = first + ENDS_PER_REPORT
            ended = tuple(
                EndedTask(number, ref, kind, '')
                for number, ref in enumerate(refs[first:last], first + 1)
            )
            report(engine, worker, refs[last:], ended)


def start_job(steps: tuple[StepSpec, ...]) -> tuple[Engine, Job]:
    """Return an engine whose workers run all of a job that fits."""
    engine = make_engine()
    job, _ = engine.submit(make_spec(steps), unix_ms=UNIX_MS, now_s=NOW_S)
    run_passes(engine)
    report_all(engine)
    return engine, job


def measure_memory(steps: tuple[StepSpec, ...]) -> tuple[float, float, float]:
    """Return the KB that a job holds waiting, running and after its end."""
    engine = make_engine()
    tracemalloc.start()
    before_kb = held_kb()
    # Decoded, so that no object is shared with another job.
    spec = msgspec.msgpack.decode(
        msgspec.msgpack.encode(make_spec(steps)), type=JobSpec
    )
    job, _ = engine.submit(spec, unix_ms=UNIX_MS, now_s=NOW_S)
    waiting_kb = held_kb() - before_kb
    run_passes(engine)
    report_all(engine)
    running_kb = held_kb() - before_kb
    engine.cancel(job, unix_ms=UNIX_MS, now_s=NOW_S)
    end_all(engine, EndKind.STOPPED)
    engine.prune_active_jobs(bool, NOW_S)
    engine.plan(unix_ms=UNIX_MS, now_s=NOW_S)
    ended_kb = held_kb() - before_kb
    tracemalloc.stop()
    return waiting_kb, running_kb, ended_kb


def measure(steps: tuple[StepSpec, ...]) -> Cost:
    """Return what a job of ``steps`` costs."""
    engine = make_engine()
    submit_ms, (job, _) = timed(
        lambda: engine.submit(make_spec(steps), unix_ms=UNIX_MS, now_s=NOW_S)
    )
    submission = encode_submission(job)
    longest_pass_ms = run_passes(engine)
    report_all(engine)
    report_ms, _ = timed(lambda: report_all(engine))
    waiting_pass_ms, _ = timed(
        lambda: engine.plan(unix_ms=UNIX_MS, now_s=NOW_S)
    )
    progress_ms, progress = timed(lambda: encode_progress(job))
    load_ms, _ = timed(
        lambda: restore_job(
            decode_submission(submission), decode_progress(progress), NOW_S
        )
    )
    ends_ms, _ = timed(lambda: end_all(engine, EndKind.DONE))
    engine, job = start_job(steps)
    cancel_ms, _ = timed(
        lambda: (
            engine.cancel(job, unix_ms=UNIX_MS, now_s=NOW_S),
            end_all(engine, EndKind.STOPPED),
        )
    )
    return Cost(
        len(submission) / KB,
        len(progress) / KB,
        *measure_memory(steps),
        submit_ms,
        load_ms,
        longest_pass_ms,
        waiting_pass_ms,
        progress_ms,
        report_ms,
        ends_ms,
        cancel_ms,
    )


NO_SIZE = TaskSize()
ONE_EACH = TaskSize(1000, 100, 1)
SHAPES: MappingProxyType[str, tuple[StepSpec, ...]] = MappingProxyType(
    {
        '1 task': (StepSpec(task_count=1, size=ONE_EACH),),
        '20,000 tasks, all run': (StepSpec(task_count=20_000, size=NO_SIZE),),
        '20,000 tasks, 48 run': (StepSpec(task_count=20_000, size=ONE_EACH),),
        'gang of 3,000': (
            StepSpec(task_count=3000, size=NO_SIZE, is_gang=True),
        ),
        '20,000 equal steps, all run': tuple(
            repeat(StepSpec(task_count=1, size=NO_SIZE), 20_000)
        ),
        '8,000 different steps, 6 run': tuple(
            StepSpec(task_count=1, size=TaskSize(number + 1, 0, 8))
            for number in range(8000)
        ),
        '360 steps after all before': tuple(
            StepSpec(task_count=1, size=NO_SIZE, after=tuple(range(number)))
            for number in range(360)
        ),
    }
)


def main() -> None:
    """Print the table."""
    print(json.dumps(['shape', *Cost._fields]))
    for name, steps in SHAPES.items():
        print(json.dumps([name, *(round(part, 1) for part in measure(steps))]))


if __name__ == '__main__':
    main()
