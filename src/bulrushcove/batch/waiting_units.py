"""The units that are ready in a pass, in the order of their turns.

First the queue order, then the shares of organisations where the configuration
gives any, then what other work is being stopped for.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from itertools import chain
from typing import TYPE_CHECKING

from ..ids import JobId
from .fair_shares import find_weights, order_fairly
from .ids import UnitRef
from .job_state import Job, Unit, ready_units
from .limit_gate import find_limits
from .organisation_usage import Usage
from .queue_order import make_classifier, sort_waiting_units
from .start_limits import MAX_SMALL_JOB_UNITS

if TYPE_CHECKING:
    from .engine import Engine

# Units of all large jobs that a pass looks at, and of each at least.
LARGE_JOBS_UNITS = 2000
MIN_WINDOW_UNITS = 50


def sum_usage(engine: Engine, now_s: float) -> Usage:
    """Return what organisations have running; empty if it is not needed."""
    policy = engine.desired_state.policy
    if not find_limits(policy) and not find_weights(policy):
        return {}
    return engine.organisation_usage.update(engine.workers, engine.jobs, now_s)


def sort_ready_units(
    engine: Engine, used: Usage, unix_ms: int, now_s: float
) -> list[Unit]:
    """Return the units that are ready, in the order of their turns.

    Of large jobs only a part.
    """
    ready = {
        job.id: ready_units(job, unix_ms, now_s)
        for job in engine.active.values()
    }
    large_jobs = _find_large_jobs(engine, ready)
    for job in large_jobs:
        size = max(MIN_WINDOW_UNITS, LARGE_JOBS_UNITS // len(large_jobs))
        ready[job.id] = _take_window(
            job, ready[job.id], size, engine.preemptions
        )
    waiting = sort_waiting_units(
        chain.from_iterable(ready.values()), engine.estimates, now_s
    )
    weights = find_weights(engine.desired_state.policy)
    if weights:
        class_of = make_classifier(engine.estimates, now_s)
        waiting = order_fairly(waiting, weights, used, class_of)
    if engine.preemptions:
        # What is stopped for a unit must not take the capacity back.
        waiting.sort(key=lambda unit: unit.ref not in engine.preemptions)
    return waiting


def _find_large_jobs(
    engine: Engine, ready: Mapping[JobId, list[Unit]]
) -> list[Job]:
    """Mark the jobs with many ready units, and return them."""
    large_jobs = []
    for job_id, units in ready.items():
        job = engine.active[job_id]
        job.is_large = len(units) > MAX_SMALL_JOB_UNITS
        if job.is_large:
            large_jobs.append(job)
    return large_jobs


def _take_window(
    job: Job, ready: list[Unit], size: int, kept: Container[UnitRef]
) -> list[Unit]:
    """Return ``size`` of the ``ready`` units of a large job, or a few more.

    The next ones if the first of the last pass still waits, so that each gets
    its turn. Those in ``kept``, for which others are stopped, are always there.
    """
    start = job.window_start % len(ready)
    if ready[start] is job.window_head:
        start = (start + size) % len(ready)
    job.window_start = start
    job.window_head = ready[start]
    in_turn = ready[start:] + ready[:start]
    if not kept:
        return in_turn[:size]
    return in_turn[:size] + [
        unit for unit in in_turn[size:] if unit.ref in kept
    ]
