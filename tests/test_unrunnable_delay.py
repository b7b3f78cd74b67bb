from bulrushcove.scheduling_model import UnrunnableJob
from bulrushcove.unrunnable_delay import SET_ASIDE_AFTER_S, AsideDelay

LARGE = UnrunnableJob('large', 'one rack takes 32 at most')


def test_a_job_ends_only_when_it_could_not_run_for_long():
    delay = AsideDelay()
    assert not delay.due([LARGE], 0)
    assert not delay.due([LARGE], SET_ASIDE_AFTER_S - 1)
    assert delay.due([LARGE], SET_ASIDE_AFTER_S) == (LARGE,)


def test_a_rack_that_comes_back_starts_the_wait_anew():
    delay = AsideDelay()
    assert not delay.due([LARGE], 0)
    assert not delay.due([], SET_ASIDE_AFTER_S / 2)
    assert not delay.due([LARGE], SET_ASIDE_AFTER_S)
