"""Decisions made so far in a scheduling pass, and the remaining capacity."""

from collections.abc import Iterable
from functools import cached_property

from .contract import Contract
from .free_capacity import DomainCapacity, TaskCounts, total_capacity_of
from .guarantee_slots import GuaranteeSlot
from .guarantees import Guarantees
from .ids import JobId
from .job import JobRecord, WorkerPlacement
from .placement import visible_workers
from .preemption import PreemptibleGangs
from .queue_order import Usage
from .runtime_estimates import RuntimeEstimates
from .scheduling_model import (
    DomainSnapshot,
    JobStart,
    Plan,
    Preemption,
    Reservation,
    RunningGang,
    UnrunnableJob,
    WaitingJob,
)


class PassState:
    """State that the steps of a scheduling pass share."""

    def __init__(self, snapshot: DomainSnapshot) -> None:
        """Start a pass over ``snapshot``."""
        self.snapshot = snapshot
        self.capacity = DomainCapacity(snapshot.workers)
        self.guarantees = Guarantees(snapshot, self.capacity)
        self.usage = Usage(
            snapshot,
            {
                name: self.guarantees.total_accelerators(name)
                for name in snapshot.contracts
            },
        )
        self.runtimes = RuntimeEstimates(snapshot.observed_runs)
        # Requirements for which this pass found no free capacity.
        self.unplaceable: set[tuple[object, ...]] = set()
        # Requirements within guarantees for which preemption found nothing.
        self.failed_preemptions: set[tuple[object, ...]] = set()
        # Preemption searches for normal jobs; limits the time of the pass.
        self.preemption_searches = 0
        self.reservations: dict[JobId, tuple[JobRecord, Reservation]] = {}
        self._starts: dict[JobId, JobStart] = {}
        self._preemptions: list[Preemption] = []
        self._unrunnable_jobs: list[UnrunnableJob] = []
        self._wait_reasons: dict[JobId, str] = {}
        # Capacity reserved for jobs until the gangs preempted for them end.
        self._awaiting_preemption: dict[JobId, Reservation] = {}

    @cached_property
    def preemptible(self) -> PreemptibleGangs:
        """Return the gangs that may be preempted."""
        return PreemptibleGangs(self.snapshot.running, self.capacity)

    def contract(self, record: JobRecord) -> Contract:
        """Return the contract that the job runs under."""
        return self.snapshot.contracts[record.organisation]

    def visible_workers(self, record: JobRecord) -> list[int]:
        """Return the indices of the workers that the job may run on."""
        visible = visible_workers(self.capacity, self.contract(record))
        if not record.failed_on:
            return visible
        untried = [
            index
            for index in visible
            if self.capacity.workers[index].worker not in record.failed_on
        ]
        could_fit = sum(
            total_capacity_of(self.capacity.workers[index]).fits(record.spec)
            for index in untried
        )
        # Includes the workers that the job failed on if it needs them.
        return untried if could_fit >= record.spec.tasks else visible

    def requirements(self, record: JobRecord) -> tuple[object, ...]:
        """Return a key; jobs with equal keys fit the same free capacity."""
        spec = record.spec
        per_task = (
            spec.accelerators_per_task,
            spec.cores_per_task,
            spec.memory_mb_per_task,
        )
        hidden = self.contract(record).hidden_racks
        return spec.tasks, per_task, spec.adjacency, hidden, record.failed_on

    def may_borrow(self, record: JobRecord) -> bool:
        """Return whether the contract lets the job borrow accelerators."""
        limit = self.contract(record).jobs.max_borrowed_accelerators
        in_use = self.usage.borrowed(record.organisation)
        return in_use + record.spec.accelerators <= limit

    def is_undecided(self, record: JobRecord) -> bool:
        """Return whether the job neither starts nor awaits preemption."""
        return (
            record.job not in self._starts
            and record.job not in self._awaiting_preemption
        )

    def start_job(
        self, record: JobRecord, counts: TaskCounts, slot: GuaranteeSlot | None
    ) -> None:
        """Start the job in ``slot``; without a slot it is borrowed work."""
        self.capacity.take(record.spec, counts)
        placement = self.capacity.placement_of(counts)
        self.record_start(record, placement, slot.name if slot else '')

    def record_start(
        self,
        record: JobRecord,
        placement: tuple[WorkerPlacement, ...],
        slot_name: str,
    ) -> None:
        """Record the start of a job whose capacity is already taken."""
        self.usage.add(record, borrowed=not slot_name)
        self._starts[record.job] = JobStart(
            job=record.job,
            placement=placement,
            borrowed=not slot_name,
            slot_name=slot_name,
        )

    def preempt_and_reserve(
        self,
        record: JobRecord,
        counts: TaskCounts,
        victims: Iterable[RunningGang],
        slot: GuaranteeSlot | None = None,
    ) -> None:
        """Preempt ``victims`` and reserve their capacity for the job."""
        reason = f'preempted for organisation {record.organisation}'
        self.preempt(record, victims, reason)
        self.reserve_preempted(record, counts, slot)

    def reserve_preempted(
        self, record: JobRecord, counts: TaskCounts, slot: GuaranteeSlot | None
    ) -> None:
        """Reserve capacity that becomes free when preempted gangs end."""
        self.capacity.take(record.spec, counts)
        now_s = self.snapshot.now_s
        self._awaiting_preemption[record.job] = Reservation(
            job=record.job,
            placement=self.capacity.placement_of(counts),
            since_s=now_s,
            expected_at_s=now_s,
            awaits_preemption=True,
            slot_name=slot.name if slot else '',
        )
        self.record_wait(record, 'waits for preempted gangs to stop')

    def preempt(
        self,
        record: JobRecord,
        victims: Iterable[RunningGang],
        reason: str,
    ) -> None:
        """Preempt those of ``victims`` that are not stopping already."""
        for victim in victims:
            if not self.preemptible.is_stopping(victim):
                self.preemptible.mark_stopping(victim)
                self._preemptions.append(
                    Preemption(victim.attempt, record.job, reason)
                )

    def add_reservation(
        self, record: JobRecord, reservation: Reservation
    ) -> None:
        """Keep the reserved capacity from jobs placed later in the pass."""
        self.reservations[record.job] = (record, reservation)
        counts = self.capacity.counts_of(reservation.placement)
        self.capacity.take(record.spec, counts)
        self.record_wait(record, 'waits for its reserved capacity')

    def mark_unrunnable(self, record: JobRecord, reason: str) -> None:
        """Record that the job can never run in this domain."""
        self._unrunnable_jobs.append(UnrunnableJob(record.job, reason))

    def record_wait(self, record: JobRecord, reason: str) -> None:
        """Record why the job waits; ignored if the job starts later."""
        self._wait_reasons[record.job] = reason

    def build_plan(self) -> Plan:
        """Return the decisions of the pass."""
        waiting_jobs = [
            WaitingJob(job, reason)
            for job, reason in self._wait_reasons.items()
            if job not in self._starts
        ]
        return Plan(
            starts=tuple(self._starts.values()),
            preemptions=tuple(self._preemptions),
            unrunnable_jobs=tuple(self._unrunnable_jobs),
            waiting_jobs=tuple(waiting_jobs),
            reservations=(
                *self._awaiting_preemption.values(),
                *(reservation for _, reservation in self.reservations.values()),
            ),
        )
