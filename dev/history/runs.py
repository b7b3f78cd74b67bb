"""Task runs assembled from the events logged by workers."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from bulrushcove.ids import AttemptId
from dev.history.events import TaskEvent, TaskStep

ENDS = frozenset(
    (TaskStep.FINISH, TaskStep.FAIL, TaskStep.STOP, TaskStep.LAPSE)
)
STILL_RUNNING_S = float('inf')


class PartRun(msgspec.Struct, frozen=True):
    """One run of one part of an attempt."""

    attempt: AttemptId
    part: int
    start: TaskEvent
    end: TaskEvent | None

    @property
    def started_at_s(self) -> float:
        """Return when the part started."""
        return self.start.at_s

    @property
    def ended_at_s(self) -> float:
        """Return when the part ended; infinity without an end event."""
        return self.end.at_s if self.end else STILL_RUNNING_S

    @property
    def is_finished(self) -> bool:
        """Return whether the part finished its work."""
        return self.end is not None and self.end.step is TaskStep.FINISH


def collect_part_runs(events: Iterable[TaskEvent]) -> list[PartRun]:
    """Return the runs in ``events``, which must be sorted by time."""
    started: dict[tuple[str, AttemptId, int], TaskEvent] = {}
    runs: list[PartRun] = []
    for event in events:
        key = (event.worker, event.attempt, event.part)
        if event.step is TaskStep.START:
            started[key] = event
        elif event.step in ENDS and key in started:
            runs.append(_new_run(started.pop(key), event))
    runs.extend(_new_run(start, None) for start in started.values())
    return sorted(runs, key=_get_started_at_s)


def group_runs_by_attempt(
    events: Iterable[TaskEvent],
) -> dict[AttemptId, list[PartRun]]:
    """Return the runs of each attempt."""
    grouped: dict[AttemptId, list[PartRun]] = defaultdict(list)
    for run in collect_part_runs(events):
        grouped[run.attempt].append(run)
    return grouped


def _new_run(start: TaskEvent, end: TaskEvent | None) -> PartRun:
    return PartRun(attempt=start.attempt, part=start.part, start=start, end=end)


def _get_started_at_s(run: PartRun) -> float:
    return run.started_at_s
