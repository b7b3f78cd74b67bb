"""Takes in the bytes of one open connection; passes whole requests on.

The HTTP server sees a request once all of it has arrived: what is unfinished
costs its bytes alone, and a request that was not received whole never runs.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Protocol

import msgspec

from .chunk_turns import ChunkTurns
from .connection_guard import ConnectionGuard
from .exceptions import RequestRefusedError
from .request_assembly import RequestAssembly

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class HttpServer(Protocol):
    """Handles the whole requests of one connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with an open connection."""

    def data_received(self, message: bytes) -> None:
        """Handle a whole request."""

    def connection_lost(self, exc: Exception | None) -> None:
        """End with the connection."""

    def pause_writing(self) -> None:
        """Stop writing."""

    def resume_writing(self) -> None:
        """Go on writing."""


class RequestIntake:
    """Assembles the requests of one connection, one after the other."""

    def __init__(
        self,
        transport: asyncio.Transport,
        guard: ConnectionGuard,
        turns: ChunkTurns,
        make_server: Callable[[], HttpServer],
        *,
        is_internal: bool = False,
    ) -> None:
        """Count the connection, which may close others.

        ``make_server`` is called with the first request; ``is_internal``: the
        connection is no caller's.
        """
        # None before the first request.
        self.server: HttpServer | None = None
        self._transport = transport
        self._guard = guard
        self._turns = turns
        self._make_server = make_server
        self._assembly = RequestAssembly()
        self._loop = asyncio.get_running_loop()
        # After a refusal, or the end of the connection.
        self._is_ended = False
        # Chunks decoded of the unfinished body.
        self._decoded_chunks = 0
        # Size of the request that is being handled.
        self._handled_bytes = 0
        # Whether a part of the last response waits for the client to read.
        self._is_answering = False
        self._is_stopping = False
        # Whether the client has sent its last byte.
        self._has_eof = False
        # A response that is partly unread keeps the next request waiting.
        transport.set_write_buffer_limits(0)
        self._connection = guard.open(transport.abort, is_internal=is_internal)

    def receive(self, piece: memoryview) -> None:
        """Take bytes that arrived."""
        if self._is_ended:
            return
        self._connection.heard_at_s = self._loop.time()
        self._assembly.feed(piece)
        if self._is_busy:
            self._transport.pause_reading()
            self._hold()
        else:
            self._process()

    def receive_eof(self) -> bool:
        """Note the last byte; return whether to stay open for an answer."""
        self._has_eof = True
        return self._is_busy and not self._is_ended

    def end(self, exc: Exception | None) -> None:
        """Forget the connection, which was lost."""
        self._is_ended = True
        self._assembly = RequestAssembly()
        self._guard.release(self._connection)
        if self.server is not None:
            self.server.connection_lost(exc)

    def finish_request(self) -> None:
        """Go on with the next request, once the response is written."""
        self._loop.call_soon(self._begin_next)

    def resume(self) -> None:
        """Go on once the client has read what was written."""
        if self._is_answering:
            self.finish_request()

    def stop(self) -> None:
        """Close the connection once its whole request is answered."""
        self._is_stopping = True
        if not self._is_busy:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    @property
    def _is_busy(self) -> bool:
        connection = self._connection
        return (
            connection.is_handled
            or connection.is_decoding
            or self._is_answering
        )

    def _begin_next(self) -> None:
        self._connection.is_handled = False
        self._handled_bytes = 0
        self._connection.heard_at_s = self._loop.time()
        self._is_answering = self._transport.get_write_buffer_size() > 0
        if self._is_ended:
            return
        if self._is_answering:
            self._hold()
        elif self._is_stopping:
            self._transport.close()
        else:
            self._process()

    def _process(self) -> None:
        try:
            self._assembly.advance(self._guard.get_request_limits())
        except RequestRefusedError as exc:
            self._refuse(exc)
            return
        if self._assembly.needs_decoding:
            self._connection.begin_decoding(self._loop.time())
            self._hold()
            self._turns.decode(self._decoded_chunks, self._decode)
        else:
            self._settle()

    def _decode(self, max_chunks: int) -> int:
        """Decode chunks in a turn of this connection; return how many."""
        if self._is_ended:
            return 0
        try:
            chunks = self._assembly.decode_chunks(max_chunks)
        except RequestRefusedError as exc:
            self._refuse(exc)
            return 0
        self._decoded_chunks += chunks
        if chunks < max_chunks:
            self._connection.end_decoding(self._loop.time())
            self._settle()
        return chunks

    def _settle(self) -> None:
        """Hand a whole request over, or wait for more bytes."""
        self._transport.resume_reading()
        if self._assembly.is_whole:
            self._hand_over()
            return
        if self._is_stopping or self._has_eof:
            self._transport.close()
            return
        if self._assembly.take_expectation():
            self._transport.write(CONTINUE)
        if not self._assembly.is_empty:
            self._connection.begin_request(is_body=self._assembly.has_head)
        self._hold()

    def _hand_over(self) -> None:
        message = self._assembly.take()
        self._decoded_chunks = 0
        self._connection.complete_request()
        self._connection.is_handled = True
        self._handled_bytes = len(message)
        self._hold()
        if self.server is None:
            self.server = self._make_server()
            self.server.connection_made(self._transport)
        self.server.data_received(message)

    def _hold(self) -> None:
        unread_bytes = self._transport.get_write_buffer_size()
        self._guard.hold(
            self._connection,
            self._assembly.held_bytes + self._handled_bytes + unread_bytes,
        )

    def _refuse(self, exc: RequestRefusedError) -> None:
        """Answer and end; the client has the time of a head to read it."""
        self._is_ended = True
        self._connection.end_decoding(self._loop.time())
        self._guard.report_refusal(str(exc.status.value))
        self._assembly = RequestAssembly()
        self._connection.complete_request()
        self._connection.begin_request(is_body=False)
        self._transport.write(_render_refusal(exc))
        # The client may have reset the connection meanwhile.
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self._transport.resume_reading()
        self._hold()


def _render_refusal(exc: RequestRefusedError) -> bytes:
    body = msgspec.json.encode({'error': str(exc)})
    status = exc.status
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
    )
    return head.encode() + body
