"""No task that was done runs again, whatever becomes of its worker.

Real schedulers lead in turn; workers, calls and the store are a model with
faults on virtual time (``worker_lives_model``). The invariants are numbered as
in the breaches that the model notes:

1. No start of a task is carried out after a run of it has ended ``done`` on a
   worker and that end is acknowledged to it, then or later, unless the lease
   lapsed between the two. Lapsed or not, no leader sends a start of a task of
   which it has received the end ``done``, that is stored as done, or of which
   such an end was acknowledged.
2. No end is acknowledged to an incarnation of a worker that did not list it
   before in a report that the acknowledging leader has received.
3. No end ``done`` is acknowledged before its task is stored as done.
4. No two runs of a task are at work at a time on workers that are up.
5. All jobs have succeeded ``HEAL_S`` after the last trouble.
"""

import asyncio

import msgspec
import pytest
import worker_lives_model
from batch_builders import entry, job_spec, report
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from worker_lives_model import (
    CUT,
    DOWN,
    LATE,
    MUTE,
    SLOW,
    SOUND,
    World,
    play,
)

from bulrushcove.batch import engine as engine_module
from bulrushcove.batch.engine import Engine
from bulrushcove.batch.ids import RunRef, TaskRef
from bulrushcove.batch.membership import record_entry
from bulrushcove.batch.plan import Plan
from bulrushcove.batch.workers import EndKind, ReportedEnds


class Submit(msgspec.Struct, frozen=True):
    """A client submits a job."""

    count: int
    work_s: float

    async def apply(self, world):
        world.spawn(world.submit(self.count, self.work_s))


class CallTrouble(msgspec.Struct, frozen=True):
    """The calls to a worker have these fates in turn for a while."""

    worker: str
    fates: tuple[str, ...]
    late_s: float
    lasts_s: float

    async def apply(self, world):
        world.log(str(self))
        trouble = world.workers[self.worker].trouble
        trouble.begin(self.fates, self.late_s, self.lasts_s)


class StoreTrouble(msgspec.Struct, frozen=True):
    """The transactions have these fates in turn for a while."""

    fates: tuple[str, ...]
    late_s: float
    lasts_s: float

    async def apply(self, world):
        world.log(str(self))
        world.store_trouble.begin(self.fates, self.late_s, self.lasts_s)


class Restart(msgspec.Struct, frozen=True):
    """A worker crashes and starts again under its id and address."""

    worker: str
    down_s: float

    async def apply(self, world):
        world.spawn(world.workers[self.worker].restart(self.down_s))


class ChangeLeader(msgspec.Struct, frozen=True):
    """Another leader follows; the last one may act for a while."""

    gap_s: float
    overlap_s: float

    async def apply(self, world):
        world.spawn(world.change_leader(self.gap_s, self.overlap_s))


WORKERS = st.sampled_from(('w0', 'w1'))
LATE_S = st.sampled_from((0.6, 1.7, 3.0))
LASTS_S = st.sampled_from((0.5, 2.0, 5.0, 12.0))
FATES = st.sampled_from((SOUND, SLOW, MUTE, LATE, CUT))
SUBMISSIONS = st.builds(
    Submit,
    count=st.integers(1, 4),
    work_s=st.sampled_from((0.01, 0.3, 1.0, 4.0, 8.0)),
)
ACTIONS = st.one_of(
    SUBMISSIONS,
    SUBMISSIONS,
    st.builds(
        CallTrouble,
        worker=WORKERS,
        fates=st.lists(FATES, min_size=1, max_size=4).map(tuple),
        late_s=LATE_S,
        lasts_s=LASTS_S,
    ),
    # Silence, at times for longer than a lease.
    st.builds(
        CallTrouble,
        worker=WORKERS,
        fates=st.just((CUT,)),
        late_s=st.just(0),
        lasts_s=st.sampled_from((2.0, 8.0, 11.0, 16.0)),
    ),
    st.builds(
        StoreTrouble,
        fates=st.lists(
            st.sampled_from((SOUND, LATE, MUTE, CUT, DOWN)),
            min_size=1,
            max_size=4,
        ).map(tuple),
        late_s=LATE_S,
        lasts_s=LASTS_S,
    ),
    # Later transactions are stored first.
    st.builds(
        StoreTrouble,
        fates=st.permutations((SOUND, SOUND, LATE)).map(tuple),
        late_s=st.just(0.9),
        lasts_s=st.sampled_from((5.0, 12.0)),
    ),
    st.builds(Restart, worker=WORKERS, down_s=st.sampled_from((0.8, 1.5, 4.5))),
    st.builds(
        ChangeLeader,
        gap_s=st.sampled_from((0.0, 0.5, 3.0)),
        overlap_s=st.sampled_from((0.0, 1.0, 6.0)),
    ),
)
# Pairs of a wait and the action after it.
SCRIPTS = st.lists(
    st.tuples(st.sampled_from((0.0, 0.0, 0.2, 1.0, 3.0, 9.0)), ACTIONS),
    min_size=4,
    max_size=12,
)
LIST_LIMITS = st.sampled_from((1, 2, 500))


