"""Choice of free TCP ports for programs that are started later."""

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
# A process takes ports in blocks of this size; a cluster of the tests needs
# about a hundred.
BLOCK_PORTS = 256
# A program binds its port within this time after it was chosen; the slowest
# cluster of the tests takes 20 s to start.
RESERVATION_S = 60.0
LOCKS_DIRECTORY = Path(tempfile.gettempdir()) / 'bulrushcove-port-blocks'


class NoFreePortError(Exception):
    """Too few free ports were found."""


class _Block(NamedTuple):
    """Ports that only this process chooses from."""

    # The open file holds the lock; the kernel releases it with the process.
    lock: IO[bytes]
    # The one that was chosen longest ago comes first.
    ports: deque[int]


_locked_blocks: dict[int, _Block] = {}
# When this process last chose a port.
_chosen_at_s: dict[int, float] = {}


def choose_ports(count: int) -> list[int]:
    """Return ``count`` different free ports; raises ``NoFreePortError``.

    They lie below the range from which the kernel takes the ports of outgoing
    connections, and in blocks that no other process chooses from, so that
    none is taken before its program binds it.
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
    raise NoFreePortError(f'{count} ports wanted, {len(chosen)} found')


def _blocks() -> Iterator[_Block]:
    """Yield the blocks of this process, and more as they are asked for."""
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
    """Return the block, this process's from now on; None: it is taken."""
    LOCKS_DIRECTORY.mkdir(exist_ok=True)
    lock = (LOCKS_DIRECTORY / f'{start}.lock').open('ab')
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock.close()
        return None
    return _Block(lock, deque(range(start, start + BLOCK_PORTS)))


def _is_reserved(port: int) -> bool:
    """Return whether a program that was given the port may not run yet."""
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
