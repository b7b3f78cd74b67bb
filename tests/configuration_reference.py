"""Expected rows of the reference page for the keys of the TOML files."""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

import msgspec

from bulrushcove.toml_document import (
    describe_type,
    field_types,
    is_list,
    nested_type,
)


class Definition(NamedTuple):
    """A key with its allowed values and default, as on the page."""

    key: str
    allowed: str
    default: str


def definitions(
    struct_type: type[msgspec.Struct], prefix: str = ''
) -> Iterator[Definition]:
    hints = field_types(struct_type)
    for field in msgspec.structs.fields(struct_type):
        key = f'{prefix}{field.name}'
        hint = hints[field.name]
        nested = nested_type(hint)
        if nested is None:
            yield Definition(key, describe_type(hint), show_default(field))
            continue
        if is_list(hint):
            yield Definition(key, 'a list of tables', show_default(field))
        yield from definitions(nested, f'{key}.')


def show_default(field) -> str:
    if field.required:
        return 'required'
    default = field.default
    if isinstance(default, Enum):
        default = default.value
    if default is None:
        return 'none'
    return f'`{msgspec.json.encode(default).decode()}`'
