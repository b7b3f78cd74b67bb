"""Measures the time of single scheduling decisions by cluster size."""

import gc
import time
from collections.abc import Callable, Iterator

import msgspec

from bulrushcove import scheduling_pass
from bulrushcove.contract import Contract, GuaranteedShape
from bulrushcove.guarantee_check import check_guarantees
from bulrushcove.ids import (
    AttemptId,
    DomainName,
    Epoch,
    JobId,
    OrganisationId,
)
from bulrushcove.job import Attempt, JobRecord, JobSpec, WorkerPlacement
from bulrushcove.scheduling_model import (
    DomainSnapshot,
    Plan,
    RunningGang,
    WorkerCapacity,
)
from bulrushcove.states import Adjacency, DomainState, JobState
from bulrushcove.worker_api import WorkerDescription

DOMAIN = DomainName('stockholm')
TASKS = 19_000
GANG_TASKS = 4
ORGANISATIONS = 86
WAVE_JOBS = 1000
WORKER_COUNTS = (24, 240, 740)
REPEATS = 3
MS_PER_S = 1000
MEMORY_MB = 65536


class Timing(msgspec.Struct, frozen=True):
    """Times of one decision in milliseconds, by number of workers."""

    name: str
    times_ms: dict[int, float]


def measure_speed() -> list[Timing]:
    """Return the timings of all decisions for all cluster sizes."""
    benchmarks: dict[str, Callable[[int], float]] = {
        'rebuild of a pass at take-over': _time_rebuild,
        'placement of a 64-gang': _time_placement,
        'reclaim for a 64-gang': _time_preemption,
        'reservation for a 64-gang': _time_reservation,
        'cancellation wave of 1,000 jobs': _time_wave,
        'longest step, 1,000 jobs queued': _time_longest_step,
        'the same, long-lived objects frozen': _time_frozen_step,
        'contract check, 86 organisations': _time_check,
    }
    return [
        Timing(
            name,
            {
                size: _measure_minimum_ms(benchmark, size)
                for size in WORKER_COUNTS
            },
        )
        for name, benchmark in benchmarks.items()
    ]


def format_speed_table(timings: list[Timing]) -> str:
    """Return a Markdown table of the timings."""
    heading = ' | '.join(f'{size} workers' for size in WORKER_COUNTS)
    lines = [f'| decision (ms) | {heading} |', '|---|---|---|---|']
    for timing in timings:
        times = ' | '.join(
            f'{timing.times_ms[size]:.1f}' for size in WORKER_COUNTS
        )
        lines.append(f'| {timing.name} | {times} |')
    return '\n'.join(lines)


def _measure_minimum_ms(benchmark: Callable[[int], float], size: int) -> float:
    """Return the minimum of several runs in milliseconds."""
    times_s = []
    for _ in range(REPEATS):
        gc.collect()
        times_s.append(benchmark(size))
    return min(times_s) * MS_PER_S


def _time_rebuild(size: int) -> float:
    return max(_measure_steps_s(_snapshot(size, []))[:1])


def _time_placement(size: int) -> float:
    queued_job = _job('gang', tasks=64, adjacency=Adjacency.RACK)
    return max(_measure_steps_s(_snapshot(size, [queued_job]))[1:])


def _time_preemption(size: int) -> float:
    queued_job = _job('gang', 'org-0', tasks=64, adjacency=Adjacency.RACK)
    return max(
        _measure_steps_s(_snapshot(size, [queued_job], is_full=True))[1:]
    )


def _time_reservation(size: int) -> float:
    queued_job = _job('gang', 'guest', tasks=64, adjacency=Adjacency.RACK)
    return max(
        _measure_steps_s(_snapshot(size, [queued_job], is_full=True))[1:]
    )


def _time_wave(size: int) -> float:
    queued = [
        msgspec.structs.replace(_job(f'q{nth}'), cancel_requested=True)
        for nth in range(WAVE_JOBS)
    ]
    return sum(_measure_steps_s(_snapshot(size, queued))[1:])


def _time_longest_step(size: int) -> float:
    return max(_measure_steps_s(_busy_snapshot(size)))


def _time_frozen_step(size: int) -> float:
    """Time a step while the garbage collector ignores existing objects."""
    snapshot = _busy_snapshot(size)
    gc.freeze()
    try:
        return max(_measure_steps_s(snapshot))
    finally:
        gc.unfreeze()


def _busy_snapshot(size: int) -> DomainSnapshot:
    queued = [
        _job(f'q{nth}', f'org-{nth % ORGANISATIONS}', tasks=1 + nth % 8)
        for nth in range(WAVE_JOBS)
    ]
    return _snapshot(size, queued)


