import pytest

from bulrushcove.runtime_estimates import RuntimeEstimates
from bulrushcove.scheduling_model import ObservedRuns
from tests.snapshot_builders import job

RUNS_S = (10.0, 12.0, 11.0, 30.0, 14.0)


def estimates(runs_s=RUNS_S):
    return RuntimeEstimates([ObservedRuns('mill', 'review', runs_s)])


@pytest.mark.parametrize('declared_ms', [1200, 12_000, 120_000])
def test_observed_runs_replace_declared_run_times(declared_ms):
    record = job('a', declared_run_ms=declared_ms)
    assert estimates().median_s(record) == 12.0
    assert estimates().upper_bound_s(record) == 45.0


def test_declared_run_times_get_a_wide_bound():
    record = job('a', declared_run_ms=6000)
    assert estimates(()).median_s(record) == 6.0
    assert estimates(()).upper_bound_s(record) == 60.0


@pytest.mark.parametrize(
    ('elapsed_s', 'remaining_s'), [(0, 12), (13, 17), (40, 40)]
)
def test_remaining_time_is_the_median_of_longer_runs(elapsed_s, remaining_s):
    assert estimates().remaining_s(job('a'), elapsed_s) == remaining_s
