import json
import logging

import pytest

from bulrushcove.logs import log_event, make_formatter
from bulrushcove.settings import LogSettings


class Keep(logging.Handler):
    def __init__(self):
        super().__init__()
        self.written = []

    def emit(self, record):
        self.written.append(self.format(record))


@pytest.fixture
def lines():
    keep = Keep()
    logger = logging.getLogger('test.logs')
    logger.handlers = [keep]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger, keep, keep.written


def test_an_event_is_one_key_value_line(lines):
    logger, keep, written = lines
    keep.setFormatter(make_formatter(LogSettings()))
    log_event(logger, 'job.accepted', job='j1', reason='två\nrader = 2')
    (line,) = written
    assert r'event=job.accepted job=j1 reason="två\nrader = 2"' in line
    assert '\n' not in line


def test_json_can_be_chosen(lines):
    logger, keep, written = lines
    keep.setFormatter(make_formatter(LogSettings(format='json')))
    log_event(logger, 'job.accepted', organisation='Pärlkö')
    parsed = json.loads(written[0])
    assert parsed['event'] == 'job.accepted'
    assert parsed['organisation'] == 'Pärlkö'
