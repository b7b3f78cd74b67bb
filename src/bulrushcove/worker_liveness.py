"""What an active control knows of one worker."""

from collections import defaultdict
from collections.abc import Collection

import msgspec

from .ids import AttemptId
from .states import TaskState
from .worker_api import (
    SyncRequest,
    SyncResponse,
    TaskReport,
    WorkerDescription,
)

AttemptReports = dict[AttemptId, dict[int, TaskReport]]

_ALLOCATED_STATES = frozenset((TaskState.RESERVED, TaskState.RUNNING))


class WorkerLiveness(msgspec.Struct):
    """A worker as of its last answer."""

    description: WorkerDescription
    # Told by the VM list that it is going.
    is_draining: bool = False
    # When the last answered request was sent; None: never answered.
    last_contact_at_s: float | None = None
    is_unresponsive: bool = False
    reports: AttemptReports = msgspec.field(default_factory=dict)
    # Attempts reported that no record is known to name, and since when.
    possible_orphans: dict[AttemptId, float] = msgspec.field(
        default_factory=dict
    )
    # Strangers that no record names: to be stopped and forgotten.
    orphans: set[AttemptId] = msgspec.field(default_factory=set)
    # Ended attempts whose records are written.
    to_forget: set[AttemptId] = msgspec.field(default_factory=set)

    def record_response(
        self,
        request: SyncRequest,
        sent_s: float,
        answer: SyncResponse,
        followed: Collection[AttemptId],
    ) -> None:
        """Take in an answer; ``followed`` are attempts placed here."""
        self.last_contact_at_s = sent_s
        self.is_unresponsive = False
        self.reports = group_reports(answer.tasks)
        self.to_forget.difference_update(request.forget)
        self.possible_orphans = {
            attempt: self.possible_orphans.get(attempt, sent_s)
            for attempt in self.reports
            if attempt not in followed and attempt not in self.to_forget
        }
        self.orphans.intersection_update(self.possible_orphans)

    def confirm_orphans(self, scan_began_s: float) -> None:
        """Find the strangers that no record named after they were seen."""
        self.orphans.update(
            attempt
            for attempt, seen_s in self.possible_orphans.items()
            if seen_s < scan_began_s
        )

    def has_resources_of(self, attempt: AttemptId) -> bool:
        """Return whether a part of ``attempt`` holds room here."""
        reports = self.reports.get(attempt, {})
        return any(
            report.state in _ALLOCATED_STATES for report in reports.values()
        )


def group_reports(tasks: Collection[TaskReport]) -> AttemptReports:
    """Return the reports by attempt and part."""
    grouped: AttemptReports = defaultdict(dict)
    for report in tasks:
        grouped[report.attempt][report.part] = report
    return dict(grouped)
