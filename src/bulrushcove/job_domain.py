"""Chooses the failure domain whose control owns a new job."""

from collections.abc import Iterable

from .configuration import Configuration
from .contract import Contract
from .exceptions import RefusedError
from .ids import DomainName
from .job import JobSpec
from .messages import DomainView
from .states import Adjacency, DomainState

UNPROCESSABLE = 422
UNAVAILABLE = 503


def choose_domain(
    spec: JobSpec,
    contract: Contract,
    configuration: Configuration,
    views: Iterable[DomainView],
    own_domain: DomainName,
) -> DomainName:
    """Return the in-service domain in which the job should wait least.

    A domain that no control reports is assumed to be large enough. Raises
    ``RefusedError`` for a gang that is too large for every domain, and if no
    domain that is large enough is in service.
    """
    views_by_domain = {view.domain: view for view in views}
    visible = _visible_domains(contract, configuration)
    in_service = [
        domain
        for domain in visible
        if configuration.domains[domain] is DomainState.IN_SERVICE
    ]
    large_enough = [
        domain
        for domain in visible
        if _is_large_enough(views_by_domain.get(domain), spec)
    ]
    if visible and not large_enough:
        raise _too_large_error(spec, views_by_domain)
    candidates = [domain for domain in large_enough if domain in in_service]
    if not candidates:
        raise RefusedError(
            UNAVAILABLE,
            'no failure domain that can hold the job is in service',
        )
    return min(
        candidates,
        key=lambda domain: (
            not _has_free_capacity(views_by_domain.get(domain), spec),
            # Only there is borrowed work preempted for the job.
            not _is_guaranteed(contract, domain, spec),
            _queued_jobs(views_by_domain.get(domain)),
            domain != own_domain,
            domain,
        ),
    )


def _visible_domains(
    contract: Contract,
    configuration: Configuration,
) -> list[DomainName]:
    return sorted(
        domain
        for domain in configuration.domains
        if domain not in contract.hidden_domains
    )


def _is_large_enough(view: DomainView | None, spec: JobSpec) -> bool:
    if view is None:
        return True
    if spec.accelerators_per_task > view.largest_worker:
        return False
    return spec.accelerators <= _capacity_within(view, spec.adjacency)


def _capacity_within(view: DomainView, adjacency: Adjacency) -> int:
    if adjacency is Adjacency.WORKER:
        return view.largest_worker
    if adjacency is Adjacency.RACK:
        return view.largest_rack
    return view.total_accelerators


def _too_large_error(
    spec: JobSpec,
    views_by_domain: dict[DomainName, DomainView],
) -> RefusedError:
    largest = max(
        _capacity_within(view, spec.adjacency)
        for view in views_by_domain.values()
    )
    largest_worker = max(
        view.largest_worker for view in views_by_domain.values()
    )
    return RefusedError(
        UNPROCESSABLE,
        f'{spec.tasks} tasks of {spec.accelerators_per_task} accelerators on '
        f'one {spec.adjacency.value} are more than any domain can hold',
        field='spec.tasks',
        limit=f'{largest} accelerators, {largest_worker} on one worker',
    )


def _has_free_capacity(view: DomainView | None, spec: JobSpec) -> bool:
    return view is not None and view.free_accelerators >= spec.accelerators


def _queued_jobs(view: DomainView | None) -> int:
    return view.queued_jobs if view else 0


def _is_guaranteed(
    contract: Contract,
    domain: DomainName,
    spec: JobSpec,
) -> bool:
    return any(
        shape.domain == domain and shape.accelerators >= spec.accelerators
        for shape in contract.guaranteed
    )
