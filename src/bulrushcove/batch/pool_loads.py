"""Load of each pool, summed up from its jobs and workers.

Answers bursts: the sums are computed at most once a second, and only when
they are asked for, as a pool may run tens of thousands of tasks.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import reduce
from itertools import islice

import msgspec

from ..clock import MS_PER_S
from .ids import PoolName
from .job_spec import TaskSize
from .job_state import Job, Unit, UnitPhase
from .queue_order import URGENT
from .runtime_estimates import RuntimeEstimates
from .start_forecast import (
    PoolLoad,
    QueuedWork,
    StartForecast,
    Work,
    sum_work,
    work_of,
)

# A forecast is valid for this long.
MAX_FORECAST_AGE_S = 1.0
# A declared time may be this many times the real one.
MAX_DECLARED_RATIO = 1.9
# Runs of a step whose remaining time stands for all of them.
SAMPLED_RUNS = 8


class StartForecasts:
    """Latest forecast of each pool."""

    def __init__(self) -> None:
        """Start without a forecast."""
        self._forecasts: dict[PoolName, tuple[float, StartForecast]] = {}

    def find(
        self,
        pool: PoolName,
        now_s: float,
        sum_pool_load: Callable[[], PoolLoad],
    ) -> StartForecast:
        """Return the forecast for ``pool``, computed anew if it is old."""
        known = self._forecasts.get(pool)
        if known is not None and now_s - known[0] <= MAX_FORECAST_AGE_S:
            return known[1]
        forecast = StartForecast(sum_pool_load())
        self._forecasts[pool] = (now_s, forecast)
        return forecast

    def latest_backlogs_s(self) -> dict[PoolName, float]:
        """Return the backlog of each pool that was last asked for."""
        return {
            pool: forecast.backlog_s
            for pool, (_, forecast) in self._forecasts.items()
        }


def sum_load(
    jobs: Iterable[Job],
    capacities: Iterable[TaskSize],
    estimates: RuntimeEstimates,
) -> PoolLoad:
    """Return the load by ``jobs`` on workers with ``capacities``.

    All are of one pool.
    """
    capacity = reduce(TaskSize.plus, capacities, TaskSize())
    loads = [_sum_job(job, estimates) for job in jobs]
    used_weight_cores = sum(load.used_weight_cores for load in loads)
    total_weight_cores = capacity.weight_cores
    return PoolLoad(
        capacity=capacity,
        used_share=used_weight_cores / total_weight_cores
        if total_weight_cores
        else 1,
        running=sum_work(load.running for load in loads),
        running_urgent=sum_work(
            load.running for load in loads if load.is_urgent
        ),
        queued=tuple(load.queued for load in loads if load.queued),
    )


class _JobLoad(msgspec.Struct, frozen=True):
    is_urgent: bool
    used_weight_cores: float
    running: Work
    queued: QueuedWork | None


def _sum_job(job: Job, estimates: RuntimeEstimates) -> _JobLoad:
    waiting, active = _units_by_step(job)
    queued = None
    if waiting and not job.has_ended:
        queued = _queued_work(job, waiting, estimates)
    return _JobLoad(
        job.spec.terms.priority == URGENT,
        sum(unit.weight_cores for units in active.values() for unit in units),
        sum_work(_running_work(units, estimates) for units in active.values()),
        queued,
    )


_UnitsByStep = dict[int, list[Unit]]


def _units_by_step(job: Job) -> tuple[_UnitsByStep, _UnitsByStep]:
    """Return the waiting units and those that hold capacity."""
    waiting: _UnitsByStep = defaultdict(list)
    active: _UnitsByStep = defaultdict(list)
    for unit in job.units:
        if unit.allocations:
            active[unit.step].append(unit)
        elif unit.phase is UnitPhase.WAITING and not unit.job.spec.repeat_count:
            waiting[unit.step].append(unit)
    return waiting, active


def _running_work(units: list[Unit], estimates: RuntimeEstimates) -> Work:
    sampled = list(islice(units, SAMPLED_RUNS))
    remaining_s = sum(map(estimates.remaining_ms, sampled)) / MS_PER_S
    first = units[0]
    return work_of(
        first.spec.requirements,
        first.size * len(units),
        remaining_s / len(sampled),
    )


def _queued_work(
    job: Job, waiting: _UnitsByStep, estimates: RuntimeEstimates
) -> QueuedWork:
    terms = job.spec.terms
    ratio = 1 if estimates.is_learnt(terms.queue) else MAX_DECLARED_RATIO
    work = sum_work(
        work_of(
            units[0].spec.requirements,
            units[0].size * len(units),
            estimates.task_ms(terms.queue, units[0].spec) / MS_PER_S / ratio,
        )
        for units in waiting.values()
    )
    return QueuedWork(terms.priority, work)
