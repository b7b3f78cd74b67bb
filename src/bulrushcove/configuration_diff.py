"""Describes the differences between two contracts for operators."""

from collections.abc import Iterator
from typing import Any

import msgspec

from .contract import Contract

MAX_SHOWN_DIFFERENCES = 20
# Only the number of values is shown: hashes are not readable.
COUNTED_FIELDS = frozenset(('token_sha256',))


def contract_differences(
    old: Contract | None,
    new: Contract | None,
) -> tuple[str, ...]:
    """Return a line per changed field: its name, old and new value.

    Lists at most ``MAX_SHOWN_DIFFERENCES`` fields and counts the others. A
    missing contract is None.
    """
    if new is None:
        return ('removed',)
    if old is None:
        return ('created',)
    lines = list(_differences('', old, new))
    omitted = len(lines) - MAX_SHOWN_DIFFERENCES
    if omitted > 0:
        kept = lines[:MAX_SHOWN_DIFFERENCES]
        return (*kept, f'and {omitted} more')
    return tuple(lines)


def _differences(
    prefix: str,
    old: msgspec.Struct,
    new: msgspec.Struct,
) -> Iterator[str]:
    for field in msgspec.structs.fields(old):
        name = f'{prefix}{field.name}'
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before == after:
            continue
        if isinstance(before, msgspec.Struct):
            yield from _differences(f'{name}.', before, after)
        elif field.name in COUNTED_FIELDS:
            yield f'{name}: {len(before)} -> {len(after)} values, changed'
        else:
            yield f'{name}: {_format_value(before)} -> {_format_value(after)}'


def _format_value(field_value: Any) -> str:
    return msgspec.json.encode(field_value).decode()
