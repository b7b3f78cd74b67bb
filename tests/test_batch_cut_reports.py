"""A worker lists 500 ends at a time; a run beyond them is not lost."""

import msgspec
from batch_builders import Bench, entry, job_spec, report, step

from bulrushcove.batch.job_state import JobPhase, UnitPhase
from bulrushcove.batch.membership import record_entry
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from bulrushcove.batch.workers import EndKind


def started(bench):
    bench.job = bench.submit(job_spec('job', step(3)))
    return bench.start_all().starts


def apply(bench, runs, first=1, **others):
    """Apply a report of ``runs``, which are done, numbered from ``first``."""
    ended = [
        (first + position, run.ref, EndKind.DONE, '')
        for position, run in enumerate(runs)
    ]
    is_cut = others.pop('is_cut', False)
    bench.advance(1)
    full = report(bench.clock_ms, ended=ended, **others)
    return bench.engine.apply_report(
        bench.engine.workers['w1'],
        msgspec.structs.replace(full, is_cut=is_cut),
        requested_at_s=bench.now_s,
        now_s=bench.now_s,
        unix_ms=bench.unix_ms,
    )


def phases(job):
    return [unit.phase for unit in job.units]


def successor_of(bench):
    """Return a new leader, which has read the job from the store."""
    successor = Bench()
    successor.job = restore_job(
        decode_submission(encode_submission(bench.job)),
        decode_progress(encode_progress(bench.job)),
        successor.now_s,
    )
    successor.engine.restore([successor.job], successor.now_s + 8)
    return successor


def test_runs_beyond_a_cut_list_of_ends_are_not_started_again():
    """100 of 600 runs that had ended on a worker were run again."""
    bench = Bench(entry('w1'))
    runs = started(bench)
    apply(bench, runs[:1], is_cut=True)
    assert phases(bench.job) == [
        UnitPhase.DONE,
        UnitPhase.ACTIVE,
        UnitPhase.ACTIVE,
    ]
    apply(bench, runs[1:], first=2)
    assert bench.job.phase is JobPhase.SUCCEEDED


def test_a_run_that_is_in_no_list_is_lost_once_the_list_is_complete():
    bench = Bench(entry('w1'))
    runs = started(bench)
    apply(bench, runs[:1], is_cut=True)
    apply(bench, runs[1:2], first=2)
    assert phases(bench.job) == [
        UnitPhase.DONE,
        UnitPhase.DONE,
        UnitPhase.WAITING,
    ]


def test_a_new_leader_waits_for_the_complete_list():
    """It took each run that its first report did not list for ended."""
    bench = Bench(entry('w1'))
    runs = started(bench)
    successor = successor_of(bench)
    apply(successor, runs[:1], is_cut=True)
    assert phases(successor.job)[1:] == [UnitPhase.ACTIVE, UnitPhase.ACTIVE]
    apply(successor, runs[1:2], first=2)
    assert phases(successor.job) == [
        UnitPhase.DONE,
        UnitPhase.DONE,
        UnitPhase.WAITING,
    ]


def test_a_cut_list_of_a_new_incarnation_ends_no_run():
    bench = Bench(entry('w1'))
    runs = started(bench)
    _, report_changes = apply(bench, runs[:1], is_cut=True, started_unix_ms=2)
    assert report_changes.crash is None
    assert phases(bench.job)[1:] == [UnitPhase.ACTIVE, UnitPhase.ACTIVE]
    apply(bench, (), started_unix_ms=2)
    assert phases(bench.job)[1:] == [UnitPhase.WAITING, UnitPhase.WAITING]


def test_a_run_placed_after_a_cut_first_report_is_not_ended_by_the_next():
    """The full report was made before its start arrived."""
    bench = Bench(entry('w1'))
    runs = started(bench)
    successor = successor_of(bench)
    engine = successor.engine
    record_entry(
        engine.workers, engine.reliability, entry('w1'), successor.now_s
    )
    apply(successor, runs[:1], is_cut=True)
    new_job = successor.submit(job_spec('new'))
    (start,) = successor.plan().starts
    start.is_start_sent = True
    start.start_sent_at_s = successor.now_s + 2
    apply(successor, runs[1:], first=2)
    assert new_job.units[0].phase is UnitPhase.ACTIVE


def test_after_a_silence_a_cut_list_ends_no_run():
    bench = Bench(entry('w1'))
    runs = started(bench)
    worker = bench.engine.workers['w1']
    bench.engine.end_incarnation(worker, unix_ms=1, now_s=bench.now_s)
    apply(bench, runs[:1], is_cut=True)
    assert not worker.has_complete_report


def test_a_run_beyond_a_cut_list_is_not_stopped_as_stalled():
    bench = Bench(entry('w1'))
    runs = started(bench)
    for _ in range(5):
        apply(bench, runs[:1], is_cut=True)
    assert not bench.plan().stops
