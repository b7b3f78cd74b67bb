"""Starts one small job on each quarantined worker to test it."""

from .free_capacity import free_capacity_of, number_parts
from .job import JobRecord
from .pass_state import PassState
from .scheduling_model import WorkerCapacity


def place_probes(state: PassState, waiting: list[JobRecord]) -> None:
    """Start one probe on each idle worker that takes only probes.

    A probe may fail. It is therefore a single idempotent task of a job that
    has not failed before, and borrowed, so that no guarantee depends on it.
    """
    candidates = [record for record in waiting if may_be_probe(record)]
    for worker in state.snapshot.workers:
        if worker.usable and worker.is_probe_only and _is_idle(worker):
            _start_probe(state, worker, candidates)


def _start_probe(
    state: PassState, worker: WorkerCapacity, candidates: list[JobRecord]
) -> None:
    free = free_capacity_of(worker)
    for record in candidates:
        hidden = state.contract(record).hidden_racks
        allowed = state.may_borrow(record) and free.rack not in hidden
        if state.is_undecided(record) and allowed and free.fits(record.spec):
            state.record_start(
                record, number_parts([(free.worker, 1)]), slot_name=''
            )
            return


def may_be_probe(record: JobRecord) -> bool:
    """Return whether the job loses little if it fails as a probe."""
    return (
        record.spec.tasks == 1
        and record.spec.idempotent
        and record.failures == 0
    )


def _is_idle(worker: WorkerCapacity) -> bool:
    return worker.free_cores == worker.description.cores
