"""Network addresses, given as host:port, that other programs wrote."""

import re

from ..decoding import quote
from ..exceptions import BulrushcoveError

# Longest host name, and longest part between two dots, that DNS knows.
MAX_HOST_CHARACTERS = 253
_LABEL = '[A-Za-z0-9_-]{1,63}'
# ASCII digits only: ``str.isdigit`` also holds for digits that ``int`` does not
# read, or that mean another port to the one who wrote them.
_ADDRESS_PATTERN = re.compile(
    rf'(?:\[([0-9A-Fa-f:.]+)\]|({_LABEL}(?:\.{_LABEL})*)):([0-9]{{1,5}})'
)
MAX_PORT = 65_535


class AddressError(BulrushcoveError):
    """An address is not a host and a port that can be connected to."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``address``; raises ``AddressError``."""
    match = _ADDRESS_PATTERN.fullmatch(address)
    if match is None:
        raise AddressError(f'address {quote(address)} is not host:port')
    host = match[1] or match[2]
    if len(host) > MAX_HOST_CHARACTERS:
        raise AddressError(f'host of address {quote(address)} is too long')
    port = int(match[3])
    if not 1 <= port <= MAX_PORT:
        raise AddressError(
            f'port of address {quote(address)} is not in 1 to {MAX_PORT}'
        )
    return host, port
