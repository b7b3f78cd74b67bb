"""Contract files: one organisation's contract in TOML."""

from pathlib import Path

import msgspec

from .contract import Contract
from .exceptions import SettingsError
from .names import RULE, is_name
from .toml_document import (
    check_document,
    document_error_group,
    load_document,
)

TOML_ESCAPES = str.maketrans({'"': r'\"', '\\': r'\\'})


def load_contract(path: Path) -> Contract:
    """Read and check the contract file at ``path``.

    Raises an exception group of ``SettingsError``, one for each wrong key.
    """
    contract = check_document(load_document(path), Contract)
    if not is_name(contract.organisation):
        error = SettingsError('organisation', contract.organisation, RULE)
        raise document_error_group([error])
    return contract


def format_contract(contract: Contract) -> str:
    """Return the TOML that ``load_contract`` reads as ``contract``."""
    document = msgspec.to_builtins(contract)
    tables = []
    lines = []
    for key, found in document.items():
        if isinstance(found, dict):
            tables.append(f'\n[{key}]\n{_lines(found)}')
        elif key == 'guaranteed':
            tables.extend(f'\n[[{key}]]\n{_lines(shape)}' for shape in found)
        else:
            lines.append(_line(key, found))
    return ''.join((*lines, *tables))


def _lines(table: dict[str, object]) -> str:
    return ''.join(_line(key, found) for key, found in table.items())


def _line(key: str, found: object) -> str:
    # TOML has no null: a key that is left out has its default.
    return '' if found is None else f'{key} = {_value(found)}\n'


def _value(found: object) -> str:
    if isinstance(found, str):
        return f'"{found.translate(TOML_ESCAPES)}"'
    if isinstance(found, (list, tuple)):
        return f'[{", ".join(_value(part) for part in found)}]'
    return str(found)
