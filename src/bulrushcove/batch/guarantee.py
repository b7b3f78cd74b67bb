"""What organisations are guaranteed for their urgent jobs."""

from collections.abc import Iterable

from ..ids import OrganisationId
from .job_spec import JobSpec
from .job_state import Job
from .policy import Policy
from .queue_order import URGENT


def max_step_accelerators(spec: JobSpec) -> int:
    """Return what the widest step of ``spec`` asks for at once."""
    return max(step.task_count * step.size.accelerators for step in spec.steps)


def is_within_guarantee(
    job: Job, active: Iterable[Job], policy: Policy | None
) -> bool:
    """Return whether the guarantee covers all urgent jobs like ``job``.

    Counts those of its organisation that have not ended.
    """
    organisation = job.spec.terms.organisation
    needed = sum(
        max_step_accelerators(other.spec)
        for other in active
        if _counts(other, organisation)
    )
    return needed <= _guaranteed(organisation, policy)


def _counts(job: Job, organisation: OrganisationId) -> bool:
    terms = job.spec.terms
    is_own = terms.organisation == organisation
    return is_own and terms.priority == URGENT and not job.has_ended


def _guaranteed(organisation: OrganisationId, policy: Policy | None) -> int:
    for known in policy.organisations if policy else ():
        if known.name == organisation:
            return known.guaranteed_accelerators
    return 0
