"""Clients outside the limits: what each kind sends, and a crowd of them.

Every client sends its pieces until it has sent all of them, its connection is
closed or the crowd's time is over, and then keeps its connection open.
"""

import asyncio
import contextlib
import itertools
import os
import random
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import asynccontextmanager
from pathlib import Path

from bulrushcove.wire import LENGTH_BYTES, MAX_FRAME_BYTES, encode
from dev.platform_standin.deployment import (
    CREDENTIAL,
    QUEUE_HOST,
    QUEUE_PREFIX,
)

MAX_BODY_BYTES = 262_144
MAX_HEADER_BYTES = 16_384
# What a client with an endless message sends at most.
ENDLESS_BYTES = 2 * 1024 * 1024
# Time after which clients that are still sending stop and stay open.
SENDING_S = 12.0
CONNECT_TIMEOUT_S = 10.0
SAMPLE_INTERVAL_S = 0.05
PIECE_BYTES = 65_536
KB = 1024

Pieces = Iterator[bytes]
MakePieces = Callable[[], Iterable[bytes]]


def head(extra: str, method: str = 'POST') -> bytes:
    """Return a head of a submission with the lines ``extra``."""
    job = f'{random.getrandbits(64):016x}'
    return (
        f'{method} {QUEUE_PREFIX}{job} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n'
        f'X-Credential: {CREDENTIAL}\r\nX-Deadline-Ms: 3000\r\n{extra}\r\n'
    ).encode()


def in_pieces(message: bytes, piece_bytes: int = PIECE_BYTES) -> Pieces:
    for start in range(0, len(message), piece_bytes):
        yield message[start : start + piece_bytes]


def tiny_chunks() -> Pieces:
    """A chunked body in chunks of one byte, without its end."""
    yield head('Transfer-Encoding: chunked\r\n')
    yield from in_pieces(b'1\r\nx\r\n' * (MAX_BODY_BYTES - 1))


def large_chunks() -> Pieces:
    """A chunked body in chunks of 16 KB, one byte short, without its end."""
    yield head('Transfer-Encoding: chunked\r\n')
    chunk_bytes = 16_384
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b' ' * chunk_bytes)
    yield from itertools.repeat(chunk, MAX_BODY_BYTES // chunk_bytes - 1)
    yield b'%x\r\n%b\r\n' % (chunk_bytes - 1, b' ' * (chunk_bytes - 1))


def short_body() -> Pieces:
    """A body with Content-Length, all but its last byte at once."""
    yield head(f'Content-Length: {MAX_BODY_BYTES}\r\n')
    yield from in_pieces(b' ' * (MAX_BODY_BYTES - 1))


def short_body_in_pieces() -> Pieces:
    """A body with Content-Length, all but its last byte, 1 KB at a time."""
    yield head(f'Content-Length: {MAX_BODY_BYTES}\r\n')
    yield from in_pieces(b' ' * (MAX_BODY_BYTES - 1), KB)


def whole_body() -> Pieces:
    """A whole body of the largest legal size that is no job."""
    yield head(f'Content-Length: {MAX_BODY_BYTES}\r\n')
    yield from in_pieces(b' ' * MAX_BODY_BYTES)


def empty_lines() -> Pieces:
    """Empty lines without end, before a request."""
    yield from in_pieces(b'\r\n' * (ENDLESS_BYTES // 2))


def stopped_head() -> Pieces:
    """A head that stops in its middle."""
    yield head('X-Filler: 1\r\n')[:-20]


def silence() -> Pieces:
    """Nothing at all."""
    return iter(())


def endless_field() -> Pieces:
    """A head with one field without end."""
    yield head('')[:-2]
    yield b'X-Filler: '
    yield from in_pieces(b'x' * ENDLESS_BYTES)


def endless_fields() -> Pieces:
    """A head with short fields without end."""
    yield head('')[:-2]
    yield from in_pieces(b'X-Filler: 1\r\n' * (ENDLESS_BYTES // 13))


def short_frame() -> Pieces:
    """A stream whose first frame is of the largest size, a byte short."""
    yield MAX_FRAME_BYTES.to_bytes(LENGTH_BYTES, 'big')
    yield from in_pieces(b'x' * (MAX_FRAME_BYTES - 1))


def short_frame_after(hello) -> MakePieces:
    """Return the pieces of a peer that stops short of its second frame."""

    def pieces() -> Pieces:
        yield encode(hello)
        yield from short_frame()

    return pieces


class Crowd:
    """Clients that send to one address each and then stay open."""

    def __init__(self) -> None:
        """Create a crowd without clients."""
        self._writers: list[asyncio.StreamWriter] = []

    async def send(
        self, address: str, make_pieces: MakePieces, count: int
    ) -> None:
        """Let ``count`` clients send; return when none sends any more."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SENDING_S):
                await asyncio.gather(
                    *(self._send(address, make_pieces) for _ in range(count))
                )

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _send(self, address: str, make_pieces: MakePieces) -> None:
        host, _, port = address.rpartition(':')
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
            self._writers.append(writer)
            for piece in make_pieces():
                writer.write(piece)
                await writer.drain()


def count_sockets(pid: int) -> int:
    """Return the number of sockets that a process has open."""
    count = 0
    for descriptor in Path(f'/proc/{pid}/fd').iterdir():
        with contextlib.suppress(OSError):
            count += os.readlink(descriptor).startswith('socket:')
    return count


def read_peak_mb(pid: int) -> float:
    """Return the peak of a process's resident memory."""
    status = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    fields = dict(line.split(':', 1) for line in status.splitlines())
    return int(fields['VmHWM'].split()[0]) / KB


class SocketSamples:
    """Largest number of sockets that a process was seen with."""

    def __init__(self) -> None:
        """Start without a sample."""
        self.most = 0


@asynccontextmanager
async def sampled_sockets(pid: int) -> AsyncIterator[SocketSamples]:
    """Sample the sockets of process ``pid`` until the block ends."""
    samples = SocketSamples()

    async def sample() -> None:
        while True:
            samples.most = max(samples.most, count_sockets(pid))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    task = asyncio.create_task(sample())
    try:
        yield samples
    finally:
        task.cancel()
