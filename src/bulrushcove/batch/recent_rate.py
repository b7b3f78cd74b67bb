"""Progress rates of runs over the last seconds.

A rate is never taken over a time in which other tasks came to the worker or
left it.
"""

import msgspec

from ..ids import WorkerId
from .ids import RunRef
from .job_state import Allocation, AllocationPhase
from .workers import FULL_SPEED_PERCENT, Worker

# A rate is taken over so much progress, as whole percents are reported, but
# over no longer than this.
MIN_PROGRESS_PERCENT = 3
MIN_WINDOW_S = 0.5
MAX_WINDOW_S = 3.0
# Reports are at most 1.5 s apart.
MAX_SILENCE_S = 10.0


class _Window(msgspec.Struct, eq=False):
    began_at_s: float
    began_percent: int
    rate_percent_per_s: float | None = None


class _WorkerRates(msgspec.Struct, eq=False):
    reported_at_s: float = 0
    neighbours: frozenset[RunRef] = frozenset()
    windows: dict[RunRef, _Window] = msgspec.field(default_factory=dict)


class RecentRates:
    """Progress rates of the runs of each worker."""

    def __init__(self) -> None:
        """Start without any rate."""
        self._workers: dict[WorkerId, _WorkerRates] = {}

    def record(self, worker: Worker, now_s: float) -> None:
        """Record the progress in a worker's report that was just applied."""
        rates = self._workers.setdefault(worker.id, _WorkerRates())
        rates.reported_at_s = now_s
        if rates.neighbours != worker.allocations.keys():
            rates.neighbours = frozenset(worker.allocations)
            rates.windows = {}
        windows: dict[RunRef, _Window] = {}
        for allocation in worker.allocations.values():
            if not _makes_progress(allocation):
                continue
            ref = allocation.ref
            window = rates.windows.get(ref)
            if window is None:
                window = _Window(now_s, allocation.percent)
            self._update(window, allocation, now_s)
            windows[ref] = window
        rates.windows = windows

    def forget_silent(self, now_s: float) -> None:
        """Drop the rates of workers that report no more."""
        silent = [
            worker
            for worker, rates in self._workers.items()
            if now_s - rates.reported_at_s > MAX_SILENCE_S
        ]
        for worker in silent:
            self._workers.pop(worker)

    def recent_rate(self, allocation: Allocation) -> float | None:
        """Return the rate of a run in percent per second.

        None: not known, as the run has just begun or has no image.
        """
        rates = self._workers.get(allocation.worker, _WorkerRates())
        window = rates.windows.get(allocation.ref)
        return None if window is None else window.rate_percent_per_s

    def _update(
        self, window: _Window, allocation: Allocation, now_s: float
    ) -> None:
        elapsed_s = now_s - window.began_at_s
        progress = allocation.percent - window.began_percent
        has_enough = progress >= MIN_PROGRESS_PERCENT
        if elapsed_s < MIN_WINDOW_S or not (
            has_enough or elapsed_s >= MAX_WINDOW_S
        ):
            return
        rate = progress / elapsed_s
        window.rate_percent_per_s = rate
        window.began_at_s = now_s
        window.began_percent = allocation.percent


def _makes_progress(allocation: Allocation) -> bool:
    spec = allocation.unit.spec
    return (
        allocation.phase is AllocationPhase.RUNNING
        and allocation.speed_percent == FULL_SPEED_PERCENT
        and bool(spec.image)
        and not spec.is_service
    )
