"""Which waiting units the limits of their organisations let start.

A unit, a gang as a whole, starts only if its organisation has at most its limit
running then. A gang that does not fit for a while, as small units of its
organisation take all that ends, has room held for it under the limit. Urgent
units need not leave it, nor others while less than half of the limit is used.
Room is also held for a unit for which other work is being stopped.

It answers bursts of an organisation of up to many times its limit.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from collections.abc import Set as AbstractSet

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
_LEAST = TaskSize(1, 1, 1)

Limits = Mapping[OrganisationId, TaskSize]


class LimitGate:
    """What the organisations may still start; valid for one pass."""

    def __init__(self, limits: Limits, used: Usage) -> None:
        """Judge by ``limits``, with ``used`` running now."""
        self._limits = limits
        self._used = {name: used.get(name, NOTHING) for name in limits}
        # For which unit of each organisation room is held under the limit.
        self._held: dict[OrganisationId, tuple[UnitRef, TaskSize]] = {}
        # Units that count as used and may still start.
        self._counted: set[UnitRef] = set()

    def hold_for_waiting(
        self,
        waiting: Iterable[Unit],
        now_s: float,
        can_ever_run: Callable[[Unit], bool],
        held_before: AbstractSet[UnitRef],
    ) -> frozenset[UnitRef]:
        """Hold room for the oldest large unit of each organisation.

        None is held for a unit that is larger than the limit, that the workers
        there are could not run (``can_ever_run``), or that fits under the
        limit: it waits for workers. Units that did not fit in the last pass
        (``held_before``) are tried first, however. Returns those that do not
        fit now.
        """
        too_large = set()
        for name, units in self._large_units(waiting, now_s).items():
            to_hold_for = (
                unit
                for unit in sorted(units, key=_ready_since)
                if self._needs_hold(unit, held_before) and can_ever_run(unit)
            )
            unit = next(to_hold_for, None)
            if unit is None:
                continue
            self._held[name] = (unit.ref, size_of(unit))
            if not self._is_within_limit(unit):
                too_large.add(unit.ref)
        return frozenset(too_large)

    def admits(self, unit: Unit) -> bool:
        """Return whether ``unit`` may start now."""
        terms = unit.job.spec.terms
        name = terms.organisation
        if name not in self._limits or unit.ref in self._counted:
            return True
        needed = self._used[name].plus(size_of(unit))
        if terms.priority != URGENT:
            needed = needed.plus(self._size_held_from(unit))
        return size_fits(needed, self._limits[name])

    def hold_room(self, unit: Unit) -> None:
        """Count ``unit``, which it admits, so that it may still start."""
        if unit.ref not in self._counted and self.admits(unit):
            self.record_start(unit)
            self._counted.add(unit.ref)

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
        if name not in self._limits or unit.ref in self._counted:
            return
        self._used[name] = self._used[name].plus(size_of(unit))
        held = self._held.get(name)
        if held and held[0] == unit.ref:
            self._held.pop(name)

    def _needs_hold(
        self, unit: Unit, held_before: AbstractSet[UnitRef]
    ) -> bool:
        if unit.ref not in held_before and self._is_within_limit(unit):
            return False
        limit = self._limits[unit.job.spec.terms.organisation]
        return size_fits(size_of(unit), limit)

    def _is_within_limit(self, unit: Unit) -> bool:
        name = unit.job.spec.terms.organisation
        needed = self._used[name].plus(size_of(unit))
        return size_fits(needed, self._limits[name])

    def _size_held_from(self, unit: Unit) -> TaskSize:
        """Return the size of the held room that ``unit`` has to leave."""
        name = unit.job.spec.terms.organisation
        ref, size = self._held.get(name, (unit.ref, NOTHING))
        if ref == unit.ref:
            return NOTHING
        used, limit = self._used[name], self._limits[name]
        is_free = size_fits(used.plus(size), limit)
        # Exactly half of a limit is not under it.
        is_under_half = size_fits(used.times(2).plus(_LEAST), limit)
        # Under half callers expect a start, unless the held room is free: then
        # it is used in this pass, or not held in the next.
        return NOTHING if is_under_half and not is_free else size

    def _large_units(
        self, waiting: Iterable[Unit], now_s: float
    ) -> dict[OrganisationId, list[Unit]]:
        """Return the units of each organisation that room may be held for."""
        large: dict[OrganisationId, list[Unit]] = defaultdict(list)
        if self._limits:
            for unit in waiting:
                name = unit.job.spec.terms.organisation
                if name in self._limits and _is_held_for(unit, now_s):
                    large[name].append(unit)
        return large


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


def _ready_since(unit: Unit) -> float:
    return unit.ready_since_s
