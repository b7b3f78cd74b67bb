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
# Tasks, organisations and the largest cluster are those of the two-year target
# (``dev.capacity_target``).
TASKS = 19_000
GANG_TASKS = 4
ORGANISATIONS = 86
QUEUED_JOBS = 1000
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
        'building the state of a pass, as at take-over': _time_state_build,
        'placement of a gang of 64': _time_placement,
        'preemption for a gang of 64': _time_preemption,
        'reservation for a gang of 64': _time_reservation,
        'cancellation of 1,000 queued jobs': _time_cancellations,
        'longest step, 1,000 jobs queued': _time_longest_step,
        'the same after gc.freeze()': _time_frozen_step,
        'contract check, 86 organisations': _time_contract_check,
    }
    return [
        Timing(
            name,
            {
                worker_count: _measure_minimum_ms(benchmark, worker_count)
                for worker_count in WORKER_COUNTS
            },
        )
        for name, benchmark in benchmarks.items()
    ]


def format_speed_table(timings: list[Timing]) -> str:
    """Return a Markdown table of the timings."""
    heading = ' | '.join(
        f'{worker_count} workers' for worker_count in WORKER_COUNTS
    )
    lines = [f'| decision (ms) | {heading} |', '|---|---|---|---|']
    for timing in timings:
        times = ' | '.join(
            f'{timing.times_ms[worker_count]:.1f}'
            for worker_count in WORKER_COUNTS
        )
        lines.append(f'| {timing.name} | {times} |')
    return '\n'.join(lines)


def _measure_minimum_ms(
    benchmark: Callable[[int], float], worker_count: int
) -> float:
    """Return the minimum of several runs in milliseconds."""
    times_s = []
    for _ in range(REPEATS):
        gc.collect()
        times_s.append(benchmark(worker_count))
    return min(times_s) * MS_PER_S


def _time_state_build(worker_count: int) -> float:
    return max(_measure_steps_s(_make_snapshot(worker_count, []))[:1])


def _time_placement(worker_count: int) -> float:
    queued_job = _make_job('gang', tasks=64, adjacency=Adjacency.RACK)
    return max(_measure_steps_s(_make_snapshot(worker_count, [queued_job]))[1:])


def _time_preemption(worker_count: int) -> float:
    queued_job = _make_job('gang', 'org-0', tasks=64, adjacency=Adjacency.RACK)
    return max(
        _measure_steps_s(
            _make_snapshot(worker_count, [queued_job], is_full=True)
        )[1:]
    )


def _time_reservation(worker_count: int) -> float:
    queued_job = _make_job('gang', 'guest', tasks=64, adjacency=Adjacency.RACK)
    return max(
        _measure_steps_s(
            _make_snapshot(worker_count, [queued_job], is_full=True)
        )[1:]
    )


def _time_cancellations(worker_count: int) -> float:
    queued = [
        msgspec.structs.replace(_make_job(f'q{nth}'), cancel_requested=True)
        for nth in range(QUEUED_JOBS)
    ]
    return sum(_measure_steps_s(_make_snapshot(worker_count, queued))[1:])


def _time_longest_step(worker_count: int) -> float:
    return max(_measure_steps_s(_make_busy_snapshot(worker_count)))


def _time_frozen_step(worker_count: int) -> float:
    """Time the longest step while existing objects are frozen.

    Without this, the garbage collector may traverse the whole heap in a step.
    """
    snapshot = _make_busy_snapshot(worker_count)
    gc.freeze()
    try:
        return max(_measure_steps_s(snapshot))
    finally:
        gc.unfreeze()


def _make_busy_snapshot(worker_count: int) -> DomainSnapshot:
    queued = [
        _make_job(f'q{nth}', f'org-{nth % ORGANISATIONS}', tasks=1 + nth % 8)
        for nth in range(QUEUED_JOBS)
    ]
    return _make_snapshot(worker_count, queued)


def _time_contract_check(worker_count: int) -> float:
    workers = list(_make_workers(worker_count))
    contracts = _make_contracts(worker_count)
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


def _make_snapshot(
    worker_count: int, queued: list[JobRecord], *, is_full: bool = False
) -> DomainSnapshot:
    """Return a domain that runs all tasks.

    A fifth of the accelerators is free, or none if ``is_full``.
    """
    running = list(_make_running_gangs(worker_count, is_full=is_full))
    used = dict.fromkeys(range(worker_count), 0)
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
        for index, worker in enumerate(_make_workers(worker_count))
    )
    return DomainSnapshot(
        domain=DOMAIN,
        now_s=1000.0,
        now_unix_ms=1_000_000,
        workers=tuple(capacities),
        running=tuple(running),
        queued=tuple(queued),
        contracts=_make_contracts(worker_count),
    )


def _make_workers(worker_count: int) -> Iterator[WorkerDescription]:
    for nth in range(worker_count):
        yield WorkerDescription(
            worker=f'w{nth}',
            domain=DOMAIN,
            rack=f'r{nth // 8}',
            accelerators=8,
            cores=32,
            memory_mb=MEMORY_MB,
        )


def _make_contracts(worker_count: int) -> dict[OrganisationId, Contract]:
    """Return contracts: a rack for ``org-0``, equal shares for the others.

    ``guest`` has no guarantee.
    """
    equal_share = max(worker_count * 8 // 2 // ORGANISATIONS, 1)
    shapes = {OrganisationId('guest'): ()}
    for nth in range(ORGANISATIONS - 1):
        accelerators = 64 if nth == 0 else equal_share
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


def _make_running_gangs(
    worker_count: int, *, is_full: bool
) -> Iterator[RunningGang]:
    """Yield gangs of ``GANG_TASKS`` tasks; some use accelerators.

    The others use only memory.
    """
    slot_names = {
        name: f'{shape.accelerators}/{shape.adjacency.value}/any#1'
        for name, contract in _make_contracts(worker_count).items()
        for shape in contract.guaranteed
    }
    busy_workers = worker_count if is_full else worker_count * 4 // 5 // 8 * 8
    accelerator_gangs = busy_workers * 8 // GANG_TASKS
    for nth in range(TASKS // GANG_TASKS):
        uses_accelerators = nth < accelerator_gangs
        worker = nth // 2 if uses_accelerators else nth % worker_count
        record = _make_job(
            f'run-{nth}',
            f'org-{nth % ORGANISATIONS}',
            tasks=GANG_TASKS,
            accelerators_per_task=int(uses_accelerators),
            cores_per_task=2 * uses_accelerators,
        )
        placement = (WorkerPlacement(f'w{worker}', tuple(range(GANG_TASKS))),)
        attempt = Attempt(
            attempt=AttemptId(f'{record.job}.1'),
            epoch=Epoch(1),
            placement=placement,
            borrowed=uses_accelerators or nth % 2 == 0,
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


def _make_job(
    name: str, organisation: str = 'guest', **fields: object
) -> JobRecord:
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
