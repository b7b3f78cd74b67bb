"""Measures what the entry adds to a request, and what it carries.

One run compares three ways to the same stand-in backend server: straight,
through a bare aiohttp forwarder, and through the entry daemon. The rounds of
the three are interleaved, so that the machine's load falls on all alike.
"""

import time
from typing import NamedTuple

import aiohttp
from absl import flags

BODY = b'{"work": "solids check", "shift": 3}' * 4
CALLERS = (1, 8, 32)
START_TIMEOUT_S = 10.0
TOKEN = 'Bearer measure'

_ROUNDS = flags.DEFINE_integer('rounds', 6, 'Interleaved rounds of each way.')
_ROUND_S = flags.DEFINE_float('round_s', 1.0, 'Seconds of one round.')


class Way(NamedTuple):
    """One way to the backend server."""

    name: str
    url: str


class Measured(NamedTuple):
    """Times of the requests of one way."""

    times_s: list[float]
    spent_s: float

    @property
    def rate(self) -> float:
        """Return the requests a second."""
        return len(self.times_s) / self.spent_s

    def quantile_ms(self, share: float) -> float:
        """Return the time within which ``share`` of the requests ended."""
        ordered = sorted(self.times_s)
        return ordered[int(len(ordered) * share)] * 1000


async def post_forever(
    session: aiohttp.ClientSession,
    way: Way,
    until_s: float,
    caller: int,
) -> list[float]:
    """Send one request after the other until ``until_s``."""
    times_s = []
    number = 0
    while True:
        started_s = time.perf_counter()
        if started_s >= until_s:
            return times_s
        number += 1
        headers = {
            'Authorization': TOKEN,
            'X-Bulrushcove-Request': f'{way.name}-{caller}-{started_s}',
            'X-Bulrushcove-Idempotent': 'true',
            'X-Request-Id': f'{number}',
            'X-Organisation': 'measure',
            'X-Idempotent': 'true',
            'X-Deadline-Ms': '30000',
        }
        async with session.post(way.url, data=BODY, headers=headers) as answer:
            await answer.read()
            if answer.status != 200:
                raise RuntimeError(f'{way.name}: status {answer.status}')
        times_s.append(time.perf_counter() - started_s)
