"""Bursts that last: the order of what waits, and what is refused."""

import msgspec
import pytest
from batch_builders import Bench, entry, job_spec, step
from burst_player import BurstPlayer

from bulrushcove.batch.exceptions import JobRefusedError
from bulrushcove.batch.job_spec import TaskSize
from bulrushcove.batch.job_state import JobPhase
from bulrushcove.batch.overload_admission import (
    MAX_RETURN_S,
    JobHopelessError,
    RefusedJobs,
    StartOutlook,
)
from bulrushcove.batch.start_forecast import (
    PoolLoad,
    QueuedWork,
    StartForecast,
    Work,
)

TASK_S = 2.0
# Of a job of one step with the terms of ``job_spec``.
OBJECTIVE_S = 3 * TASK_S + 1.5


def bench_of(count, **others):
    return Bench(*(entry(f'w{number}') for number in range(count)), **others)


def learn(bench, *queues, task_s=TASK_S):
    for queue in queues or ('queue-0', 'queue-1', 'queue-2'):
        for _ in range(3):
            bench.engine.estimates.record_run(queue, 1000 * task_s)


def real_s(_unit):
    return TASK_S


def waiting_jobs(bench):
    """Return the waiting jobs in the order in which they are placed."""
    return [allocation.unit.job.id for allocation in bench.plan().starts]


class Burst:
    """Jobs that arrive at a constant rate; what became of them."""

    def __init__(self, bench):
        self.player = BurstPlayer(bench, real_s)
        self.bench = bench
        self.accepted = []
        self.refusals = []
        self._due = 0.0

    def arrive(self, seconds, rate, make_spec):
        for _ in range(int(seconds / 0.25)):
            self._due += rate * 0.25
            while self._due >= 1:
                self._due -= 1
                number = len(self.accepted) + len(self.refusals)
                self.submit(make_spec(f'job{number}'))
            self.player.tick()

    def submit(self, spec):
        try:
            self.accepted.append(self.bench.submit(spec))
        except JobHopelessError as exc:
            self.refusals.append((self.bench.now_s, spec, exc))

    def count_useful(self):
        """Return how many jobs ended while their callers gained by it."""
        return sum(map(is_useful, self.accepted))


def is_useful(job):
    took_s = job.ended_at_s - job.accepted_at_s
    return job.phase is JobPhase.SUCCEEDED and took_s <= 3 * OBJECTIVE_S


def whole_worker_job(name, **others):
    return job_spec(name, step(1, 8, estimated_ms=2000), **others)


def play_lasting_burst():
    """Return a burst of twice what four workers do, for five minutes."""
    bench = bench_of(4)
    learn(bench)
    burst = Burst(bench)
    burst.arrive(300, 4, whole_worker_job)
    burst.player.play(100)
    return burst


def test_the_jobs_that_are_accepted_in_a_lasting_burst_are_of_use():
    """Without refusals more than half of them ended too late."""
    burst = play_lasting_burst()
    assert burst.refusals
    assert burst.count_useful() > 2 / 3 * len(burst.accepted)
    # Three quarters of the 600 that the pool can do meanwhile.
    assert burst.count_useful() >= 450
    assert all(job.phase is JobPhase.SUCCEEDED for job in burst.accepted)


def test_refused_jobs_return_one_after_the_other_oldest_first():
    burst = play_lasting_burst()
    returns_at_s = [
        now_s + exc.retry_after_s
        for now_s, _, exc in burst.refusals
        if exc.retry_after_s < MAX_RETURN_S
    ]
    assert len(returns_at_s) > 20
    spread_s = 0.5
    assert all(
        later > earlier - spread_s
        for earlier, later in zip(returns_at_s, returns_at_s[1:], strict=False)
    )
    seconds = [int(at_s) for at_s in returns_at_s]
    # The pool does two such jobs a second.
    assert max(map(seconds.count, seconds)) <= 4


def overloaded_bench():
    """Return a bench whose only worker has work for two minutes."""
    bench = bench_of(1)
    learn(bench)
    for number in range(60):
        bench.submit(whole_worker_job(f'old{number}'))
    bench.start_all()
    bench.advance(1.5)
    return bench


