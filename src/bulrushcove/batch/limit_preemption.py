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

# Units of least loss that are looked at first: the tasks of a large gang.
FIRST_CANDIDATES = 64


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


class OwnWork:
    """What one organisation may stop of its own; valid for one pass."""

    def __init__(
        self, running: Iterable[Unit], loss_of: Callable[[Unit], float]
    ) -> None:
        """Choose from ``running``, its units that hold allocations."""
        # Size of what is being stopped.
        self._freed = NOTHING
        self._stoppable = []
        # Sizes of units for which stopping did not help.
        self._declined: set[TaskSize] = set()
        for unit in running:
            if _is_being_stopped(unit):
                self._freed = self._freed.plus(_held_by(unit))
            elif unit.job.spec.terms.priority:
                self._stoppable.append(unit)
        self._loss_of = loss_of
        self._stoppable.sort(
            key=lambda own: (-own.job.spec.terms.priority, loss_of(own))
        )

    def is_hopeless(self, size: TaskSize) -> bool:
        """Return whether stopping did not help a unit of ``size`` before."""
        return size in self._declined

    def find_victims(
        self, size: TaskSize, excess: TaskSize
    ) -> list[Unit] | None:
        """Return what to stop for a unit of ``size``, ``excess`` too much.

        The caller stops it. None if that does not help.
        """
        missing = excess.minus(self._freed)
        if _is_covered(missing):
            return []
        # The first of them are enough for most units.
        first = self._stoppable[:FIRST_CANDIDATES]
        victims = find_own_victims(missing, first, self._loss_of)
        if victims is None:
            victims = find_own_victims(missing, self._stoppable, self._loss_of)
        if victims is None:
            self._declined.add(size)
            return None
        for victim in victims:
            self._freed = self._freed.plus(_held_by(victim))
            self._stoppable.remove(victim)
        return victims
