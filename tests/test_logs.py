import json
import logging

import pytest

from bulrushcove.logs import log_event, make_formatter
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
