"""Decisions of one scheduling pass so far, and the room that is left."""

from collections.abc import Iterable
from functools import cached_property

from .contract import Contract
from .free_capacity import DomainCapacity, TaskCounts, total_capacity_of
from .guarantee_slots import GuaranteeSlot
from .guarantees import Guarantees
from .ids import JobId
from .job import JobRecord, PlacedPart
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
    """What the steps of a pass read and change."""

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
        # Wishes that found no free room in this pass.
        self.unplaceable: set[tuple[object, ...]] = set()
        # Wishes within guarantees that no stop of borrowed work serves.
        self.failed_preemptions: set[tuple[object, ...]] = set()
        # Searches for room to clear for normal jobs, which bound the pass.
        self.preemption_searches = 0
        self.reservations: dict[JobId, tuple[JobRecord, Reservation]] = {}
        self._starts: dict[JobId, JobStart] = {}
        self._preemptions: list[Preemption] = []
        self._unrunnable_jobs: list[UnrunnableJob] = []
        self._waits: dict[JobId, str] = {}
        # Jobs that hold room until their victims have ended.
        self._clearing: dict[JobId, Reservation] = {}

    @cached_property
    def preemptible(self) -> PreemptibleGangs:
        """Return the gangs that may be stopped."""
        return PreemptibleGangs(self.snapshot.running, self.capacity)

    def contract(self, record: JobRecord) -> Contract:
        """Return the contract that the job runs under."""
        return self.snapshot.contracts[record.organisation]

    def visible_workers(self, record: JobRecord) -> list[int]:
        """Return the workers that the job may run on."""
        seen = visible_workers(self.capacity, self.contract(record))
        if not record.failed_on:
            return seen
        untried = [
            index
            for index in seen
            if self.capacity.workers[index].worker not in record.failed_on
        ]
        could_fit = sum(
            total_capacity_of(self.capacity.workers[index]).fits(record.spec)
            for index in untried
        )
        # A gang that needs the workers it failed on tries them again.
        return untried if could_fit >= record.spec.tasks else seen

    def requirements(self, record: JobRecord) -> tuple[object, ...]:
        """Return what decides whether free room serves the job."""
        spec = record.spec
        room = (
            spec.accelerators_per_task,
            spec.cores_per_task,
            spec.memory_mb_per_task,
        )
        hidden = self.contract(record).hidden_racks
        return spec.tasks, room, spec.adjacency, hidden, record.failed_on

    def may_borrow(self, record: JobRecord) -> bool:
        """Return whether the contract lets the job be borrowed work."""
        limit = self.contract(record).jobs.max_borrowed_accelerators
        held = self.usage.borrowed(record.organisation)
        return held + record.spec.accelerators <= limit

    def is_undecided(self, record: JobRecord) -> bool:
        """Return whether nothing was decided for the job yet."""
        return (
            record.job not in self._starts and record.job not in self._clearing
        )

    def place(
        self, record: JobRecord, counts: TaskCounts, slot: GuaranteeSlot | None
    ) -> None:
        """Start the job; without a slot it is borrowed."""
        self.capacity.take(record.spec, counts)
        placement = self.capacity.placement_of(counts)
        self.record_start(record, placement, slot.name if slot else '')

    def record_start(
        self,
        record: JobRecord,
        placement: tuple[PlacedPart, ...],
        slot_name: str,
    ) -> None:
        """Note the start of a job whose room is taken."""
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
        """Stop ``victims`` and hold their room for the job."""
        reason = f'room is wanted by organisation {record.organisation}'
        self.preempt(record, victims, reason)
        self.reserve_preempted(record, counts, slot)

    def reserve_preempted(
        self, record: JobRecord, counts: TaskCounts, slot: GuaranteeSlot | None
    ) -> None:
        """Hold room that is being cleared for the job."""
        self.capacity.take(record.spec, counts)
        now_s = self.snapshot.now_s
        self._clearing[record.job] = Reservation(
            job=record.job,
            placement=self.capacity.placement_of(counts),
            since_s=now_s,
            expected_at_s=now_s,
            awaits_preemption=True,
            slot_name=slot.name if slot else '',
        )
        self.record_wait(record, 'waits for reclaimed accelerators')

    def preempt(
        self,
        record: JobRecord,
        victims: Iterable[RunningGang],
        reason: str,
    ) -> None:
        """Stop those of ``victims`` that are not being stopped already."""
        for victim in victims:
            if not self.preemptible.is_stopping(victim):
                self.preemptible.mark_stopping(victim)
                self._preemptions.append(
                    Preemption(victim.attempt, record.job, reason)
                )

    def add_reservation(self, record: JobRecord, kept: Reservation) -> None:
        """Keep the room of a reservation from jobs that come later."""
        self.reservations[record.job] = (record, kept)
        counts = self.capacity.counts_of(kept.placement)
        self.capacity.take(record.spec, counts)
        self.record_wait(record, 'waits for the room reserved for it')

    def mark_unrunnable(self, record: JobRecord, reason: str) -> None:
        """Decide that the job can never run here."""
        self._unrunnable_jobs.append(UnrunnableJob(record.job, reason))

    def record_wait(self, record: JobRecord, reason: str) -> None:
        """Note why the job waits, unless it is placed after all."""
        self._waits[record.job] = reason

    def build_plan(self) -> Plan:
        """Return the plan."""
        waiting_jobs = [
            WaitingJob(job, reason)
            for job, reason in self._waits.items()
            if job not in self._starts
        ]
        return Plan(
            starts=tuple(self._starts.values()),
            preemptions=tuple(self._preemptions),
            unrunnable_jobs=tuple(self._unrunnable_jobs),
            waiting_jobs=tuple(waiting_jobs),
            reservations=(
                *self._clearing.values(),
                *(kept for _, kept in self.reservations.values()),
            ),
        )
