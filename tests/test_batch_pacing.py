"""Throttling of best-effort tasks, and the disruption budget of services."""

import pytest
from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.disruption_budget import is_within_disruption_budget
from bulrushcove.batch.job_spec import StepSpec, TaskSize
from bulrushcove.batch.job_state import AllocationPhase
from bulrushcove.batch.membership import record_entry
from bulrushcove.batch.pacing import (
    SETTLE_S,
    has_colocated_services,
    never_harms,
    speed_of,
    update_throttle,
)
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from bulrushcove.batch.workers import EndKind

TARGET_MS = 100
# Users of a service accept a tail latency over its target for less than this.
MAX_IMPACT_S = 4.0
REPORT_INTERVAL_S = 0.5


def make_colocated_bench():
    """Return a bench whose only worker runs a service and best-effort tasks."""
    bench = Bench(entry('w1'))
    service_step = step(is_service=True, target_tail_ms=TARGET_MS)
    bench.submit(job_spec('serving', service_step))
    bench.submit(job_spec('filling', step(2, fills_idle=True), priority=2))
    bench.start_all()
    return bench


def allocations_of(bench, name):
    return [
        allocation
        for allocation in bench.engine.workers['w1'].allocations.values()
        if allocation.unit.job.id == name
    ]


def apply_report(bench, tail_ms):
    """Report a tail latency, apply the new speed and return it."""
    bench.advance(REPORT_INTERVAL_S)
    worker = bench.engine.workers['w1']
    for allocation in allocations_of(bench, 'serving'):
        allocation.load = tail_ms
    for allocation in update_throttle(worker, bench.now_s):
        allocation.speed_percent = worker.speed_percent
    return worker.speed_percent


def test_services_and_best_effort_tasks_are_colocated():
    bench = make_colocated_bench()
    assert has_colocated_services(bench.engine.workers['w1'])
    assert not has_colocated_services(Bench(entry('w1')).engine.workers['w1'])


def test_best_effort_tasks_pause_when_tail_latency_reaches_target():
    bench = make_colocated_bench()
    assert not apply_report(bench, TARGET_MS)
    assert {
        allocation.speed_percent
        for allocation in allocations_of(bench, 'filling')
    } == {0}
    # The service itself is never throttled.
    assert allocations_of(bench, 'serving')[0].speed_percent == 100


@pytest.mark.parametrize('latency_ms_per_percent', [0.4, 1.0, 3.0])
def test_latency_over_target_is_short(latency_ms_per_percent):
    """Each percent of best-effort speed adds an unknown latency."""
    bench = make_colocated_bench()
    speed = 100
    over_target_s = 0
    longest_over_target_s = 0
    for _ in range(60):
        tail_ms = 40 + latency_ms_per_percent * speed
        over_target_s = (
            over_target_s + REPORT_INTERVAL_S
            if tail_ms > TARGET_MS and speed
            else 0
        )
        longest_over_target_s = max(longest_over_target_s, over_target_s)
        speed = apply_report(bench, tail_ms)
    assert longest_over_target_s < MAX_IMPACT_S / 2


def test_best_effort_tasks_are_sped_up_in_steps():
    bench = make_colocated_bench()
    apply_report(bench, TARGET_MS)
    speeds = [apply_report(bench, 10) for _ in range(12)]
    assert speeds[0] < 100
    assert speeds == sorted(speeds)
    assert speeds[-1] == 100
    assert SETTLE_S >= 2 * REPORT_INTERVAL_S


def test_throttled_worker_gets_no_more_best_effort_tasks():
    bench = make_colocated_bench()
    apply_report(bench, TARGET_MS)
    bench.submit(job_spec('more', step(fills_idle=True), priority=2))
    assert not bench.plan().starts


def test_best_effort_task_fits_on_a_worker_without_free_cpu():
    """It uses only CPU time that other tasks leave idle."""
    bench = Bench(entry('w1'))
    whole = TaskSize(32_000, 100, 1)
    bench.submit(job_spec('full', StepSpec(task_count=1, size=whole)))
    bench.start_all()
    for name, is_best_effort in (('equal', False), ('filling', True)):
        requested_step = StepSpec(
            task_count=1, size=whole, fills_idle=is_best_effort
        )
        bench.submit(job_spec(name, requested_step))
    assert {allocation.unit.job.id for allocation in bench.plan().starts} == {
        'filling'
    }


