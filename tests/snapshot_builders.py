"""Builders of snapshots for the tests of the scheduling pass."""

from bulrushcove.contract import Contract
from bulrushcove.job import JobRecord, JobSpec, WorkerPlacement
from bulrushcove.scheduling_model import (
    DomainSnapshot,
    RunningGang,
    WorkerCapacity,
)
from bulrushcove.states import JobState
from bulrushcove.worker_api import WorkerDescription

NOW_S = 1000.0


def describe(name, rack='r1', domain='north', accelerators=8):
    return WorkerDescription(
        worker=name,
        domain=domain,
        rack=rack,
        accelerators=accelerators,
        cores=32,
        memory_mb=65536,
    )


def worker(name, rack='r1', free=8, usable=True, cores=32):
    return WorkerCapacity(
        description=describe(name, rack),
        free_accelerators=free,
        free_cores=cores,
        free_memory_mb=65536,
        usable=usable,
    )


def contract(name='mill', guaranteed=(), **fields):
    return Contract(
        organisation=name,
        token_sha256=(),
        guaranteed=tuple(guaranteed),
        **fields,
    )


def job(
    name,
    organisation='mill',
    accelerators=1,
    cores=1,
    memory_mb=512,
    accepted_ms=0,
    **spec,
):
    return JobRecord(
        job=name,
        organisation=organisation,
        spec=JobSpec(
            kind=spec.pop('kind', 'review'),
            accelerators_per_task=accelerators,
            cores_per_task=cores,
            memory_mb_per_task=memory_mb,
            **spec,
        ),
        state=JobState.QUEUED,
        domain='north',
        accepted_unix_ms=accepted_ms,
    )


def gang(record, spread, borrowed=False, **fields):
    """Return ``record`` running with ``spread`` tasks on each worker."""
    placement = []
    first = 0
    for name, count in spread.items():
        parts = tuple(range(first, first + count))
        placement.append(WorkerPlacement(worker=name, parts=parts))
        first += count
    return RunningGang(
        job=record.job,
        attempt=f'{record.job}-1',
        organisation=record.organisation,
        record=record,
        placement=tuple(placement),
        borrowed=borrowed,
        started_s=fields.pop('started_s', NOW_S),
        **fields,
    )


def snapshot(workers, queued=(), running=(), contracts=None, **fields):
    agreed = [contract()] if contracts is None else contracts
    return DomainSnapshot(
        domain='north',
        now_s=NOW_S,
        now_unix_ms=1_000_000,
        workers=tuple(workers),
        running=tuple(running),
        queued=tuple(queued),
        contracts={
            agreed_contract.organisation: agreed_contract
            for agreed_contract in agreed
        },
        **fields,
    )
