"""Jobs that leave a domain: gangs give way, waiting records are moved."""

from collections.abc import Iterable, Sequence

from .configuration import Configuration
from .domain_jobs import DomainJobs, RecordChange
from .domain_snapshot import is_usable, queued_records
from .gang import GangAttempt, Phase, StopCause
from .ids import JobId
from .job import JobRecord
from .messages import DomainView
from .move_planner import MovePlanner, must_leave

# A domain without any usable worker for this long keeps no waiting job.
STRANDED_S = 10.0
# A job that waits for room for this long may move to where there is some.
MOVE_AFTER_S = 5.0


class JobRelocation:
    """Decides in each pass what leaves the domain of ``domain_jobs``."""

    def __init__(self, domain_jobs: DomainJobs) -> None:
        """Watch ``domain_jobs``."""
        self._domain_jobs = domain_jobs
        self._usable_at_s: float | None = None
        self._waiting_since_s: dict[JobId, float] = {}

    def drain(self, configuration: Configuration, now_s: float) -> None:
        """Have the gangs that may not run here any more give way.

        A job that is not idempotent runs on to its end once it has started:
        stopped, it could never be run again.
        """
        for gang in tuple(self._domain_jobs.table.gangs.values()):
            leaves = must_leave(
                gang.record, self._domain_jobs.domain, configuration
            )
            if leaves and not _runs_on(gang):
                self._domain_jobs.table.give_way(gang, StopCause.DRAINED, now_s)

    def find_moves(
        self,
        configuration: Configuration,
        views: Iterable[DomainView],
        now_s: float,
    ) -> list[RecordChange]:
        """Return the writes that give waiting jobs to other domains."""
        queued = queued_records(self._domain_jobs)
        self._note_waits(queued, now_s)
        planner = MovePlanner(self._domain_jobs.domain, configuration, views)
        forced = [
            record
            for record in queued
            if self._is_stranded(now_s)
            or must_leave(record, self._domain_jobs.domain, configuration)
        ]
        patient_s = now_s - MOVE_AFTER_S
        waiting = [
            record
            for record in queued
            if self._waiting_since_s[record.job] <= patient_s
        ]
        moves = planner.forced_moves(forced) or planner.balancing_moves(waiting)
        return [self._domain_jobs.move_change(move) for move in moves]

    def _note_waits(self, queued: Sequence[JobRecord], now_s: float) -> None:
        self._waiting_since_s = {
            record.job: self._waiting_since_s.get(record.job, now_s)
            for record in queued
        }
        sights = self._domain_jobs.table.workers.values()
        if self._usable_at_s is None or any(map(is_usable, sights)):
            self._usable_at_s = now_s

    def _is_stranded(self, now_s: float) -> bool:
        usable_at_s = self._usable_at_s
        return usable_at_s is not None and now_s - usable_at_s > STRANDED_S


def _runs_on(gang: GangAttempt) -> bool:
    if gang.phase is Phase.ADOPTING:
        # Shows soon whether it runs; only then can it write checkpoints.
        return True
    started = gang.phase in {Phase.STARTING, Phase.RUNNING}
    return started and not gang.record.spec.idempotent
