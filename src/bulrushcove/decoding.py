"""Errors that decoders raise for bytes that another program wrote."""

import msgspec

# Beside its own errors msgspec raises RecursionError for deep nesting, also in
# fields that are skipped, as do tomllib and a message that quotes such a value;
# the conversion of a number raises OverflowError, and that of text ValueError.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
# An error message quotes this much of a value, so that it stays one log line.
MAX_QUOTED_CHARACTERS = 80


def quote(found: object) -> str:
    """Return a short representation of ``found``, however deep it is."""
    try:
        text = repr(found)
    except RecursionError:
        return f'deeply nested {type(found).__name__}'
    if len(text) > MAX_QUOTED_CHARACTERS:
        return f'{text[:MAX_QUOTED_CHARACTERS]}...'
    return text
