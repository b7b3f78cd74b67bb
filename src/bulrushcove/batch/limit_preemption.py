"""What an organisation stops of its own for its urgent work.

It answers a burst of an organisation that has filled its limit when an urgent
job of its own arrives that its guarantee covers. Such a job must start in time,
and nobody else's work makes room under the limit.
"""

from collections.abc import Callable, Iterable

from .disruption_budget import is_within_disruption_budget
from .job_spec import TaskSize
from .job_state import AllocationPhase, Unit
from .organisation_usage import NOTHING


def find_own_victims(
    excess: TaskSize,
    running: Iterable[Unit],
    loss_of: Callable[[Unit], float],
) -> list[Unit] | None:
    """Return the units to stop so that ``excess`` is freed; least loss first.

    ``running`` are the units of the organisation that hold allocations, and
    ``loss_of`` tells what stopping one loses. Urgent units are kept. The list
    is empty if enough is being stopped already; None if stopping does not
    help.
    """
    missing = excess
    stoppable = []
    for unit in running:
        if _is_being_stopped(unit):
            missing = missing.minus(_held_by(unit))
        elif unit.job.spec.terms.priority:
            stoppable.append(unit)
    stoppable.sort(key=lambda own: (-own.job.spec.terms.priority, loss_of(own)))
    return _choose_victims(missing, stoppable)


def _choose_victims(
    missing: TaskSize, stoppable: Iterable[Unit]
) -> list[Unit] | None:
    victims: list[Unit] = []
    for unit in stoppable:
        if _is_covered(missing):
            break
        left = missing.minus(_held_by(unit))
        is_helpful = _positive(left) != _positive(missing)
        if is_helpful and is_within_disruption_budget((*victims, unit)):
            victims.append(unit)
            missing = left
    return victims if _is_covered(missing) else None


def _is_being_stopped(unit: Unit) -> bool:
    return unit.is_aborting or any(
        allocation.phase is AllocationPhase.STOPPING
        for allocation in unit.allocations.values()
    )


def _held_by(unit: Unit) -> TaskSize:
    return unit.spec.size.times(len(unit.allocations))


def _positive(size: TaskSize) -> TaskSize:
    return size.union(NOTHING)


def _is_covered(missing: TaskSize) -> bool:
    return _positive(missing) == NOTHING
