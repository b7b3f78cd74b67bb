"""The soak: a short run, its regression seeds, and that it can fail."""

import pytest

from dev.node_soak import Soak, check_task


# 11 and 29: a job's record was taken back as the store was away, and the
# starts of all jobs that were placed with it were never sent.
@pytest.mark.parametrize('seed', [1, 11, 29])
async def test_no_promise_is_broken(seed):
    soak = Soak(seed)
    assert await soak.play() == []
    assert any(claim.accepted for claim in soak.claims.values())


@pytest.mark.parametrize(
    'history',
    [
        [(1, 'begin', 't', 1), (2, 'begin', 't', 2)],
        [(1, 'begin', 't', 2), (2, 'failed', 't', 2), (3, 'begin', 't', 2)],
        [(1, 'begin', 't', 1), (2, 'done', 't', 1), (3, 'begin', 't', 2)],
    ],
)
def test_the_check_sees_broken_promises(history):
    assert check_task('t', history)


def test_the_check_passes_a_repeated_run():
    history = [
        (1, 'begin', 't', 1),
        (2, 'lapsed', 't', 1),
        (3, 'begin', 't', 2),
        (4, 'done', 't', 2),
    ]
    assert check_task('t', history) == []
