"""Validates names from operators and suggests similar known names."""

import difflib
import unicodedata
from collections.abc import Iterable

MAX_NAME_CHARACTERS = 64
MAX_LISTED_NAMES = 20
BACKSLASH = 0x5C
# Names are used in store keys and URL paths.
RESERVED_CHARACTERS = frozenset(('/', chr(BACKSLASH), '?', '#', '%'))
RELATIVE_PATHS = frozenset(('.', '..'))
NAME_RULE = (
    f'1 to {MAX_NAME_CHARACTERS} printable characters in Unicode form NFC, '
    'without space at the ends and without slash, backslash, ?, # or %'
)


def is_valid_name(text: str) -> bool:
    """Return whether ``text`` follows ``NAME_RULE``."""
    return (
        0 < len(text) <= MAX_NAME_CHARACTERS
        and text not in RELATIVE_PATHS
        and _is_printable_nfc(text)
        and RESERVED_CHARACTERS.isdisjoint(text)
    )


def _is_printable_nfc(text: str) -> bool:
    return (
        text.isprintable()
        and text == text.strip()
        and unicodedata.is_normalized('NFC', text)
    )


def unknown_name_message(thing: str, found: str, known: Iterable[str]) -> str:
    """Return an error message that suggests the most similar known name.

    Without a similar one, it lists up to ``MAX_LISTED_NAMES`` known names.
    """
    names = sorted(known)
    folded = {name.casefold(): name for name in names}
    similar = difflib.get_close_matches(found.casefold(), folded, n=1)
    if similar:
        return (
            f'unknown {thing} {found!r}; did you mean {folded[similar[0]]!r}?'
        )
    if len(names) > MAX_LISTED_NAMES:
        return f'unknown {thing} {found!r}'
    known_names = ', '.join(names) or 'none'
    return f'unknown {thing} {found!r}; known: {known_names}'
