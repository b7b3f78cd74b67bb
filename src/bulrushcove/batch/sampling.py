"""Limits how many workers a pass examines for capacity that is not free yet.

Forecasts and preemption plans look at each run of each worker. In a large pool
a few hundred workers offer enough choice, so that the cost of a pass does not
grow with the pool. Each pass examines other racks.
"""

from collections import defaultdict
from collections.abc import Sequence

from ..ids import RackId
from .job_state import Unit
from .placement import Candidate

# Pools up to this size are examined as a whole.
MAX_EXAMINED_WORKERS = 320
# Workers examined for each task of a large gang, of which one is needed.
EXAMINED_PER_TASK = 5


def select_examined(
    unit: Unit, candidates: Sequence[Candidate], turn: int
) -> Sequence[Candidate]:
    """Return the candidates to examine for ``unit``.

    Whole racks are taken in turn, starting with number ``turn``; the rack of
    the unit's data comes first.
    """
    limit = max(MAX_EXAMINED_WORKERS, EXAMINED_PER_TASK * unit.size)
    if len(candidates) <= limit:
        return candidates
    racks: dict[RackId, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        racks[candidate.rack].append(candidate)
    examined = racks.pop(unit.spec.near_rack, [])
    names = sorted(racks)
    first = turn % len(names) if names else 0
    for name in names[first:] + names[:first]:
        if len(examined) >= limit:
            break
        examined.extend(racks[name])
    return examined
