"""Accelerators guaranteed to organisations for their urgent jobs."""

from collections.abc import Iterable

from ..ids import OrganisationId
from .job_spec import JobSpec
from .job_state import Job
from .policy import Policy
from .queue_order import URGENT


def max_step_accelerators(spec: JobSpec) -> int:
    """Return the accelerators of the largest step of ``spec``."""
    return max(step.task_count * step.size.accelerators for step in spec.steps)


def is_within_guarantee(
    organisation: OrganisationId, active: Iterable[Job], policy: Policy | None
) -> bool:
    """Return whether the guarantee of ``organisation`` covers its urgent jobs.

    Counts all of them that have not ended.
    """
    needed_accelerators = sum(
        max_step_accelerators(other.spec)
        for other in active
        if _is_open_urgent_job(other, organisation)
    )
    return needed_accelerators <= _guaranteed_accelerators(organisation, policy)


def _is_open_urgent_job(job: Job, organisation: OrganisationId) -> bool:
    terms = job.spec.terms
    is_same_organisation = terms.organisation == organisation
    return (
        is_same_organisation and terms.priority == URGENT and not job.has_ended
    )


def _guaranteed_accelerators(
    organisation: OrganisationId, policy: Policy | None
) -> int:
    for configured in policy.organisations if policy else ():
        if configured.name == organisation:
            return configured.guaranteed_accelerators
    return 0
