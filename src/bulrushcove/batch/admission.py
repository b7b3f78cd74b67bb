"""Admission control: refused jobs and the delay before a retry.

Refuses jobs that no worker of the pool can ever run, and those that could only
end when they are of no use any more, and computes the retry delay for jobs
that cannot be stored because the store is unavailable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .exceptions import JobConflictError, JobRefusedError
from .guarantee import is_within_guarantee
from .ids import PoolName
from .job_spec import JobSpec, StepSpec
from .job_state import Job
from .overload_admission import OverloadAdmission, may_refuse
from .pool_loads import sum_load
from .queue_order import URGENT
from .runtime_estimates import RuntimeEstimates
from .start_forecast import PoolLoad, StartForecast
from .workers import Worker, is_in_service

if TYPE_CHECKING:
    from .engine import Engine

__all__ = (
    'OverloadAdmission',
    'check_same_job',
    'find_start_forecast',
    'outage_retry_s',
    'refuse_hopeless',
    'refuse_unplaceable',
)

# Workers that are added later may be large enough.
UNPLACEABLE_RETRY_S = 30.0
# Bounds of the retry delay during a store outage: callers retry only a few
# times, and an outage lasts up to about 10 s.
MIN_OUTAGE_RETRY_S = 1.0
MAX_OUTAGE_RETRY_S = 5.0


def check_same_job(known: JobSpec, spec: JobSpec) -> None:
    """Raise ``JobConflictError`` if ``spec`` differs from ``known``."""
    same = (
        known.steps == spec.steps
        and known.payload == spec.payload
        and known.terms.organisation == spec.terms.organisation
    )
    if not same:
        raise JobConflictError(
            f'job {spec.job} already exists with different content',
        )


def refuse_unplaceable(spec: JobSpec, engine: Engine, now_s: float) -> None:
    """Raise ``JobRefusedError`` if no worker can ever run some step.

    Accepts every job while the pool has no listed worker.
    """
    workers = [
        worker
        for worker in engine.workers.values()
        if worker.entry.pool == spec.terms.pool and worker.is_listed
    ]
    if not workers:
        return
    for number, step in enumerate(spec.steps):
        if not any(_fits_worker(worker, step) for worker in workers):
            raise JobRefusedError(
                f'step {number} fits no worker of pool {spec.terms.pool}',
                UNPLACEABLE_RETRY_S,
            )


def refuse_hopeless(job: Job, engine: Engine, now_s: float) -> None:
    """Raise ``JobRefusedError`` if new ``job`` is too late in any case."""
    terms = job.spec.terms
    if not may_refuse(job.spec, engine.estimates):
        return
    if terms.priority == URGENT and is_within_guarantee(
        terms.organisation,
        (*engine.active.values(), job),
        engine.desired_state.policy,
    ):
        return
    engine.overload.refuse_hopeless(
        job.spec,
        find_start_forecast(engine, terms.pool, now_s),
        engine.estimates,
        now_s,
    )


def find_start_forecast(
    engine: Engine, pool: PoolName, now_s: float
) -> StartForecast:
    """Return the forecast of starts in ``pool``, a second old at most."""
    return engine.overload.forecasts.find(
        pool, now_s, lambda: _sum_pool_load(engine, pool)
    )


def outage_retry_s(
    spec: JobSpec, estimates: RuntimeEstimates, lasted_s: float
) -> float:
    """Return the seconds after which to submit ``spec`` again in an outage.

    An outage that has lasted for ``lasted_s`` is expected to last as long
    again. A job with less slack than that is retried earlier.
    """
    slack_s = estimates.slack_s(spec)
    wait_s = min(lasted_s, slack_s)
    return max(MIN_OUTAGE_RETRY_S, min(wait_s, MAX_OUTAGE_RETRY_S))


def _fits_worker(worker: Worker, step: StepSpec) -> bool:
    labels = worker.entry.labels
    has_label = not step.required_label or step.required_label in labels
    return has_label and step.requirements.fits(worker.full_capacity)


def _sum_pool_load(engine: Engine, pool: PoolName) -> PoolLoad:
    closed = engine.desired_state.closed_domains
    return sum_load(
        (job for job in engine.active.values() if job.spec.terms.pool == pool),
        (
            worker.entry.capacity
            for worker in engine.workers.values()
            if worker.entry.pool == pool and is_in_service(worker, closed)
        ),
        engine.estimates,
    )
