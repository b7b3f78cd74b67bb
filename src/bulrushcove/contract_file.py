"""Reads and writes contract files: one contract in TOML."""

from pathlib import Path

import msgspec

from .contract import Contract
from .exceptions import SettingsError
from .names import NAME_RULE, is_valid_name
from .toml_document import (
    check_document,
    load_document,
    make_error_group,
)

TOML_ESCAPES = str.maketrans({'"': r'\"', '\\': r'\\'})


def load_contract(path: Path) -> Contract:
    """Read and check the contract file at ``path``.

    Raises an exception group of ``SettingsError``, one for each invalid key.
    """
    contract = check_document(load_document(path), Contract)
    if not is_valid_name(contract.organisation):
        error = SettingsError('organisation', contract.organisation, NAME_RULE)
        raise make_error_group([error])
    return contract


def format_contract(contract: Contract) -> str:
    """Return ``contract`` as TOML that ``load_contract`` can read."""
    document = msgspec.to_builtins(contract)
    tables = []
    lines = []
    for key, field_value in document.items():
        if isinstance(field_value, dict):
            tables.append(f'\n[{key}]\n{_format_table(field_value)}')
        elif key == 'guaranteed':
            tables.extend(
                f'\n[[{key}]]\n{_format_table(shape)}' for shape in field_value
            )
        else:
            lines.append(_format_entry(key, field_value))
    return ''.join((*lines, *tables))


def _format_table(table: dict[str, object]) -> str:
    return ''.join(
        _format_entry(key, field_value) for key, field_value in table.items()
    )


def _format_entry(key: str, field_value: object) -> str:
    # TOML has no null; a missing key gets its default.
    return (
        '' if field_value is None else f'{key} = {_format_value(field_value)}\n'
    )


def _format_value(field_value: object) -> str:
    if isinstance(field_value, str):
        return f'"{field_value.translate(TOML_ESCAPES)}"'
    if isinstance(field_value, (list, tuple)):
        return (
            f'[{", ".join(_format_value(element) for element in field_value)}]'
        )
    return str(field_value)