def test_a_job_that_cannot_be_served_is_refused_at_once():
    bench = overloaded_bench()
    with pytest.raises(JobHopelessError) as refused:
        bench.submit(whole_worker_job('new'))
    assert refused.value.retry_after_s > 3 * OBJECTIVE_S
    assert 'new' not in bench.engine.jobs


def test_a_job_that_was_accepted_is_never_refused():
    bench = overloaded_bench()
    assert bench.submit(whole_worker_job('old50')).id == 'old50'


def test_urgent_jobs_wait_for_other_urgent_jobs_only():
    bench = overloaded_bench()
    assert bench.submit(whole_worker_job('urgent', priority=0))


def full_of_urgent_work(guaranteed):
    bench = bench_of(1, guaranteed=guaranteed)
    learn(bench)
    for number in range(40):
        bench.submit(
            whole_worker_job(f'old{number}', priority=0, organisation='x')
        )
    bench.start_all()
    bench.advance(1.5)
    return bench


def test_an_urgent_job_within_the_guarantee_is_never_refused():
    bench = full_of_urgent_work(guaranteed=8)
    assert bench.submit(whole_worker_job('urgent', priority=0))


def test_an_urgent_job_that_no_preemption_helps_is_refused():
    bench = full_of_urgent_work(guaranteed=0)
    with pytest.raises(JobHopelessError):
        bench.submit(whole_worker_job('urgent', priority=0))


@pytest.mark.parametrize(
    'spec',
    [
        whole_worker_job('timed', repeat_count=2, interval_ms=1000),
        job_spec('service', step(1, 8, is_service=True)),
    ],
    ids=lambda spec: spec.job,
)
def test_timed_jobs_and_services_are_not_refused(spec):
    assert overloaded_bench().submit(spec)


def test_nothing_is_refused_by_declared_times():
    """Failure: declared times are wrong by ten times."""
    bench = bench_of(1)
    for number in range(60):
        bench.submit(job_spec(f'job{number}', step(1, 8, estimated_ms=20_000)))
    assert len(bench.engine.jobs) == 60


def test_nothing_is_refused_with_room_idle():
    """Failure: workers came back after most had been lost."""
    bench = overloaded_bench()
    for number in range(1, 8):
        bench.add_worker(entry(f'w{number}'))
    bench.advance(1.5)
    assert bench.submit(whole_worker_job('new'))


def test_refusals_end_with_the_burst():
    """Failure: half of the workers are lost while the burst lasts."""
    bench = bench_of(4)
    learn(bench)
    burst = Burst(bench)
    burst.arrive(60, 4, whole_worker_job)
    for name in ('w2', 'w3'):
        worker = bench.engine.workers.pop(name)
        bench.engine.end_incarnation(
            worker, unix_ms=bench.unix_ms, now_s=bench.now_s
        )
    burst.arrive(120, 4, whole_worker_job)
    assert burst.refusals
    burst.player.play(150)
    assert all(job.phase is JobPhase.SUCCEEDED for job in burst.accepted)
    bench.submit(whole_worker_job('after'))
    for _, spec, _ in burst.refusals:
        assert spec.job not in bench.engine.jobs


def outlook(wait_s):
    return StartOutlook(
        wait_s=wait_s, used_share=1, chain_s=2, objective_s=OBJECTIVE_S
    )


def test_a_job_that_returns_too_early_keeps_its_time():
    refused = RefusedJobs()
    first = refused.refuse('a', outlook(60), 1.0, 0)
    refused.refuse('b', outlook(60), 1.0, 0)
    again = refused.refuse('a', outlook(60), 1.0, 5)
    assert again.retry_after_s == pytest.approx(first.retry_after_s - 5)
    assert again.age_s == 5


def test_a_forecast_halved_must_still_be_too_late():
    latest_start_s = 3 * OBJECTIVE_S - 2
    assert not outlook(1.9 * latest_start_s).is_hopeless
    assert outlook(2.1 * latest_start_s).is_hopeless


NO_WORK = Work()


def forecast(*queued, running=NO_WORK, urgent=NO_WORK):
    return StartForecast(
        PoolLoad(
            capacity=TaskSize(100_000, 0, 10),
            used_share=1,
            running=running,
            running_urgent=urgent,
            queued=tuple(
                QueuedWork(priority, work) for priority, work in queued
            ),
        )
    )


