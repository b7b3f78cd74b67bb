"""Ledger of what each organisation has running over all failure domains.

It is never below the truth. An allocation counts with its full size from its
placement, before its start is sent, until its run is known to be over: while it
starts, runs or is being stopped, and on workers that are silent. Also counted
are runs whose lease expired on a worker that has not reported since, until it
has certainly ended them, and runs that a worker reports although their
allocation was given up, as long as it is heard of or their lease runs.

A new leader has the allocations from the job records, which are stored before
a start is sent and after its end is known.
"""

from collections.abc import Iterator, Mapping

from ..ids import JobId, OrganisationId, WorkerId
from .allocation_table import AllocationTable
from .ids import UnitRef
from .job_spec import TaskSize
from .job_state import Job, Unit, find_unit
from .preemption_plan import PreemptionPlan
from .workers import Worker

Usage = dict[OrganisationId, TaskSize]

NOTHING = TaskSize()


class OrganisationUsage:
    """What organisations have running; only changed workers are summed."""

    def __init__(self) -> None:
        """Start without anything running."""
        # Units that were ready in the last pass.
        self.waiting: list[Unit] = []
        # Units that room was held for in it, as they exceeded the limit.
        self.held: frozenset[UnitRef] = frozenset()
        # What organisations stop of their own for units, where these are then
        # expected to start, and until when that is kept for them.
        self.freed_for: dict[UnitRef, tuple[PreemptionPlan, float]] = {}
        self._total: Usage = {}
        # The table that was summed last, its revision then and the sum.
        self._summed: dict[WorkerId, tuple[AllocationTable, int, Usage]] = {}

    def update(
        self,
        workers: Mapping[WorkerId, Worker],
        jobs: Mapping[JobId, Job],
        now_s: float = 0.0,
    ) -> Usage:
        """Return what each organisation has running at ``now_s``.

        Without it, runs whose lease ended long ago count, too.
        """
        for worker in self._summed.keys() - workers.keys():
            self._subtract(self._summed.pop(worker)[2])
        for worker_id, worker in workers.items():
            table = worker.allocations
            known = self._summed.get(worker_id)
            if known is None or (
                known[0] is not table or known[1] != table.revision
            ):
                self._sum_again(worker_id, table)
        usage = dict(self._total)
        for worker in workers.values():
            if worker.expired or worker.orphans:
                units = _units_without_allocation(worker, jobs, now_s)
                _add(usage, sum_sizes(units))
        return usage

    def _sum_again(self, worker: WorkerId, table: AllocationTable) -> None:
        known = self._summed.get(worker)
        if known is not None:
            self._subtract(known[2])
        held = sum_sizes(allocation.unit for allocation in table.values())
        self._summed[worker] = (table, table.revision, held)
        _add(self._total, held)

    def _subtract(self, usage: Usage) -> None:
        for organisation, size in usage.items():
            # None of a sum that tasks of size 0 are left of.
            left = self._total.get(organisation, NOTHING).minus(size)
            if left == NOTHING:
                self._total.pop(organisation, None)
            else:
                self._total[organisation] = left


def sum_sizes(units: Iterator[Unit]) -> Usage:
    """Return the size of one task of each of ``units`` by organisation."""
    usage: Usage = {}
    for unit in units:
        organisation = unit.job.spec.terms.organisation
        # Best-effort tasks count in full: they use CPU time, too.
        size = unit.spec.size
        usage[organisation] = usage.get(organisation, NOTHING).plus(size)
    return usage


def _units_without_allocation(
    worker: Worker, jobs: Mapping[JobId, Job], now_s: float
) -> Iterator[Unit]:
    """Yield the units of runs that may go on though they were given up."""
    may_hold_lapsed = worker.may_hold_lapsed_runs(now_s)
    if may_hold_lapsed:
        for allocation in worker.expired:
            yield allocation.unit
    if worker.failed_polls and not may_hold_lapsed:
        return
    for ref in worker.orphans:
        job = jobs.get(ref.task.job)
        unit = find_unit(job, ref.task) if job else None
        if unit is not None:
            yield unit


def _add(usage: Usage, added: Usage) -> None:
    for organisation, size in added.items():
        usage[organisation] = usage.get(organisation, NOTHING).plus(size)
