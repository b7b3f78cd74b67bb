"""When a VM replaces the active scheduler, and how long calls wait."""

import pytest

from bulrushcove.node.adaptive_timeout import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    AdaptiveTimeout,
)
from bulrushcove.node.failover import (
    LOADING_S,
    REPLACE_SILENT_S,
    Sight,
    Verdict,
    campaign_delay_s,
    judge,
)


def test_a_holder_that_answers_stays():
    sight = Sight()
    sight.note_heard(is_active=True, now_s=1)
    assert judge(sight, 100) is Verdict.WAIT


def test_one_missed_ping_says_nothing():
    sight = Sight()
    sight.note_missed(1.0)
    assert judge(sight, 1.0) is Verdict.WAIT


def test_a_silent_holder_is_replaced():
    sight = Sight()
    sight.note_missed(1.0)
    sight.note_missed(1.1)
    assert judge(sight, 1.1) is Verdict.READ_RECORD
    assert judge(sight, 1.1 + REPLACE_SILENT_S) is Verdict.REPLACE


def test_a_dead_process_is_replaced_at_once():
    assert judge(Sight(is_dead=True), 1.0) is Verdict.REPLACE


def test_a_holder_that_never_becomes_active_is_replaced():
    sight = Sight()
    sight.note_heard(is_active=False, now_s=1)
    assert judge(sight, 2) is Verdict.READ_RECORD
    assert judge(sight, 1.1 + LOADING_S) is Verdict.REPLACE


def test_the_silence_of_before_is_forgotten():
    sight = Sight()
    sight.note_missed(1.0)
    sight.note_missed(2.0)
    sight.note_heard(is_active=True, now_s=3)
    sight.note_missed(50.0)
    assert judge(sight, 60) is Verdict.WAIT


@pytest.mark.parametrize(
    ('near_s', 'far_s'), [(0.008, 0.07), (0.01, 0.03), (0.0, 0.065)]
)
def test_the_vm_nearest_to_the_store_goes_first(near_s, far_s):
    assert campaign_delay_s(near_s) < campaign_delay_s(far_s)


def test_limits_follow_a_slow_store():
    adaptive_timeout = AdaptiveTimeout()
    for _ in range(30):
        adaptive_timeout.record_response(0.4)
    assert adaptive_timeout.timeout_s == MAX_TIMEOUT_S


def test_lost_answers_cost_little_on_a_quick_store():
    adaptive_timeout = AdaptiveTimeout()
    for _ in range(30):
        adaptive_timeout.record_response(0.01)
    assert adaptive_timeout.timeout_s == MIN_TIMEOUT_S
    adaptive_timeout.record_timeout()
    assert adaptive_timeout.timeout_s == 2 * MIN_TIMEOUT_S
    adaptive_timeout.record_response(0.01)
    assert adaptive_timeout.timeout_s == MIN_TIMEOUT_S


def test_the_limit_grows_while_nothing_comes_but_not_for_ever():
    adaptive_timeout = AdaptiveTimeout()
    for _ in range(20):
        adaptive_timeout.record_timeout()
    assert adaptive_timeout.timeout_s == MAX_TIMEOUT_S
