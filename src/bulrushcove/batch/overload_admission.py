"""Refusal of jobs that the pool cannot serve any more.

Answers bursts that last: a job that is accepted although it can only end when
its caller no longer gains by it takes part of the capacity that others still
need. It is refused at once, with the time after which it can be served. Those
refused are told to return one after the other, oldest first, each when there is
capacity for it.
"""

import zlib
from collections import defaultdict

import msgspec

from ..clock import MS_PER_S
from ..ids import JobId
from .exceptions import JobRefusedError, RefusalCause
from .ids import PoolName
from .job_spec import JobSpec
from .pool_loads import StartForecasts
from .queue_order import MAX_LATE_OBJECTIVES
from .runtime_estimates import RuntimeEstimates
from .start_forecast import StartForecast, duration_s, sum_work, work_of

# Forecasts may be too long by this factor.
WAIT_MARGIN = 2.0
# A pool with a lower share in use has room.
MIN_USED_SHARE = 0.5
# Bounds of the time after which a refused job may return.
MIN_RETURN_S = 1.0
MAX_RETURN_S = 60.0
# Those that return for the same capacity are spread over at least this time.
MIN_SPREAD_S = 0.5
_HASH_BITS = 32


def may_refuse(spec: JobSpec, estimates: RuntimeEstimates) -> bool:
    """Return whether a forecast tells enough of the job of ``spec``.

    Timed jobs and services are never refused for load, others only once the
    run times of their queue are known.
    """
    is_lasting = any(step.is_service for step in spec.steps)
    is_exempt = is_lasting or spec.repeat_count
    return not is_exempt and estimates.is_learnt(spec.terms.queue)


class StartOutlook(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of the start of a job that was not accepted yet."""

    # Forecast wait, and the share of the pool's capacity that is in use.
    wait_s: float
    used_share: float
    # Longest chain of the job's steps, and its objective; learnt times.
    chain_s: float
    objective_s: float

    @property
    def latest_start_s(self) -> float:
        """Return after which wait the job is of no use to its caller."""
        return MAX_LATE_OBJECTIVES * self.objective_s - self.chain_s

    @property
    def is_hopeless(self) -> bool:
        """Return whether the job is too late even if the wait is halved."""
        if self.used_share < MIN_USED_SHARE:
            return False
        return self.wait_s > WAIT_MARGIN * max(0, self.latest_start_s)


class JobHopelessError(JobRefusedError):
    """The job can only end when it is of no use any more."""

    cause = RefusalCause.OVERLOAD

    def __init__(
        self, outlook: StartOutlook, retry_after_s: float, age_s: float
    ) -> None:
        """Store the outlook; ``age_s``: since the job was first refused."""
        super().__init__(
            f'the pool has work for {outlook.wait_s:.0f} s before this job,'
            f' which must start within {outlook.latest_start_s:.0f} s',
            retry_after_s,
        )
        self.outlook = outlook
        self.age_s = age_s


class _Refused(msgspec.Struct):
    refused_at_s: float
    return_at_s: float


class RefusedJobs:
    """When the refused jobs of one pool may return."""

    def __init__(self) -> None:
        """Start without refused jobs."""
        self._refused: dict[JobId, _Refused] = {}
        # When the capacity is free for the next job that is refused.
        self._next_at_s = 0.0

    def refuse(
        self,
        job: JobId,
        outlook: StartOutlook,
        needed_s: float,
        now_s: float,
    ) -> JobHopelessError:
        """Return the refusal of ``job``.

        ``needed_s`` is the time that the pool needs for the job. A job that
        returns too early keeps its time.
        """
        self._forget(now_s)
        known = self._refused.get(job)
        if known is None:
            known = _Refused(now_s, 0)
            self._refused[job] = known
        if known.return_at_s <= now_s:
            wait_s = max(MIN_RETURN_S, outlook.wait_s - outlook.latest_start_s)
            at_s = max(now_s + wait_s, self._next_at_s)
            self._next_at_s = at_s + needed_s
            known.return_at_s = at_s + _spread_s(job, needed_s)
        return JobHopelessError(
            outlook,
            min(known.return_at_s - now_s, MAX_RETURN_S),
            now_s - known.refused_at_s,
        )

    def _forget(self, now_s: float) -> None:
        """Drop jobs that did not return."""
        self._refused = {
            job: refused
            for job, refused in self._refused.items()
            if now_s - refused.return_at_s < MAX_RETURN_S
        }


def _spread_s(job: JobId, needed_s: float) -> float:
    """Return by how much later ``job`` returns, the same each time."""
    share = zlib.crc32(job.encode()) / (1 << _HASH_BITS)
    return share * max(MIN_SPREAD_S, needed_s)


class OverloadAdmission:
    """Refuses the jobs that the pools cannot serve any more."""

    def __init__(self) -> None:
        """Start without refused jobs."""
        self.forecasts = StartForecasts()
        self._refused: defaultdict[PoolName, RefusedJobs] = defaultdict(
            RefusedJobs
        )

    def refuse_hopeless(
        self,
        spec: JobSpec,
        forecast: StartForecast,
        estimates: RuntimeEstimates,
        now_s: float,
    ) -> None:
        """Raise ``JobHopelessError`` if the job is too late in any case."""
        terms = spec.terms
        outlook = StartOutlook(
            wait_s=forecast.wait_s(terms.priority),
            used_share=forecast.load.used_share,
            chain_s=estimates.critical_path_ms(spec) / MS_PER_S,
            objective_s=estimates.objective_s(spec),
        )
        if not outlook.is_hopeless:
            return
        work = sum_work(
            work_of(
                step.requirements,
                step.task_count,
                estimates.task_ms(terms.queue, step) / MS_PER_S,
            )
            for step in spec.steps
        )
        needed_s = duration_s(work, forecast.load.capacity)
        raise self._refused[terms.pool].refuse(
            spec.job, outlook, needed_s, now_s
        )
