"""Stored records bring back what the scheduler knew."""

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


def reload(job):
    return restore_job(
        decode_submission(encode_submission(job)),
        decode_progress(encode_progress(job)),
        0.0,
    )


def places(unit):
    return {
        (allocation.index, allocation.run, allocation.worker)
        for allocation in unit.allocations.values()
    }


@given(
    kinds=st.lists(st.sampled_from(list(EndKind)[:6]), max_size=6),
    is_gang=st.booleans(),
)
def test_a_successor_knows_every_run(kinds, is_gang):
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
    again = reload(job)
    assert again.spec == job.spec
    assert again.phase is job.phase
    for before, after in zip(job.units, again.units, strict=True):
        assert after.phase is before.phase
        assert after.run == before.run
        assert after.failures == before.failures
        assert after.checkpoint == before.checkpoint
        assert places(after) == places(before)


def test_a_successor_adopts_what_runs_and_restarts_what_does_not():
    bench = Bench(*racks(1, 2))
    job = bench.submit(job_spec('job', step(2, accelerators=8)))
    first, second = bench.start_all().starts
    again = Bench(*racks(1, 2))
    restored = reload(job)
    again.engine = Engine()
    again.engine.restore([restored], leases_expire_at_s=again.now_s + 20)
    for one in racks(1, 2):
        again.add_worker(one)
    worker = again.engine.workers[first.worker]
    assert worker.has_reported
    assert restored.units[0].phase is UnitPhase.WAITING
    assert second.run == 1
    assert {allocation.run for allocation in again.plan().starts} == {2}


def test_a_run_on_an_unseen_worker_is_not_repeated_before_it_lapses():
    bench = Bench(*racks(1, 1))
    job = bench.submit(job_spec('job'))
    bench.start_all()
    again = Bench(*racks(1, 1, domain='b'))
    again.engine = Engine()
    restored = reload(job)
    again.engine.restore([restored], leases_expire_at_s=again.now_s + 20)
    again.advance(19.9)
    again.engine.expire_leases(unix_ms=1, now_s=again.now_s)
    assert restored.units[0].phase is UnitPhase.ACTIVE
    again.advance(0.2)
    again.engine.expire_leases(unix_ms=1, now_s=again.now_s)
    assert restored.units[0].phase is UnitPhase.WAITING
    assert restored.phase is not JobPhase.FAILED


@pytest.mark.parametrize('stored', [b'', b'\xc1', b'\x90', b'garbage'])
def test_unreadable_records_say_so(stored):
    with pytest.raises(RecordError):
        decode_submission(stored)
    with pytest.raises(RecordError):
        decode_progress(stored)
