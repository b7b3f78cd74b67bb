"""Prefers nearly full failure domains, so that whole ones stay free."""

from collections.abc import Iterable

from .ids import DomainName
from .job import JobSpec
from .messages import DomainView


def best_fit_domain(
    spec: JobSpec, views: Iterable[DomainView]
) -> DomainName | None:
    """Return the domain with the least free room that serves the job.

    Small jobs then leave room for large ones elsewhere. None: no domain of
    ``views`` has enough free accelerators.
    """
    enough = [
        view for view in views if view.free_accelerators >= spec.accelerators
    ]
    best = min(
        enough,
        key=lambda view: (view.free_accelerators, view.domain),
        default=None,
    )
    return best.domain if best else None
