"""Measures the latency and throughput of the entry daemon.

Compares three routes to the same stand-in backend servers: direct, through a
bare aiohttp forwarder, and through the entry daemon. The rounds of the routes
are interleaved, so that other load on the machine affects all alike.
"""

import asyncio
import itertools
import time
from collections.abc import Sequence
from typing import NamedTuple

import aiohttp
from absl import app, flags

from dev.launch.ports import HOST
from dev.path_bench import (
    TOKEN,
    Ports,
    run_urls,
    running_control_standin,
    running_path_bench,
    wait_until_ready,
)

BODY = b'{"service_ms": 0}'
CALLERS = (1, 8, 32)
MS_PER_S = 1000

_ROUNDS = flags.DEFINE_integer('rounds', 5, 'Interleaved rounds of each route.')
_ROUND_S = flags.DEFINE_float(
    'round_s', 1.0, 'Duration of one round in seconds.'
)


class Route(NamedTuple):
    """One route to the backend servers; callers use ``urls`` in turn."""

    name: str
    urls: tuple[str, ...]


class Measurement(NamedTuple):
    """Request times of one route with one number of callers."""

    times_s: list[float]
    elapsed_s: float

    @property
    def rate(self) -> float:
        """Return the requests per second."""
        return len(self.times_s) / self.elapsed_s

    def quantile_ms(self, share: float) -> float:
        """Return the quantile of the request times at ``share``, 0 to 1."""
        ordered = sorted(self.times_s)
        return ordered[int(len(ordered) * share)] * MS_PER_S


def make_routes(ports: Ports) -> list[Route]:
    """Return the routes to compare."""
    return [
        Route('direct', tuple(run_urls(ports))),
        Route('forwarder', (f'http://{HOST}:{ports.forwarder}/v1/run',)),
        Route('entry', (f'http://{HOST}:{ports.entry}/v1/requests',)),
    ]


async def measure(route: Route, callers: int) -> Measurement:
    """Run one round, in which each caller sends requests in sequence."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started_s = time.perf_counter()
        end_s = started_s + _ROUND_S.value
        urls = itertools.cycle(route.urls)
        times = await asyncio.gather(
            *(_post_until(session, next(urls), end_s) for _ in range(callers))
        )
        elapsed_s = time.perf_counter() - started_s
    return Measurement(list(itertools.chain(*times)), elapsed_s)


async def _post_until(
    session: aiohttp.ClientSession, url: str, end_s: float
) -> list[float]:
    times_s = []
    while True:
        started_s = time.perf_counter()
        if started_s >= end_s:
            return times_s
        async with session.post(
            url, data=BODY, headers=_headers(f'r{started_s}')
        ) as response:
            await response.read()
            response.raise_for_status()
        times_s.append(time.perf_counter() - started_s)


def _headers(request: str) -> dict[str, str]:
    """Return headers that are valid on every route."""
    return {
        'Authorization': TOKEN,
        'X-Bulrushcove-Request': request,
        'X-Bulrushcove-Idempotent': 'true',
        'X-Request-Id': request,
        'X-Organisation': 'measure',
        'X-Idempotent': 'true',
        'X-Deadline-Ms': '30000',
    }


async def measure_all(
    routes: Sequence[Route], callers: int
) -> dict[str, Measurement]:
    """Run interleaved rounds; returns the merged rounds of each route."""
    merged = {route.name: Measurement([], 0) for route in routes}
    for _ in range(_ROUNDS.value):
        for route in routes:
            measured = await measure(route, callers)
            previous = merged[route.name]
            merged[route.name] = Measurement(
                previous.times_s + measured.times_s,
                previous.elapsed_s + measured.elapsed_s,
            )
    return merged


def report(callers: int, merged: dict[str, Measurement]) -> str:
    """Format the results for one number of callers."""
    direct = merged['direct']
    forwarder = merged['forwarder']
    lines = [f'{callers} callers']
    for name, measured in merged.items():
        added_ms = measured.quantile_ms(0.5) - direct.quantile_ms(0.5)
        lines.append(
            f'  {name:10} {measured.rate:7.0f} /s '
            f'({measured.rate / forwarder.rate:4.2f} of the forwarder)  '
            f'p50 {measured.quantile_ms(0.5):6.2f} ms '
            f'(adds {added_ms:5.2f})  p99 {measured.quantile_ms(0.99):6.2f} ms'
        )
    return '\n'.join(lines)


async def run(ports: Ports) -> None:
    """Measure and print the results for every number of callers."""
    routes = make_routes(ports)
    async with running_control_standin(ports):
        await asyncio.to_thread(wait_until_ready, ports)
        for route in routes:
            await measure(route, 1)
        for callers in CALLERS:
            print(report(callers, await measure_all(routes, callers)))


def main(_arguments: list[str]) -> None:
    """Start the processes, measure and print."""
    with running_path_bench() as bench:
        asyncio.run(run(bench.ports))


if __name__ == '__main__':
    app.run(main)
