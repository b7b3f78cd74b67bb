"""Disruption budget: how many tasks of a service may be down at once.

Keeps planned stops from taking down too many tasks of one service at the same
time. A task that is down for any other cause counts too.
"""

from collections import Counter
from collections.abc import Iterable

from .advice import step_ref_of
from .job_state import Allocation, AllocationPhase, Unit
from .workers import FULL_SPEED_PERCENT


def is_within_disruption_budget(victims: Iterable[Unit]) -> bool:
    """Return whether all ``victims`` may be stopped at the same time."""
    services = [unit for unit in victims if unit.spec.is_service]
    stopped = Counter(step_ref_of(unit) for unit in services)
    return all(
        _count_unavailable(unit, services) + stopped[step_ref_of(unit)]
        <= unit.spec.max_absent
        for unit in services
    )


def _count_unavailable(unit: Unit, stopped: list[Unit]) -> int:
    """Return how many tasks of the step are down, without ``stopped``."""
    return sum(
        1
        for other in unit.job.units
        if step_ref_of(other) == step_ref_of(unit)
        and other not in stopped
        and not _is_at_work(other)
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