def play_script(script, list_limit=500, **options):
    """Play pairs of a wait and an action; return the world."""

    async def act(world):
        for wait_s, action in script:
            await asyncio.sleep(wait_s)
            await action.apply(world)

    return play(act, list_limit=list_limit, **options)


def assert_no_breach(world):
    assert not world.breaches, '\n'.join(world.lines)


def test_ends_beyond_a_cut_list_are_not_taken_for_lost():
    """Review case 1: three ends, of which a report lists two."""
    world = play_script(
        (
            (0, Submit(3, 2.0)),
            (0.3, CallTrouble('w0', (CUT,), 0, 4.0)),
        ),
        list_limit=2,
    )
    assert_no_breach(world)


def test_a_worker_that_restarted_while_idle_gets_no_old_numbers():
    """Review case 2: the new incarnation counts its ends from one."""
    world = play_script(
        (
            (0, Submit(1, 0.3)),
            (3, Restart('w0', 1.5)),
            (3, CallTrouble('w0', (MUTE, MUTE, SOUND), 0, 1.0)),
            (0, Submit(1, 0.01)),
        )
    )
    assert_no_breach(world)


def test_a_run_given_up_that_was_done_is_not_run_again():
    """Incident 4: the end was acknowledged without an effect."""
    world = play_script(
        (
            (0, Submit(1, 3.0)),
            (0, CallTrouble('w1', (CUT,), 0, 12)),
            (0.1, CallTrouble('w0', (CUT,), 0, 11)),
        )
    )
    assert_no_breach(world)


def test_a_run_that_ended_before_its_record_was_stored_is_not_started():
    """Its worker was given up meanwhile; it started beside the next run."""
    world = play_script(
        (
            (0, Submit(4, 1.0)),
            (0.2, Submit(1, 1.0)),
            (0.3, StoreTrouble((CUT,), 0, 16)),
            (1.0, CallTrouble('w0', (CUT,), 0, 12)),
        ),
        workers=1,
    )
    assert_no_breach(world)


def test_a_run_placed_between_two_parts_of_a_cut_list_is_not_lost():
    """It was taken for a run of an earlier leader."""
    engine = Engine()
    worker = record_entry(engine.workers, engine.reliability, entry('w1'), 0)
    ref = RunRef(TaskRef('earlier', 0, 0, 0), 1)
    cut = report(ended=[(1, ref, EndKind.DONE, '')])
    cut = msgspec.structs.replace(cut, is_cut=True)
    engine.apply_report(worker, cut, requested_at_s=1, now_s=1, unix_ms=0)
    engine.submit(job_spec('job'), unix_ms=0, now_s=1)
    (allocation,) = engine.plan(unix_ms=0, now_s=1).starts
    engine.apply_report(
        worker, report(clock_ms=1100), requested_at_s=2, now_s=2, unix_ms=0
    )
    assert allocation.ref in worker.allocations


def test_a_restarted_worker_holds_a_lease_before_its_first_report():
    """Orders with times of its earlier clock granted it the longest one."""
    world = play_script(
        (
            (0, Submit(1, 0.01)),
            (3, Restart('w0', 0.8)),
            (1.0, CallTrouble('w0', (MUTE, CUT, MUTE, SOUND), 0, 4.0)),
            (0, Submit(1, 8.0)),
            (4.5, CallTrouble('w0', (CUT,), 0, 5.0)),
        )
    )
    assert_no_breach(world)


