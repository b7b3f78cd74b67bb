"""Failover decisions and the adaptive timeout of store calls."""

import pytest

from bulrushcove.node.adaptive_timeout import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    AdaptiveTimeout,
)
from bulrushcove.node.failover import (
    INACTIVE_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    UNCONFIRMED_SILENCE_TIMEOUT_S,
    FailoverAction,
    LeaderObservation,
    PeerReports,
    campaign_delay_s,
    choose_action,
    ping_interval_s,
)


def test_a_leader_that_answers_is_kept():
    observation = LeaderObservation()
    observation.record_pong(is_active=True, now_s=1)
    assert choose_action(observation, 100) is FailoverAction.WAIT


def test_one_missed_ping_has_no_effect():
    observation = LeaderObservation()
    observation.record_missed_ping(1.0)
    assert choose_action(observation, 1.0) is FailoverAction.WAIT


def test_a_silent_leader_is_replaced():
    observation = LeaderObservation()
    observation.record_missed_ping(1.0)
    observation.record_missed_ping(1.1)
    assert choose_action(observation, 1.1) is FailoverAction.READ_RECORD
    assert (
        choose_action(observation, 1.1 + SILENCE_TIMEOUT_S)
        is FailoverAction.REPLACE
    )


def make_silent(silent_s):
    """Return an observation of a silent leader, and the time of it."""
    observation = LeaderObservation()
    observation.record_missed_ping(1.0)
    observation.record_missed_ping(1.1)
    return observation, 1.0 + silent_s


@pytest.mark.parametrize(
    ('reports', 'action'),
    [
        # The VM that asks may itself be cut off, or its link full.
        (PeerReports(asked=2), FailoverAction.READ_RECORD),
        (PeerReports(asked=1), FailoverAction.READ_RECORD),
        # Its link works, and the leader is cut off or paused.
        (PeerReports(asked=2, answered=1), FailoverAction.REPLACE),
        (PeerReports(asked=2, answered=2), FailoverAction.REPLACE),
        (
            PeerReports(asked=2, answered=2, hearing=1),
            FailoverAction.READ_RECORD,
        ),
        # Two VMs only.
        (PeerReports(), FailoverAction.REPLACE),
    ],
)
def test_silence_of_other_vms_does_not_speak_against_the_leader(
    reports, action
):
    observation, now_s = make_silent(SILENCE_TIMEOUT_S + 0.1)
    assert choose_action(observation, now_s, reports) is action


def test_a_leader_is_replaced_although_all_other_vms_are_dead():
    observation, now_s = make_silent(UNCONFIRMED_SILENCE_TIMEOUT_S + 0.1)
    action = choose_action(observation, now_s, PeerReports(asked=2))
    assert action is FailoverAction.REPLACE


def test_a_dead_process_is_replaced_at_once_although_no_vm_answers():
    observation = LeaderObservation(is_dead=True)
    action = choose_action(observation, 1.0, PeerReports(asked=2))
    assert action is FailoverAction.REPLACE


def test_a_dead_process_is_replaced_at_once():
    assert (
        choose_action(LeaderObservation(is_dead=True), 1.0)
        is FailoverAction.REPLACE
    )


def test_a_leader_that_never_becomes_active_is_replaced():
    observation = LeaderObservation()
    observation.record_pong(is_active=False, now_s=1)
    assert choose_action(observation, 2) is FailoverAction.READ_RECORD
    assert (
        choose_action(observation, 1.1 + INACTIVE_TIMEOUT_S)
        is FailoverAction.REPLACE
    )


def test_a_pong_resets_the_missed_pings():
    observation = LeaderObservation()
    observation.record_missed_ping(1.0)
    observation.record_missed_ping(2.0)
    observation.record_pong(is_active=True, now_s=3)
    observation.record_missed_ping(50.0)
    assert choose_action(observation, 60) is FailoverAction.WAIT


@pytest.mark.parametrize(
    ('near_s', 'far_s'), [(0.008, 0.07), (0.01, 0.03), (0.0, 0.065)]
)
def test_the_vm_nearest_to_the_store_campaigns_first(near_s, far_s):
    assert campaign_delay_s(near_s, 1.0) < campaign_delay_s(far_s, 1.0)


def test_a_large_vm_campaigns_before_a_small_one_nearer_to_the_store():
    """A small VM that leads hundreds of workers is taken for dead."""
    assert campaign_delay_s(0.1, 2.15) < campaign_delay_s(0.004, 0.516)


@pytest.mark.parametrize('vm_count', [7, 44, 97, 300])
def test_pings_to_the_leader_do_not_grow_with_the_deployment(vm_count):
    """Each VM once pinged four times a second, 1,200 times at 300 VMs."""
    large_count = vm_count // 5
    small_count = vm_count - large_count
    pings_per_s = large_count / ping_interval_s(vm_count, 2.15)
    pings_per_s += small_count / ping_interval_s(vm_count, 0.516)
    assert pings_per_s <= 110
    assert ping_interval_s(vm_count, 2.15) <= 2.5


def test_timeout_grows_with_a_slow_store():
    adaptive_timeout = AdaptiveTimeout()
    for _ in range(30):
        adaptive_timeout.record_response(0.4)
    assert adaptive_timeout.timeout_s == MAX_TIMEOUT_S


def test_timeout_stays_short_on_a_fast_store_that_loses_responses():
    adaptive_timeout = AdaptiveTimeout()
    for _ in range(30):
        adaptive_timeout.record_response(0.01)
    assert adaptive_timeout.timeout_s == MIN_TIMEOUT_S
    adaptive_timeout.record_timeout()
    assert adaptive_timeout.timeout_s == 2 * MIN_TIMEOUT_S
    adaptive_timeout.record_response(0.01)
    assert adaptive_timeout.timeout_s == MIN_TIMEOUT_S


def test_timeout_is_bounded_while_no_response_arrives():
    adaptive_timeout = AdaptiveTimeout()
    for _ in range(20):
        adaptive_timeout.record_timeout()
    assert adaptive_timeout.timeout_s == MAX_TIMEOUT_S
