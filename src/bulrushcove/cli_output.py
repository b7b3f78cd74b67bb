"""Formats responses as aligned tables or as JSON."""

from collections.abc import Iterable, Sequence
from enum import Enum
from itertools import chain, islice, repeat

import msgspec

COLUMN_GAP = '  '
EMPTY_CELL = '-'
MS_PER_S = 1000
JSON_INDENT = 2


class Table(msgspec.Struct, frozen=True):
    """Column titles with units, and rows of cells.

    Cells missing at the end of a row are shown as ``EMPTY_CELL``.
    """

    header: tuple[str, ...]
    rows: tuple[Sequence[object], ...]


def format_table(table: Table) -> str:
    """Return ``table`` as lines with aligned columns."""
    columns = len(table.header)
    rows = [table.header, *(_format_cells(row, columns) for row in table.rows)]
    widths = [
        max(len(cell) for cell in column) for column in zip(*rows, strict=True)
    ]
    return '\n'.join(_format_row(row, widths) for row in rows)


def format_json(response: object) -> str:
    """Return ``response`` as indented JSON."""
    encoded = msgspec.json.encode(response)
    return msgspec.json.format(encoded, indent=JSON_INDENT).decode()


def format_seconds(duration_ms: int | None) -> str:
    """Return a duration in seconds; a dash for None."""
    if duration_ms is None:
        return EMPTY_CELL
    return f'{duration_ms / MS_PER_S:.1f}'


def join_or_dash(parts: Iterable[object]) -> str:
    """Return the parts separated by commas; a dash if there are none."""
    return ', '.join(str(part) for part in parts) or EMPTY_CELL


def yes_no(truth: bool) -> str:
    """Return ``yes`` or ``no``."""
    return 'yes' if truth else 'no'


def _format_cells(row: Sequence[object], columns: int) -> tuple[str, ...]:
    filled = islice(chain(row, repeat(None)), columns)
    return tuple(_format_cell(content) for content in filled)


def _format_cell(content: object) -> str:
    if content is None or content == '':
        return EMPTY_CELL
    if isinstance(content, Enum):
        return str(content.value)
    return str(content)


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(row, widths, strict=True)
    )
    return COLUMN_GAP.join(padded).rstrip()