def test_the_forecast_counts_what_comes_first():
    busy = forecast(
        (0, Work(10, 0)),
        (1, Work(20, 1000)),
        (2, Work(40, 0)),
        running=Work(50, 0),
        urgent=Work(30, 0),
    )
    assert busy.wait_s(0) == pytest.approx(4)
    # Cores are scarcer here.
    assert busy.wait_s(1) == pytest.approx(10)
    assert busy.wait_s(2) == pytest.approx(12)
    assert busy.backlog_s == pytest.approx(12)
    assert busy.is_overcommitted


def test_a_calm_pool_is_not_overcommitted():
    assert not forecast((1, Work(29, 0))).is_overcommitted


def test_a_job_whose_later_steps_end_too_late_waits_for_the_others():
    """Only its next step counted, so it ran before work of more use."""
    bench = bench_of(1)
    learn(bench)
    chain = [step(1, 8), step(1, 8, after=(0,)), step(1, 8, after=(1,))]
    bench.submit(job_spec('chain', *chain))
    bench.advance(0.1)
    bench.submit(job_spec('single', step(1, 8)))
    objective_s = 3 * 3 * TASK_S + 1.5
    single_limit_s = 3 * OBJECTIVE_S - TASK_S
    late_s = 3 * objective_s - 3 * TASK_S + 0.2
    assert late_s > single_limit_s
    # The single job came later by as much as it may take less time.
    bench.engine.jobs['single'].accepted_at_s += late_s - single_limit_s + 1
    bench.advance(late_s)
    assert waiting_jobs(bench)[0] == 'single'


def test_a_timed_job_counts_from_its_time():
    """It was taken for too late, as it had been handed in long before."""
    bench = bench_of(1)
    learn(bench)
    due_ms = bench.unix_ms + 200_000
    timed = job_spec(
        'timed',
        step(1, 8),
        repeat_count=1,
        first_unix_ms=due_ms,
        interval_ms=1000,
    )
    bench.submit(timed)
    bench.advance(200)
    late = bench.submit(job_spec('late', step(1, 8)))
    late.accepted_at_s -= 2 * OBJECTIVE_S
    assert waiting_jobs(bench) == ['timed']


def test_what_was_accepted_ends_although_the_burst_goes_on():
    """It waited behind all that can be of use, and more came all the time."""
    bench = bench_of(2)
    learn(bench)
    burst = Burst(bench)
    # Handed in while the run times were not known.
    wide = job_spec('old', step(24, 8, estimated_ms=2000))
    old = bench.submit(wide)
    burst.arrive(
        6 * OBJECTIVE_S + 60,
        1.2,
        lambda name: job_spec(name, step(1, 8, estimated_ms=2000)),
    )
    assert old.phase is JobPhase.SUCCEEDED


def mixed_spec(name):
    """Return a job of one of three sizes and two organisations."""
    number = int(name[len('job') :])
    large = number % 10 == 0
    tasks = 8 if large else 1
    return job_spec(
        name,
        step(tasks, 4, is_gang=True, estimated_ms=2000),
        priority=1 + number % 2,
        organisation='small' if number % 7 == 0 else 'large',
    )


def test_no_kind_size_or_organisation_pays_for_the_others():
    bench = bench_of(8)
    learn(bench)
    burst = Burst(bench)
    # 1.7 tasks a job on average: 2.5 times what the pool does.
    burst.arrive(15, 11.8, mixed_spec)
    burst.player.play(60)
    jobs = burst.accepted
    groups = {
        'large jobs': [one for one in jobs if one.units[0].size > 1],
        'small organisation': [
            one for one in jobs if one.spec.terms.organisation == 'small'
        ],
        'queue-1': [one for one in jobs if one.spec.terms.priority == 1],
        'queue-2': [one for one in jobs if one.spec.terms.priority == 2],
    }
    for name, group in groups.items():
        assert group
        assert sum(map(is_useful, group)) / len(group) >= 0.5, name


def test_refusals_name_their_cause():
    bench = bench_of(1)
    with pytest.raises(JobRefusedError) as refused:
        bench.submit(job_spec('huge', step(1, 99)))
    assert refused.value.cause.value == 'unplaceable'


def test_a_pool_that_is_half_idle_refuses_nothing():
    idle = msgspec.structs.replace(outlook(1000), used_share=0.4)
    assert not idle.is_hopeless
