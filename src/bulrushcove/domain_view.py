"""Builds the view of a domain that its active control publishes."""

from collections import Counter

from .domain_jobs import DomainJobs
from .domain_snapshot import free_accelerators, is_usable
from .ids import RackId, VmId
from .messages import DomainView
from .states import JobState


def make_view(domain_jobs: DomainJobs, control: VmId) -> DomainView:
    """Return the current view of the domain, published by VM ``control``."""
    known_workers = domain_jobs.table.workers.values()
    accelerators_by_worker = [
        liveness.description.accelerators for liveness in known_workers
    ]
    racks = _rack_totals(domain_jobs)
    states = Counter(
        stored.record.state for stored in domain_jobs.jobs.values()
    )
    return DomainView(
        domain=domain_jobs.domain,
        control=control,
        epoch=domain_jobs.table.epoch,
        workers=len(accelerators_by_worker),
        usable_workers=sum(is_usable(liveness) for liveness in known_workers),
        free_accelerators=free_accelerators(domain_jobs),
        total_accelerators=sum(accelerators_by_worker),
        largest_rack=max(racks.values(), default=0),
        largest_worker=max(accelerators_by_worker, default=0),
        queued_jobs=states[JobState.QUEUED],
        running_jobs=states[JobState.RUNNING] + states[JobState.STARTING],
    )


def _rack_totals(domain_jobs: DomainJobs) -> Counter[RackId]:
    totals: Counter[RackId] = Counter()
    for liveness in domain_jobs.table.workers.values():
        totals[liveness.description.rack] += liveness.description.accelerators
    return totals
