"""Guarantees that the node soak checks on the runs of a task."""

from collections.abc import Container
from itertools import pairwise

from dev.platform_standin.worker import StartOrder

# The users' bounds, in seconds: a VM counts as undisturbed this long after a
# fault; no task of a job starts this long after its cancellation was
# acknowledged; a worker stops a run within this time.
CONTACT_S = 4.0
CANCEL_S = 3.0
STOP_S = 0.4

# Time in seconds, 'begin' or the end kind, task and run number.
RunEvent = tuple[float, str, str, int]


def check_cancelled_task(
    task: str,
    history: list[RunEvent],
    cancelled_at_s: float,
    undisturbed_since_s: float,
) -> list[str]:
    """Return how a task of a cancelled job breaks the users' bounds.

    ``history`` holds the events of the task, sorted by time, and
    ``cancelled_at_s`` is when the cancellation was acknowledged. A run must end
    in time only after ``undisturbed_since_s``.
    """
    violations = []
    cancelled_by_s = cancelled_at_s + CANCEL_S
    stopped_by_s = max(cancelled_by_s, undisturbed_since_s) + STOP_S
    for time_s, kind, _, run in history:
        if kind == 'begin' and time_s > cancelled_by_s:
            violations.append(
                f'{task}: run {run} started {time_s - cancelled_at_s:.2f} s '
                'after the cancellation was acknowledged'
            )
        if kind != 'begin' and time_s > stopped_by_s:
            violations.append(
                f'{task}: run {run} ended {time_s - cancelled_at_s:.2f} s '
                'after the cancellation was acknowledged'
            )
    if history[-1][1] == 'begin':
        violations.append(f'{task}: run {history[-1][3]} was not stopped')
    return violations


def check_task(task: str, history: list[RunEvent]) -> list[str]:
    """Return the guarantees that the runs of one task violate.

    ``history`` holds the events of the task, sorted by time.
    """
    violations = []
    run_numbers = [event[3] for event in history if event[1] == 'begin']
    if any(later <= previous for previous, later in pairwise(run_numbers)):
        violations.append(f'{task}: runs {run_numbers} do not increase')
    for previous, later in pairwise(history):
        if previous[1] == 'begin' and later[1] == 'begin':
            violations.append(f'{task}: two runs at the same time')
    event_kinds = [event[1] for event in history]
    if (
        'done' in event_kinds
        and 'begin' in event_kinds[event_kinds.index('done') :]
    ):
        violations.append(f'{task}: started again after it was done')
    return violations


def check_start_order(
    order: StartOrder, payload: str, checkpoints: Container[tuple[str, str]]
) -> list[str]:
    """Return how ``order`` differs from what was submitted and saved.

    ``payload`` is that of the job; ``checkpoints`` are all that tasks have
    made, each with its task.
    """
    violations = []
    if order.payload != payload:
        violations.append(f'{order.task}: started with {order.payload!r}')
    is_known = (order.task, order.checkpoint) in checkpoints
    if order.checkpoint and not is_known:
        violations.append(
            f'{order.task}: started from {order.checkpoint!r}, which is not '
            'its checkpoint'
        )
    return violations
