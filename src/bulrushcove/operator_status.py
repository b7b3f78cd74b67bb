"""Builds the status of VMs, failure domains and workers for operators."""

from collections.abc import Iterable

from .configuration import Configuration
from .ids import DomainName
from .messages import ClusterView
from .operator_api import (
    DomainStatus,
    StatusResponse,
    WorkerList,
    WorkerStatus,
)
from .worker_api import WorkerDescription


def build_status(
    configuration: Configuration,
    view: ClusterView | None,
) -> StatusResponse:
    """Return the status of the system.

    ``view`` is the last one from the control on this VM; None: none yet.
    """
    known = sorted(known_domains(configuration, view))
    return StatusResponse(
        revision=configuration.revision,
        control_linked=view is not None,
        platform_reachable=bool(view and view.platform_reachable),
        vms=view.vm_statuses if view else (),
        domains=tuple(
            _build_domain_status(domain, configuration, view)
            for domain in known
        ),
    )


def build_workers(
    workers: Iterable[WorkerDescription],
    configuration: Configuration,
) -> WorkerList:
    """Return the workers with their domain states, sorted by domain."""
    statuses = [
        WorkerStatus(
            worker=worker.worker,
            domain=worker.domain,
            domain_state=configuration.domains.get(worker.domain),
            rack=worker.rack,
            accelerators=worker.accelerators,
            cores=worker.cores,
            memory_mb=worker.memory_mb,
        )
        for worker in workers
    ]
    statuses.sort(
        key=lambda status: (status.domain, status.rack, status.worker)
    )
    return WorkerList(workers=tuple(statuses))


def known_domains(
    configuration: Configuration,
    view: ClusterView | None,
) -> frozenset[DomainName]:
    """Return the domains that operators have set or that contain a VM."""
    known = set(configuration.domains)
    if view is not None:
        known.update(entry.domain for entry in view.vms)
        known.update(status.domain for status in view.vm_statuses)
        known.update(reported.domain for reported in view.domains)
    return frozenset(known)


def _build_domain_status(
    domain: DomainName,
    configuration: Configuration,
    view: ClusterView | None,
) -> DomainStatus:
    views = {shown.domain: shown for shown in view.domains} if view else {}
    permits = view.permit_age_ms if view else {}
    return DomainStatus(
        domain=domain,
        state=configuration.domains.get(domain),
        view=views.get(domain),
        permit_age_ms=permits.get(domain),
    )
