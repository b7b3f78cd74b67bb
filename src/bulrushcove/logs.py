"""Logs: one line per event, key=value pairs or JSON, on standard error."""

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
# Attributes that every line has, in the order of the line.
FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
JSON_KEYS = MappingProxyType(
    {
        'asctime': TIME_KEY,
        'levelname': LEVEL_KEY,
        'name': 'logger',
        'message': EVENT_KEY,
    }
)
# Lines of a busy scheduler; a line costs about 40 microseconds.
MAX_LINES_PER_S = 400
CHARACTERS_TO_QUOTE = frozenset(' ="\n\r\t\\')


def setup_logs(settings: LogSettings) -> None:
    """Send every log line of the process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter(settings))
    _install(handler, settings.level)


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
    """Log ``event`` with its fields; never pass tokens or bodies."""
    logger.log(level, event, extra=fields)


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
    """Writes to a descriptor that never blocks the process.

    Beyond ``MAX_LINES_PER_S``, or while the reader does not keep up, lines
    are counted instead; the count goes out with the next line that does.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which becomes non-blocking."""
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._second = 0
        self._lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of ``record``, or count it."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S and record.levelno < logging.ERROR:
            self.dropped += 1
            return
        line = self.format(record)
        if self.dropped:
            line = f'{line} dropped_before={self.dropped}'
        try:
            os.write(self._descriptor, f'{line}\n'.encode())
        except OSError:
            # Nowhere to tell it but the next line.
            self.dropped += 1
        else:
            self.dropped = 0


def setup_bounded_logs(level: str = 'info') -> None:
    """Send every log line to standard output, bounded, as key=value pairs."""
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(make_formatter(LogSettings()))
    _install(handler, level)


def _install(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    # What the service library says of each start and stop is for debugging.
    mode.Service.mundane_level = 'debug'
    # Its access line would repeat the request events.
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)
