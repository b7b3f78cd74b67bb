"""Soak test: regression seeds, and tests of its checker."""

import pytest

from dev.node_soak import Soak, check_task


# Seeds 11 and 29: while the store was unavailable, the record of one job was
# withdrawn, and the starts of all jobs placed with it were never sent.
@pytest.mark.parametrize('seed', [1, 11, 29])
async def test_no_guarantee_is_violated(seed):
    soak = Soak(seed)
    assert await soak.run() == []
    assert any(submitted.is_accepted for submitted in soak.jobs.values())


@pytest.mark.parametrize(
    'history',
    [
        [(1, 'begin', 't', 1), (2, 'begin', 't', 2)],
        [(1, 'begin', 't', 2), (2, 'failed', 't', 2), (3, 'begin', 't', 2)],
        [(1, 'begin', 't', 1), (2, 'done', 't', 1), (3, 'begin', 't', 2)],
    ],
)
def test_check_reports_violations(history):
    assert check_task('t', history)


def test_check_accepts_a_repeated_run():
    history = [
        (1, 'begin', 't', 1),
        (2, 'lapsed', 't', 1),
        (3, 'begin', 't', 2),
        (4, 'done', 't', 2),
    ]
    assert check_task('t', history) == []
