import json
import logging
import os

import pytest

from bulrushcove.logs import (
    MAX_LINES_PER_S,
    BoundedHandler,
    log_event,
    make_formatter,
)
from bulrushcove.settings import LogSettings


class RecordingHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.written = []

    def emit(self, record):
        self.written.append(self.format(record))


@pytest.fixture
def logging_parts():
    handler = RecordingHandler()
    logger = logging.getLogger('test.logs')
    logger.handlers = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger, handler, handler.written


def test_an_event_is_logged_as_one_key_value_line(logging_parts):
    logger, handler, written = logging_parts
    handler.setFormatter(make_formatter(LogSettings()))
    log_event(logger, 'job.accepted', job='j1', reason='två\nrader = 2')
    (line,) = written
    assert r'event=job.accepted job=j1 reason="två\nrader = 2"' in line
    assert '\n' not in line


def test_an_event_can_be_logged_as_json(logging_parts):
    logger, handler, written = logging_parts
    handler.setFormatter(make_formatter(LogSettings(format='json')))
    log_event(logger, 'job.accepted', organisation='Pärlkö')
    parsed = json.loads(written[0])
    assert parsed['event'] == 'job.accepted'
    assert parsed['organisation'] == 'Pärlkö'


def test_lines_of_workers_leave_room_for_those_of_jobs():
    """A leader of hundreds of workers dropped the lines of accepted jobs."""
    read_end, write_end = os.pipe()
    handler = BoundedHandler(write_end)
    handler.setFormatter(make_formatter(LogSettings()))
    lines = [
        {'msg': 'run.start', 'worker': 'w-1'} for _ in range(MAX_LINES_PER_S)
    ]
    lines.append({'msg': 'job.accepted', 'job': 'j1'})
    lines += [
        {'msg': 'call.refused', 'path': '/'} for _ in range(MAX_LINES_PER_S)
    ]
    lines.append({'msg': 'unexpected_error', 'levelno': logging.ERROR})
    for fields in lines:
        defaults = {'created': 1.0, 'levelno': logging.INFO}
        handler.emit(logging.makeLogRecord({**defaults, **fields}))
    os.close(write_end)
    with open(read_end, encoding='utf-8') as pipe:
        written = pipe.readlines()
    assert sum('event=job.accepted' in line for line in written) == 1
    assert len(written) == MAX_LINES_PER_S + 1
