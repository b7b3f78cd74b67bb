"""Frames on the streams between processes of this system.

A frame is a four-byte big-endian length and that many bytes of msgpack: the
array ``[version, kind, correlation, fields]``. A response has the correlation
of its request, which is above zero; a frame with zero gets no response.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack
import msgspec

from .decoding import DECODE_ERRORS, quote
from .exceptions import WireError

WIRE_VERSION = 1
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_KIND_CHARACTERS = 64
_UNPACK_ERRORS = (msgpack.UnpackException, *DECODE_ERRORS)


class Frame(NamedTuple):
    """A decoded frame; ``parse_message`` validates its ``fields``."""

    kind: str
    correlation: int
    fields: Any


def encode(message: msgspec.Struct, correlation: int = 0) -> bytes:
    """Return the bytes of a frame that carries ``message``.

    Raises ``WireError`` if the frame is over ``MAX_FRAME_BYTES``, or has a
    number beyond 64 bits or text that is not Unicode.
    """
    kind = type(message).__name__
    try:
        fields = msgspec.to_builtins(message, builtin_types=(bytes,))
        body = msgpack.packb([WIRE_VERSION, kind, correlation, fields])
    except DECODE_ERRORS as exc:
        raise WireError(f'{kind}: {exc}') from exc
    _check_length(len(body), MAX_FRAME_BYTES)
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body


def decode_body(body: bytes) -> Frame:
    """Decode a frame from its ``body``, the bytes after the length.

    Raises ``WireError`` if it is malformed or of another version.
    """
    try:
        unpacked = msgpack.unpackb(body)
    except _UNPACK_ERRORS as exc:
        raise WireError(f'frame is not msgpack: {exc}') from exc
    try:
        version, kind, correlation, fields = unpacked
    except (TypeError, ValueError) as exc:
        raise WireError('frame is not an array of four elements') from exc
    if version != WIRE_VERSION:
        raise WireError(
            f'frame version {quote(version)}, expected {WIRE_VERSION}'
        )
    if not isinstance(kind, str) or len(kind) > MAX_KIND_CHARACTERS:
        raise WireError(f'frame kind {quote(kind)} is not a valid string')
    if not isinstance(correlation, int) or correlation < 0:
        raise WireError(f'frame correlation {quote(correlation)} is not valid')
    return Frame(kind, correlation, fields)


async def read_frame(
    reader: asyncio.StreamReader,
    on_bytes: Callable[[int, int], None] | None = None,
    max_bytes: int = MAX_FRAME_BYTES,
) -> Frame:
    """Read one frame.

    Calls ``on_bytes`` whenever a part of it has arrived, with the numbers of
    bytes that have arrived and that are still missing.

    Raises ``WireError`` for a frame that violates the protocol and
    ``EOFError`` at the end of the stream.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), 'big')
    _check_length(length, max_bytes)
    body = bytearray()
    while len(body) < length:
        chunk = await reader.read(length - len(body))
        if not chunk:
            raise asyncio.IncompleteReadError(bytes(body), length)
        body.extend(chunk)
        if on_bytes is not None:
            on_bytes(len(body), length - len(body))
    return decode_body(bytes(body))


def _check_length(length: int, max_bytes: int) -> None:
    if length > max_bytes:
        raise WireError(
            f'frame of {length} bytes is over the limit of {max_bytes}',
        )