def start_service(bench, max_absent, count=3, **others):
    spec = step(count, is_service=True, max_absent=max_absent, **others)
    job = bench.submit(job_spec('service', spec, priority=2))
    bench.start_all()
    for unit in job.units:
        for allocation in unit.allocations.values():
            allocation.phase = AllocationPhase.RUNNING
            allocation.percent = 100
    return job.units


@pytest.mark.parametrize(
    ('max_absent', 'stopped_count', 'is_allowed'),
    [(0, 1, False), (1, 1, True), (1, 2, False), (2, 2, True)],
)
def test_stops_stay_within_the_disruption_budget(
    max_absent, stopped_count, is_allowed
):
    units = start_service(Bench(entry('w1')), max_absent)
    assert is_within_disruption_budget(units[:stopped_count]) is is_allowed


def test_starting_task_counts_as_unavailable():
    units = start_service(Bench(entry('w1')), 1)
    next(iter(units[2].allocations.values())).percent = 40
    assert not is_within_disruption_budget(units[:1])


def test_preemption_stays_within_the_disruption_budget():
    bench = Bench(entry('w1', accelerators=3), guaranteed=8)
    start_service(bench, 1)
    bench.submit(job_spec('urgent', step(2), priority=0))
    bench.advance(1)
    stops = bench.plan().stops
    assert len(stops) == 1


def test_plans_of_one_pass_share_the_disruption_budget():
    """An urgent job stopped three tasks of a service that may miss one."""
    bench = Bench(*(entry(f'w{number}') for number in range(3)), guaranteed=24)
    start_service(bench, 1, accelerators=8)
    bench.submit(job_spec('urgent', step(3, accelerators=8), priority=0))
    bench.advance(1)
    assert len(bench.plan().stops) == 1


def test_best_effort_tasks_start_soon_on_a_worker_whose_services_are_gone():
    """They waited for 4 s on an idle worker, until its speed was raised."""
    bench = make_colocated_bench()
    assert not apply_report(bench, TARGET_MS)
    for name in ('serving', 'filling'):
        job = bench.engine.jobs[name]
        bench.engine.cancel(job, unix_ms=1, now_s=bench.now_s)
        for allocation in allocations_of(bench, name):
            bench.end(allocation, EndKind.STOPPED)
    bench.submit(job_spec('later', step(fills_idle=True), priority=2))
    apply_report(bench, 0)
    assert len(bench.plan().starts) == 1


def make_bench_with_two_images():
    bench = Bench(entry('w1'))
    service_step = step(is_service=True, target_tail_ms=TARGET_MS, image='web')
    bench.submit(job_spec('serving', service_step))
    for image in ('index', 'mail'):
        filling = step(fills_idle=True, image=image)
        bench.submit(job_spec(f'filling-{image}', filling, priority=2))
    bench.start_all()
    return bench


def index_harms_web(victim, neighbour):
    return (victim, neighbour) == ('web', 'index')


def apply_tail(bench, tail_ms, harms=index_harms_web):
    """Report a tail latency; returns the speeds of both images."""
    bench.advance(REPORT_INTERVAL_S)
    worker = bench.engine.workers['w1']
    for allocation in allocations_of(bench, 'serving'):
        allocation.load = tail_ms
    for allocation in update_throttle(worker, bench.now_s, harms):
        allocation.speed_percent = speed_of(worker, allocation)
    return tuple(
        allocations_of(bench, f'filling-{image}')[0].speed_percent
        for image in ('index', 'mail')
    )


def test_the_image_that_harms_is_slowed_first():
    bench = make_bench_with_two_images()
    assert apply_tail(bench, 80) == (50, 100)
    assert apply_tail(bench, TARGET_MS) == (0, 100)
    # A second later the others might be the cause.
    assert apply_tail(bench, TARGET_MS) == (0, 100)
    assert apply_tail(bench, TARGET_MS) == (0, 0)


def test_the_image_that_harms_is_sped_up_last():
    bench = make_bench_with_two_images()
    for _ in range(3):
        apply_tail(bench, TARGET_MS)
    speeds = [apply_tail(bench, 10) for _ in range(20)]
    assert speeds[0] == (0, 0)
    first_full = next(one for one in speeds if one[1] == 100)
    assert first_full == (0, 100)
    assert speeds[-1] == (100, 100)


def test_without_evidence_all_are_slowed_alike():
    bench = make_bench_with_two_images()
    assert apply_tail(bench, 80, never_harms) == (50, 50)
    assert apply_tail(bench, TARGET_MS, never_harms) == (0, 0)


