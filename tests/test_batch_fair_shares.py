"""Order between organisations that wait when all is full."""

import msgspec
import pytest
from batch_builders import Bench, entry, job_spec, racks, step

from bulrushcove.batch.fair_shares import find_weights, order_fairly
from bulrushcove.batch.job_spec import TaskSize
from bulrushcove.batch.organisation_usage import NOTHING
from bulrushcove.batch.policy import Organisation
from bulrushcove.batch.workers import EndKind
from bulrushcove.ids import OrganisationId

LARGE, SMALL = OrganisationId('large'), OrganisationId('small')


def set_weights(engine, limit=NOTHING, **weights):
    """Set the weights of organisations by name."""
    organisations = tuple(
        Organisation(name=OrganisationId(name), weight=weight, limit=limit)
        for name, weight in weights.items()
    )
    policy = msgspec.structs.replace(
        engine.desired_state.policy, organisations=organisations
    )
    engine.desired_state = msgspec.structs.replace(
        engine.desired_state, policy=policy
    )


def submit_steps(bench, organisation, jobs, count, **others):
    """Submit equal jobs of ``organisation``."""
    return [
        bench.submit(
            job_spec(
                f'{organisation}-{number}-{bench.now_s}',
                step(count, estimated_ms=5000),
                organisation=organisation,
                **others,
            )
        )
        for number in range(jobs)
    ]


def running_tasks(bench, organisation):
    """Return how many tasks of ``organisation`` hold room."""
    return sum(
        1
        for worker in bench.engine.workers.values()
        for allocation in worker.allocations.values()
        if allocation.unit.job.spec.terms.organisation == organisation
    )


@pytest.mark.parametrize(
    ('large', 'small', 'expected'), [(1, 2, 32), (3, 1, 72), (5, 1, 80)]
)
def test_room_is_shared_by_weight(large, small, expected):
    bench = Bench(*racks())
    set_weights(bench.engine, large=large, small=small)
    submit_steps(bench, LARGE, 4, 100)
    bench.advance(0.1)
    submit_steps(bench, SMALL, 4, 100)

    bench.start_all()

    assert running_tasks(bench, LARGE) == pytest.approx(expected, abs=1)
    assert running_tasks(bench, SMALL) == pytest.approx(96 - expected, abs=1)


def test_a_burst_of_one_does_not_make_the_others_wait():
    bench = Bench(*racks())
    set_weights(bench.engine, large=1, small=2)
    submit_steps(bench, LARGE, 30, 40)
    running = bench.start_all().starts
    bench.advance(0.5)
    late_comer = submit_steps(bench, SMALL, 1, 6)[0]

    for allocation in running[:6]:
        bench.end(allocation, EndKind.DONE)
    bench.plan()

    assert all(unit.allocations for unit in late_comer.units)


def test_work_in_progress_counts():
    bench = Bench(entry('w1'))
    set_weights(bench.engine, large=1, small=1, other=2)
    submit_steps(bench, LARGE, 1, 6)
    bench.start_all()
    bench.advance(0.1)
    submit_steps(bench, LARGE, 1, 4)
    submit_steps(bench, SMALL, 1, 4)

    bench.start_all()

    assert running_tasks(bench, SMALL) == 2


def test_what_an_organisation_does_not_ask_for_goes_to_the_others():
    bench = Bench(*racks())
    set_weights(bench.engine, large=1, small=9)
    submit_steps(bench, LARGE, 4, 100)
    submit_steps(bench, SMALL, 1, 3)

    bench.start_all()

    assert running_tasks(bench, SMALL) == 3
    assert running_tasks(bench, LARGE) == 93


def test_urgent_work_goes_before_shares_in_its_own_order():
    bench = Bench(entry('w1'))
    set_weights(bench.engine, large=1, small=9)
    submit_steps(bench, SMALL, 1, 8)
    first = submit_steps(bench, LARGE, 1, 8, priority=0)[0]
    bench.advance(0.1)
    submit_steps(bench, SMALL, 1, 8, priority=0)

    bench.start_all()

    assert all(unit.allocations for unit in first.units)


def test_a_share_does_not_put_late_work_before_work_on_time():
    bench = Bench(entry('w1'))
    set_weights(bench.engine, large=1, small=9)
    late = submit_steps(bench, SMALL, 1, 8)[0]
    bench.advance(30)
    on_time = submit_steps(bench, LARGE, 1, 8)[0]

    bench.start_all()

    assert all(unit.allocations for unit in on_time.units)
    assert not any(unit.allocations for unit in late.units)


def test_the_order_within_an_organisation_is_kept():
    bench = Bench(entry('w1', accelerators=4))
    set_weights(bench.engine, large=1, small=2)
    first = submit_steps(bench, LARGE, 1, 2)[0]
    bench.advance(0.5)
    second = submit_steps(bench, LARGE, 1, 2)[0]
    submit_steps(bench, SMALL, 1, 1)
    units = [*first.units, *second.units]

    ordered = order_fairly(units, {LARGE: 1.0}, {}, lambda _: 0)

    assert ordered == units


@pytest.mark.parametrize(
    ('weights', 'limit', 'is_in_force'),
    [
        ({'large': 0, 'small': 0}, TaskSize(), False),
        ({'large': 0, 'small': 0}, TaskSize(1000), False),
        ({'large': 1, 'small': 1}, TaskSize(), False),
        ({'large': 1, 'small': 1}, TaskSize(1000), True),
        ({'large': 2, 'small': 1}, TaskSize(), True),
    ],
)
def test_weights_are_in_force_only_where_they_say_something(
    weights, limit, is_in_force
):
    bench = Bench(entry('w1'))
    set_weights(bench.engine, limit, **weights)

    assert bool(find_weights(bench.engine.desired_state.policy)) is is_in_force


def test_without_weights_the_queue_order_holds():
    bench = Bench(*racks())
    first = submit_steps(bench, LARGE, 1, 96)[0]
    bench.advance(0.1)
    submit_steps(bench, SMALL, 1, 96)

    bench.start_all()

    assert all(unit.allocations for unit in first.units)
