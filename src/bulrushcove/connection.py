"""One open stream between two processes: questions, answers and pushes.

Both ends may ask. The end that connected numbers its questions odd, the other
one even, so an answer is told from a question by its parity.
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
CLIENT_FIRST = 1
SERVER_FIRST = 2
PARITY = 2
# A reader that falls behind by this much is cut off.
MAX_UNSENT_BYTES = 8 * 1024 * 1024

logger = logging.getLogger(__name__)


class Connection:
    """One open stream; ``peer`` is known once its hello has come."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_frame: FrameHandler,
        first_correlation: int,
    ) -> None:
        """Wrap an open stream; ``run`` serves it."""
        self.peer: Hello | None = None
        self._reader = reader
        self._writer = writer
        self._on_frame = on_frame
        self._next = first_correlation
        self._own_parity = first_correlation % PARITY
        self._waiting: dict[int, asyncio.Future[Frame]] = {}
        self._handlers: set[asyncio.Task[None]] = set()

    async def exchange_hellos(self, hello: Hello) -> Hello:
        """Exchange hellos; raises ``WireError`` or ``OSError``."""
        self.send(hello)
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            frame = await read_frame(self._reader)
        if frame.kind != Hello.__name__:
            raise WireError(f'first frame is {frame.kind!r}, not a hello')
        self.peer = parse_message(Hello, frame.fields)
        return self.peer

    async def run(self, idle_timeout_s: float | None) -> None:
        """Serve frames until the stream ends, breaks or falls silent."""
        try:
            while True:
                async with asyncio.timeout(idle_timeout_s):
                    frame = await read_frame(self._reader)
                self._take(frame)
        finally:
            self.close()

    def send(self, message: msgspec.Struct, correlation: int = 0) -> None:
        """Send ``message`` without waiting."""
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            raise PeerUnreachableError('peer does not read its stream')
        self._writer.write(encode(message, correlation))

    async def request(
        self,
        message: msgspec.Struct,
        response_type: type[MessageType],
        timeout_s: float,
    ) -> MessageType:
        """Send a question and return its answer.

        Raises ``PeerUnreachableError`` when none comes in time.
        """
        correlation = self._next
        self._next += PARITY
        future = asyncio.get_running_loop().create_future()
        self._waiting[correlation] = future
        try:
            self.send(message, correlation)
            frame = await asyncio.wait_for(future, timeout_s)
        except (TimeoutError, OSError) as exc:
            raise PeerUnreachableError(
                f'no answer to {type(message).__name__} in {timeout_s} s',
            ) from exc
        finally:
            self._waiting.pop(correlation, None)
        return parse_message(response_type, frame.fields)

    def close(self) -> None:
        """Close the stream; open questions end as unreachable."""
        self._writer.close()
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(PeerUnreachableError('stream closed'))
        for task in self._handlers:
            task.cancel()

    def _take(self, frame: Frame) -> None:
        if frame.correlation and frame.correlation % PARITY == self._own_parity:
            future = self._waiting.get(frame.correlation)
            if future is not None and not future.done():
                future.set_result(frame)
            return
        task = asyncio.create_task(self._serve(frame))
        self._handlers.add(task)
        task.add_done_callback(self._handlers.discard)

    async def _serve(self, frame: Frame) -> None:
        if self.peer is None:
            return
        try:
            answer = await self._on_frame(self.peer, frame)
            if answer is not None and frame.correlation:
                self.send(answer, frame.correlation)
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
