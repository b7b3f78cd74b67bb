"""Preferences of placement, and what ends each of them.

Where a unit is placed first depends on evidence against workers, on capacity
that is kept for other units and on racks. These are preferences: none of them
may keep idle what a waiting unit needs. In a lightly loaded pool a unit gives
up all of them after ``MAX_PREFERENCE_WAIT_S``, in whatever state the workers
are and whether anything runs or not.

Not in this list is what would break a promise: labels, limits per worker,
capacity, leaving workers and closed domains, tickets, and workers whose runs
or leases are not known.
"""

from collections.abc import Iterable
from enum import Enum, auto

from .job_spec import TaskSize
from .placement import Candidate

# Callers are promised a start within 3 s where there is room, which takes a
# pass and an order after this wait.
MAX_PREFERENCE_WAIT_S = 2.0
# A pool is lightly loaded if a lower share of its capacity is in use.
LIGHT_LOAD_SHARE = 0.5


class Preference(Enum):
    """What a unit waits for although it would fit elsewhere."""

    # Workers that are not quarantined. Ends after ``TRIAL_PAUSE_S`` for
    # units that may use mostly quarantined workers.
    NOT_QUARANTINED = auto()
    # Workers without a run that may crash them. Also ends with that run.
    NOT_ISOLATED = auto()
    # Workers that no larger unit has reserved.
    NOT_RESERVED = auto()
    # Workers outside the headroom. Also ends after ``GANG_HEADROOM_WAIT_S``
    # for gangs.
    NOT_HEADROOM = auto()
    # The rack of the unit's data, or one rack for a whole gang.
    RACK = auto()
    # Workers on which a run has progressed since they stalled or were
    # suspected of standing still. Also ends with any progress there.
    PROGRESSING = auto()


# The preferences that units give up.
TEMPORARY_PREFERENCES = frozenset(Preference)


def used_share(candidates: Iterable[Candidate]) -> float:
    """Return which share of the capacity is in use; 1 if there is none."""
    total = 0.0
    free = 0.0
    for candidate in candidates:
        total += candidate.capacity.weight_cores
        free += candidate.free.weight_cores
    return 1 - free / total if total else 1


def can_run(candidate: Candidate, label: str, size: TaskSize) -> bool:
    """Return whether the candidate, if empty, could run a task of ``size``."""
    has_label = not label or label in candidate.labels
    return has_label and size.fits(candidate.capacity)
