"""Choice of free TCP ports for programs that are started later."""

import random
import socket
from pathlib import Path

HOST = '127.0.0.1'
LOWEST_PORT = 12_000
PORT_RANGE_FILE = Path('/proc/sys/net/ipv4/ip_local_port_range')
MAX_TRIES = 10_000


class NoFreePortError(Exception):
    """Too few free ports were found."""


def choose_ports(count: int) -> list[int]:
    """Return ``count`` different free ports.

    They lie below the range from which the kernel takes the ports of outgoing
    connections, so that none is taken before its program binds it.
    """
    highest = int(PORT_RANGE_FILE.read_text().split()[0])
    chooser = random.SystemRandom()
    chosen: set[int] = set()
    for _ in range(MAX_TRIES):
        if len(chosen) == count:
            return sorted(chosen)
        port = chooser.randrange(LOWEST_PORT, highest)
        if port not in chosen and _is_free(port):
            chosen.add(port)
    raise NoFreePortError(f'{count} ports wanted, {len(chosen)} found')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
