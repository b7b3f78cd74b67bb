"""Own delay is told from the silence of others."""

import pytest

from bulrushcove.clock import ManualClock
from bulrushcove.metrics import new_metrics
from bulrushcove.node.loop_delay import TICK_S, LoopDelay
from bulrushcove.node.metrics import NodeMetrics


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def loop_delay(clock):
    created = LoopDelay(clock, NodeMetrics(new_metrics()))
    created.record_tick()
    return created


def tick_after(loop_delay, clock, seconds):
    clock.advance(seconds)
    loop_delay.record_tick()


def test_regular_ticks_are_not_late(loop_delay, clock):
    started_at_s = clock.monotonic_s()
    for _ in range(20):
        tick_after(loop_delay, clock, TICK_S + 0.002)
    assert not loop_delay.was_late_since(started_at_s)


def test_several_short_delays_add_up(loop_delay, clock):
    started_at_s = clock.monotonic_s()
    for _ in range(4):
        tick_after(loop_delay, clock, TICK_S + 0.04)
    assert loop_delay.was_late_since(started_at_s)


def test_a_suspension_counts_before_the_next_tick(loop_delay, clock):
    """After a suspension the overdue timeouts of calls run first."""
    started_at_s = clock.monotonic_s()
    clock.advance(3.0)
    assert loop_delay.was_late_since(started_at_s)


def test_earlier_delays_do_not_count(loop_delay, clock):
    tick_after(loop_delay, clock, 2.0)
    started_at_s = clock.monotonic_s()
    tick_after(loop_delay, clock, TICK_S)
    assert not loop_delay.was_late_since(started_at_s)


def test_a_call_may_have_waited_since_a_suspension_began(loop_delay, clock):
    clock.advance(3.0)
    assert loop_delay.longest_wait_s() == pytest.approx(3.0 - TICK_S)
    loop_delay.record_tick()
    clock.advance(0.05)
    assert loop_delay.longest_wait_s() == pytest.approx(3.05 - TICK_S)


def test_calls_do_not_wait_while_ticks_are_regular(loop_delay, clock):
    tick_after(loop_delay, clock, 3.0)
    for _ in range(6):
        tick_after(loop_delay, clock, TICK_S)
    assert loop_delay.longest_wait_s() == 0
