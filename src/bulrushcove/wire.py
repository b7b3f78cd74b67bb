"""Frames on the streams between this system's own processes.

A frame is a four-byte big-endian length and that many bytes of msgpack: the
array ``[version, kind, correlation, fields]``. A correlation above zero ties
an answer to its question; zero asks for none.
"""

import asyncio
from typing import Any, NamedTuple

import msgpack
import msgspec

from .exceptions import WireError

WIRE_VERSION = 1
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_KIND_CHARACTERS = 64


class Frame(NamedTuple):
    """A decoded frame; ``fields`` are checked by the message's own type."""

    kind: str
    correlation: int
    fields: Any


def encode(message: msgspec.Struct, correlation: int = 0) -> bytes:
    """Return the bytes of one frame that carries ``message``.

    Raises ``WireError`` when the frame would be over the limit.
    """
    body = msgpack.packb(
        [
            WIRE_VERSION,
            type(message).__name__,
            correlation,
            msgspec.to_builtins(message, builtin_types=(bytes,)),
        ]
    )
    _check_length(len(body))
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body


def decode_body(body: bytes) -> Frame:
    """Return the frame in ``body`` (without its length).

    Raises ``WireError`` when it is malformed or of another version.
    """
    try:
        unpacked = msgpack.unpackb(body)
    except (ValueError, msgpack.UnpackException) as exc:
        raise WireError(f'frame is not msgpack: {exc}') from exc
    try:
        version, kind, correlation, fields = unpacked
    except (TypeError, ValueError) as exc:
        raise WireError('frame is not an array of four') from exc
    if version != WIRE_VERSION:
        raise WireError(f'frame version {version!r}, spoken: {WIRE_VERSION}')
    if not isinstance(kind, str) or len(kind) > MAX_KIND_CHARACTERS:
        raise WireError(f'frame kind {kind!r} is not a short string')
    if not isinstance(correlation, int) or correlation < 0:
        raise WireError(f'frame correlation {correlation!r} is not a count')
    return Frame(kind, correlation, fields)


async def read_frame(reader: asyncio.StreamReader) -> Frame:
    """Read one frame.

    Raises ``WireError`` for a frame that breaks the protocol and
    ``EOFError`` when the stream ends.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), 'big')
    _check_length(length)
    return decode_body(await reader.readexactly(length))


def _check_length(length: int) -> None:
    if length > MAX_FRAME_BYTES:
        raise WireError(
            f'frame of {length} bytes is over the limit of {MAX_FRAME_BYTES}',
        )
