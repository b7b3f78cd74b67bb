"""Last known state of a worker at the active control."""

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

_HOLDING_STATES = frozenset((TaskState.RESERVED, TaskState.RUNNING))


class WorkerLiveness(msgspec.Struct):
    """State of a worker as of its last response."""

    description: WorkerDescription
    # Whether the VM list says that it is shutting down.
    is_draining: bool = False
    # Send time of the last request that got a response.
    last_contact_at_s: float | None = None
    is_unresponsive: bool = False
    reports: AttemptReports = msgspec.field(default_factory=dict)
    # Reported attempts that are not known here, and since when; their
    # resources count as allocated.
    possible_orphans: dict[AttemptId, float] = msgspec.field(
        default_factory=dict
    )
    # Possible orphans that no record names; they are stopped and forgotten.
    orphans: set[AttemptId] = msgspec.field(default_factory=set)
    # Ended attempts whose records are written; the worker is to forget them.
    to_forget: set[AttemptId] = msgspec.field(default_factory=set)

    def record_response(
        self,
        request: SyncRequest,
        sent_at_s: float,
        response: SyncResponse,
        placed: Collection[AttemptId],
    ) -> None:
        """Apply a response to ``request``, which was sent at ``sent_at_s``.

        ``placed`` are the known attempts that are placed on this worker.
        """
        self.last_contact_at_s = sent_at_s
        self.is_unresponsive = False
        self.reports = group_reports(response.tasks)
        self.to_forget.difference_update(request.forget)
        self.possible_orphans = {
            attempt: self.possible_orphans.get(attempt, sent_at_s)
            for attempt in self.reports
            if attempt not in placed and attempt not in self.to_forget
        }
        self.orphans.intersection_update(self.possible_orphans)

    def confirm_orphans(self, scan_began_at_s: float) -> None:
        """Mark possible orphans that were reported before the last scan.

        ``scan_began_at_s`` is the start of that scan; had a record named them,
        they would be known by now.
        """
        self.orphans.update(
            attempt
            for attempt, reported_at_s in self.possible_orphans.items()
            if reported_at_s < scan_began_at_s
        )

    def has_resources_of(self, attempt: AttemptId) -> bool:
        """Return whether a part of ``attempt`` holds resources here."""
        reports = self.reports.get(attempt, {})
        return any(
            report.state in _HOLDING_STATES for report in reports.values()
        )


def group_reports(tasks: Collection[TaskReport]) -> AttemptReports:
    """Return the reports by attempt and part."""
    grouped: AttemptReports = defaultdict(dict)
    for report in tasks:
        grouped[report.attempt][report.part] = report
    return dict(grouped)
