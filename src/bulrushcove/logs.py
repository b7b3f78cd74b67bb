"""Logs: one line per event, key=value pairs or JSON, on standard error."""

import json
import logging
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
RENAMED = MappingProxyType(
    {
        'asctime': TIME_KEY,
        'levelname': LEVEL_KEY,
        'name': 'logger',
        'message': EVENT_KEY,
    }
)
QUOTED_CHARACTERS = frozenset(' ="\n\r\t\\')


def setup_logs(settings: LogSettings) -> None:
    """Send every log line of the process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter(settings))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.level.upper())
    # What the service library says of each start and stop is for debugging.
    mode.Service.mundane_level = 'debug'
    # Its access line would repeat the request events.
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)


def make_formatter(settings: LogSettings) -> logging.Formatter:
    """Return the formatter for the chosen format."""
    if settings.format == 'json':
        return JsonFormatter(
            FORMAT,
            rename_fields=dict(RENAMED),
            json_ensure_ascii=False,
        )
    return JsonFormatter(
        FORMAT,
        rename_fields=dict(RENAMED),
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
    if text and QUOTED_CHARACTERS.isdisjoint(text):
        return text
    return json.dumps(text, ensure_ascii=False)
