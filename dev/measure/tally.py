"""Accumulates the totals of a replay, second by second."""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from bulrushcove.contract import Contract
from bulrushcove.ids import OrganisationId
from bulrushcove.queue_order import is_urgent
from bulrushcove.states import Adjacency
from dev.measure.arrivals import MIN_LARGE_ACCELERATORS
from dev.measure.cluster_fake import ACCELERATORS, Domain, Job, Run

# The guarantee of a job is missed when the job waits longer than this. The
# second limit is for normal jobs that use less than half of a shape; the first
# is for urgent jobs and larger ones.
GUARANTEE_WAIT_S = 10
PARTIAL_SHAPE_WAIT_S = 75
# Start and end of the period in which one domain is out of service.
DOMAIN_CHANGE_S = (2400.0, 3300.0)


class Tally(msgspec.Struct):
    """Totals of one replay.

    Work and capacity are in accelerator-seconds; ``refused`` is a number of
    jobs and ``missed`` holds the jobs whose guarantee was not met in time.
    """

    refused: int = 0
    free_accelerator_s: float = 0.0
    fragmented_accelerator_s: float = 0.0
    completed: float = 0.0
    lost: float = 0.0
    completed_in_change: float = 0.0
    lost_in_change: float = 0.0
    capacity_in_change: float = 0.0
    missed: set[str] = msgspec.field(default_factory=set)

    def record_completed(self, run: Run, now_s: float) -> None:
        """Add work that was completed or saved by a checkpoint."""
        accelerators = run.job.record.spec.accelerators
        self.completed += run.run_time_s(now_s) * accelerators
        begin_s, end_s = DOMAIN_CHANGE_S
        in_change_s = min(now_s, end_s) - max(run.started_s, begin_s)
        self.completed_in_change += max(in_change_s, 0) * accelerators

    def record_lost(self, run: Run, now_s: float) -> None:
        """Add work that was lost."""
        work = run.run_time_s(now_s) * run.job.record.spec.accelerators
        self.lost += work
        if DOMAIN_CHANGE_S[0] <= now_s < DOMAIN_CHANGE_S[1]:
            self.lost_in_change += work

    def count(
        self,
        domains: Iterable[Domain],
        contracts: Mapping[OrganisationId, Contract],
        now_s: float,
    ) -> None:
        """Add the state of ``domains`` in one second."""
        for domain in domains:
            free = _free_by_worker(domain)
            largest = _largest_shape(domain, contracts)
            self.free_accelerator_s += sum(free)
            self.fragmented_accelerator_s += sum(free) - _usable_accelerators(
                free, *largest
            )
            self._record_missed(domain, contracts, now_s)
            if DOMAIN_CHANGE_S[0] <= now_s < DOMAIN_CHANGE_S[1]:
                self.capacity_in_change += len(domain.workers) * ACCELERATORS

    def _record_missed(
        self,
        domain: Domain,
        contracts: Mapping[OrganisationId, Contract],
        now_s: float,
    ) -> None:
        """Record jobs within the guarantee that have waited too long."""
        allocated = Counter[OrganisationId]()
        for run in domain.runs.values():
            record = run.job.record
            allocated[record.organisation] += record.spec.accelerators
        for job in domain.queue.values():
            record = job.record
            shapes = contracts[record.organisation].guaranteed
            largest = max(shape.accelerators for shape in shapes)
            guaranteed_accelerators = sum(
                shape.accelerators * shape.count for shape in shapes
            )
            size = record.spec.accelerators
            is_partial = 2 * size < largest and not is_urgent(record)
            wait_threshold_s = (
                PARTIAL_SHAPE_WAIT_S if is_partial else GUARANTEE_WAIT_S
            )
            if size > min(
                largest,
                guaranteed_accelerators - allocated[record.organisation],
            ):
                job.guaranteed_since_s = None
            elif job.guaranteed_since_s is None:
                job.guaranteed_since_s = now_s
            elif now_s - job.guaranteed_since_s > wait_threshold_s:
                self.missed.add(record.job)


def _free_by_worker(domain: Domain) -> list[int]:
    free = dict.fromkeys(domain.workers, ACCELERATORS)
    for run in domain.runs.values():
        for placed in run.job_start.placement:
            tasks = len(placed.parts)
            per_task = run.job.record.spec.accelerators_per_task
            free[placed.worker] -= tasks * per_task
    return list(free.values())


def _largest_shape(
    domain: Domain, contracts: Mapping[OrganisationId, Contract]
) -> tuple[int, Adjacency]:
    """Return size and adjacency of the largest guaranteed or queued job."""
    guaranteed = [
        (shape.accelerators, shape.adjacency)
        for contract in contracts.values()
        for shape in contract.guaranteed
    ]
    queued = [
        (job.record.spec.accelerators, job.record.spec.adjacency)
        for job in domain.queue.values()
    ]
    return max((*guaranteed, *queued), key=lambda shape: shape[0])


def _usable_accelerators(
    free: list[int], size: int, adjacency: Adjacency
) -> int:
    """Return the free accelerators usable by jobs of this size."""
    if adjacency is Adjacency.WORKER:
        return sum(each // size * size for each in free)
    return sum(free) // size * size


def is_large(job: Job) -> bool:
    """Return whether the job counts as large."""
    return job.record.spec.accelerators >= MIN_LARGE_ACCELERATORS
