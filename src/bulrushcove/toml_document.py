"""Validates TOML documents against struct types and reports all errors."""

import tomllib
from collections.abc import Iterator, Mapping
from enum import Enum
from pathlib import Path
from types import MappingProxyType, NoneType
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from .exceptions import SettingsError

TYPE_DESCRIPTIONS = MappingProxyType(
    {str: 'a string', int: 'a whole number', bool: 'true or false'},
)
DocumentType = TypeVar('DocumentType', bound=msgspec.Struct)


def load_document(path: Path) -> dict[str, Any]:
    """Return the TOML document at ``path``.

    Raises an exception group of one ``SettingsError`` if it cannot be read.
    """
    try:
        return tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        error = SettingsError(str(path), str(exc), 'a TOML file')
        raise make_error_group([error]) from exc


def check_document(
    document: Mapping[str, Any],
    document_type: type[DocumentType],
) -> DocumentType:
    """Return ``document`` converted to ``document_type``.

    Raises an exception group of ``SettingsError``, one for each invalid key.
    """
    errors = list(_table_errors('', document_type, document))
    if errors:
        raise make_error_group(errors)
    return msgspec.convert(document, document_type)


def make_error_group(
    errors: list[SettingsError],
) -> ExceptionGroup[SettingsError]:
    """Return the exception group that the checks of a document raise."""
    return ExceptionGroup('invalid settings', errors)


def describe_type(hint: Any) -> str:
    """Describe the values that a field with type ``hint`` allows."""
    for meta in getattr(hint, '__metadata__', ()):
        if meta.description:
            return str(meta.description)
    base = _plain_type(hint)
    if isinstance(base, type) and issubclass(base, Enum):
        return ' or '.join(repr(choice.value) for choice in base)
    if get_origin(base) is tuple:
        return f'a list, each {describe_type(get_args(base)[0])}'
    return TYPE_DESCRIPTIONS.get(base, getattr(base, '__name__', str(base)))


def field_types(struct_type: type[msgspec.Struct]) -> dict[str, Any]:
    """Return the types of the fields with their constraints."""
    return get_type_hints(struct_type, include_extras=True)


def nested_type(hint: Any) -> type[msgspec.Struct] | None:
    """Return the struct type of a table or list of tables, else None."""
    base = _plain_type(hint)
    if get_origin(base) is tuple:
        base = _plain_type(get_args(base)[0])
    if isinstance(base, type) and issubclass(base, msgspec.Struct):
        return base
    return None


def is_list(hint: Any) -> bool:
    """Return whether a field with type ``hint`` holds a list."""
    return get_origin(_plain_type(hint)) is tuple


def _plain_type(hint: Any) -> Any:
    """Return the type under constraints, NewType and optional None."""
    if hasattr(hint, '__metadata__'):
        return _plain_type(get_args(hint)[0])
    if hasattr(hint, '__supertype__'):
        return hint.__supertype__
    choices = get_args(hint)
    if NoneType in choices:
        return _plain_type(choices[0])
    return hint


def _table_errors(
    prefix: str,
    struct_type: type[msgspec.Struct],
    table: Any,
) -> Iterator[SettingsError]:
    if not isinstance(table, dict):
        yield SettingsError(prefix.rstrip('.'), table, 'a table')
        return
    hints = field_types(struct_type)
    allowed = ', '.join(hints)
    for unknown in table.keys() - hints.keys():
        yield SettingsError(f'{prefix}{unknown}', table[unknown], allowed)
    for field in msgspec.structs.fields(struct_type):
        key = f'{prefix}{field.name}'
        found = table.get(field.name, msgspec.UNSET)
        if found is not msgspec.UNSET:
            yield from _field_errors(key, found, hints[field.name])
        elif field.required:
            yield from _missing_errors(key, hints[field.name])


def _missing_errors(key: str, hint: Any) -> Iterator[SettingsError]:
    nested = nested_type(hint)
    if nested is None or is_list(hint):
        yield SettingsError(key, None, describe_type(hint))
        return
    # Reports each missing key instead of its table.
    yield from _table_errors(f'{key}.', nested, {})


def _field_errors(key: str, found: Any, hint: Any) -> Iterator[SettingsError]:
    nested = nested_type(hint)
    if nested is None or (is_list(hint) and not isinstance(found, list)):
        if not _is_valid(found, hint):
            yield SettingsError(key, found, describe_type(hint))
    elif is_list(hint):
        for index, table in enumerate(found):
            yield from _table_errors(f'{key}[{index}].', nested, table)
    else:
        yield from _table_errors(f'{key}.', nested, found)


def _is_valid(found: Any, hint: Any) -> bool:
    try:
        msgspec.convert(found, hint)
    except msgspec.ValidationError:
        return False
    return True
