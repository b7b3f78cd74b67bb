"""Workers of their own for tasks that may have crashed a worker.

Nothing else is placed on such a worker until the run has survived.
"""

import math
from collections.abc import Container, Iterable, Sequence

from .backfill_reservation import MAX_RESERVATIONS
from .capacity_forecast import CapacityForecast
from .crash_history import CrashHistory
from .job_spec import TaskSize
from .job_state import Unit
from .placement import (
    Candidate,
    Fit,
    count_fitting_tasks,
    fill_group,
    fitting_candidates,
    rack_groups,
)
from .queue_order import URGENT
from .workers import Worker

# After one crash a task waits this long for a worker of its own. A sound task
# that shared a worker with a deadly one must not become late for it.
MAX_WAIT_S = 2.5
MAX_URGENT_WAIT_S = 1.0
# Longest wait after more crashes: a task that could run must not wait for 3 s.
MAX_STRICT_WAIT_S = 2.5
# Then it may share a worker, but not one that has just been restarted: a crash
# of that one would tell nothing of the task. Others are waited for this long.
MAX_STABLE_WAIT_S = 30.0
# A suspect does not join an isolated run that is younger.
MIN_JOINED_AGE_S = 2.5
# Capacity of a worker that takes no other run.
_NONE_FREE = TaskSize(-1, -1, -1)


def indices_to_isolate(unit: Unit, now_s: float) -> frozenset[int]:
    """Return the tasks of ``unit`` that need a worker of their own now."""
    if not unit.crashes:
        return frozenset()
    waited_s = now_s - unit.ready_since_s
    return frozenset(
        index
        for index, history in unit.crashes.items()
        if waited_s < _max_wait_s(unit, history)
    )


def needs_stable_worker(unit: Unit, now_s: float) -> bool:
    """Return whether ``unit`` may run only on workers that are up for long."""
    is_strict = any(
        history.is_isolation_strict for history in unit.crashes.values()
    )
    return is_strict and now_s - unit.ready_since_s < MAX_STABLE_WAIT_S


def find_isolated_placement(
    unit: Unit,
    isolated: Container[int],
    candidates: Sequence[Candidate],
    *,
    placed: dict[str, int],
    allows_remote_rack: bool,
) -> list[Candidate] | None:
    """Return a candidate for each task of ``unit``; None if it does not fit.

    The tasks ``isolated`` get idle candidates that no other task shares.
    """
    is_strict = any(
        history.is_isolation_strict for history in unit.crashes.values()
    )
    usable = fitting_candidates(unit.spec, candidates, placed)
    groups = rack_groups(
        unit, usable, candidates, allows_remote_rack or is_strict
    )
    for group in groups:
        chosen = _fill_isolated(unit, isolated, group, is_strict=is_strict)
        if chosen is not None:
            return chosen
    return None


def isolate_runs(
    unit: Unit, isolated: Container[int], chosen: Iterable[Candidate]
) -> None:
    """Keep other runs off the workers that were chosen for ``isolated``."""
    for index, candidate in zip(unit.indices, chosen, strict=True):
        if index in isolated:
            unit.allocations[index].is_isolated = True
            candidate.free = _NONE_FREE


def reserve_idle_workers(
    unit: Unit, candidates: Iterable[Candidate], forecast: CapacityForecast
) -> int:
    """Reserve the workers that will be idle first; returns how many.

    One for each task that must not share a worker any more.
    """
    step = unit.spec
    count = sum(
        history.is_isolation_strict for history in unit.crashes.values()
    )
    suitable = [
        (forecast.idle_after_s(candidate.worker), candidate)
        for candidate in candidates
        if candidate.reserved_after_s is None
        and candidate.is_stable
        and candidate.units_left is None
        and count_fitting_tasks(candidate, step, future_free=candidate.capacity)
    ]
    suitable.sort(key=lambda pair: pair[0])
    reserved = [
        (idle_after_s, candidate)
        for idle_after_s, candidate in suitable[: min(count, MAX_RESERVATIONS)]
        if math.isfinite(idle_after_s)
    ]
    for idle_after_s, candidate in reserved:
        candidate.reserved_after_s = idle_after_s
    return len(reserved)


def isolated_run_age_s(worker: Worker, now_s: float) -> float | None:
    """Return for how long a task that should not share ``worker`` has run.

    None if there is none, 0 if its start is not confirmed.
    """
    ages_s = [
        now_s - (allocation.start_confirmed_at_s or now_s)
        for allocation in worker.allocations.values()
        if allocation.is_isolated
    ]
    return min(ages_s, default=None)


def may_join_isolated_run(unit: Unit, candidate: Candidate) -> bool:
    """Return whether ``unit`` may share a worker with an isolated run, if any.

    Two suspects on one worker would be accused of each other's crashes.
    """
    age_s = candidate.isolated_run_age_s
    return age_s is None or not unit.crashes or age_s >= MIN_JOINED_AGE_S


def _max_wait_s(unit: Unit, history: CrashHistory) -> float:
    if history.is_isolation_strict:
        return MAX_STRICT_WAIT_S
    is_urgent = unit.job.spec.terms.priority == URGENT
    return MAX_URGENT_WAIT_S if is_urgent else MAX_WAIT_S


def _fill_isolated(
    unit: Unit,
    isolated: Container[int],
    group: list[Fit],
    *,
    is_strict: bool,
) -> list[Candidate] | None:
    indices = [index for index in unit.indices if index in isolated]
    hosts = [
        candidate
        for candidate, _ in group
        if candidate.is_idle and (candidate.is_stable or not is_strict)
    ]
    hosts.sort(key=lambda host: (not host.is_stable, host.standing))
    hosts = hosts[: len(indices)]
    if len(hosts) < len(indices):
        return None
    shared = [fit for fit in group if fit[0] not in hosts]
    others = fill_group(shared, unit.spec, unit.size - len(hosts))
    if others is None:
        return None
    next_host, next_other = iter(hosts), iter(others)
    return [
        next(next_host) if index in isolated else next(next_other)
        for index in unit.indices
    ]
