import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushcove.retry_budget import MIN_RETRIES_PER_S, RETRY_RATIO, RetryBudget


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(
        st.tuples(st.sampled_from(['first', 'retry', 'wait']), st.floats(0, 5))
    )
)
def test_retries_stay_within_the_ratio_and_the_minimum_rate(steps):
    now_s = 100.0
    budget = RetryBudget(now_s)
    first_attempts, retries = 0, 0
    for step, pause_s in steps:
        if step == 'first':
            budget.record_first_attempt()
            first_attempts += 1
        elif step == 'retry':
            retries += budget.acquire(now_s)
        else:
            now_s += pause_s
    minimum = MIN_RETRIES_PER_S * (1 + now_s - 100.0)
    assert retries <= RETRY_RATIO * first_attempts + minimum + 1e-6


@pytest.mark.parametrize(
    ('waited_s', 'granted'), [(0, 0), (0.11, 1), (1.01, 10)]
)
def test_empty_budget_refills_at_the_minimum_rate(waited_s, granted):
    budget = RetryBudget(0)
    assert sum(budget.acquire(0) for _ in range(50)) == MIN_RETRIES_PER_S
    assert sum(budget.acquire(waited_s) for _ in range(50)) == granted