def test_all_are_paused_at_once_for_a_service_without_a_sure_cause():
    """One service has a harmful neighbour, but another one is over."""
    bench = make_bench_with_two_images()
    other = step(is_service=True, target_tail_ms=TARGET_MS, image='search')
    bench.submit(job_spec('serving-more', other))
    bench.start_all()
    allocations_of(bench, 'serving-more')[0].load = TARGET_MS
    assert apply_tail(bench, 10) == (0, 0)


def test_evidence_that_is_forgotten_slows_all_alike():
    bench = make_bench_with_two_images()
    assert apply_tail(bench, TARGET_MS) == (0, 100)
    assert apply_tail(bench, 60, never_harms) == (0, 0)
    speeds = [apply_tail(bench, 10, never_harms) for _ in range(10)]
    assert speeds[-1] == (100, 100)


def test_others_keep_their_speed_when_the_harmful_task_ends():
    bench = make_bench_with_two_images()
    assert apply_tail(bench, TARGET_MS) == (0, 100)
    bench.end(allocations_of(bench, 'filling-index')[0], EndKind.DONE)
    apply_report(bench, 60)
    worker = bench.engine.workers['w1']
    assert worker.speed_percent == 100
    assert not worker.is_throttled


@pytest.mark.parametrize('others_ms', [0, 30, 200])
@pytest.mark.parametrize('harmful_ms', [0, 30, 200])
def test_latency_over_target_is_short_whoever_is_blamed(harmful_ms, others_ms):
    """Also where the evidence names the wrong image."""
    bench = make_bench_with_two_images()
    speeds = (100, 100)
    over_s = 0
    longest_s = 0
    for _ in range(80):
        tail_ms = (
            40 + harmful_ms * speeds[0] / 100 + others_ms * speeds[1] / 100
        )
        over_s = over_s + REPORT_INTERVAL_S if tail_ms >= TARGET_MS else 0
        longest_s = max(longest_s, over_s)
        speeds = apply_tail(bench, tail_ms)
    assert longest_s < MAX_IMPACT_S / 2


def report_no_progress(bench, tail_ms, seconds):
    """Report for a while; returns the stops that were planned."""
    worker = bench.engine.workers['w1']
    stops = []
    for _ in range(round(seconds / REPORT_INTERVAL_S)):
        bench.advance(REPORT_INTERVAL_S)
        rows = [
            (ref, '', 100, tail_ms)
            if allocation.unit.spec.is_service
            else (ref, '', 0, 0)
            for ref, allocation in worker.allocations.items()
        ]
        bench.report('w1', rows)
        for allocation in update_throttle(worker, bench.now_s):
            allocation.speed_percent = speed_of(worker, allocation)
        stops.extend(bench.plan().stops)
    return stops


def test_a_halted_task_does_not_count_as_stalled():
    """It was stopped after 3.5 s, and its worker quarantined."""
    bench = make_bench_with_two_images()
    assert not report_no_progress(bench, TARGET_MS, 8)
    reliability = bench.engine.reliability
    assert not reliability.is_quarantined('w1', bench.now_s)


def test_a_task_that_stalls_at_full_speed_is_still_found():
    bench = make_bench_with_two_images()
    assert not report_no_progress(bench, TARGET_MS, 4)
    # 3.5 s by the default duration, four times as long beside other work.
    assert report_no_progress(bench, 10, 2 + 4 * 3.5)


def test_a_new_leader_orders_the_speed_of_tasks_that_run():
    """The previous one may have halted them; the speed is not stored."""
    earlier = make_bench_with_two_images()
    bench = Bench()
    jobs = [
        restore_job(
            decode_submission(encode_submission(job)),
            decode_progress(encode_progress(job)),
            bench.now_s,
        )
        for job in earlier.engine.jobs.values()
    ]
    bench.engine.restore(jobs, leases_expire_at_s=bench.now_s + 10)
    worker = record_entry(
        bench.engine.workers,
        bench.engine.reliability,
        entry('w1'),
        bench.now_s,
    )
    bench.report('w1', [(ref, '', 0, 10) for ref in worker.allocations])
    ordered = update_throttle(worker, bench.now_s)
    assert {
        allocation.unit.job.id: speed_of(worker, allocation)
        for allocation in ordered
    } == {'filling-index': 100, 'filling-mail': 100}
    for allocation in ordered:
        allocation.speed_percent = 100
    assert not update_throttle(worker, bench.now_s)
