"""Which workers there are, by the list that they write themselves into."""

import msgspec

from ..ids import DomainName, RackId, WorkerId
from .ids import PoolName
from .job_spec import TaskSize
from .worker_reliability import WorkerReliability
from .workers import Worker, WorkerEntry

# A missing entry means that the worker has left, unless the store was away:
# live workers are listed again within two seconds of its return.
UNLISTED_GRACE_S = 2.5

Workers = dict[WorkerId, Worker]


def record_entry(
    workers: Workers,
    reliability: WorkerReliability,
    entry: WorkerEntry,
    now_s: float,
) -> Worker:
    """Take note of what a worker says of itself in the list."""
    worker = workers.get(entry.worker)
    if worker is None:
        worker = Worker(entry=entry)
        workers[entry.worker] = worker
    known = worker.entry
    if entry.started_unix_ms != known.started_unix_ms:
        reliability.forget(entry.worker)
    if entry.is_draining and not known.is_draining:
        worker.draining_since_s = now_s
    if entry.is_draining and known.is_draining:
        # The time that is left counts from the first notice.
        entry = msgspec.structs.replace(
            entry, shutdown_in_ms=known.shutdown_in_ms
        )
    if worker.has_reported:
        # Its own reports decide on which life it is in.
        entry = msgspec.structs.replace(
            entry, started_unix_ms=known.started_unix_ms
        )
    worker.entry = entry
    worker.is_listed = True
    return worker


def mark_unlisted(workers: Workers, worker: WorkerId, now_s: float) -> None:
    """Take note that the worker's entry is gone."""
    known = workers.get(worker)
    if known is not None and known.is_listed:
        known.is_listed = False
        known.unlisted_since_s = now_s


def remove_departed(
    workers: Workers, reliability: WorkerReliability, now_s: float
) -> list[WorkerId]:
    """Drop unlisted workers that hold nothing; returns their ids."""
    gone = [worker.id for worker in workers.values() if _is_gone(worker, now_s)]
    for worker_id in gone:
        workers.pop(worker_id)
        reliability.forget(worker_id)
    return gone


def placeholder_worker(worker: WorkerId) -> Worker:
    """Return a stand-in for a worker that only a record names."""
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


def _is_gone(worker: Worker, now_s: float) -> bool:
    if worker.is_listed or worker.allocations:
        return False
    return now_s - worker.unlisted_since_s > UNLISTED_GRACE_S
