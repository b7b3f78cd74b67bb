"""Guaranteed shapes can be reclaimed after any history of a domain."""

from itertools import repeat

from hypothesis import event, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from bulrushcove import scheduling_pass
from bulrushcove.contract import GuaranteedShape
from bulrushcove.guarantee_check import check_guarantees
from bulrushcove.guarantees import Guarantees
from bulrushcove.job import Attempt
from bulrushcove.states import Adjacency, DomainState
from tests.snapshot_builders import contract, describe, gang, job, snapshot
from tests.snapshot_builders import worker as room

ORGANISATIONS = ('mill', 'shop', 'guest')
# Passes from the wish to the start: reclaim, then place.
MAX_PASSES = 2
SIZE = 4
WORKERS = {'w1': 'r1', 'w2': 'r1', 'w3': 'r2', 'w4': 'r2'}


class Play:
    """A domain that does at once what each plan says."""

    def __init__(self, contracts):
        self.contracts = contracts
        self.queued = []
        self.running = {}
        self.count = 0

    def submit(self, organisation, **spec):
        self.count += 1
        record = job(f'j{self.count}', organisation, cores=0, **spec)
        self.queued.append(record)
        return record.job

    def free(self, name):
        taken = sum(
            len(part.parts) * each.record.spec.accelerators_per_task
            for each in self.running.values()
            for part in each.placement
            if part.worker == name
        )
        return SIZE - taken

    def pass_once(self):
        workers = [
            replace(
                room(name, rack, free=self.free(name)),
                description=describe(name, rack, accelerators=SIZE),
            )
            for name, rack in WORKERS.items()
        ]
        plan = scheduling_pass.plan(
            snapshot(
                workers,
                self.queued,
                self.running.values(),
                self.contracts,
            )
        )
        for job_start in plan.starts:
            self._start(job_start)
        for preemption in plan.preemptions:
            ended = next(
                each.job
                for each in self.running.values()
                if each.attempt == preemption.attempt
            )
            self.running.pop(ended)
        assert all(self.free(name) >= 0 for name in WORKERS)

    def _start(self, job_start):
        record = next(each for each in self.queued if each.job == job_start.job)
        self.queued.remove(record)
        attempt = Attempt(
            attempt=f'{job_start.job}-1',
            epoch=1,
            placement=job_start.placement,
            borrowed=job_start.borrowed,
            cover=job_start.slot_name,
        )
        self.running[job_start.job] = replace(
            gang(record, {}, job_start.borrowed),
            record=replace(record, current=attempt),
            placement=job_start.placement,
        )


shapes = st.lists(
    st.builds(
        GuaranteedShape,
        st.integers(1, 6),
        st.sampled_from(Adjacency),
        st.none(),
    ),
    max_size=3,
)
moves = st.lists(
    st.tuples(
        st.sampled_from(['submit', 'submit', 'end']),
        st.sampled_from(ORGANISATIONS),
        st.integers(1, 4),
        st.sampled_from(Adjacency),
        st.integers(0, 20),
    ),
    max_size=25,
)


def is_honourable(agreed):
    workers = [
        describe(name, rack, accelerators=SIZE)
        for name, rack in WORKERS.items()
    ]
    by_name = {each.organisation: each for each in agreed}
    return not check_guarantees(
        by_name, workers, {'north': DomainState.IN_SERVICE}
    )


def reclaims_after(agreed, history):
    """Play ``history``; then ask for each whole shape that is not in use.

    Returns whether every one started in time.
    """
    play = Play(agreed)
    for what, organisation, tasks, adjacency, pick in history:
        if what == 'submit':
            play.submit(organisation, tasks=tasks, adjacency=adjacency)
        elif play.running:
            names = sorted(play.running)
            play.running.pop(names[pick % len(names)])
        play.pass_once()
    play.queued.clear()
    return all(asks_whole_shape(play, each) for each in agreed)


def asks_whole_shape(play, agreed):
    used = {
        each.record.current.cover
        for each in play.running.values()
        if each.organisation == agreed.organisation and not each.borrowed
    }
    names = {}
    for shape in agreed.guaranteed:
        key = f'{shape.accelerators}/{shape.adjacency.value}/any'
        names[key] = names.get(key, 0) + 1
        if f'{key}#{names[key]}' in used:
            continue
        wish = play.submit(
            agreed.organisation,
            tasks=shape.accelerators,
            adjacency=shape.adjacency,
        )
        for _ in range(MAX_PASSES):
            play.pass_once()
        if wish not in play.running:
            return False
    return True


@settings(derandomize=True, max_examples=400, deadline=None)
@given(shapes, shapes, moves)
def test_an_unused_shape_starts_whole_after_any_history(mill, shop, history):
    agreed = [
        contract('mill', mill),
        contract('shop', shop),
        contract('guest'),
    ]
    if not is_honourable(agreed):
        event('refused')
        return
    event(f'shapes={len(mill) + len(shop)}')
    assert reclaims_after(agreed, history)


def test_control_the_check_sees_a_scheduler_without_the_invariant(
    monkeypatch,
):
    """The mill's split gang on the holes leaves the shop no whole worker."""

    def admit(_guarantees, cover, spec, _counts):
        cover.used += spec.accelerators
        return True

    agreed = [
        contract('mill', [GuaranteedShape(4, Adjacency.DOMAIN)]),
        contract('shop', [GuaranteedShape(4, Adjacency.WORKER, None, 3)]),
        contract('guest'),
    ]
    holes = repeat(('submit', 'guest', 3, Adjacency.WORKER, 0), 4)
    history = [*holes, ('submit', 'mill', 4, Adjacency.DOMAIN, 0)]
    assert is_honourable(agreed)
    assert reclaims_after(agreed, history)
    monkeypatch.setattr(Guarantees, 'try_admit', admit)
    assert not reclaims_after(agreed, history)
