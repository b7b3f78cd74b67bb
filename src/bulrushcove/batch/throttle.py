"""How fast tasks that fill idle room may work beside tasks that serve.

Answers serving tasks whose response times rise because of what fills their
worker, by amounts that change within seconds: the filling tasks are slowed
before the tail passes its target, halted when it does, and get their speed
back in steps while it stays well below.
"""

from collections.abc import Iterator

from .job_state import Allocation, AllocationPhase
from .workers import FULL_SPEED_PERCENT, Worker

# Shares of the target: above the first filling tasks are slowed, below the
# second they are given speed back.
SLOW_ABOVE = 0.75
RAISE_BELOW = 0.5
RAISE_STEP_PERCENT = 25
# A tail follows a change of pace within this; reports are half a second means.
SETTLE_S = 1.0


def has_colocated_services(worker: Worker) -> bool:
    """Return whether serving and filling tasks run side by side."""
    allocations = worker.allocations.values()
    return any(map(_serves, allocations)) and any(map(_fills, allocations))


def update_throttle(worker: Worker, now_s: float) -> list[Allocation]:
    """Return the filling seats that do not have the worker's pace yet.

    Decides first on that pace, in percent, from the tails last reported.
    """
    wanted = _wanted_percent(worker, now_s)
    if wanted != worker.speed_percent:
        worker.speed_percent = wanted
        worker.speed_changed_at_s = now_s
    return [
        allocation
        for allocation in worker.allocations.values()
        if _fills(allocation) and allocation.speed_percent != wanted
    ]


def _wanted_percent(worker: Worker, now_s: float) -> int:
    share = max(_tail_shares(worker), default=0.0)
    if share >= 1:
        return 0
    if share > SLOW_ABOVE:
        return _after(worker, now_s, worker.speed_percent // 2)
    if share < RAISE_BELOW:
        raised = worker.speed_percent + RAISE_STEP_PERCENT
        return _after(worker, now_s, min(FULL_SPEED_PERCENT, raised))
    return worker.speed_percent


def _after(worker: Worker, now_s: float, percent: int) -> int:
    """Return ``percent`` once the change before has shown its effect."""
    has_settled = now_s - worker.speed_changed_at_s >= SETTLE_S
    return percent if has_settled else worker.speed_percent


def _tail_shares(worker: Worker) -> Iterator[float]:
    for allocation in worker.allocations.values():
        if _serves(allocation):
            yield allocation.load / allocation.unit.spec.target_tail_ms


def _serves(allocation: Allocation) -> bool:
    spec = allocation.unit.spec
    has_target = spec.is_service and spec.target_tail_ms > 0
    return has_target and allocation.phase is AllocationPhase.RUNNING


def _fills(allocation: Allocation) -> bool:
    return (
        allocation.unit.spec.fills_idle
        and allocation.phase is AllocationPhase.RUNNING
    )
