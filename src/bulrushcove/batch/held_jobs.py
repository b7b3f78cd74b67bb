"""Which accepted jobs have their units in memory.

Load: a store with more jobs than this VM may hold, which a leader with more
memory or an earlier version has accepted. Jobs that have never run are parked
without units until others end, and ended jobs give theirs up.
"""

from collections.abc import Callable, Collection, Iterable

from ..ids import JobId
from .job_budget import JobBudget
from .job_spec import JobSpec
from .job_state import Job, unpark


class HeldJobs:
    """Counts the jobs of a leader against its budget."""

    def __init__(self, memory_mb: int) -> None:
        """Start without jobs on a machine of ``memory_mb``; 0: not known."""
        self.budget = JobBudget(memory_mb)
        # The oldest first.
        self.parked: dict[JobId, Job] = {}
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
                job.units = []
                job.window_head = None
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
                self.budget.hold(job.spec)
