from bulrushcove.scheduling_model import UnrunnableJob
from bulrushcove.unrunnable_delay import UNRUNNABLE_AFTER_S, UnrunnableDelay

LARGE = UnrunnableJob('large', 'one rack takes 32 at most')


def test_a_job_ends_only_when_it_could_not_run_for_long():
    delay = UnrunnableDelay()
    assert not delay.due([LARGE], 0)
    assert not delay.due([LARGE], UNRUNNABLE_AFTER_S - 1)
    assert delay.due([LARGE], UNRUNNABLE_AFTER_S) == (LARGE,)


def test_a_rack_that_comes_back_starts_the_wait_anew():
    delay = UnrunnableDelay()
    assert not delay.due([LARGE], 0)
    assert not delay.due([], UNRUNNABLE_AFTER_S / 2)
    assert not delay.due([LARGE], UNRUNNABLE_AFTER_S)
