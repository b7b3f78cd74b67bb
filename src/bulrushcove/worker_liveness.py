"""What an active control knows of one worker."""

from collections import defaultdict
from collections.abc import Collection

import msgspec

from .ids import AttemptId
from .states import TaskState
from .worker_api import (
    SyncAnswer,
    SyncRequest,
    TaskReport,
    WorkerDescription,
)

AttemptReports = dict[AttemptId, dict[int, TaskReport]]

_HOLDING = frozenset((TaskState.RESERVED, TaskState.RUNNING))


class WorkerSight(msgspec.Struct):
    """A worker as of its last answer."""

    description: WorkerDescription
    # Told by the VM list that it is going.
    leaving: bool = False
    # When the last answered request was sent; None: never answered.
    seen_s: float | None = None
    silent: bool = False
    reports: AttemptReports = msgspec.field(default_factory=dict)
    # Attempts reported that no record is known to name, and since when.
    strangers: dict[AttemptId, float] = msgspec.field(default_factory=dict)
    # Strangers that no record names: to be stopped and forgotten.
    useless: set[AttemptId] = msgspec.field(default_factory=set)
    # Ended attempts whose records are written.
    forget: set[AttemptId] = msgspec.field(default_factory=set)

    def take(
        self,
        request: SyncRequest,
        sent_s: float,
        answer: SyncAnswer,
        followed: Collection[AttemptId],
    ) -> None:
        """Take in an answer; ``followed`` are attempts placed here."""
        self.seen_s = sent_s
        self.silent = False
        self.reports = group_reports(answer.tasks)
        self.forget.difference_update(request.forget)
        self.strangers = {
            attempt: self.strangers.get(attempt, sent_s)
            for attempt in self.reports
            if attempt not in followed and attempt not in self.forget
        }
        self.useless.intersection_update(self.strangers)

    def judge_strangers(self, scan_began_s: float) -> None:
        """Find the strangers that no record named after they were seen."""
        self.useless.update(
            attempt
            for attempt, seen_s in self.strangers.items()
            if seen_s < scan_began_s
        )

    def holds(self, attempt: AttemptId) -> bool:
        """Return whether a part of ``attempt`` holds room here."""
        reports = self.reports.get(attempt, {})
        return any(report.state in _HOLDING for report in reports.values())


def group_reports(tasks: Collection[TaskReport]) -> AttemptReports:
    """Return the reports by attempt and part."""
    grouped: AttemptReports = defaultdict(dict)
    for report in tasks:
        grouped[report.attempt][report.part] = report
    return dict(grouped)
