"""Runs that make no progress, while leaders change."""

from batch_builders import Bench, entry, job_spec

from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)


def change_leader(bench, job):
    """Return a new leader's bench; its worker reports the run of ``job``."""
    restored = restore_job(
        decode_submission(encode_submission(job)),
        decode_progress(encode_progress(job)),
        bench.now_s,
    )
    next_bench = Bench()
    next_bench.now_s = bench.now_s
    next_bench.clock_ms = bench.clock_ms
    next_bench.engine.restore([restored], bench.now_s + 20)
    (allocation,) = restored.units[0].allocations.values()
    next_bench.report(allocation.worker, running=[(allocation.ref, '', 0)])
    return next_bench, restored


def test_a_stalled_run_is_found_while_leaders_change():
    """The time without progress begins anew with each leader."""
    bench = Bench(entry('w1'))
    job = bench.submit(job_spec('stalled'))
    bench.start_all()
    stops = []
    for _ in range(20):
        for _ in range(3):
            bench.advance(1)
            bench.confirm()
            stops.extend(bench.plan().stops)
        bench, job = change_leader(bench, job)
    assert stops
