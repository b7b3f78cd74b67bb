"""A pass over a large pool examines a few hundred workers, others each time."""

import pytest
from batch_builders import Bench, entry, job_spec, step

from bulrushcove.batch.placement import Candidate
from bulrushcove.batch.sampling import (
    MAX_EXAMINED_WORKERS,
    select_examined,
)

WORKERS = 1500
PER_RACK = 20


def make_candidates(count, capacity):
    return [
        Candidate(
            worker=f'w-{number}',
            rack=f'r-{number // PER_RACK}',
            labels=frozenset(),
            free=capacity,
            capacity=capacity,
        )
        for number in range(count)
    ]


def make_unit(**fields):
    bench = Bench(entry('w1'))
    bench.submit(job_spec('job', step(**fields)))
    return bench.engine.jobs['job'].units[0]


@pytest.fixture
def candidates():
    return make_candidates(WORKERS, entry('w1').capacity)


def test_a_pool_of_a_few_hundred_workers_is_examined_whole(candidates):
    group = candidates[:MAX_EXAMINED_WORKERS]
    assert select_examined(make_unit(), group, 3) is group


def test_the_work_of_a_pass_does_not_grow_with_the_pool(candidates):
    """A pass over 1,500 workers and 30 waiting jobs took half a second."""
    examined = select_examined(make_unit(), candidates, 0)
    assert MAX_EXAMINED_WORKERS <= len(examined)
    assert len(examined) < MAX_EXAMINED_WORKERS + PER_RACK


def test_every_worker_is_examined_in_some_turn(candidates):
    unit = make_unit()
    seen = set()
    for turn in range(WORKERS // PER_RACK):
        examined = select_examined(unit, candidates, turn)
        seen.update(candidate.worker for candidate in examined)
    assert len(seen) == WORKERS


def test_racks_are_examined_whole(candidates):
    """A gang that wants one rack must see all of it."""
    racks = [one.rack for one in select_examined(make_unit(), candidates, 7)]
    assert all(racks.count(rack) == PER_RACK for rack in set(racks))


def test_the_rack_of_the_data_comes_first(candidates):
    examined = select_examined(make_unit(near_rack='r-70'), candidates, 0)
    assert examined[0].rack == 'r-70'
