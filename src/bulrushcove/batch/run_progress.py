"""Progress of one run, dated by the clock of its worker.

A worker's clock does not show how late a report arrives or is handled, and it
goes on while leaders change.
"""

from .job_state import Allocation
from .workers import FULL_SPEED_PERCENT

# Weight of the last gap between two reports of progress in a run's rate.
GAP_WEIGHT = 0.5
# A gap counts as at most so many usual ones: a run that stood still once is
# not expected to do so again.
MAX_GAP_RATIO = 4.0


def record_start(allocation: Allocation, percent: int, clock_ms: int) -> None:
    """Record the first report of a run, made at ``clock_ms`` of its worker.

    A run that an earlier leader started, and that shows no progress yet, has
    shown none since then.
    """
    started_ms = allocation.started_clock_ms
    allocation.progress_clock_ms = clock_ms
    if not _is_restored(allocation) or not 0 < started_ms <= clock_ms:
        allocation.started_clock_ms = clock_ms
    elif not percent:
        allocation.progress_clock_ms = started_ms


def record_percent(allocation: Allocation, percent: int, clock_ms: int) -> None:
    """Record that a run was first reported at ``percent``."""
    gained = percent - allocation.percent
    if allocation.percent or not allocation.unit.checkpoint:
        since_ms = silent_since_ms(allocation)
        if not allocation.percent:
            since_ms = allocation.started_clock_ms + allocation.excused_ms
        _update_rate(allocation, (clock_ms - since_ms) / gained, gained)
    else:
        # A run that resumes from a checkpoint begins with what that holds.
        allocation.saved_percent = percent
    allocation.percent = percent
    allocation.progress_clock_ms = clock_ms
    allocation.excused_ms = 0


def silent_since_ms(allocation: Allocation) -> float:
    """Return since when a run at full speed would have been silent."""
    return allocation.progress_clock_ms + allocation.excused_ms


def record_speed(allocation: Allocation, clock_ms: int) -> None:
    """Excuse what a run was slowed down by since the report before.

    A new speed is taken to be half as old as that report.
    """
    speed_percent = max(0, allocation.speed_percent)
    mean_percent = (speed_percent + allocation.reported_speed_percent) / 2
    allocation.reported_speed_percent = speed_percent
    record_excuse(allocation, clock_ms, 1 - mean_percent / FULL_SPEED_PERCENT)


def record_excuse(
    allocation: Allocation, clock_ms: int, share: float = 1.0
) -> None:
    """Excuse a share of the silence since the report before."""
    since_ms = allocation.reported_clock_ms or clock_ms
    allocation.reported_clock_ms = clock_ms
    allocation.excused_ms += max(0, clock_ms - since_ms) * share


def record_checkpoint(allocation: Allocation, clock_ms: int) -> None:
    """Record that a checkpoint was first reported: work goes on."""
    allocation.saved_percent = allocation.percent
    allocation.progress_clock_ms = clock_ms
    allocation.excused_ms = 0


def unsaved_ms(allocation: Allocation) -> float:
    """Return how many milliseconds of work a stop of the run loses."""
    unsaved = max(0, allocation.percent - allocation.saved_percent)
    return unsaved * allocation.percent_ms


def _update_rate(allocation: Allocation, gap_ms: float, gained: int) -> None:
    if gap_ms <= 0:
        return
    known_ms = allocation.percent_ms
    if known_ms:
        gap_ms = min(gap_ms, MAX_GAP_RATIO * known_ms)
        gap_ms = known_ms + GAP_WEIGHT * (gap_ms - known_ms)
    allocation.percent_ms = gap_ms
    allocation.rated_percents += gained


def _is_restored(allocation: Allocation) -> bool:
    """Return whether an earlier leader sent the start."""
    return allocation.is_start_sent and allocation.start_sent_at_s is None
