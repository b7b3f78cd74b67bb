"""The workers that a scheduling pass may use, and what it knows of each."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .ids import PoolName
from .isolation import isolated_run_age_s
from .placement import Candidate
from .progress_model import count_trial_units, suspicion_standing
from .worker_crashes import is_stable
from .worker_reliability import Standing
from .workers import Worker

if TYPE_CHECKING:
    from .engine import Engine


def find_candidates(
    engine: Engine, now_s: float
) -> dict[PoolName, list[Candidate]]:
    """Return the workers of each pool that new work may be placed on."""
    candidates: dict[PoolName, list[Candidate]] = defaultdict(list)
    for worker in engine.workers.values():
        if is_schedulable(engine, worker):
            candidates[worker.entry.pool].append(
                _make_candidate(engine, worker, now_s)
            )
    return candidates


def is_schedulable(engine: Engine, worker: Worker) -> bool:
    """Return whether no promise would be broken by new work on ``worker``."""
    is_responding = (
        worker.has_reported
        and not worker.failed_polls
        and not worker.unknown_incarnation_since_s
    )
    if not is_responding or worker.orphans or not is_in_service(engine, worker):
        return False
    return worker.id not in engine.lease_expiry.named


def is_in_service(engine: Engine, worker: Worker) -> bool:
    """Return whether ``worker`` is listed, not draining and its domain open."""
    entry = worker.entry
    is_listed = worker.is_listed and not entry.is_draining
    return is_listed and entry.domain not in engine.desired_state.closed_domains


def _make_candidate(engine: Engine, worker: Worker, now_s: float) -> Candidate:
    entry = worker.entry
    reliability = engine.reliability
    return Candidate(
        worker=worker.id,
        rack=entry.rack,
        labels=entry.labels,
        free=worker.free_capacity(),
        capacity=entry.capacity,
        standing=max(
            reliability.standing(worker.id, now_s),
            suspicion_standing(worker, now_s),
        ),
        units_left=_count_units_left(engine, worker, now_s),
        awaits_progress=bool(worker.suspected_since_s)
        or reliability.has_stalled(worker.id),
        is_closed=_is_closed(engine, worker, now_s),
        is_trial_due=reliability.is_trial_due(worker.id, now_s),
        is_idle=not worker.allocations,
        is_stable=is_stable(worker, now_s),
        isolated_run_age_s=isolated_run_age_s(worker, now_s),
        is_throttled=worker.is_throttled,
    )


def _is_closed(engine: Engine, worker: Worker, now_s: float) -> bool:
    """Return whether nothing but a new suspicion limits the worker."""
    standing = suspicion_standing(worker, now_s)
    limit = engine.reliability.count_trial_units(worker, now_s)
    return standing is Standing.QUARANTINED and limit is None


def _count_units_left(
    engine: Engine, worker: Worker, now_s: float
) -> int | None:
    """Return how many more units the worker may get; None: any number."""
    limits = (
        engine.reliability.count_trial_units(worker, now_s),
        count_trial_units(worker),
    )
    return min((one for one in limits if one is not None), default=None)
