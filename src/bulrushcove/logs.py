"""Structured logs: one line per event, as key=value pairs or JSON."""

import json
import logging
import os
import sys
from types import MappingProxyType
from typing import Any

import mode
from pythonjsonlogger.json import JsonFormatter

from .settings import LogSettings

TIME_KEY = 'time'
LEVEL_KEY = 'level'
EVENT_KEY = 'event'
# Attributes of every line, in order.
FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
JSON_KEYS = MappingProxyType(
    {
        'asctime': TIME_KEY,
        'levelname': LEVEL_KEY,
        'name': 'logger',
        'message': EVENT_KEY,
    }
)
# Enough for a busy scheduler; writing a line takes about 40 microseconds.
MAX_LINES_PER_S = 400
# Lines that name a worker; the rest is for jobs, callers and leaders.
MAX_WORKER_LINES_PER_S = 300
# Errors remembered so that each is logged once; beyond, some are logged again.
MAX_LOGGED_ERRORS = 256
CHARACTERS_TO_QUOTE = frozenset(' ="\n\r\t\\')


def setup_logs(settings: LogSettings) -> None:
    """Send every log line of the process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter(settings))
    _install_handler(handler, settings.level)


def make_formatter(settings: LogSettings) -> logging.Formatter:
    """Return the formatter for the chosen format."""
    if settings.format == 'json':
        return JsonFormatter(
            FORMAT,
            rename_fields=dict(JSON_KEYS),
            json_ensure_ascii=False,
        )
    return JsonFormatter(
        FORMAT,
        rename_fields=dict(JSON_KEYS),
        json_serializer=_serialize_key_value,
    )


def log_event(
    logger: logging.Logger,
    event: str,
    *,
    level: int = logging.INFO,
    **fields: Any,
) -> None:
    """Log ``event`` with its fields, which must hold no tokens or bodies."""
    logger.log(level, event, extra=fields)


def log_unexpected_error(
    logger: logging.Logger, exc: Exception, **fields: Any
) -> None:
    """Log an error that no other handler expected, with its traceback."""
    logger.error('unexpected_error', exc_info=exc, extra=fields)


def _serialize_key_value(pairs: dict[str, Any], **_options: Any) -> str:
    return ' '.join(
        f'{key}={_quote(str(field))}'
        for key, field in pairs.items()
        if field is not None
    )


def _quote(text: str) -> str:
    if text and CHARACTERS_TO_QUOTE.isdisjoint(text):
        return text
    return json.dumps(text, ensure_ascii=False)


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking the process.

    Drops lines beyond ``MAX_LINES_PER_S``, those that name a worker beyond
    ``MAX_WORKER_LINES_PER_S``, errors excepted, and lines that the reader does
    not keep up with. The next line that is written carries the number of lines
    dropped before it.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which is set to non-blocking."""
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._current_second = 0
        self._lines_in_second = 0
        self._worker_lines_in_second = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of ``record``, or drop and count it."""
        second = int(record.created)
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
            self._worker_lines_in_second = 0
        if self._is_beyond_limit(record):
            self.dropped += 1
            return
        line = self.format(record)
        if self.dropped:
            line = f'{line} dropped_before={self.dropped}'
        try:
            os.write(self._descriptor, f'{line}\n'.encode())
        except OSError:
            # Only the next line can report the loss.
            self.dropped += 1
        else:
            self.dropped = 0

    def _is_beyond_limit(self, record: logging.LogRecord) -> bool:
        """Count the line of ``record``; return whether it is dropped."""
        if hasattr(record, 'worker') and record.levelno < logging.ERROR:
            self._worker_lines_in_second += 1
            if self._worker_lines_in_second > MAX_WORKER_LINES_PER_S:
                return True
        self._lines_in_second += 1
        return (
            self._lines_in_second > MAX_LINES_PER_S
            and record.levelno < logging.ERROR
        )


def setup_bounded_logs(level: str = 'info') -> None:
    """Log key=value pairs to standard output through ``BoundedHandler``."""
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(make_formatter(LogSettings()))
    _install_handler(handler, level)


def _install_handler(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    # The service library logs each start and stop: only useful to debug.
    mode.Service.mundane_level = 'debug'
    # The access log would duplicate the request events.
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)
