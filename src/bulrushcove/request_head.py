"""Parses the headers of a caller's request."""

import re
from collections.abc import Iterable, Mapping

import msgspec

from .clock import MS_PER_S
from .contract import Contract
from .ids import RequestId
from .refusals import malformed
from .settings import EntrySettings
from .states import Urgency

REQUEST_HEADER = 'X-Bulrushcove-Request'
IDEMPOTENT_HEADER = 'X-Bulrushcove-Idempotent'
DEADLINE_HEADER = 'X-Bulrushcove-Deadline-Ms'
URGENCY_HEADER = 'X-Bulrushcove-Urgency'
# Set by the caller if it sent the id before, maybe to another entry VM.
RETRY_HEADER = 'X-Bulrushcove-Retry'
HEADER_PREFIX = 'x-bulrushcove-'
KNOWN_HEADERS = frozenset(
    name.lower()
    for name in (
        REQUEST_HEADER,
        IDEMPOTENT_HEADER,
        DEADLINE_HEADER,
        URGENCY_HEADER,
        RETRY_HEADER,
    )
)
ID_FORMAT = '1 to 128 of A-Z a-z 0-9 . _ : -'
_id_pattern = re.compile('[A-Za-z0-9._:-]{1,128}')
_booleans: Mapping[str, bool] = {'true': True, 'false': False}


class RequestHead(msgspec.Struct, frozen=True):
    """Parsed headers; ``deadline_s`` is a time of the monotonic clock."""

    contract: Contract
    request_id: RequestId
    idempotent: bool
    urgency: Urgency
    deadline_s: float


def parse_head(
    headers: Mapping[str, str],
    contract: Contract,
    settings: EntrySettings,
    now_s: float,
) -> RequestHead:
    """Return the parsed headers; raises ``RefusedError`` (400).

    A request is not idempotent unless its header says so.
    """
    _check_names(headers)
    _parse_boolean(RETRY_HEADER, headers.get(RETRY_HEADER, 'false'))
    idempotent = headers.get(IDEMPOTENT_HEADER, 'false')
    return RequestHead(
        contract=contract,
        request_id=RequestId(
            checked_id(REQUEST_HEADER, headers.get(REQUEST_HEADER, ''))
        ),
        idempotent=_parse_boolean(IDEMPOTENT_HEADER, idempotent),
        urgency=_parse_urgency(
            headers.get(URGENCY_HEADER, Urgency.NORMAL.value)
        ),
        deadline_s=now_s + _parse_deadline_ms(headers, settings) / MS_PER_S,
    )


def checked_id(field: str, text: str) -> str:
    """Return ``text`` if it is a valid id, else raise ``RefusedError``."""
    if _id_pattern.fullmatch(text):
        return text
    raise malformed(field, f'{field} is not a valid id', ID_FORMAT)


def is_retry(headers: Mapping[str, str]) -> bool:
    """Return whether the caller may have sent the id before."""
    return headers.get(RETRY_HEADER, 'false') != 'false'


def _check_names(headers: Iterable[str]) -> None:
    """Refuse unknown headers: a misspelt one would silently be ignored."""
    for name in headers:
        lower = name.lower()
        if lower.startswith(HEADER_PREFIX) and lower not in KNOWN_HEADERS:
            raise malformed(
                name.title(),
                f'unknown header {name}',
                ', '.join(sorted(KNOWN_HEADERS)),
            )


def _parse_boolean(field: str, text: str) -> bool:
    known = _booleans.get(text)
    if known is None:
        raise malformed(field, f'{text!r} is not a boolean', 'true or false')
    return known


def _parse_urgency(text: str) -> Urgency:
    try:
        return Urgency(text)
    except ValueError as exc:
        raise malformed(
            URGENCY_HEADER, f'{text!r} is not an urgency', 'urgent or normal'
        ) from exc


def _parse_deadline_ms(
    headers: Mapping[str, str], settings: EntrySettings
) -> int:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return settings.default_deadline_ms
    if text.isascii() and text.isdigit():
        deadline_ms = int(text)
        if 0 < deadline_ms <= settings.max_deadline_ms:
            return deadline_ms
    raise malformed(
        DEADLINE_HEADER,
        f'{text!r} is not a valid deadline in ms',
        f'1 to {settings.max_deadline_ms} ms',
    )