@pytest.mark.parametrize(
    'later', [(), ((0.5, ChangeLeader(0, 0)),)], ids=['one-leader', 'two']
)
@pytest.mark.parametrize('is_poll_answered', [False, True])
def test_a_restarted_worker_holds_a_longer_lease_than_leaders_grant(
    monkeypatch, later, is_poll_answered
):
    """Its run was given up 2 s too early, and started elsewhere."""
    monkeypatch.setattr(worker_lives_model, 'MAX_LEASE_MS', 10_000)
    fates = (SOUND, SOUND if is_poll_answered else MUTE, MUTE, MUTE)
    world = play_script(
        (
            (0, Submit(1, 0.01)),
            (3, Restart('w0', 0.8)),
            (0.85, CallTrouble('w0', fates + (CUT,) * 500, 0, 14.0)),
            (0, Submit(1, 14.0)),
            *later,
        )
    )
    assert_no_breach(world)


# Review case 6: the start has no answer, the next leader hears that the worker
# runs nothing, and the worker restarts before the start is repeated.
REPEATED_START = (
    (0, CallTrouble('w0', (CUT,) + (SOUND,) * 6, 0, 0.3)),
    (0, Submit(1, 8.0)),
    (0.05, ChangeLeader(0, 6.0)),
    (0.15, Restart('w0', 0.05)),
)
# Review case 7: a late poll of a worker that restarted while it was idle, and
# silence for as long as the lease is reckoned to last.
LATE_POLL = (
    (0, Submit(1, 0.01)),
    (3, Restart('w0', 0.8)),
    (0.9, CallTrouble('w0', (SOUND, LATE), 3.0, 1.5)),
    (0, Submit(1, 8.0)),
    (1.5, CallTrouble('w0', (CUT,), 0, 5.0)),
)


def test_a_replaced_leader_repeats_no_start_to_a_restarted_worker():
    """The next leader has not raised the epoch of the new life."""
    assert_no_breach(play_script(REPEATED_START))


def test_a_late_poll_of_a_restarted_worker_grants_the_longest_lease():
    """The poll carries a time of the earlier clock, far ahead of the new."""
    assert_no_breach(play_script(LATE_POLL))


# A task whose turn has come starts within this time where there is room.
MAX_WAIT_S = 3.0


@pytest.mark.parametrize('idle_s', [80, 300])
def test_a_job_starts_on_workers_that_were_idle_for_long(idle_s):
    """The estimate of a clock that was not read lags by up to 2%."""
    script = ((0, Submit(1, 0.01)), (idle_s, Submit(2, 0.5)))
    world = play_script(script)
    assert_no_breach(world)
    waits_s = [
        run.started_at_s - world.submitted_at_s for run in world.runs[1:]
    ]
    assert max(waits_s) < MAX_WAIT_S


@settings(max_examples=400, deadline=None, derandomize=True)
@given(script=SCRIPTS, list_limit=LIST_LIMITS)
def test_no_task_that_was_done_runs_again(script, list_limit):
    assert_no_breach(play_script(script, list_limit))


# Draws within which a control finds a breach.
LIMIT = 300


def count_draws_until_breach(limit):
    """Return the number of draws to the first breach; at most ``limit``."""
    draws = []

    @settings(
        max_examples=limit,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(Phase.generate,),
        report_multiple_bugs=False,
    )
    @given(script=SCRIPTS, list_limit=LIST_LIMITS)
    def draw(script, list_limit):
        draws.append(script)
        assert_no_breach(play_script(script, list_limit))

    with pytest.raises(AssertionError):
        draw()
    # The last one was repeated.
    return len(draws) - 1


def test_control_reports_that_are_not_marked_as_cut(monkeypatch):
    monkeypatch.setattr(World, 'marks_cut_lists', False)
    assert count_draws_until_breach(LIMIT) <= LIMIT


def test_control_calls_that_reach_any_life(monkeypatch):
    monkeypatch.setattr(World, 'binds_calls', False)
    assert count_draws_until_breach(LIMIT) <= LIMIT


@pytest.mark.parametrize('script', [REPEATED_START, LATE_POLL])
def test_control_review_cases_with_calls_that_reach_any_life(
    monkeypatch, script
):
    monkeypatch.setattr(World, 'binds_calls', False)
    assert play_script(script).breaches


def test_control_ends_of_runs_given_up_have_no_effect(monkeypatch):
    monkeypatch.setattr(
        engine_module, 'apply_unmatched_ends', lambda *ignored: Plan()
    )
    assert count_draws_until_breach(LIMIT) <= LIMIT


def test_control_ends_acknowledged_before_earlier_ones_are_stored(monkeypatch):
    def finish_storing(ends, numbers):
        ends.unstored -= set(range(max(numbers) + 1))

    monkeypatch.setattr(ReportedEnds, 'finish_storing', finish_storing)
    assert count_draws_until_breach(LIMIT) <= LIMIT
