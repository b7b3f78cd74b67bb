"""Names that operators give: checked, and the nearest one suggested."""

import difflib
import unicodedata
from collections.abc import Iterable

MAX_NAME_CHARACTERS = 64
MAX_LISTED_NAMES = 20
BACKSLASH = 0x5C
# A name is part of store keys and URL paths.
RESERVED_CHARACTERS = frozenset(('/', chr(BACKSLASH), '?', '#', '%'))
RELATIVE_PATHS = frozenset(('.', '..'))
NAME_RULE = (
    f'1 to {MAX_NAME_CHARACTERS} printable characters in Unicode form NFC, '
    'without space at the ends and without slash, backslash, ?, # or %'
)


def is_valid_name(text: str) -> bool:
    """Return whether ``text`` keeps to ``NAME_RULE``."""
    return (
        0 < len(text) <= MAX_NAME_CHARACTERS
        and text not in RELATIVE_PATHS
        and _is_plain(text)
        and RESERVED_CHARACTERS.isdisjoint(text)
    )


def _is_plain(text: str) -> bool:
    return (
        text.isprintable()
        and text == text.strip()
        and unicodedata.is_normalized('NFC', text)
    )


def unknown_name_message(thing: str, found: str, known: Iterable[str]) -> str:
    """Return an error text that suggests the nearest of ``known``."""
    names = sorted(known)
    folded = {name.casefold(): name for name in names}
    near = difflib.get_close_matches(found.casefold(), folded, n=1)
    if near:
        return f'unknown {thing} {found!r}; did you mean {folded[near[0]]!r}?'
    if len(names) > MAX_LISTED_NAMES:
        return f'unknown {thing} {found!r}'
    listed = ', '.join(names) or 'none'
    return f'unknown {thing} {found!r}; known: {listed}'
