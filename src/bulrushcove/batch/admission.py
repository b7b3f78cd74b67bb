"""Which submissions are refused at the door, and when to come back.

Answers jobs that no worker could ever run, and outages in which nothing can
be stored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .exceptions import JobRefusedError
from .job_spec import JobSpec, StepSpec
from .runtime_estimates import RuntimeEstimates
from .workers import WorkerEntry

if TYPE_CHECKING:
    from .engine import Engine

# A worker of the missing size may come with the next ones that are added.
UNPLACEABLE_RETRY_S = 30.0
# Bounds on when to come back after an outage: callers try a few times only,
# and an outage of the store lasts up to about ten seconds.
MIN_OUTAGE_RETRY_S = 1.0
MAX_OUTAGE_RETRY_S = 5.0


def reject_unplaceable(spec: JobSpec, engine: Engine, now_s: float) -> None:
    """Raise ``JobRefusedError`` when no worker could ever run ``spec``."""
    workers = [
        worker
        for worker in engine.workers.values()
        if worker.entry.pool == spec.terms.pool and worker.is_listed
    ]
    if not workers:
        return
    for number, step in enumerate(spec.steps):
        if not any(_could_run(worker.entry, step) for worker in workers):
            raise JobRefusedError(
                f'step {number}: no worker of {spec.terms.pool} has room',
                UNPLACEABLE_RETRY_S,
            )


def outage_retry_s(
    spec: JobSpec, estimates: RuntimeEstimates, lasted_s: float
) -> float:
    """Return when to hand ``spec`` in again during an outage.

    An outage that has lasted for ``lasted_s`` is expected to last as long
    again. A job that would be late by then is worth an earlier try.
    """
    slack_s = estimates.slack_s(spec)
    wait_s = min(lasted_s, slack_s)
    return max(MIN_OUTAGE_RETRY_S, min(wait_s, MAX_OUTAGE_RETRY_S))


def _could_run(entry: WorkerEntry, step: StepSpec) -> bool:
    has_label = not step.required_label or step.required_label in entry.labels
    return has_label and step.requirements.fits(entry.capacity)
