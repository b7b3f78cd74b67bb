"""Tries distrusted workers with one small job each."""

from .free_capacity import free_capacity_of, number_parts
from .job import JobRecord
from .pass_state import PassState
from .scheduling_model import WorkerCapacity


def place_probes(state: PassState, waiting: list[JobRecord]) -> None:
    """Start one job on each idle worker that is to be probed.

    A probe may fail, so it is a single idempotent task that has not failed
    before, and it is borrowed, so that no guarantee depends on it.
    """
    candidates = [record for record in waiting if may_be_probe(record)]
    for worker in state.snapshot.workers:
        if worker.usable and worker.is_probe_only and _is_idle(worker):
            _probe(state, worker, candidates)


def _probe(
    state: PassState, worker: WorkerCapacity, candidates: list[JobRecord]
) -> None:
    room = free_capacity_of(worker)
    for record in candidates:
        hidden = state.contract(record).hidden_racks
        allowed = state.may_borrow(record) and room.rack not in hidden
        if state.is_undecided(record) and allowed and room.fits(record.spec):
            state.record_start(
                record, number_parts([(room.worker, 1)]), slot_name=''
            )
            return


def may_be_probe(record: JobRecord) -> bool:
    """Return whether little is lost if the job fails once more."""
    return (
        record.spec.tasks == 1
        and record.spec.idempotent
        and record.failures == 0
    )


def _is_idle(worker: WorkerCapacity) -> bool:
    return worker.free_cores == worker.description.cores
