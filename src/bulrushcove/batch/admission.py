"""Admission control: refused jobs and the delay before a retry.

Refuses jobs that no worker of the pool can ever run, and computes the retry
delay for jobs that cannot be stored because the store is unavailable.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .exceptions import JobConflictError, JobRefusedError
from .job_spec import JobSpec, TaskSize
from .limit_gate import find_limits, size_fits
from .policy import Policy
from .runtime_estimates import RuntimeEstimates
from .workers import Worker

if TYPE_CHECKING:
    from .engine import Engine

# Workers that are added later may be large enough.
UNPLACEABLE_RETRY_S = 30.0
# Estimated: a gang must be complete 3 s after its first task is there.
MAX_GANG_TASKS = 3000
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

    Accepts every job while the pool has no listed worker, unless a step is
    larger than its organisation may have running or a gang that cannot be
    started in time.
    """
    _refuse_wide_gang(spec)
    _refuse_above_limit(spec, engine.desired_state.policy)
    workers = [
        worker
        for worker in engine.workers.values()
        if worker.entry.pool == spec.terms.pool and worker.is_listed
    ]
    if not workers:
        return
    capacities = _capacities_by_label(workers, spec)
    for number, step in enumerate(spec.steps):
        if not any(
            map(step.requirements.fits, capacities[step.required_label])
        ):
            raise JobRefusedError(
                f'step {number} fits no worker of pool {spec.terms.pool}',
                UNPLACEABLE_RETRY_S,
            )


def _refuse_wide_gang(spec: JobSpec) -> None:
    for number, step in enumerate(spec.steps):
        if step.is_gang and step.task_count > MAX_GANG_TASKS:
            raise JobRefusedError(
                f'step {number}: a gang of {step.task_count} tasks cannot be '
                f'started within the time in which it must be complete; at '
                f'most {MAX_GANG_TASKS} can',
                UNPLACEABLE_RETRY_S,
            )


def _refuse_above_limit(spec: JobSpec, policy: Policy | None) -> None:
    organisation = spec.terms.organisation
    limit = find_limits(policy).get(organisation)
    if limit is None:
        return
    for number, step in enumerate(spec.steps):
        unit_size = step.size.times(step.task_count if step.is_gang else 1)
        if not size_fits(unit_size, limit):
            raise JobRefusedError(
                f'step {number} needs {_describe(unit_size)} at once, above '
                f'the limit of {organisation}: {_describe(limit)}',
                UNPLACEABLE_RETRY_S,
            )


def _describe(size: TaskSize) -> str:
    return (
        f'{size.cpu_millicores} millicores, {size.memory_mb} MB, '
        f'{size.accelerators} accelerators'
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


def _capacities_by_label(
    workers: Iterable[Worker], spec: JobSpec
) -> dict[str, set[TaskSize]]:
    """Return the different capacities of workers by label that steps require.

    A pool has few, so that a job of thousands of steps is judged at once.
    """
    capacities: dict[str, set[TaskSize]] = {
        step.required_label: set() for step in spec.steps
    }
    for worker in workers:
        for label in ('', *worker.entry.labels):
            known = capacities.get(label)
            if known is not None:
                known.add(worker.full_capacity)
    return capacities
