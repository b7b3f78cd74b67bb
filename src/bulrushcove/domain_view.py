"""Report of a domain by its active control."""

from collections import Counter

from .domain_jobs import DomainCore
from .domain_snapshot import free_accelerators, is_usable
from .ids import RackId, VmId
from .messages import DomainView
from .states import JobState


def make_view(core: DomainCore, control: VmId) -> DomainView:
    """Return the view of the domain as of now."""
    sights = core.table.workers.values()
    offered = [sight.description.accelerators for sight in sights]
    racks = _rack_totals(core)
    states = Counter(stored.record.state for stored in core.jobs.values())
    return DomainView(
        domain=core.domain,
        control=control,
        epoch=core.table.epoch,
        workers=len(offered),
        usable_workers=sum(is_usable(sight) for sight in sights),
        free_accelerators=free_accelerators(core),
        total_accelerators=sum(offered),
        largest_rack=max(racks.values(), default=0),
        largest_worker=max(offered, default=0),
        queued_jobs=states[JobState.QUEUED],
        running_jobs=states[JobState.RUNNING] + states[JobState.STARTING],
    )


def _rack_totals(core: DomainCore) -> Counter[RackId]:
    totals: Counter[RackId] = Counter()
    for sight in core.table.workers.values():
        totals[sight.description.rack] += sight.description.accelerators
    return totals
