"""Suspected workers: what they still get, and which of them is at fault."""

import pytest
from batch_builders import entry, job_spec, step
from progress_fleet import Fleet

# Users are promised a start within this time where there is room.
MAX_START_S = 3.0
PASS_S = 0.25


def gang(count, **others):
    return step(
        count, is_gang=True, same_rack=True, estimated_ms=12_000, **others
    )


def start_in_time(fleet, count):
    jobs = fleet.submit(
        *(job_spec(f'waits-{number}', step()) for number in range(count))
    )
    fleet.play(MAX_START_S + PASS_S)
    return all(job.has_started for job in jobs)


@pytest.mark.parametrize('percent_s', [8.0, 20.0, 60.0])
def test_units_do_not_wait_for_a_first_percent(percent_s):
    """Long tasks on sound workers, which are suspected or on trial."""
    fleet = Fleet(entry('w1'), entry('w2'), percent_s=lambda _: percent_s)
    fleet.submit(job_spec('long', step(2, max_per_worker=1)))
    fleet.play(4.5)
    assert start_in_time(fleet, 5)


def test_units_start_on_standing_workers_where_no_other_is_left():
    fleet = Fleet(entry('w1'), entry('w2'), percent_s=lambda _: 0.5)
    fleet.submit(job_spec('long', gang(2, max_per_worker=1)))
    fleet.play(30)
    fleet.standing = {'w1', 'w2'}
    fleet.play(6)
    assert start_in_time(fleet, 6)


def test_units_start_beside_a_gang_that_has_become_slow():
    percents_s = {'slow': 0.5}
    fleet = Fleet(
        entry('w1'),
        entry('w2'),
        percent_s=lambda unit: percents_s.get(unit.job.id, 8.0),
    )
    fleet.submit(job_spec('slow', gang(2, max_per_worker=1)))
    fleet.play(30)
    percents_s['slow'] = 12.0
    fleet.play(6)
    assert start_in_time(fleet, 6)
