"""Counts crashes of workers against their runs and gives up deadly tasks.

Runs are not accused when several workers of their domain fail at about the
same time, unless they had just started.
"""

from collections.abc import Iterable

from .completion import give_up_if_deadly
from .crash_history import IMMEDIATE_MS, CrashHistory
from .job_state import Allocation
from .plan import Plan
from .worker_crashes import (
    AccusedRun,
    WorkerCrash,
    may_be_accused,
    observe_crash,
    run_age_ms,
)
from .workers import Worker

# A silent worker is noticed at the latest after this time, so crashes of
# several workers within it may have one cause.
COMMON_CAUSE_S = 2.0
# Other workers of a domain that fail at the same time as one that crashed.
MIN_DOMAIN_FAILURES = 2


class CrashHandler:
    """Applies crashes to the jobs; remembers those of the last seconds."""

    def __init__(self) -> None:
        """Start without crashes."""
        self._crashes: list[WorkerCrash] = []

    def apply(
        self,
        crash: WorkerCrash | None,
        workers: Iterable[Worker],
        *,
        unix_ms: int,
        now_s: float,
    ) -> Plan:
        """Count ``crash`` against its runs; the plan ends jobs given up."""
        plan = Plan()
        if crash is None:
            return plan
        plan.accused = self._accuse_runs(crash, workers)
        for accused in plan.accused:
            job = accused.allocation.unit.job
            had_ended = job.has_ended
            plan.stops.extend(give_up_if_deadly(job, unix_ms, now_s))
            plan.changed.append(job)
            if job.has_ended and not had_ended:
                plan.ended.append(job)
        return plan

    def apply_replacement(
        self,
        worker: Worker,
        workers: Iterable[Worker],
        *,
        unix_ms: int,
        now_s: float,
    ) -> Plan:
        """Count a crash of ``worker``, whose address another one has taken."""
        runs = (*worker.allocations.values(), *worker.expired)
        crash = observe_crash(worker, runs, now_s)
        return self.apply(crash, workers, unix_ms=unix_ms, now_s=now_s)

    def _accuse_runs(
        self, crash: WorkerCrash, workers: Iterable[Worker]
    ) -> list[AccusedRun]:
        is_domain_failure = self._is_domain_failure(crash, workers)
        self._crashes = [
            other
            for other in self._crashes
            if crash.at_s - other.at_s <= COMMON_CAUSE_S
        ]
        self._crashes.append(crash)
        accused = []
        for allocation in crash.allocations:
            age_ms = run_age_ms(allocation, crash.at_s)
            is_excused = is_domain_failure and age_ms > IMMEDIATE_MS
            if not is_excused and may_be_accused(allocation, age_ms):
                accused.append(_accuse(allocation, age_ms, crash))
        return accused

    def _is_domain_failure(
        self, crash: WorkerCrash, workers: Iterable[Worker]
    ) -> bool:
        """Return whether other workers of its domain failed with ``crash``."""
        failures = [
            (other.worker, other.domain, other.at_s) for other in self._crashes
        ]
        failures.extend(
            (worker.id, worker.entry.domain, worker.silent_since_s)
            for worker in workers
            if worker.failed_polls
        )
        failed = {
            worker
            for worker, domain, at_s in failures
            if domain == crash.domain
            and abs(at_s - crash.at_s) <= COMMON_CAUSE_S
        }
        failed.discard(crash.worker)
        return len(failed) >= MIN_DOMAIN_FAILURES


def _accuse(
    allocation: Allocation, age_ms: int, crash: WorkerCrash
) -> AccusedRun:
    """Count ``crash`` against the task of ``allocation``."""
    crashes = allocation.unit.crashes
    known = crashes.get(allocation.index, CrashHistory())
    # A run that an earlier leader started may be of any age.
    is_age_known = allocation.start_sent_at_s is not None
    was_alone = crash.was_stable and len(crash.allocations) == 1
    history = known.add(
        age_ms,
        was_alone=was_alone and is_age_known,
        was_stable=crash.was_stable,
    )
    crashes[allocation.index] = history
    return AccusedRun(allocation, age_ms, history)
