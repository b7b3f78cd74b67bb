from bulrushcove.clock import ManualClock


def test_manual_clock_advances_by_the_given_time():
    clock = ManualClock(start_s=5)
    clock.advance(2.5)
    assert clock.monotonic_s() == 7.5
    assert clock.unix_ms() == 7500
