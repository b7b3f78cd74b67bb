"""Throttles best-effort tasks that share a worker with services.

Best-effort tasks raise the tail latency of services on their worker by amounts
that change within seconds. They are slowed down before the tail latency
reaches its target, paused when it does, and sped up in steps while it stays
well below. Where it is sure which image does the harm, its tasks are slowed
first, and the others only if that is not enough.
"""

from collections.abc import Callable, Iterator

from .ids import ImageName
from .job_state import Allocation, AllocationPhase
from .workers import FULL_SPEED_PERCENT, Worker

# Ratios of tail latency to its target above which best-effort tasks are slowed
# down, and below which they are sped up.
THROTTLE_ABOVE_RATIO = 0.75
RAISE_BELOW_RATIO = 0.5
RAISE_STEP_PERCENT = 25
# Time until reports show the effect of a speed change; they are means over
# half a second.
SETTLE_S = 1.0


# Whether tasks of the second image certainly slow those of the first.
Harms = Callable[[ImageName, ImageName], bool]


def never_harms(_victim: ImageName, _neighbour: ImageName) -> bool:
    """Stand for no evidence."""
    return False


def has_colocated_services(worker: Worker) -> bool:
    """Return whether services and best-effort tasks share the worker."""
    allocations = worker.allocations.values()
    return any(map(_is_running_with_latency_target, allocations)) and any(
        map(_is_running_best_effort, allocations)
    )


def update_throttle(
    worker: Worker, now_s: float, harms: Harms = never_harms
) -> list[Allocation]:
    """Set the worker's speeds from the reported tail latencies.

    ``harms`` tells whether it is sure that tasks of the second image slow
    those of the first one. Returns the best-effort allocations that do not run
    at their speed yet; see ``speed_of``.
    """
    _update_harmful_images(worker, harms)
    harmful_percent, percent = _choose_speeds(worker, now_s, harms)
    if (
        percent != worker.speed_percent
        or harmful_percent != worker.harmful_speed_percent
    ):
        worker.speed_percent = percent
        worker.harmful_speed_percent = harmful_percent
        worker.speed_changed_at_s = now_s
    return [
        allocation
        for allocation in worker.allocations.values()
        if _is_running_best_effort(allocation)
        and allocation.speed_percent != speed_of(worker, allocation)
    ]


def speed_of(worker: Worker, allocation: Allocation) -> int:
    """Return the percent of its full speed that a task is to run at."""
    if allocation.unit.spec.image in worker.harmful_images:
        return worker.harmful_speed_percent
    return worker.speed_percent


def _update_harmful_images(worker: Worker, harms: Harms) -> None:
    """Set which images are slowed first.

    An image that no longer is takes all others to its speed: without evidence
    all are slowed alike.
    """
    services = _images(worker, _is_running_with_latency_target)
    best_effort = _images(worker, _is_running_best_effort)
    harmful = frozenset(
        image
        for image in best_effort
        if any(harms(service, image) for service in services)
    )
    if worker.harmful_images & best_effort - harmful:
        worker.speed_percent = min(
            worker.speed_percent, worker.harmful_speed_percent
        )
    if not harmful or not worker.harmful_images:
        worker.harmful_speed_percent = worker.speed_percent
    worker.harmful_images = harmful


def _choose_speeds(
    worker: Worker, now_s: float, harms: Harms
) -> tuple[int, int]:
    """Return the speeds of tasks of harmful images and of all others."""
    if not any(map(_has_latency_target, worker.allocations.values())):
        # Best-effort tasks are not started on a throttled worker.
        return FULL_SPEED_PERCENT, FULL_SPEED_PERCENT
    if not worker.harmful_images:
        percent = _choose_percent(worker, worker.speed_percent, now_s)
        return percent, percent
    return _choose_harmful_first(worker, now_s, harms)


def _choose_harmful_first(
    worker: Worker, now_s: float, harms: Harms
) -> tuple[int, int]:
    """Slow harmful images first, and speed them up last."""
    harmful, others = worker.harmful_speed_percent, worker.speed_percent
    ratio = max(_tail_latency_ratios(worker), default=0.0)
    if ratio >= 1 and not _has_sure_cause(worker, harms):
        return 0, 0
    moves_harmful = harmful > 0
    if ratio < RAISE_BELOW_RATIO:
        moves_harmful = others == FULL_SPEED_PERCENT
    if moves_harmful:
        return _choose_percent(worker, harmful, now_s), others
    if not _has_settled(worker, now_s):
        # Slowing the harmful ones may be enough.
        return harmful, others
    return harmful, _choose_percent(worker, others, now_s)


def _has_sure_cause(worker: Worker, harms: Harms) -> bool:
    """Return whether each service over its target has a harmful neighbour."""
    return all(
        any(
            harms(allocation.unit.spec.image, image)
            for image in worker.harmful_images
        )
        for allocation in worker.allocations.values()
        if _is_running_with_latency_target(allocation)
        and _tail_latency_ratio(allocation) >= 1
    )


def _choose_percent(worker: Worker, percent: int, now_s: float) -> int:
    """Return the speed that follows ``percent``."""
    ratio = max(_tail_latency_ratios(worker), default=0.0)
    if ratio >= 1:
        return 0
    if not _has_settled(worker, now_s):
        return percent
    if ratio > THROTTLE_ABOVE_RATIO:
        return percent // 2
    if ratio < RAISE_BELOW_RATIO:
        return min(FULL_SPEED_PERCENT, percent + RAISE_STEP_PERCENT)
    return percent


def _has_settled(worker: Worker, now_s: float) -> bool:
    """Return whether reports show the effect of the last speed change."""
    return now_s - worker.speed_changed_at_s >= SETTLE_S


def _tail_latency_ratios(worker: Worker) -> Iterator[float]:
    for allocation in worker.allocations.values():
        if _is_running_with_latency_target(allocation):
            yield _tail_latency_ratio(allocation)


def _tail_latency_ratio(allocation: Allocation) -> float:
    return allocation.load / allocation.unit.spec.target_tail_ms


def _images(
    worker: Worker, is_included: Callable[[Allocation], bool]
) -> frozenset[ImageName]:
    return frozenset(
        allocation.unit.spec.image
        for allocation in worker.allocations.values()
        if is_included(allocation)
    )


def _has_latency_target(allocation: Allocation) -> bool:
    spec = allocation.unit.spec
    return spec.is_service and spec.target_tail_ms > 0


def _is_running_with_latency_target(allocation: Allocation) -> bool:
    is_running = allocation.phase is AllocationPhase.RUNNING
    return is_running and _has_latency_target(allocation)


def _is_running_best_effort(allocation: Allocation) -> bool:
    return (
        allocation.unit.spec.fills_idle
        and allocation.phase is AllocationPhase.RUNNING
    )
