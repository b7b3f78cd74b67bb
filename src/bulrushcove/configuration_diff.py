"""Differences between contracts in words, as operators are shown them."""

from collections.abc import Iterator
from typing import Any

import msgspec

from .contract import Contract

MAX_SHOWN_DIFFERENCES = 20
# Hashes say nothing to a reader; their number does.
COUNTED_FIELDS = frozenset(('token_sha256',))


def contract_differences(
    old: Contract | None,
    new: Contract | None,
) -> tuple[str, ...]:
    """Return one line per field that differs: name, old and new value."""
    if new is None:
        return ('removed',)
    if old is None:
        return ('created',)
    lines = list(_differences('', old, new))
    hidden = len(lines) - MAX_SHOWN_DIFFERENCES
    if hidden > 0:
        shown = lines[:MAX_SHOWN_DIFFERENCES]
        return (*shown, f'and {hidden} more')
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
            yield f'{name}: {_show(before)} -> {_show(after)}'


def _show(found: Any) -> str:
    return msgspec.json.encode(found).decode()
