"""Collects the bytes of one HTTP request until it is whole.

Load: heads and bodies in pieces of any size. The cost of a piece does not grow
with the pieces before it. No input or output here.
"""

import re
from http import HTTPStatus

from ..batch.policy import DEFAULT_REQUEST_LIMITS, RequestLimits
from .chunked_body import HEAD_END, LINE_END, ChunkedBody
from .exceptions import RequestRefusedError

# Fields that tell where the body ends.
_FRAMING_PATTERN = re.compile(
    rb'\r\n(content-length|transfer-encoding)[ \t]*:[ \t]*([^\r\n]*)',
    re.IGNORECASE,
)
_EXPECTATION_PATTERN = re.compile(
    rb' HTTP/1\.1\r\n(?:.*\r\n)?expect[ \t]*:[ \t]*100-continue[ \t]*\r\n',
    re.IGNORECASE | re.DOTALL,
)
_LENGTH_PATTERN = re.compile('[0-9]{1,18}')


class RequestAssembly:
    """The bytes of one request, and of what follows it on the connection.

    ``limits`` hold for a request from the end of its head on.
    """

    __slots__ = (
        '_body',
        '_body_bytes',
        '_chunked',
        '_empty_line_bytes',
        '_expects_continue',
        '_head',
        '_length_span',
        '_limits',
        '_raw',
        '_searched_bytes',
        'is_whole',
    )

    def __init__(self) -> None:
        """Start before the first request."""
        # Bytes that were not processed.
        self._raw = bytearray()
        self._limits = DEFAULT_REQUEST_LIMITS
        self._begin()

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that are kept."""
        chunked = self._chunked
        decoded = len(chunked.content) if chunked is not None else 0
        return len(self._raw) + len(self._head) + len(self._body) + decoded

    @property
    def is_empty(self) -> bool:
        """Return whether no byte of a request has arrived."""
        return not (self._head or self._raw or self._empty_line_bytes)

    @property
    def has_head(self) -> bool:
        """Return whether the head has arrived."""
        return bool(self._head)

    @property
    def needs_decoding(self) -> bool:
        """Return whether ``decode_chunks`` has something to do."""
        return (
            self._chunked is not None
            and bool(self._raw)
            and not self._chunked.is_whole
        )

    def feed(self, piece: bytes | memoryview) -> None:
        """Add bytes that arrived."""
        self._raw += piece

    def advance(self, limits: RequestLimits) -> None:
        """Process what arrived, except chunks.

        Raises ``RequestRefusedError``.
        """
        if not self._head and self._raw:
            self._limits = limits
            self._read_head()
        if self._body_bytes:
            missing_bytes = self._body_bytes - len(self._body)
            self._body += self._take_front(missing_bytes)
            self.is_whole = len(self._body) == self._body_bytes

    def decode_chunks(self, max_chunks: int) -> int:
        """Decode up to ``max_chunks`` chunks of a body; return how many.

        Raises ``RequestRefusedError``.
        """
        if self._chunked is None:
            return 0
        decoded = self._chunked.decode(self._raw, max_chunks)
        self._take_front(decoded.consumed_bytes)
        self.is_whole = self._chunked.is_whole
        return decoded.chunks

    def take_expectation(self) -> bool:
        """Return once whether the client waits to be asked for the body."""
        expects = self._expects_continue
        self._expects_continue = False
        has_begun = self._raw or self._body or self.is_whole
        return expects and not has_begun

    def take(self) -> bytes:
        """Return the whole request, with a length, and begin the next."""
        message = self._head
        if self._chunked is not None:
            start, end = self._length_span
            body = self._chunked.content
            length = b'\r\nContent-Length: %d' % len(body)
            message = b''.join((message[:start], length, message[end:], body))
        elif self._body:
            message += self._body
        self._begin()
        return message

    def _begin(self) -> None:
        self.is_whole = False
        self._head = b''
        self._body = bytearray()
        # Declared length of the body; zero: none is declared.
        self._body_bytes = 0
        self._chunked: ChunkedBody | None = None
        # Where the head names the encoding, which a length replaces.
        self._length_span = (0, 0)
        self._empty_line_bytes = 0
        # Whether the client may wait for a word before it sends the body.
        self._expects_continue = False
        # Bytes in which the end of the head was looked for.
        self._searched_bytes = 0

    def _read_head(self) -> None:
        if not self._searched_bytes:
            self._skip_empty_lines()
        raw = self._raw
        start = max(0, self._searched_bytes - len(HEAD_END))
        found = raw.find(HEAD_END, start)
        end = len(raw) if found < 0 else found + len(HEAD_END)
        max_bytes = self._limits.max_header_bytes
        if self._empty_line_bytes + end > max_bytes:
            raise RequestRefusedError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f'head is larger than {max_bytes} bytes',
            )
        self._searched_bytes = len(raw)
        if found >= 0:
            self._head = bytes(self._take_front(end))
            self._read_framing()
            found = _EXPECTATION_PATTERN.search(self._head)
            self._expects_continue = found is not None

    def _skip_empty_lines(self) -> None:
        length = len(self._raw) - len(self._raw.lstrip(LINE_END))
        self._empty_line_bytes += length
        self._take_front(length)

    def _take_front(self, count: int) -> bytearray:
        """Remove ``count`` bytes from what is not processed; return them."""
        taken = self._raw[:count]
        self._raw = self._raw[count:]
        return taken

    def _read_framing(self) -> None:
        fields = tuple(_FRAMING_PATTERN.finditer(self._head))
        if not fields:
            self.is_whole = True
            return
        if len(fields) > 1:
            raise RequestRefusedError(
                HTTPStatus.BAD_REQUEST, 'the length of the body is ambiguous'
            )
        name, declared = (
            part.decode('latin-1').strip().lower()
            for part in fields[0].groups()
        )
        if name == 'content-length':
            self._begin_body(declared)
            return
        if declared != 'chunked':
            raise RequestRefusedError(
                HTTPStatus.NOT_IMPLEMENTED, 'unknown transfer encoding'
            )
        self._length_span = fields[0].span()
        self._chunked = ChunkedBody(
            self._limits.max_body_bytes, self._limits.max_header_bytes
        )

    def _begin_body(self, declared: str) -> None:
        if not _LENGTH_PATTERN.fullmatch(declared):
            raise RequestRefusedError(
                HTTPStatus.BAD_REQUEST, 'the length of the body is no number'
            )
        self._body_bytes = int(declared)
        self.is_whole = not self._body_bytes
        if self._body_bytes > self._limits.max_body_bytes:
            raise RequestRefusedError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'body is larger than {self._limits.max_body_bytes} bytes',
            )
