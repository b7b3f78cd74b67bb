"""One open stream between two processes: requests, responses and pushes.

Both ends may send requests. The end that connected numbers its requests with
odd correlations, the other end with even ones, so that the parity
distinguishes a response from a request.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec

from .exceptions import BulrushcoveError, PeerUnreachableError, WireError
from .logs import log_event
from .messages import Hello, MessageType, parse_message
from .wire import Frame, encode, read_frame

FrameHandler = Callable[[Hello, Frame], Awaitable[msgspec.Struct | None]]

HELLO_TIMEOUT_S = 2.0
# A hello is a few names; a longer one is not kept until it ends.
MAX_HELLO_BYTES = 16_384
# Further frames stay unread while so many of a stream are being handled.
MAX_OPEN_HANDLERS = 1024
FIRST_CLIENT_CORRELATION = 1
FIRST_SERVER_CORRELATION = 2
CORRELATION_STEP = 2
# A peer that reads too slowly is disconnected above this many buffered bytes.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
# Longest pause between two parts of a frame: TCP sends a lost packet again
# after 0.2 s, and once more 0.4 s later.
MAX_FRAME_PAUSE_S = 0.7
FRAME_CHECK_INTERVAL_S = 0.1

logger = logging.getLogger(__name__)


def _ignore_arriving(_kept_bytes: int) -> None:
    """Let a frame be of any legal size."""


class Connection:
    """One open stream; ``peer`` is None until its hello has arrived."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_frame: FrameHandler,
        first_correlation: int,
        on_arriving: Callable[[int], None] = _ignore_arriving,
    ) -> None:
        """Wrap an open stream; ``run`` handles its frames.

        ``on_arriving`` gets the number of bytes that are kept of a frame that
        is arriving; zero once it is complete.
        """
        self.peer: Hello | None = None
        # Loop time at which a part of a frame last arrived; zero: none has.
        self.received_at_s = 0.0
        # Bytes that are missing of the frame that is arriving; zero: none is.
        self._missing_bytes = 0
        self._reader = reader
        self._writer = writer
        self._on_frame = on_frame
        self._on_arriving = on_arriving
        self._next_correlation = first_correlation
        self._own_parity = first_correlation % CORRELATION_STEP
        self._pending: dict[int, asyncio.Future[Frame]] = {}
        self._handlers: set[asyncio.Task[None]] = set()

    async def exchange_hellos(self, hello: Hello) -> Hello:
        """Send ``hello`` and return the hello of the peer.

        Raises ``WireError``, ``EOFError`` or ``OSError``.
        """
        self.send(hello)
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            frame = await read_frame(
                self._reader, self._record_received, MAX_HELLO_BYTES
            )
        if frame.kind != Hello.__name__:
            raise WireError(f'first frame is {frame.kind!r}, not a hello')
        self.peer = parse_message(Hello, frame.fields)
        return self.peer

    async def run(self, idle_timeout_s: float | None) -> None:
        """Handle frames until the stream ends, fails or is idle for too long.

        Raises ``EOFError``, ``WireError`` or ``OSError`` (also ``TimeoutError``
        after ``idle_timeout_s``).
        """
        try:
            while True:
                async with asyncio.timeout(idle_timeout_s):
                    frame = await read_frame(
                        self._reader, self._record_received
                    )
                self._dispatch(frame)
                if len(self._handlers) >= MAX_OPEN_HANDLERS:
                    await asyncio.wait(
                        self._handlers, return_when=asyncio.FIRST_COMPLETED
                    )
        finally:
            self.close()

    def send(self, message: msgspec.Struct, correlation: int = 0) -> None:
        """Send ``message`` without waiting for a response."""
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            raise PeerUnreachableError('peer does not read its stream')
        self._writer.write(encode(message, correlation))

    async def request(
        self,
        message: msgspec.Struct,
        response_type: type[MessageType],
        timeout_s: float,
        *,
        waits_for_frame: bool = False,
    ) -> MessageType:
        """Send a request and return its response.

        Raises ``PeerUnreachableError`` if none arrives in time. With
        ``waits_for_frame`` a frame that is arriving then is waited for, which
        may be the response.
        """
        correlation = self._next_correlation
        self._next_correlation += CORRELATION_STEP
        future = asyncio.get_running_loop().create_future()
        self._pending[correlation] = future
        try:
            self.send(message, correlation)
            frame = await self._wait(future, timeout_s, waits_for_frame)
        except (TimeoutError, OSError) as exc:
            raise PeerUnreachableError(
                f'no response to {type(message).__name__} in {timeout_s} s',
            ) from exc
        finally:
            self._pending.pop(correlation, None)
        return parse_message(response_type, frame.fields)

    def close(self) -> None:
        """Close the stream; pending requests raise ``PeerUnreachableError``."""
        self._writer.close()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(PeerUnreachableError('stream closed'))
        for task in self._handlers:
            task.cancel()

    async def _wait(
        self,
        future: asyncio.Future[Frame],
        timeout_s: float,
        waits_for_frame: bool,
    ) -> Frame:
        wait_s = timeout_s
        while True:
            done, _ = await asyncio.wait((future,), timeout=wait_s)
            if done:
                return future.result()
            if not (waits_for_frame and self._is_frame_arriving()):
                raise TimeoutError
            wait_s = FRAME_CHECK_INTERVAL_S

    def _record_received(self, arrived_bytes: int, missing_bytes: int) -> None:
        self.received_at_s = asyncio.get_running_loop().time()
        self._missing_bytes = missing_bytes
        self._on_arriving(arrived_bytes if missing_bytes else 0)

    def _is_frame_arriving(self) -> bool:
        silent_s = asyncio.get_running_loop().time() - self.received_at_s
        return self._missing_bytes > 0 and silent_s < MAX_FRAME_PAUSE_S

    def _dispatch(self, frame: Frame) -> None:
        if (
            frame.correlation
            and frame.correlation % CORRELATION_STEP == self._own_parity
        ):
            future = self._pending.get(frame.correlation)
            if future is not None and not future.done():
                future.set_result(frame)
            return
        task = asyncio.create_task(self._handle(frame))
        self._handlers.add(task)
        task.add_done_callback(self._handlers.discard)

    async def _handle(self, frame: Frame) -> None:
        if self.peer is None:
            return
        try:
            response = await self._on_frame(self.peer, frame)
            if response is not None and frame.correlation:
                self.send(response, frame.correlation)
        except (BulrushcoveError, OSError) as exc:
            log_event(
                logger,
                'stream.frame_refused',
                level=logging.WARNING,
                peer=self.peer.vm,
                kind=frame.kind,
                error=exc,
            )
            if isinstance(exc, WireError):
                self.close()
