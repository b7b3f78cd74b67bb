"""Admission control: refused jobs and the delay before a retry.

Refuses jobs that the workers of the pool can never run, and computes the retry
delay for jobs that cannot be stored because the store is unavailable.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from .exceptions import JobConflictError, JobRefusedError
from .job_spec import JobSpec, StepSpec, TaskSize
from .limit_gate import find_limits, size_fits
from .placement import count_tasks_within
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
    """Raise ``JobRefusedError`` if the workers can never run some step.

    A task must fit some worker, and a gang all workers of the pool together
    when they are idle. Those count that are lost, leave or are closed for now:
    they may come back. Accepts every job while the pool has no listed worker,
    unless a step is larger than its organisation may have running or a gang
    that cannot be started in time.
    """
    _refuse_wide_gang(spec)
    _refuse_above_limit(spec, engine.desired_state.policy)
    workers = [
        worker
        for worker in engine.workers.values()
        if worker.entry.pool == spec.terms.pool
    ]
    if not any(worker.is_listed for worker in workers):
        return
    capacities = _count_capacities(workers, spec)
    for number, step in enumerate(spec.steps):
        held = _count_held(step, capacities[step.required_label])
        if not held:
            raise JobRefusedError(
                f'step {number} fits no worker of pool {spec.terms.pool}',
                UNPLACEABLE_RETRY_S,
            )
        if step.is_gang and step.task_count > held:
            raise JobRefusedError(
                f'step {number}: a gang of {step.task_count} tasks does not '
                f'fit pool {spec.terms.pool}, which holds {held} of them when '
                f'it is idle',
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


def _count_capacities(
    workers: Iterable[Worker], spec: JobSpec
) -> dict[str, Counter[TaskSize]]:
    """Return how many workers have each capacity, by label that steps require.

    A pool has few, so that a job of thousands of steps is judged at once.
    """
    capacities: dict[str, Counter[TaskSize]] = {
        step.required_label: Counter() for step in spec.steps
    }
    for worker in workers:
        labels = {'', *worker.entry.labels}
        for label in labels:
            known = capacities.get(label)
            if known is not None:
                known[worker.full_capacity] += 1
    return capacities


def _count_held(step: StepSpec, capacities: Counter[TaskSize]) -> int:
    """Return how many tasks of ``step`` idle workers hold together."""
    return sum(
        count * count_tasks_within(capacity, step)
        for capacity, count in capacities.items()
    )
