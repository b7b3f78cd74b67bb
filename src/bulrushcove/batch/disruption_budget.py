"""Disruption budget: how many tasks of a service may be down at once.

Keeps planned stops from taking down too many tasks of one service at the same
time. A task that is down for any other cause counts too.
"""

from collections import defaultdict
from collections.abc import Iterable

from .advice import StepRef, step_ref_of
from .job_state import Allocation, AllocationPhase, Unit, units_of_step
from .workers import FULL_SPEED_PERCENT


def is_within_disruption_budget(victims: Iterable[Unit]) -> bool:
    """Return whether all ``victims`` may be stopped at the same time."""
    by_step: dict[StepRef, list[Unit]] = defaultdict(list)
    for unit in victims:
        if unit.spec.is_service:
            by_step[step_ref_of(unit)].append(unit)
    return all(
        _count_unavailable(stopped) + len(stopped) <= stopped[0].spec.max_absent
        for stopped in by_step.values()
    )


def _count_unavailable(stopped: list[Unit]) -> int:
    """Return how many other tasks are down of the step of all ``stopped``."""
    indices = {unit.index for unit in stopped}
    return sum(
        1
        for other in units_of_step(stopped[0])
        if other.index not in indices and not _is_at_work(other)
    )


def _is_at_work(unit: Unit) -> bool:
    allocations = unit.allocations.values()
    return bool(allocations) and all(map(_is_fully_working, allocations))


def _is_fully_working(allocation: Allocation) -> bool:
    # A service reports 100 percent at full work. A stop that was planned may
    # not be sent yet.
    return (
        allocation.phase is AllocationPhase.RUNNING
        and allocation.stop_reason is None
        and allocation.percent >= FULL_SPEED_PERCENT
    )
