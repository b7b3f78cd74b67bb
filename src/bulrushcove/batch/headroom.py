"""Workers left to urgent work.

Answers urgent jobs that arrive while other work fills the pool: stopping
others takes up to a second and throws work away, so about as much room as
urgent jobs take in the next seconds is kept free, spread over the racks.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from itertools import chain, zip_longest

from ..ids import RackId, WorkerId
from .placement import Candidate

# Urgent arrivals of about this long tell what comes next.
WINDOW_S = 8.0
# Room for the arrivals of this time: others end meanwhile, or are stopped.
AHEAD_S = 2.5
# Largest share of a pool that is kept free.
MAX_SHARE = 0.25
# A gang of other work that has waited this long uses the kept room too.
GANG_PATIENCE_S = 3.0


class UrgentDemand:
    """Accelerators that urgent jobs ask for, as a rate that fades."""

    def __init__(self) -> None:
        """Expect nothing yet."""
        self._rate = 0.0
        self._noted_s = 0.0

    def record(self, accelerators: int, now_s: float) -> None:
        """An urgent job asks for ``accelerators`` at once."""
        self._rate = self.rate(now_s) + accelerators / WINDOW_S
        self._noted_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the accelerators asked for a second."""
        return self._rate * math.exp((self._noted_s - now_s) / WINDOW_S)


def reserved_workers(
    candidates: Sequence[Candidate], rate: float
) -> frozenset[WorkerId]:
    """Return the workers that only urgent work may use now.

    ``rate`` is the urgent demand in accelerators a second.
    """
    whole = sum(candidate.capacity.accelerators for candidate in candidates)
    wanted = min(rate * AHEAD_S, MAX_SHARE * whole)
    racks: dict[RackId, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        racks[candidate.rack].append(candidate)
    for group in racks.values():
        group.sort(key=_emptiest_first)
    # One worker of each rack in turn.
    in_turn = chain.from_iterable(zip_longest(*racks.values()))
    kept: set[WorkerId] = set()
    for kept_one in in_turn:
        if wanted <= 0:
            break
        if kept_one is not None:
            kept.add(kept_one.worker)
            wanted -= max(1, kept_one.capacity.accelerators)
    return frozenset(kept)


def _emptiest_first(candidate: Candidate) -> tuple[int, int, str]:
    room = candidate.free
    return (-room.accelerators, -room.cpu_millicores, candidate.worker)
