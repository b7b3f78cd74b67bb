"""Delays ending unrunnable jobs, as missing workers may return."""

from collections.abc import Iterable

from .ids import JobId
from .scheduling_model import UnrunnableJob

# Failed racks and switches are usually back within this time.
UNRUNNABLE_AFTER_S = 900.0


class UnrunnableDelay:
    """Tracks since when each job has been unrunnable without interruption."""

    def __init__(self) -> None:
        """Start without any job."""
        self._since_s: dict[JobId, float] = {}

    def due(
        self,
        unrunnable_jobs: Iterable[UnrunnableJob],
        now_s: float,
    ) -> tuple[UnrunnableJob, ...]:
        """Return those of ``unrunnable_jobs`` to end now.

        These have been unrunnable for ``UNRUNNABLE_AFTER_S`` or longer.
        """
        by_job = {unrunnable.job: unrunnable for unrunnable in unrunnable_jobs}
        self._since_s = {job: self._since_s.get(job, now_s) for job in by_job}
        return tuple(
            by_job[job]
            for job, since_s in self._since_s.items()
            if now_s - since_s >= UNRUNNABLE_AFTER_S
        )
