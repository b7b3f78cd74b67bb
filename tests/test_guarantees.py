"""Guaranteed shapes can be claimed after any history of a domain."""

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
from tests.snapshot_builders import worker as worker_capacity

ORGANISATIONS = ('mill', 'shop', 'guest')
# Passes from the submission to the start: one preempts, the next one places.
MAX_PASSES = 2
WORKER_SIZE = 4
WORKERS = {'w1': 'r1', 'w2': 'r1', 'w3': 'r2', 'w4': 'r2'}


class SimulatedDomain:
    """A domain that carries out each plan at once."""

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
        used = sum(
            len(part.parts) * each.record.spec.accelerators_per_task
            for each in self.running.values()
            for part in each.placement
            if part.worker == name
        )
        return WORKER_SIZE - used

    def run_pass(self):
        workers = [
            replace(
                worker_capacity(name, rack, free=self.free(name)),
                description=describe(name, rack, accelerators=WORKER_SIZE),
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
            preempted_job = next(
                each.job
                for each in self.running.values()
                if each.attempt == preemption.attempt
            )
            self.running.pop(preempted_job)
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
histories = st.lists(
    st.tuples(
        st.sampled_from(['submit', 'submit', 'end']),
        st.sampled_from(ORGANISATIONS),
        st.integers(1, 4),
        st.sampled_from(Adjacency),
        st.integers(0, 20),
    ),
    max_size=25,
)


def can_guarantee_all(contracts):
    workers = [
        describe(name, rack, accelerators=WORKER_SIZE)
        for name, rack in WORKERS.items()
    ]
    by_name = {each.organisation: each for each in contracts}
    return not check_guarantees(
        by_name, workers, {'north': DomainState.IN_SERVICE}
    )


def starts_unused_shapes_after(contracts, history):
    """Return whether each unused shape can be claimed after ``history``.

    After the history a job is submitted for each guaranteed shape that is not
    in use; every one must start within ``MAX_PASSES`` passes.
    """
    domain = SimulatedDomain(contracts)
    for action, organisation, tasks, adjacency, pick in history:
        if action == 'submit':
            domain.submit(organisation, tasks=tasks, adjacency=adjacency)
        elif domain.running:
            names = sorted(domain.running)
            domain.running.pop(names[pick % len(names)])
        domain.run_pass()
    domain.queued.clear()
    return all(starts_unused_shapes(domain, each) for each in contracts)


def starts_unused_shapes(domain, organisation_contract):
    used_slots = {
        each.record.current.cover
        for each in domain.running.values()
        if each.organisation == organisation_contract.organisation
        and not each.borrowed
    }
    counts = {}
    for shape in organisation_contract.guaranteed:
        key = f'{shape.accelerators}/{shape.adjacency.value}/any'
        counts[key] = counts.get(key, 0) + 1
        if f'{key}#{counts[key]}' in used_slots:
            continue
        job_id = domain.submit(
            organisation_contract.organisation,
            tasks=shape.accelerators,
            adjacency=shape.adjacency,
        )
        for _ in range(MAX_PASSES):
            domain.run_pass()
        if job_id not in domain.running:
            return False
    return True


@settings(derandomize=True, max_examples=400, deadline=None)
@given(shapes, shapes, histories)
def test_unused_shape_starts_after_any_history(mill, shop, history):
    contracts = [
        contract('mill', mill),
        contract('shop', shop),
        contract('guest'),
    ]
    if not can_guarantee_all(contracts):
        event('refused')
        return
    event(f'shapes={len(mill) + len(shop)}')
    assert starts_unused_shapes_after(contracts, history)


def test_history_check_detects_a_broken_invariant(
    monkeypatch,
):
    """Without the invariant, a split gang can occupy part of every worker.

    Four borrowed gangs leave one accelerator free on each worker. The mill's
    gang is split over these, so no worker remains for the shop's shapes.
    """

    def admit(_guarantees, slot, spec, _counts):
        slot.used += spec.accelerators
        return True

    contracts = [
        contract('mill', [GuaranteedShape(4, Adjacency.DOMAIN)]),
        contract('shop', [GuaranteedShape(4, Adjacency.WORKER, None, 3)]),
        contract('guest'),
    ]
    fragments = repeat(('submit', 'guest', 3, Adjacency.WORKER, 0), 4)
    history = [*fragments, ('submit', 'mill', 4, Adjacency.DOMAIN, 0)]
    assert can_guarantee_all(contracts)
    assert starts_unused_shapes_after(contracts, history)
    monkeypatch.setattr(Guarantees, 'try_admit', admit)
    assert not starts_unused_shapes_after(contracts, history)
