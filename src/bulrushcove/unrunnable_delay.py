"""Delays the end of jobs that cannot run: what is missing may come back."""

from collections.abc import Iterable

from .ids import JobId
from .scheduling_model import UnrunnableJob

# A rack or switch that fails is back within this time on most days.
UNRUNNABLE_AFTER_S = 900.0


class UnrunnableDelay:
    """Remembers since when each job cannot run, without a break."""

    def __init__(self) -> None:
        """Start without any job."""
        self._since_s: dict[JobId, float] = {}

    def due(
        self,
        unrunnable_jobs: Iterable[UnrunnableJob],
        now_s: float,
    ) -> tuple[UnrunnableJob, ...]:
        """Return those of this pass whose jobs have waited long enough."""
        judged = {unrunnable.job: unrunnable for unrunnable in unrunnable_jobs}
        self._since_s = {job: self._since_s.get(job, now_s) for job in judged}
        return tuple(
            judged[job]
            for job, since_s in self._since_s.items()
            if now_s - since_s >= UNRUNNABLE_AFTER_S
        )
