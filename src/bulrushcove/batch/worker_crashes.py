"""Attributes the crash of a worker to the runs that it had.

A crash is the end of a worker's incarnation, shown by a new one or by another
worker at its address, without notice that it leaves. Silence, a cut link or an
expired lease are no crash.
"""

from collections.abc import Iterable

import msgspec

from ..clock import MS_PER_S
from ..ids import DomainName, WorkerId
from .crash_history import CrashHistory
from .job_state import Allocation, UnitPhase
from .workers import Worker, WorkerReport

# A run that lasted longer has shown that its worker survives its start.
MAX_ACCUSED_AGE_MS = 5000
# Assumed when a previous leader sent the start, or the worker did not confirm
# it: not immediate.
UNKNOWN_AGE_MS = 2000
# Below this uptime a worker counts as unstable: it may have crashed by itself.
STABLE_UPTIME_S = 5.0


class WorkerCrash(msgspec.Struct, frozen=True):
    """Crash of one incarnation of a worker."""

    worker: WorkerId
    domain: DomainName
    # When the worker was first silent, or was seen to have restarted.
    at_s: float
    was_stable: bool
    # All runs whose start was sent to it and that had not ended.
    allocations: tuple[Allocation, ...]


class AccusedRun(msgspec.Struct, frozen=True):
    """A run that counts as a possible cause of a crash."""

    allocation: Allocation
    age_ms: int
    # The crashes of the task including this one.
    history: CrashHistory


def observe_crash(
    worker: Worker, allocations: Iterable[Allocation], now_s: float
) -> WorkerCrash | None:
    """Return the crash of ``worker``; None if it had no runs or was leaving.

    Must be called before the state of the incarnation is reset.
    """
    sent = tuple(one for one in allocations if one.is_start_sent)
    if not sent or worker.entry.is_draining:
        return None
    at_s = worker.silent_since_s if worker.failed_polls else now_s
    return WorkerCrash(
        worker.id, worker.entry.domain, at_s, _is_stable(worker, at_s), sent
    )


def find_crashed_runs(
    worker: Worker, report: WorkerReport, now_s: float
) -> list[Allocation]:
    """Return the runs that ended as the worker restarted before ``report``."""
    is_restarted = report.started_unix_ms != worker.entry.started_unix_ms
    if worker.has_reported and not is_restarted:
        return []
    if report.is_cut:
        # A run that is not listed may have ended.
        return []
    started_at_s = now_s - report.clock_ms / MS_PER_S
    listed = {running.ref for running in report.running}
    listed.update(ended.ref for ended in report.ended)
    crashed = []
    for allocation in (*worker.allocations.values(), *worker.expired):
        incarnation = allocation.worker_started_unix_ms
        is_other = incarnation not in {0, report.started_unix_ms}
        sent_at_s = allocation.start_sent_at_s
        was_sent_before = sent_at_s is None or sent_at_s < started_at_s
        if is_other and was_sent_before and allocation.ref not in listed:
            crashed.append(allocation)
    return crashed


def is_stable(worker: Worker, now_s: float) -> bool:
    """Return whether ``worker`` has been up for a while."""
    return worker.estimate_clock_ms(now_s) >= STABLE_UPTIME_S * MS_PER_S


def _is_stable(worker: Worker, at_s: float) -> bool:
    # A new leader may not have heard of the incarnation that crashed.
    return not worker.clock_read_at_s or is_stable(worker, at_s)


def run_age_ms(allocation: Allocation, crashed_at_s: float) -> int:
    """Return the time from the start of the run to the crash, at most."""
    started_at_s = allocation.start_sent_at_s
    is_exact = allocation.start_confirmed_at_s is not None
    if started_at_s is None:
        started_at_s = allocation.start_confirmed_at_s
        is_exact = False
    elapsed_s = 0 if started_at_s is None else crashed_at_s - started_at_s
    age_ms = max(0, round(elapsed_s * MS_PER_S))
    return age_ms if is_exact else max(age_ms, UNKNOWN_AGE_MS)


def may_be_accused(allocation: Allocation, age_ms: int) -> bool:
    """Return whether a run of this age may have caused the crash."""
    unit = allocation.unit
    if unit.job.has_ended or unit.phase is UnitPhase.DONE:
        return False
    return age_ms <= MAX_ACCUSED_AGE_MS
