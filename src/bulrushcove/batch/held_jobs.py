"""Which accepted jobs have their units in memory.

Load: a store with more jobs than this VM may hold, which a leader with more
memory or an earlier version has accepted. Jobs that have never run are parked
without units until others end, and ended jobs give theirs up. Jobs at work that
start nothing are parked again, so that no job that cannot run keeps others out.
"""

from collections.abc import Callable, Collection, Iterable

from ..ids import JobId
from .job_budget import JobBudget
from .job_spec import JobSpec
from .job_state import Job, JobPhase, unpark

# Jobs that have started nothing for this long give way to parked ones.
TURN_S = 30.0


class HeldJobs:
    """Counts the jobs of a leader against its budget."""

    def __init__(self, memory_mb: int) -> None:
        """Start without jobs on a machine of ``memory_mb``; 0: not known."""
        self.budget = JobBudget(memory_mb)
        # The oldest first.
        self.parked: dict[JobId, Job] = {}
        # Those that were parked and are at work, and when their turn ends if
        # others are parked.
        self._in_turn: dict[JobId, Job] = {}
        self._turn_ends_at_s: float | None = None
        # Ended jobs without runs that still have units.
        self._ended: dict[JobId, Job] = {}

    def accept(self, spec: JobSpec) -> None:
        """Count a new job; raises ``JobRefusedError`` if there is no room."""
        self.budget.refuse_beyond(spec)
        self.budget.hold(spec)

    def restore(self, job: Job) -> None:
        """Count a job that was loaded from the store."""
        if job.units:
            self.budget.hold(job.spec)
            return
        self.budget.hold_without_units(job.spec)
        if not job.has_ended:
            self.parked[job.id] = job

    def release(self, jobs: Iterable[JobId]) -> None:
        """Forget ``jobs``, which are gone."""
        self.budget.release(jobs)

    def record_ended(self, job: Job) -> None:
        """Note that ``job`` has ended and has no runs."""
        self._ended[job.id] = job

    def drop_units(self, is_stored: Callable[[Job], bool]) -> None:
        """Drop the units of ended jobs whose records are stored."""
        for job in tuple(self._ended.values()):
            if is_stored(job):
                self._ended.pop(job.id)
                _drop_units(job)
                self.budget.hold_without_units(job.spec)

    def unpark(self, active: Collection[JobId]) -> None:
        """Give units to the parked jobs for which there is room.

        One of ``active`` is always at work, however little this VM may hold.
        """
        for job in tuple(self.parked.values()):
            is_none_at_work = len(self.parked) == len(active)
            if job.has_ended:
                self.parked.pop(job.id)
            elif is_none_at_work or self.budget.has_room(job.spec):
                self.parked.pop(job.id)
                unpark(job)
                self._in_turn[job.id] = job
                self.budget.hold(job.spec)

    def end_turn(self, now_s: float) -> None:
        """Park the jobs that started nothing in their turn behind the others.

        They keep their place as long as no job is parked.
        """
        if not self.parked:
            self._turn_ends_at_s = None
            self._in_turn.clear()
            return
        if self._turn_ends_at_s is None:
            self._turn_ends_at_s = now_s + TURN_S
        if now_s < self._turn_ends_at_s:
            return
        self._turn_ends_at_s = None
        for job in self._in_turn.values():
            if job.phase is JobPhase.QUEUED and not job.has_started:
                _drop_units(job)
                self.budget.hold_without_units(job.spec)
                self.parked[job.id] = job
        self._in_turn.clear()


def _drop_units(job: Job) -> None:
    """Drop the units of ``job``, of which nothing runs."""
    job.units = []
    job.window_head = None
