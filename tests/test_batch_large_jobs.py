"""Jobs of thousands of tasks, steps or dependencies in the engine."""

import pytest
from batch_builders import Bench, entry, job_spec

from bulrushcove.batch.job_spec import StepSpec, TaskSize
from bulrushcove.batch.workers import EndKind

WORKERS = tuple(f'w{number}' for number in range(6))
SMALL = TaskSize(10, 1, 0)


def run_job(*steps):
    """Return a bench whose workers run all tasks of a job of ``steps``."""
    bench = Bench(*(entry(name) for name in WORKERS))
    job = bench.submit(job_spec('job', *steps))
    bench.start_all()
    return bench, job


def end_all(bench, kind):
    """Report the ends of all runs, some at a time; return the plans."""
    plans = []
    for name in WORKERS:
        refs = list(bench.engine.workers[name].allocations)
        for first in range(0, len(refs), 100):
            ends = [
                (first + number, ref, kind, '')
                for number, ref in enumerate(refs[first : first + 100], 1)
            ]
            running = [(ref, '', 10) for ref in refs[first + 100 :]]
            plan, _ = bench.report(name, running=running, ended=ends)
            plans.append(plan)
    return plans


@pytest.mark.parametrize('is_gang', [True, False])
def test_all_runs_of_a_cancelled_job_are_stopped_once(is_gang):
    """A search of all tasks at each end held the event loop for minutes."""
    bench, job = run_job(StepSpec(task_count=1200, size=SMALL, is_gang=is_gang))
    stops = bench.engine.cancel(job, unix_ms=bench.unix_ms, now_s=bench.now_s)
    assert len(stops) == 1200
    plans = end_all(bench, EndKind.STOPPED)
    assert not any(plan.stops for plan in plans)
    assert not any(
        worker.allocations for worker in bench.engine.workers.values()
    )


def test_the_members_of_a_broken_gang_are_stopped_once():
    """Each further end of a member searched all members again."""
    bench, job = run_job(StepSpec(task_count=1200, size=SMALL, is_gang=True))
    plans = end_all(bench, EndKind.FAILED)
    # The first end stops all others, also those that end in its report.
    assert len(plans[0].stops) == 1200 - 1
    assert not any(plan.stops for plan in plans[1:])
    assert job.units[0].failures == 1


def test_a_worker_reserves_what_its_runs_do():
    """It was summed anew for each of thousands of starts."""
    bench, _ = run_job(StepSpec(task_count=1200, size=SMALL))
    worker = bench.engine.workers['w0']
    count = len(worker.allocations)
    assert count
    assert worker.allocations.reserved == SMALL.times(count)
    ref = next(iter(worker.allocations))
    worker.allocations[ref] = worker.allocations[ref]
    assert worker.allocations.reserved == SMALL.times(count)
    worker.allocations.pop(ref)
    worker.allocations.pop(ref, None)
    assert worker.allocations.reserved == SMALL.times(count - 1)
    worker.allocations.clear()
    assert worker.free_capacity() == worker.entry.capacity


@pytest.mark.parametrize('max_starts', [0, 1, 700])
def test_a_pass_places_no_more_than_it_may(max_starts):
    """Starts that wait for their turn must not pile up (review case 11)."""
    bench = Bench(*(entry(name) for name in WORKERS))
    bench.submit(job_spec('job', StepSpec(task_count=1200, size=SMALL)))
    plan = bench.engine.plan(
        unix_ms=bench.unix_ms, now_s=bench.now_s, max_starts=max_starts
    )
    assert len(plan.starts) == max_starts
    assert plan.is_partial
