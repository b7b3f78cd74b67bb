"""Forecast of when waiting work can start, from what is queued and running.

Answers bursts of two to three times the usual load, in which some work cannot
be served any more. The pool is taken as one large worker that does the work in
order of priority and arrival and is never idle, so the forecast is early
rather than late.
"""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import accumulate

import msgspec

from .job_spec import MILLICORES_PER_CORE, TaskSize
from .queue_order import URGENT

# More queued work than the pool does in this time is a burst: callers are
# promised a start within 3 s where there is room.
MAX_CALM_QUEUE_S = 3.0


class Work(msgspec.Struct, frozen=True):
    """Accelerators and cores, each multiplied by the time of their use."""

    accelerator_s: float = 0
    core_s: float = 0

    def plus(self, other: 'Work') -> 'Work':
        """Return the sum of both."""
        return Work(
            self.accelerator_s + other.accelerator_s,
            self.core_s + other.core_s,
        )


class QueuedWork(msgspec.Struct, frozen=True):
    """Work that waits, and its priority; 0 comes first."""

    priority: int
    work: Work


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of a pool, and the work that it has been given."""

    capacity: TaskSize
    # Share of the capacity that is in use.
    used_share: float
    # Work that is left of what runs, and the part of it that is urgent.
    running: Work
    running_urgent: Work
    queued: tuple[QueuedWork, ...]


class StartForecast:
    """Waits of further work in one pool."""

    def __init__(self, load: PoolLoad) -> None:
        """Forecast the starts of what waits behind ``load``."""
        queued = sorted(load.queued, key=lambda one: one.priority)
        self.load = load
        self._priorities = [one.priority for one in queued]
        self._ahead = list(
            accumulate((one.work for one in queued), Work.plus, initial=Work())
        )

    @property
    def backlog_s(self) -> float:
        """Return for how many seconds the pool has work."""
        return duration_s(
            self.load.running.plus(self._ahead[-1]), self.load.capacity
        )

    @property
    def is_overcommitted(self) -> bool:
        """Return whether more work waits than the pool has room for."""
        queue_s = duration_s(self._ahead[-1], self.load.capacity)
        return queue_s > MAX_CALM_QUEUE_S

    def wait_s(self, priority: int) -> float:
        """Return after how many seconds new work of ``priority`` can start.

        Urgent work waits for other urgent work only: the rest can be stopped.
        """
        is_urgent = priority == URGENT
        running = self.load.running_urgent if is_urgent else self.load.running
        ahead = self._ahead[bisect_right(self._priorities, priority)]
        return duration_s(running.plus(ahead), self.load.capacity)


def duration_s(work: Work, capacity: TaskSize) -> float:
    """Return how long ``work`` takes on ``capacity``; 0 without capacity."""
    accelerators = max(1, capacity.accelerators)
    millicores = max(1, capacity.cpu_millicores)
    if not capacity.cpu_millicores and not capacity.accelerators:
        return 0
    return max(
        work.accelerator_s / accelerators,
        work.core_s * MILLICORES_PER_CORE / millicores,
    )


def work_of(size: TaskSize, tasks: int, time_s: float) -> Work:
    """Return the work of ``tasks`` tasks that take ``time_s`` each."""
    total_s = tasks * time_s
    cores = size.cpu_millicores / MILLICORES_PER_CORE
    return Work(size.accelerators * total_s, cores * total_s)


def sum_work(parts: Iterable[Work]) -> Work:
    """Return the sum of ``parts``."""
    accelerator_s = 0.0
    core_s = 0.0
    for part in parts:
        accelerator_s += part.accelerator_s
        core_s += part.core_s
    return Work(accelerator_s, core_s)
