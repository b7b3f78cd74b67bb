"""Decodes a body in the chunked transfer encoding, a few chunks at a time.

The cost of a chunk does not grow with the chunks before it, and nothing is
kept of a chunk but its bytes. No input or output here.
"""

import re
from http import HTTPStatus
from typing import NamedTuple

from .exceptions import RequestRefusedError

LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'
# The size in hexadecimal digits, then extensions, which are ignored.
_SIZE_PATTERN = re.compile(rb'([0-9a-fA-F]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n')
# Longest line with the size of a chunk; far above any in use.
MAX_SIZE_LINE_BYTES = 1024
HEX_BASE = 16


class Decoded(NamedTuple):
    """What one call of ``decode`` took from the front of its input."""

    chunks: int
    consumed_bytes: int


class ChunkedBody:
    """The body of one request, as far as it was decoded."""

    __slots__ = (
        '_has_last_chunk',
        '_max_body_bytes',
        '_max_trailer_bytes',
        '_missing_bytes',
        'content',
        'is_whole',
    )

    def __init__(self, max_body_bytes: int, max_trailer_bytes: int) -> None:
        """Start without a chunk.

        The limits are those of the decoded body and of the lines after it.
        """
        self.content = bytearray()
        self.is_whole = False
        self._max_body_bytes = max_body_bytes
        self._max_trailer_bytes = max_trailer_bytes
        # Bytes missing of the chunk that is arriving, with its line end.
        self._missing_bytes = 0
        self._has_last_chunk = False

    def decode(self, raw: bytearray, max_chunks: int) -> Decoded:
        """Decode up to ``max_chunks`` chunks at the front of ``raw``.

        Raises ``RequestRefusedError``.
        """
        position = 0
        chunks = 0
        while chunks < max_chunks and not self._has_last_chunk:
            position = self._read_content(raw, position)
            if self._missing_bytes:
                break
            line = _SIZE_PATTERN.match(
                raw, position, position + MAX_SIZE_LINE_BYTES
            )
            if line is None:
                _check_size_line(raw, position)
                break
            position = line.end()
            self._begin_chunk(int(line[1], HEX_BASE))
            chunks += 1
        if self._has_last_chunk and not self.is_whole:
            position = self._read_trailer(raw, position)
        return Decoded(chunks, position)

    def _begin_chunk(self, size_bytes: int) -> None:
        if not size_bytes:
            self._has_last_chunk = True
            return
        if len(self.content) + size_bytes > self._max_body_bytes:
            raise RequestRefusedError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'body is larger than {self._max_body_bytes} bytes',
            )
        self._missing_bytes = size_bytes + len(LINE_END)

    def _read_content(self, raw: bytearray, position: int) -> int:
        """Move what arrived of a chunk; return the position after it."""
        if not self._missing_bytes:
            return position
        content_bytes = self._missing_bytes - len(LINE_END)
        if content_bytes > 0:
            end = min(position + content_bytes, len(raw))
            self.content += raw[position:end]
            self._missing_bytes -= end - position
            position = end
        end = position + len(LINE_END)
        if self._missing_bytes > len(LINE_END) or len(raw) < end:
            return position
        if raw[position:end] != LINE_END:
            raise RequestRefusedError(
                HTTPStatus.BAD_REQUEST, 'a chunk is longer than declared'
            )
        self._missing_bytes = 0
        return end

    def _read_trailer(self, raw: bytearray, position: int) -> int:
        """Return the position after the trailer, if all of it arrived."""
        if raw.startswith(LINE_END, position):
            self.is_whole = True
            return position + len(LINE_END)
        found = raw.find(HEAD_END, position)
        if found >= 0:
            self.is_whole = True
            return found + len(HEAD_END)
        if len(raw) - position > self._max_trailer_bytes:
            raise RequestRefusedError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'the lines after the body are too long',
            )
        return position


def _check_size_line(raw: bytearray, position: int) -> None:
    """Raise ``RequestRefusedError`` unless the line may still be arriving."""
    line_end = raw.find(LINE_END, position, position + MAX_SIZE_LINE_BYTES)
    if line_end >= 0 or len(raw) - position >= MAX_SIZE_LINE_BYTES:
        raise RequestRefusedError(
            HTTPStatus.BAD_REQUEST, 'invalid size of a chunk'
        )
