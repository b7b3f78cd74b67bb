"""No organisation runs more than its limit, whatever becomes of the workers.

Real schedulers lead in turn; workers, calls and the store are a model on
virtual time (``organisation_limits_model``). The order between organisations is
drawn without one. Each rule has a control: without it a breach is found.
"""

import itertools
from collections import Counter
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from organisation_limits_model import ORGANISATIONS, LimitWorld
from test_worker_lives import (
    FATES,
    LASTS_S,
    LATE_S,
    WORKERS,
    CallTrouble,
    ChangeLeader,
    Restart,
    StoreTrouble,
    assert_no_breach,
    play_script,
)
from worker_lives_model import CUT, LATE, SOUND

from bulrushcove.batch import fair_shares as shares_module
from bulrushcove.batch import scheduling_pass as pass_module
from bulrushcove.batch.job_spec import TaskSize
from bulrushcove.batch.job_state import AllocationPhase
from bulrushcove.batch.limit_gate import LimitGate
from bulrushcove.batch.organisation_usage import OrganisationUsage, sum_sizes


class Submit(msgspec.Struct, frozen=True):
    """A client submits a job of an organisation."""

    organisation: str
    count: int
    work_s: float
    is_gang: bool
    is_urgent: bool

    async def apply(self, world):
        world.spawn(
            world.submit_for(
                self.organisation,
                self.count,
                self.work_s,
                is_gang=self.is_gang,
                is_urgent=self.is_urgent,
            )
        )


class SetLimit(msgspec.Struct, frozen=True):
    """The operators change the limit of an organisation."""

    organisation: str
    limit: int

    async def apply(self, world):
        world.set_limit(self.organisation, self.limit)


NAMES = st.sampled_from(ORGANISATIONS)


def draw_scripts(is_urgent):
    """Return pairs of a wait and an action; ``is_urgent`` tells of jobs."""
    submissions = st.builds(
        Submit,
        organisation=NAMES,
        count=st.integers(1, 4),
        work_s=st.sampled_from((0.3, 1.0, 4.0, 8.0)),
        is_gang=st.booleans(),
        is_urgent=is_urgent,
    )
    actions = st.one_of(
        submissions,
        submissions,
        submissions,
        st.builds(SetLimit, organisation=NAMES, limit=st.integers(1, 6)),
        st.builds(
            CallTrouble,
            worker=WORKERS,
            fates=st.lists(FATES, min_size=1, max_size=4).map(tuple),
            late_s=LATE_S,
            lasts_s=LASTS_S,
        ),
        st.builds(
            CallTrouble,
            worker=WORKERS,
            fates=st.just((CUT,)),
            late_s=st.just(0),
            lasts_s=st.sampled_from((2.0, 8.0, 16.0)),
        ),
        st.builds(
            StoreTrouble,
            fates=st.permutations((SOUND, LATE, CUT)).map(tuple),
            late_s=LATE_S,
            lasts_s=LASTS_S,
        ),
        st.builds(Restart, worker=WORKERS, down_s=st.sampled_from((0.8, 4.5))),
        st.builds(
            ChangeLeader,
            gap_s=st.sampled_from((0.0, 0.5, 3.0)),
            overlap_s=st.sampled_from((0.0, 1.0, 6.0)),
        ),
    )
    return st.lists(
        st.tuples(st.sampled_from((0.0, 0.0, 0.2, 1.0, 3.0)), actions),
        min_size=4,
        max_size=12,
    )


# Urgent jobs stop other work of their organisation.
SCRIPTS = draw_scripts(st.booleans())
SCRIPTS_WITHOUT_URGENT = draw_scripts(st.just(False))
# Draws within which a control finds a breach.
LIMIT = 200


def play_limits(script):
    return play_script(script, world_class=LimitWorld)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(script=st.one_of(SCRIPTS, SCRIPTS_WITHOUT_URGENT))
def test_no_organisation_runs_more_than_its_limit(script):
    assert_no_breach(play_limits(script))


def find_breach(scripts=SCRIPTS_WITHOUT_URGENT):
    """Draw until a breach is found; fails if ``LIMIT`` draws bring none."""

    @settings(
        max_examples=LIMIT,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(Phase.generate,),
        report_multiple_bugs=False,
    )
    @given(script=scripts)
    def draw(script):
        world = play_limits(script)
        limits = [line for line in world.breaches if line[:2] in {'1:', '2:'}]
        assert not limits

    with pytest.raises(AssertionError):
        draw()


def count_only(monkeypatch, counts):
    """Let the ledger count the allocations alone that ``counts`` tells."""

    def update(ledger, workers, jobs, now_s=0.0):
        return sum_sizes(
            allocation.unit
            for worker in workers.values()
            for allocation in worker.allocations.values()
            if counts(worker, allocation)
        )

    monkeypatch.setattr(OrganisationUsage, 'update', update)


def test_control_no_gate(monkeypatch):
    monkeypatch.setattr(LimitGate, 'admits', lambda gate, unit: True)
    find_breach()


def test_control_starts_of_one_pass_do_not_count(monkeypatch):
    monkeypatch.setattr(LimitGate, 'record_start', lambda gate, unit: None)
    find_breach()


def test_control_starts_under_way_do_not_count(monkeypatch):
    count_only(
        monkeypatch,
        lambda worker, allocation: allocation.start_confirmed_at_s is not None,
    )
    find_breach()


