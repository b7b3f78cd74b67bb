"""Tracks the workers by their entries in the list of workers."""

import msgspec

from ..ids import DomainName, RackId, WorkerId
from .ids import PoolName
from .job_spec import TaskSize
from .worker_reliability import WorkerReliability
from .workers import UNKNOWN_START, Worker, WorkerEntry

# A worker without an entry is gone, except after a store outage: live workers
# write their entries again within 2 s of its end.
UNLISTED_GRACE_S = 2.5
# A worker whose runs may have crashed it is waited for this long, to tell.
CRASH_GRACE_S = 20.0

Workers = dict[WorkerId, Worker]


def record_entry(
    workers: Workers,
    reliability: WorkerReliability,
    entry: WorkerEntry,
    now_s: float,
) -> Worker:
    """Add or update the worker that wrote ``entry``, and return it."""
    worker = workers.get(entry.worker)
    if worker is None:
        worker = Worker(entry=entry)
        workers[entry.worker] = worker
    known = worker.entry
    if entry.started_unix_ms != known.started_unix_ms:
        reliability.forget(entry.worker)
    _record_capacity(worker, entry)
    if entry.is_draining and not known.is_draining:
        worker.draining_since_s = now_s
    if entry.is_draining and known.is_draining:
        # The time until shutdown counts from the first notice.
        entry = msgspec.structs.replace(
            entry, shutdown_in_ms=known.shutdown_in_ms
        )
    is_other_incarnation = entry.started_unix_ms not in {
        known.started_unix_ms,
        UNKNOWN_START,
    }
    if is_other_incarnation and not worker.has_reported:
        worker.begin_incarnation(entry.started_unix_ms)
    elif is_other_incarnation:
        # The worker's own reports determine its incarnation. It may have
        # restarted while it was idle, and is asked for a report.
        worker.require_report(now_s)
    if worker.has_reported:
        entry = msgspec.structs.replace(
            entry, started_unix_ms=known.started_unix_ms
        )
    worker.entry = entry
    worker.is_listed = True
    return worker


def _record_capacity(worker: Worker, entry: WorkerEntry) -> None:
    if worker.full_capacity_unix_ms != entry.started_unix_ms:
        # A new incarnation may be of another kind.
        worker.full_capacity = entry.capacity
        worker.full_capacity_unix_ms = entry.started_unix_ms
    worker.full_capacity = worker.full_capacity.union(entry.capacity)


def mark_unlisted(workers: Workers, worker: WorkerId, now_s: float) -> None:
    """Record that the entry of ``worker`` was removed from the list."""
    known = workers.get(worker)
    if known is not None and known.is_listed:
        known.is_listed = False
        known.unlisted_since_s = now_s


def remove_departed(
    workers: Workers, reliability: WorkerReliability, now_s: float
) -> list[WorkerId]:
    """Remove unlisted workers without allocations; returns their ids.

    Those that may still run what was given up are kept until its lease ends.
    """
    departed = [
        worker.id for worker in workers.values() if _has_departed(worker, now_s)
    ]
    for worker_id in departed:
        workers.pop(worker_id)
        reliability.forget(worker_id)
    return departed


def placeholder_worker(worker: WorkerId) -> Worker:
    """Return an unlisted worker for an id that only a job record names."""
    entry = WorkerEntry(
        worker=worker,
        pool=PoolName(''),
        address='',
        domain=DomainName(''),
        rack=RackId(''),
        labels=frozenset(),
        capacity=TaskSize(),
    )
    return Worker(entry=entry, is_listed=False)


def _has_departed(worker: Worker, now_s: float) -> bool:
    if worker.is_listed or worker.allocations:
        return False
    if worker.orphans and worker.may_hold_lapsed_runs(now_s):
        return False
    grace_s = CRASH_GRACE_S if worker.expired else UNLISTED_GRACE_S
    return now_s - worker.unlisted_since_s > grace_s
