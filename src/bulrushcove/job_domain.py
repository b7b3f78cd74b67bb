"""Choice of the failure domain whose control owns a new job."""

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
    """Return the domain in service that the job waits least in.

    A domain that no control reports may hold anything. Raises
    ``RefusedError`` for a gang larger than any domain can hold, and when no
    domain is in service.
    """
    reported = {view.domain: view for view in views}
    visible = _visible_domains(contract, configuration)
    in_service = [
        domain
        for domain in visible
        if configuration.domains[domain] is DomainState.IN_SERVICE
    ]
    fitting = [
        domain for domain in visible if _can_hold(reported.get(domain), spec)
    ]
    if visible and not fitting:
        raise _too_large(spec, reported)
    candidates = [domain for domain in fitting if domain in in_service]
    if not candidates:
        raise RefusedError(
            UNAVAILABLE,
            'no failure domain that can hold the job is in service',
        )
    return min(
        candidates,
        key=lambda domain: (
            not _has_room(reported.get(domain), spec),
            # Borrowed work gives way there, and nowhere else.
            not _is_guaranteed(contract, domain, spec),
            _queued(reported.get(domain)),
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


def _can_hold(view: DomainView | None, spec: JobSpec) -> bool:
    if view is None:
        return True
    if spec.accelerators_per_task > view.largest_worker:
        return False
    return spec.accelerators <= _room_by_adjacency(view, spec.adjacency)


def _room_by_adjacency(view: DomainView, adjacency: Adjacency) -> int:
    if adjacency is Adjacency.WORKER:
        return view.largest_worker
    if adjacency is Adjacency.RACK:
        return view.largest_rack
    return view.total_accelerators


def _too_large(
    spec: JobSpec,
    reported: dict[DomainName, DomainView],
) -> RefusedError:
    most = max(
        _room_by_adjacency(view, spec.adjacency) for view in reported.values()
    )
    worker = max(view.largest_worker for view in reported.values())
    return RefusedError(
        UNPROCESSABLE,
        f'{spec.tasks} tasks of {spec.accelerators_per_task} accelerators on '
        f'one {spec.adjacency.value} are more than any domain can hold',
        field='spec.tasks',
        limit=f'{most} accelerators, {worker} on one worker',
    )


def _has_room(view: DomainView | None, spec: JobSpec) -> bool:
    return view is not None and view.free_accelerators >= spec.accelerators


def _queued(view: DomainView | None) -> int:
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
