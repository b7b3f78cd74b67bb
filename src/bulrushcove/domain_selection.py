"""Selects a failure domain for a job by best fit."""

from collections.abc import Iterable

from .ids import DomainName
from .job import JobSpec
from .messages import DomainView


def best_fit_domain(
    spec: JobSpec, views: Iterable[DomainView]
) -> DomainName | None:
    """Return the domain with the fewest free accelerators that fit the job.

    Small jobs thus leave other domains free for large ones. Returns None if
    no domain of ``views`` has enough free accelerators.
    """
    sufficient = [
        view for view in views if view.free_accelerators >= spec.accelerators
    ]
    best = min(
        sufficient,
        key=lambda view: (view.free_accelerators, view.domain),
        default=None,
    )
    return best.domain if best else None
