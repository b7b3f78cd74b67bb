"""Stops gangs that have to leave a domain, and moves queued jobs.

Queued jobs move if they cannot run in the domain, or if they have waited and
another domain has idle capacity.
"""

from collections.abc import Iterable, Sequence

from .configuration import Configuration
from .domain_jobs import DomainJobs, RecordChange
from .domain_snapshot import is_usable, queued_records
from .gang import GangAttempt, Phase, StopCause
from .ids import JobId
from .job import JobRecord
from .messages import DomainView
from .move_planner import MovePlanner, must_leave

# Queued jobs leave a domain without usable workers after this time.
MAX_UNUSABLE_S = 10.0
# A queued job may move to a domain with idle capacity after this time.
MOVE_AFTER_S = 5.0


class JobRelocation:
    """Decides in each pass which jobs leave a domain."""

    def __init__(self, domain_jobs: DomainJobs) -> None:
        """Decide about the jobs of ``domain_jobs``."""
        self._domain_jobs = domain_jobs
        self._last_usable_at_s: float | None = None
        self._waiting_since_s: dict[JobId, float] = {}

    def drain(self, configuration: Configuration, now_s: float) -> None:
        """Stop the gangs that may no longer run in this domain.

        A started job that is not idempotent runs to its end, as it could not
        be started again after a stop.
        """
        for gang in tuple(self._domain_jobs.table.gangs.values()):
            must_stop = must_leave(
                gang.record, self._domain_jobs.domain, configuration
            )
            if must_stop and not _must_run_to_end(gang):
                self._domain_jobs.table.checkpoint_and_stop(
                    gang, StopCause.DRAINED, now_s
                )

    def find_moves(
        self,
        configuration: Configuration,
        views: Iterable[DomainView],
        now_s: float,
    ) -> list[RecordChange]:
        """Return the writes that move queued jobs to other domains."""
        queued = queued_records(self._domain_jobs)
        self._record_waits(queued, now_s)
        planner = MovePlanner(self._domain_jobs.domain, configuration, views)
        forced = [
            record
            for record in queued
            if self._is_unusable(now_s)
            or must_leave(record, self._domain_jobs.domain, configuration)
        ]
        movable_since_s = now_s - MOVE_AFTER_S
        waiting = [
            record
            for record in queued
            if self._waiting_since_s[record.job] <= movable_since_s
        ]
        moves = planner.forced_moves(forced) or planner.balancing_moves(waiting)
        return [self._domain_jobs.move_change(move) for move in moves]

    def _record_waits(self, queued: Sequence[JobRecord], now_s: float) -> None:
        self._waiting_since_s = {
            record.job: self._waiting_since_s.get(record.job, now_s)
            for record in queued
        }
        known_workers = self._domain_jobs.table.workers.values()
        if self._last_usable_at_s is None or any(map(is_usable, known_workers)):
            self._last_usable_at_s = now_s

    def _is_unusable(self, now_s: float) -> bool:
        last_usable_at_s = self._last_usable_at_s
        return (
            last_usable_at_s is not None
            and now_s - last_usable_at_s > MAX_UNUSABLE_S
        )


def _must_run_to_end(gang: GangAttempt) -> bool:
    if gang.phase is Phase.ADOPTING:
        # It is not known yet whether the gang runs and can write a checkpoint.
        return True
    started = gang.phase in {Phase.STARTING, Phase.RUNNING}
    return started and not gang.record.spec.idempotent
