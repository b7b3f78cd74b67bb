"""The allocations of one worker, with a number that tells of each change.

It counts additions, ``pop`` and ``clear``, the changes that are made, and
permits no others. Sums over hundreds of workers are computed anew only for
those that changed. What the allocations reserve is summed as they change, as
it is asked for at each start, and one worker may run thousands of small tasks.
"""

from typing import Any, NoReturn

from .ids import RunRef
from .job_spec import TaskSize
from .job_state import Allocation

_NOTHING = TaskSize()


class AllocationTable(dict[RunRef, Allocation]):
    """Allocations of a worker by the reference of their run."""

    def __init__(self) -> None:
        """Create an empty table."""
        super().__init__()
        # Number of changes so far.
        self.revision = 0
        # What all allocations reserve together.
        self.reserved = _NOTHING

    def __setitem__(self, ref: RunRef, allocation: Allocation) -> None:
        """Add ``allocation``."""
        self.revision += 1
        known = self.get(ref)
        if known is not None:
            self.reserved = self.reserved.minus(known.unit.spec.requirements)
        self.reserved = self.reserved.plus(allocation.unit.spec.requirements)
        super().__setitem__(ref, allocation)

    def pop(self, ref: RunRef, *default: Any) -> Any:
        """Remove and return an allocation, like ``dict.pop``."""
        self.revision += 1
        known = self.get(ref)
        if known is not None:
            self.reserved = self.reserved.minus(known.unit.spec.requirements)
        return super().pop(ref, *default)

    def clear(self) -> None:
        """Remove all allocations."""
        self.revision += 1
        self.reserved = _NOTHING
        super().clear()

    def _refuse(self, *_args: Any, **_others: Any) -> NoReturn:
        raise TypeError('allocation_table: this change would not be counted')

    __delitem__ = _refuse
    __ior__ = _refuse
    popitem = _refuse
    setdefault = _refuse
    update = _refuse
