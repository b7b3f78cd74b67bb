"""Pytest settings: hypothesis profile, known failing tests, kept logs."""

import re
import shutil
from pathlib import Path

import hypothesis
import pytest

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
# Logs of the launches in which a test failed, by test.
FAILED_LAUNCHES = ROOT / 'failed-launches'

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    print_blob=True,
)
hypothesis.settings.load_profile('ci')


def read_known_red(path):
    """Return the entries of the known failing tests by node id.

    A line is ``node id | command and seed | observation | issue``.
    """
    if not path.exists():
        return {}
    lines = path.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if ' | ' in line and line[0] != '#']
    return {entry.split(' | ')[0].strip(): entry for entry in entries}


def pytest_collection_modifyitems(items):
    known_red = read_known_red(KNOWN_RED)
    for item in items:
        entry = known_red.get(item.nodeid)
        if entry is not None:
            reason = f'KNOWN-RED: {entry}'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Keep the logs of the processes that a failed test ran against."""
    outcome = yield
    cluster = getattr(item, 'funcargs', {}).get('cluster')
    processes = getattr(cluster, 'processes', None)
    if call.when != 'call' or call.excinfo is None or processes is None:
        return
    kept = keep_logs(processes.log_paths(), item.name)
    outcome.get_result().sections.append(('Logs of the launch', str(kept)))


def keep_logs(log_paths, test_name, directory=FAILED_LAUNCHES):
    """Copy ``log_paths`` to a directory named after the test; return it."""
    kept = directory / re.sub(r'[\W_]', '-', test_name)
    kept.mkdir(parents=True, exist_ok=True)
    for log_path in log_paths:
        shutil.copy(log_path, kept)
    return kept
