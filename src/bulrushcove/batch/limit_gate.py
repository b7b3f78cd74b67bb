"""Which waiting units the limits of their organisations let start.

A unit, a gang as a whole, starts only if its organisation has at most its limit
running then. A gang that does not fit for a while, as small units of its
organisation take all that ends, has room held for it under the limit; urgent
units need not leave it. Room is also held for a unit for which other work is
being stopped.

It answers bursts of an organisation of up to many times its limit.
"""

from collections.abc import Callable, Iterable, Mapping

from ..ids import OrganisationId
from .ids import UnitRef
from .job_spec import TaskSize
from .job_state import Unit
from .organisation_usage import NOTHING, Usage
from .policy import Policy
from .queue_order import URGENT

# Half of the 3 s in which callers expect a start where there is room.
HOLD_AFTER_S = 1.5
# Smaller units fit into what single small tasks leave.
MIN_HELD_ACCELERATORS = 4

Limits = Mapping[OrganisationId, TaskSize]


class LimitGate:
    """What the organisations may still start; valid for one pass."""

    def __init__(self, limits: Limits, used: Usage) -> None:
        """Judge by ``limits``, with ``used`` running now."""
        self._limits = limits
        self._used = {name: used.get(name, NOTHING) for name in limits}
        # For which unit of each organisation room is held under the limit.
        self._held: dict[OrganisationId, tuple[UnitRef, TaskSize]] = {}

    def hold_for_waiting(
        self,
        waiting: Iterable[Unit],
        now_s: float,
        can_ever_run: Callable[[Unit], bool],
    ) -> None:
        """Hold room for the oldest large unit of each organisation.

        None is held for a unit that is larger than the limit, or that the
        workers there are could not run (``can_ever_run``).
        """
        if not self._limits:
            return
        for name, unit in self._find_oldest(waiting, now_s).items():
            size = size_of(unit)
            if size_fits(size, self._limits[name]) and can_ever_run(unit):
                self._held[name] = (unit.ref, size)

    def admits(self, unit: Unit) -> bool:
        """Return whether ``unit`` may start now."""
        terms = unit.job.spec.terms
        limit = self._limits.get(terms.organisation)
        if limit is None:
            return True
        needed = self._used[terms.organisation].plus(size_of(unit))
        held = self._held.get(terms.organisation)
        if held and held[0] != unit.ref and terms.priority != URGENT:
            needed = needed.plus(held[1])
        return size_fits(needed, limit)

    def excess(self, unit: Unit) -> TaskSize:
        """Return what must end before ``unit`` is within the limit.

        Parts without a limit, or within it, are not above 0.
        """
        name = unit.job.spec.terms.organisation
        limit = self._limits.get(name, NOTHING)
        over = self._used.get(name, NOTHING).plus(size_of(unit)).minus(limit)
        return TaskSize(
            over.cpu_millicores if limit.cpu_millicores else 0,
            over.memory_mb if limit.memory_mb else 0,
            over.accelerators if limit.accelerators else 0,
        )

    def record_start(self, unit: Unit) -> None:
        """Count ``unit``, which starts, or for which others are stopped."""
        name = unit.job.spec.terms.organisation
        if name not in self._limits:
            return
        self._used[name] = self._used[name].plus(size_of(unit))
        held = self._held.get(name)
        if held and held[0] == unit.ref:
            self._held.pop(name)

    def _find_oldest(
        self, waiting: Iterable[Unit], now_s: float
    ) -> dict[OrganisationId, Unit]:
        """Return the large unit of each organisation that waits longest."""
        oldest: dict[OrganisationId, Unit] = {}
        for unit in waiting:
            name = unit.job.spec.terms.organisation
            if name not in self._limits or not _is_held_for(unit, now_s):
                continue
            known = oldest.setdefault(name, unit)
            if unit.ready_since_s < known.ready_since_s:
                oldest[name] = unit
        return oldest


def find_limits(policy: Policy | None) -> Limits:
    """Return the limits of the organisations that have one."""
    if policy is None:
        return {}
    return {
        organisation.name: organisation.limit
        for organisation in policy.organisations
        if organisation.limit != NOTHING
    }


def size_of(unit: Unit) -> TaskSize:
    """Return the size of all tasks of ``unit``."""
    return unit.spec.size.times(unit.size)


def size_fits(size: TaskSize, limit: TaskSize) -> bool:
    """Return whether ``size`` is within ``limit``, in which 0 is no limit."""
    return (
        (
            not limit.cpu_millicores
            or size.cpu_millicores <= limit.cpu_millicores
        )
        and (not limit.memory_mb or size.memory_mb <= limit.memory_mb)
        and (not limit.accelerators or size.accelerators <= limit.accelerators)
    )


def _is_held_for(unit: Unit, now_s: float) -> bool:
    is_large = (
        unit.size > 1 or unit.spec.size.accelerators >= MIN_HELD_ACCELERATORS
    )
    return is_large and now_s - unit.ready_since_s >= HOLD_AFTER_S
