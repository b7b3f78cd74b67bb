"""Chooses free TCP ports for programs that are started later."""

import fcntl
import random
import socket
import tempfile
import time
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from typing import IO, NamedTuple

HOST = '127.0.0.1'
LOWEST_PORT = 12_000
PORT_RANGE_FILE = Path('/proc/sys/net/ipv4/ip_local_port_range')
# A process locks ports in blocks of this size; a test cluster needs about
# a hundred.
BLOCK_PORTS = 256
# Time for a program to bind its port after it was chosen; the slowest test
# cluster takes 20 s to start.
RESERVATION_S = 60.0
LOCKS_DIRECTORY = Path(tempfile.gettempdir()) / 'bulrushcove-port-blocks'


class NoFreePortError(Exception):
    """Fewer free ports than requested were found."""


class _Block(NamedTuple):
    """Ports that are locked for this process."""

    # The open file holds the lock; the kernel releases it when the process
    # ends.
    lock: IO[bytes]
    # Least recently chosen first.
    ports: deque[int]


_locked_blocks: dict[int, _Block] = {}
# When this process last chose each port.
_chosen_at_s: dict[int, float] = {}


def choose_ports(count: int) -> list[int]:
    """Return ``count`` different free ports; raises ``NoFreePortError``.

    The ports are below the kernel's range for outgoing connections and in
    blocks that are locked for this process, so that nothing else binds one
    before its program does.
    """
    chosen: list[int] = []
    for block in _blocks():
        for port in tuple(block.ports):
            if len(chosen) == count:
                return sorted(chosen)
            if not _is_reserved(port) and _is_free(port):
                chosen.append(port)
                _chosen_at_s[port] = time.monotonic()
                block.ports.remove(port)
                block.ports.append(port)
    if len(chosen) == count:
        return sorted(chosen)
    raise NoFreePortError(f'{count} ports requested, {len(chosen)} free')


def _blocks() -> Iterator[_Block]:
    """Yield the blocks locked by this process, then lock further ones."""
    yield from tuple(_locked_blocks.values())
    highest = int(PORT_RANGE_FILE.read_text().split()[0])
    starts = list(range(LOWEST_PORT, highest - BLOCK_PORTS, BLOCK_PORTS))
    random.SystemRandom().shuffle(starts)
    for start in starts:
        block = None if start in _locked_blocks else _lock_block(start)
        if block is not None:
            _locked_blocks[start] = block
            yield block


def _lock_block(start: int) -> _Block | None:
    """Lock a block for this process; None: another process has it."""
    LOCKS_DIRECTORY.mkdir(exist_ok=True)
    lock = (LOCKS_DIRECTORY / f'{start}.lock').open('ab')
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock.close()
        return None
    return _Block(lock, deque(range(start, start + BLOCK_PORTS)))


def _is_reserved(port: int) -> bool:
    """Return whether the port was chosen and may not be bound yet."""
    chosen_at_s = _chosen_at_s.get(port)
    return (
        chosen_at_s is not None
        and time.monotonic() - chosen_at_s < RESERVATION_S
    )


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
