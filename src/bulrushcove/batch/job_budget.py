"""What accepted jobs may hold together, in all and for each organisation.

Load: clients that submit one job of the largest size after the other. A job
costs memory for each of its tasks, even while they wait, and time in each pass;
so a job may take only a part of what is left, and small jobs of other callers
are still accepted when large ones no longer are.
"""

from collections import defaultdict
from collections.abc import Iterable

from ..ids import JobId, OrganisationId
from .exceptions import JobRefusedError
from .job_spec import JobSpec, count_tasks

BYTES_PER_MB = 1024 * 1024
# Memory of a machine whose settings do not name it.
DEFAULT_MEMORY_MB = 512
# Share of the memory that jobs may hold. The rest is for the program itself,
# connections, and records that are read and written.
JOBS_MEMORY_SHARE = 0.35
# Share of that for the jobs of one organisation.
ORGANISATION_SHARE = 0.75
# A job may take this share of what is left.
SHARE_OF_REST = 0.75
# Bytes that a job holds, that each of its tasks does while it runs, and that
# each of its steps does (docs/PLATFORM.md has the measurement).
JOB_BYTES = 2000
TASK_BYTES = 1100
STEP_BYTES = 700
DEPENDENCY_BYTES = 16
# Jobs that end make room; large ones take a while.
FULL_RETRY_S = 5.0


def held_bytes(spec: JobSpec) -> int:
    """Return how many bytes a job holds until it has ended."""
    return held_bytes_without_units(spec) + TASK_BYTES * count_tasks(spec)


def held_bytes_without_units(spec: JobSpec) -> int:
    """Return how many bytes a job holds that is parked or has ended."""
    dependencies = sum(len(step.after) for step in spec.steps)
    return (
        JOB_BYTES
        + len(spec.payload)
        + STEP_BYTES * len(spec.steps)
        + DEPENDENCY_BYTES * dependencies
    )


class JobBudget:
    """Adds up what the jobs of a leader hold."""

    def __init__(self, memory_mb: int = 0) -> None:
        """Start without jobs on a machine of ``memory_mb``; 0: not known."""
        memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
        self.limit_bytes = int(memory_bytes * JOBS_MEMORY_SHARE)
        self.held_bytes = 0
        self._by_job: dict[JobId, tuple[OrganisationId, int]] = {}
        self._by_organisation: dict[OrganisationId, int] = defaultdict(int)

    def refuse_beyond(self, spec: JobSpec) -> None:
        """Raise ``JobRefusedError`` if there is no room for a new job."""
        if not self.has_room(spec):
            organisation = spec.terms.organisation
            raise JobRefusedError(
                f'job {spec.job} of {count_tasks(spec)} tasks needs '
                f'{held_bytes(spec)} bytes; jobs of {organisation!r} hold '
                f'{self._by_organisation.get(organisation, 0)}, all '
                f'{self.held_bytes} of {self.limit_bytes}',
                FULL_RETRY_S,
            )

    def has_room(self, spec: JobSpec) -> bool:
        """Return whether a new job of ``spec`` may be accepted."""
        own_bytes = self._by_organisation.get(spec.terms.organisation, 0)
        own_limit_bytes = self.limit_bytes * ORGANISATION_SHARE
        left_bytes = min(
            self.limit_bytes - self.held_bytes, own_limit_bytes - own_bytes
        )
        return held_bytes(spec) <= SHARE_OF_REST * left_bytes

    def hold(self, spec: JobSpec) -> None:
        """Count a job that is accepted."""
        self._count(spec, held_bytes(spec))

    def hold_without_units(self, spec: JobSpec) -> None:
        """Count a job that is parked, or has ended and has no runs."""
        self._count(spec, held_bytes_without_units(spec))

    def release(self, jobs: Iterable[JobId]) -> None:
        """Forget ``jobs``."""
        for job in jobs:
            organisation, known_bytes = self._by_job.pop(job, ('', 0))
            if known_bytes:
                self._add(OrganisationId(organisation), -known_bytes)

    def _count(self, spec: JobSpec, needed_bytes: int) -> None:
        self.release((spec.job,))
        organisation = spec.terms.organisation
        self._by_job[spec.job] = (organisation, needed_bytes)
        self._add(organisation, needed_bytes)

    def _add(self, organisation: OrganisationId, change_bytes: int) -> None:
        self.held_bytes += change_bytes
        self._by_organisation[organisation] += change_bytes
        if not self._by_organisation[organisation]:
            self._by_organisation.pop(organisation)