# An urgent gang stops all work of its organisation while one worker is cut off.
STOPS_UNDER_WAY = (
    (0, SetLimit('mill', 4)),
    (0, Submit('mill', 4, 4.0, is_gang=False, is_urgent=False)),
    (1, CallTrouble('w0', (CUT,), 0, 2.0)),
    (0, Submit('mill', 4, 4.0, is_gang=True, is_urgent=True)),
)


def test_urgent_work_waits_for_stops_under_way():
    assert_no_breach(play_limits(STOPS_UNDER_WAY))


def test_control_stops_under_way_do_not_count(monkeypatch):
    count_only(
        monkeypatch,
        lambda worker, allocation: (
            allocation.phase is not AllocationPhase.STOPPING
        ),
    )
    breaches = play_limits(STOPS_UNDER_WAY).breaches
    assert any(line.startswith('1:') for line in breaches)


def test_control_silent_workers_do_not_count(monkeypatch):
    count_only(monkeypatch, lambda worker, allocation: not worker.failed_polls)
    find_breach()


def test_control_runs_of_earlier_leaders_do_not_count(monkeypatch):
    count_only(
        monkeypatch,
        lambda worker, allocation: (
            allocation.start_sent_at_s is not None
            or not allocation.is_start_sent
        ),
    )
    find_breach()


def test_control_only_the_first_limits_are_known(monkeypatch):
    first = {}

    def find_limits(policy):
        if policy is not None:
            first.setdefault('limits', real(policy))
        return first.get('limits', {})

    real = pass_module.find_limits
    monkeypatch.setattr(pass_module, 'find_limits', find_limits)
    find_breach()


real_order = shares_module.order_fairly

WAITING = st.lists(
    st.tuples(
        st.sampled_from('abc'), st.integers(1, 3), st.sampled_from((1, 1, 4))
    ),
    max_size=25,
)
WEIGHTS = st.fixed_dictionaries(
    {name: st.sampled_from((0.5, 1.0, 3.0)) for name in 'abc'}
)
USED = st.fixed_dictionaries({name: st.integers(0, 12) for name in 'abc'})


def make_unit(number, name, queue_class, cores):
    """Return what the order sees of a unit that is not urgent."""
    terms = SimpleNamespace(organisation=name, priority=1)
    job = SimpleNamespace(spec=SimpleNamespace(terms=terms))
    return SimpleNamespace(
        number=number, job=job, queue_class=queue_class, weight_cores=cores
    )


def find_unfair(units, ordered, weights, used):
    """Return the breaches of an order, one line each."""
    breaches = []
    if sorted(unit.number for unit in ordered) != list(range(len(units))):
        breaches.append('not the same units')
    classes = [unit.queue_class for unit in ordered]
    if classes != sorted(classes):
        breaches.append('a lower class came later')
    loads = Counter(used)
    for _, group in itertools.groupby(
        ordered, key=lambda unit: unit.queue_class
    ):
        left = list(group)
        while left:
            name = name_of_organisation(left[0])
            least = min(
                loads[other] / weights[other]
                for other in map(name_of_organisation, left)
            )
            if loads[name] / weights[name] > least:
                breaches.append(f'{name} came before one with less')
            own = [unit.number for unit in left if is_of(unit, name)]
            if own[0] != min(own):
                breaches.append(f'{name} is not in its own order')
            loads[name] += left.pop(0).weight_cores
    return breaches


def name_of_organisation(unit):
    return unit.job.spec.terms.organisation


def is_of(unit, name):
    return name_of_organisation(unit) == name


def order_drawn(rows, weights, used):
    """Order drawn units; returns the breaches."""
    rows = sorted(rows, key=lambda row: row[1])
    units = [make_unit(number, *row) for number, row in enumerate(rows)]
    sizes = {name: TaskSize(1000 * cores) for name, cores in used.items()}
    ordered = shares_module.order_fairly(
        units, weights, sizes, lambda unit: unit.queue_class
    )
    return find_unfair(units, ordered, weights, used)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(rows=WAITING, weights=WEIGHTS, used=USED)
def test_the_order_is_fair_in_each_class(rows, weights, used):
    assert not order_drawn(rows, weights, used)


@pytest.mark.parametrize(
    'broken',
    [
        lambda units, weights, used, class_of: list(units),
        lambda units, weights, used, class_of: real_order(
            units, weights, {}, class_of
        ),
        lambda units, weights, used, class_of: real_order(
            units, {}, used, class_of
        ),
        lambda units, weights, used, class_of: real_order(
            units, weights, used, lambda unit: 0
        ),
        lambda units, weights, used, class_of: real_order(
            sorted(units, key=lambda unit: (unit.queue_class, -unit.number)),
            weights,
            used,
            class_of,
        ),
    ],
    ids=['queue order', 'no progress', 'no weights', 'no classes', 'reversed'],
)
def test_control_of_the_order(monkeypatch, broken):
    monkeypatch.setattr(shares_module, 'order_fairly', broken)

    @settings(
        max_examples=300,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(Phase.generate,),
    )
    @given(rows=WAITING, weights=WEIGHTS, used=USED)
    def draw(rows, weights, used):
        assert not order_drawn(rows, weights, used)

    with pytest.raises(AssertionError):
        draw()
