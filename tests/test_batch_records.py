"""Jobs restored from stored records by a new leader."""

import pytest
from batch_builders import Bench, job_spec, racks, step
from hypothesis import given
from hypothesis import strategies as st

from bulrushcove.batch.engine import Engine
from bulrushcove.batch.exceptions import RecordError
from bulrushcove.batch.job_state import JobPhase, UnitPhase
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from bulrushcove.batch.workers import EndKind


def store_and_restore(job):
    return restore_job(
        decode_submission(encode_submission(job)),
        decode_progress(encode_progress(job)),
        0.0,
    )


def runs_of(unit):
    return {
        (allocation.index, allocation.run, allocation.worker)
        for allocation in unit.allocations.values()
    }


@given(
    kinds=st.lists(st.sampled_from(list(EndKind)[:6]), max_size=6),
    is_gang=st.booleans(),
)
def test_restored_job_equals_stored_job(kinds, is_gang):
    bench = Bench(*racks(1, 2))
    job = bench.submit(job_spec('job', step(3, is_gang=is_gang), attempts=9))
    for kind in kinds:
        bench.start_all()
        allocations = [
            allocation
            for unit in job.units
            for allocation in unit.allocations.values()
        ]
        for allocation in allocations[:2]:
            bench.end(allocation, kind, f'saved-{kind.value}')
    restored = store_and_restore(job)
    assert restored.spec == job.spec
    assert restored.phase is job.phase
    for before, after in zip(job.units, restored.units, strict=True):
        assert after.phase is before.phase
        assert after.run == before.run
        assert after.failures == before.failures
        assert after.checkpoint == before.checkpoint
        assert runs_of(after) == runs_of(before)


def test_new_leader_restarts_runs_that_workers_do_not_report():
    bench = Bench(*racks(1, 2))
    job = bench.submit(job_spec('job', step(2, accelerators=8)))
    first, second = bench.start_all().starts
    new_bench = Bench(*racks(1, 2))
    restored = store_and_restore(job)
    new_bench.engine = Engine()
    new_bench.engine.restore(
        [restored], leases_expire_at_s=new_bench.now_s + 20
    )
    for worker_entry in racks(1, 2):
        new_bench.add_worker(worker_entry)
    worker = new_bench.engine.workers[first.worker]
    assert worker.has_reported
    assert restored.units[0].phase is UnitPhase.WAITING
    assert second.run == 1
    assert {allocation.run for allocation in new_bench.plan().starts} == {2}


def test_run_on_unreported_worker_restarts_only_after_lease_expiry():
    bench = Bench(*racks(1, 1))
    job = bench.submit(job_spec('job'))
    bench.start_all()
    new_bench = Bench(*racks(1, 1, domain='b'))
    new_bench.engine = Engine()
    restored = store_and_restore(job)
    new_bench.engine.restore(
        [restored], leases_expire_at_s=new_bench.now_s + 20
    )
    new_bench.advance(19.9)
    new_bench.engine.expire_leases(unix_ms=1, now_s=new_bench.now_s)
    assert restored.units[0].phase is UnitPhase.ACTIVE
    new_bench.advance(0.2)
    new_bench.engine.expire_leases(unix_ms=1, now_s=new_bench.now_s)
    assert restored.units[0].phase is UnitPhase.WAITING
    assert restored.phase is not JobPhase.FAILED


@pytest.mark.parametrize('stored', [b'', b'\xc1', b'\x90', b'garbage'])
def test_undecodable_records_raise_record_error(stored):
    with pytest.raises(RecordError):
        decode_submission(stored)
    with pytest.raises(RecordError):
        decode_progress(stored)


def test_a_gang_that_fails_while_leaders_change_counts_one_failure():
    """Its members counted twice, and the job was given up one run early."""
    bench = Bench(*racks(1, 2))
    spec = job_spec('job', step(2, accelerators=8, is_gang=True), attempts=2)
    job = bench.submit(spec)
    first, second = bench.start_all().starts
    bench.end(first, EndKind.FAILED)
    new_bench = Bench()
    restored = store_and_restore(job)
    new_bench.engine.restore(
        [restored], leases_expire_at_s=new_bench.now_s + 20
    )
    new_bench.report(second.worker, ended=[(1, second.ref, EndKind.FAILED, '')])
    assert restored.units[0].failures == 1
    assert not restored.has_ended
