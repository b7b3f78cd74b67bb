from conftest import keep_logs


def test_logs_of_a_failed_launch_are_kept_by_test(tmp_path):
    log_path = tmp_path / 'control-1.log'
    log_path.write_text('event=control.starts\n')
    kept = keep_logs([log_path], 'test_faults[silent and late]', tmp_path)
    assert kept.name == 'test-faults-silent-and-late-'
    assert (kept / 'control-1.log').read_text() == 'event=control.starts\n'