def _time_check(size: int) -> float:
    workers = list(_workers(size))
    contracts = _contracts(size)
    started_at_s = time.perf_counter()
    check_guarantees(contracts, workers, {DOMAIN: DomainState.IN_SERVICE})
    return time.perf_counter() - started_at_s


def _measure_steps_s(snapshot: DomainSnapshot) -> list[float]:
    """Return how long each step of a pass blocks the loop, in seconds."""
    steps: Iterator[None | Plan] = scheduling_pass.plan_in_steps(snapshot)
    times = []
    started_at_s = time.perf_counter()
    for _ in steps:
        times.append(time.perf_counter() - started_at_s)
        started_at_s = time.perf_counter()
    times.append(time.perf_counter() - started_at_s)
    return times


def _snapshot(
    size: int, queued: list[JobRecord], *, is_full: bool = False
) -> DomainSnapshot:
    """Return a domain that runs all tasks.

    A fifth of the accelerators is free, or none if ``is_full``.
    """
    running = list(_running(size, is_full=is_full))
    used = dict.fromkeys(range(size), 0)
    for gang in running:
        spec = gang.record.spec
        for placed in gang.placement:
            index = int(placed.worker.removeprefix('w'))
            used[index] += len(placed.parts) * spec.accelerators_per_task
    capacities = (
        WorkerCapacity(
            description=worker,
            free_accelerators=worker.accelerators - used[index],
            free_cores=worker.cores - 2 * used[index],
            free_memory_mb=MEMORY_MB // 2,
        )
        for index, worker in enumerate(_workers(size))
    )
    return DomainSnapshot(
        domain=DOMAIN,
        now_s=1000.0,
        now_unix_ms=1_000_000,
        workers=tuple(capacities),
        running=tuple(running),
        queued=tuple(queued),
        contracts=_contracts(size),
    )


def _workers(size: int) -> Iterator[WorkerDescription]:
    for nth in range(size):
        yield WorkerDescription(
            worker=f'w{nth}',
            domain=DOMAIN,
            rack=f'r{nth // 8}',
            accelerators=8,
            cores=32,
            memory_mb=MEMORY_MB,
        )


def _contracts(size: int) -> dict[OrganisationId, Contract]:
    """Return contracts: a whole rack for the first, a share for others."""
    share = max(size * 8 // 2 // ORGANISATIONS, 1)
    shapes = {OrganisationId('guest'): ()}
    for nth in range(ORGANISATIONS - 1):
        accelerators = 64 if nth == 0 else share
        adjacency = Adjacency.RACK if nth % 2 == 0 else Adjacency.DOMAIN
        shapes[OrganisationId(f'org-{nth}')] = (
            GuaranteedShape(accelerators, adjacency),
        )
    return {
        name: Contract(
            organisation=name, token_sha256=(), guaranteed=guaranteed
        )
        for name, guaranteed in shapes.items()
    }


def _running(size: int, *, is_full: bool) -> Iterator[RunningGang]:
    """Yield gangs; some use accelerators, the others only memory."""
    slot_names = {
        name: f'{shape.accelerators}/{shape.adjacency.value}/any#1'
        for name, contract in _contracts(size).items()
        for shape in contract.guaranteed
    }
    busy = size if is_full else size * 4 // 5 // 8 * 8
    with_accelerators = busy * 8 // GANG_TASKS
    for nth in range(TASKS // GANG_TASKS):
        on_accelerators = nth < with_accelerators
        worker = nth // 2 if on_accelerators else nth % size
        record = _job(
            f'run-{nth}',
            f'org-{nth % ORGANISATIONS}',
            tasks=GANG_TASKS,
            accelerators_per_task=int(on_accelerators),
            cores_per_task=2 * on_accelerators,
        )
        placement = (WorkerPlacement(f'w{worker}', tuple(range(GANG_TASKS))),)
        attempt = Attempt(
            attempt=AttemptId(f'{record.job}.1'),
            epoch=Epoch(1),
            placement=placement,
            borrowed=on_accelerators or nth % 2 == 0,
            cover=slot_names.get(record.organisation, ''),
        )
        yield RunningGang(
            job=record.job,
            attempt=attempt.attempt,
            organisation=record.organisation,
            record=msgspec.structs.replace(record, current=attempt),
            placement=placement,
            borrowed=attempt.borrowed,
            started_s=0.0,
            unsaved_s=float(nth % 97),
        )


def _job(name: str, organisation: str = 'guest', **fields: object) -> JobRecord:
    spec = {
        'kind': 'review',
        'cores_per_task': 2,
        'memory_mb_per_task': 64,
        **fields,
    }
    return JobRecord(
        job=JobId(name),
        organisation=OrganisationId(organisation),
        spec=JobSpec(**spec),
        state=JobState.QUEUED,
        domain=DOMAIN,
        accepted_unix_ms=0,
    )
