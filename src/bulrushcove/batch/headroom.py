"""Headroom for urgent work: workers that other work may not use.

Preemption takes up to a second and loses work, so about as much capacity as
urgent jobs are expected to need in the next seconds is kept free in advance,
spread over the racks.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from itertools import chain, zip_longest

from ..ids import RackId, WorkerId
from .guarantee import max_step_accelerators
from .job_spec import JobSpec
from .placement import Candidate
from .queue_order import URGENT

# Time constant of the moving average of urgent demand.
DEMAND_WINDOW_S = 8.0
# Headroom covers the urgent jobs expected within this time. Before later ones
# arrive, other work ends or is preempted.
LOOKAHEAD_S = 2.5
# Largest share of a pool's accelerators that is kept free.
MAX_HEADROOM_SHARE = 0.25
# A non-urgent gang that has waited this long may use the headroom too.
GANG_HEADROOM_WAIT_S = 3.0


class UrgentDemand:
    """Exponentially decaying rate of accelerators requested by urgent jobs."""

    def __init__(self) -> None:
        """Start with a rate of zero."""
        self._rate = 0.0
        self._updated_at_s = 0.0

    def record_job(self, spec: JobSpec, now_s: float) -> None:
        """Record the job of ``spec`` if it is urgent."""
        if spec.terms.priority == URGENT:
            self.record(max_step_accelerators(spec), now_s)

    def record(self, accelerators: int, now_s: float) -> None:
        """Record that an urgent job requests ``accelerators``."""
        self._rate = self.rate(now_s) + accelerators / DEMAND_WINDOW_S
        self._updated_at_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the accelerators requested per second as of ``now_s``."""
        return self._rate * math.exp(
            (self._updated_at_s - now_s) / DEMAND_WINDOW_S
        )


def select_headroom_workers(
    candidates: Sequence[Candidate], rate: float
) -> frozenset[WorkerId]:
    """Return the workers that only urgent work may use now.

    ``rate`` is the urgent demand in accelerators per second.
    """
    total = sum(candidate.capacity.accelerators for candidate in candidates)
    missing_accelerators = min(rate * LOOKAHEAD_S, MAX_HEADROOM_SHARE * total)
    racks: dict[RackId, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        racks[candidate.rack].append(candidate)
    for group in racks.values():
        group.sort(key=_emptiest_first)
    # Takes one worker of each rack in turn.
    round_robin = chain.from_iterable(zip_longest(*racks.values()))
    selected: set[WorkerId] = set()
    for chosen in round_robin:
        if missing_accelerators <= 0:
            break
        if chosen is not None:
            selected.add(chosen.worker)
            missing_accelerators -= max(1, chosen.capacity.accelerators)
    return frozenset(selected)


def _emptiest_first(candidate: Candidate) -> tuple[int, int, str]:
    free = candidate.free
    return (-free.accelerators, -free.cpu_millicores, candidate.worker)
