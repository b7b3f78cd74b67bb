"""Compares policies for sharing backend servers without coordination.

The product's own request paths, one for each entry VM (seven by default),
run in one event loop against 24 simulated servers, which are counters of busy
slots. Only HTTP is replaced, by sleeps.
"""

import asyncio
import heapq
import random
import statistics
import time
from collections.abc import Iterator
from typing import NamedTuple

from absl import app, flags
from multidict import CIMultiDict

from bulrushcove.admission import Admission
from bulrushcove.backend_client import (
    BUSY,
    BackendNotRunError,
    BackendResponse,
)
from bulrushcove.clock import SystemClock
from bulrushcove.contract import Contract, RequestLimits
from bulrushcove.exceptions import RefusedError
from bulrushcove.pending_request import PendingRequest
from bulrushcove.request_head import RequestHead
from bulrushcove.request_path import RequestPath
from bulrushcove.routing import MIN_BACKOFF_S, Router, Server
from bulrushcove.sender import Sender
from bulrushcove.states import Urgency, VmRole
from bulrushcove.vm_list import VmEntry

DOMAINS = ('north', 'west', 'south')
SERVERS = 24
SLOTS = 8
MEAN_SERVICE_S = 0.2
LOCAL_RTT_S = 0.002
CROSS_DOMAIN_RTT_S = 0.06
DEADLINE_S = 5.0
BURST_REQUESTS = 60

_SECONDS = flags.DEFINE_integer('seconds', 6, 'Seconds of arrivals per case.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of arrivals and service times.')
_ENTRIES = flags.DEFINE_list('entries', ['7'], 'Numbers of entry VMs.')


class Backends:
    """Busy slots of all servers, and counts of their responses."""

    def __init__(self, rng: random.Random) -> None:
        """Start with all slots free."""
        self.busy: dict[str, int] = {}
        self.refusals = 0
        self.cross_domain_sends = 0
        self.rng = rng


class SlotClient:
    """Stand-in for the HTTP client of one entry VM."""

    def __init__(self, backends: Backends, domain: str) -> None:
        """Send from an entry VM in ``domain``."""
        self._backends = backends
        self._domain = domain

    async def send(
        self, server: Server, _headers: object, body: bytes, **_options: object
    ) -> BackendResponse:
        """Sleep for the network and service time of the request.

        Raises ``BackendNotRunError`` if all slots are busy.
        """
        backends = self._backends
        is_local = server.domain == self._domain
        backends.cross_domain_sends += not is_local
        rtt_s = LOCAL_RTT_S if is_local else CROSS_DOMAIN_RTT_S
        await asyncio.sleep(rtt_s / 2)
        if backends.busy.get(server.backend, 0) >= SLOTS:
            backends.refusals += 1
            await asyncio.sleep(rtt_s / 2)
            raise BackendNotRunError(server.backend, BUSY)
        backends.busy[server.backend] = backends.busy.get(server.backend, 0) + 1
        try:
            await asyncio.sleep(float(body))
        finally:
            backends.busy[server.backend] -= 1
        await asyncio.sleep(rtt_s / 2)
        return BackendResponse(
            200, CIMultiDict(), b'', None, 0, '', _close_nothing
        )

    async def is_alive(self, _server: Server) -> bool:
        """Return true for every probe."""
        return True


class FixedShareRouter(Router):
    """Router with fixed limits: a VM uses only its own share of slots."""

    def record_success(self, server: Server) -> None:
        """Do not raise the limit."""

    def record_busy(self, server: Server, now_s: float) -> None:
        """Avoid the server for the minimum backoff."""
        server.busy_until_s = now_s + MIN_BACKOFF_S


class UnlimitedRouter(FixedShareRouter):
    """Router without limits: any slot may be tried at any time."""

    def _initial_limit(self, _domain: str) -> float:
        return SLOTS


class NoDeduplication:
    """Deduplication stub: every request is idempotent here."""

    def check_body(self, pending: PendingRequest) -> None:
        """Accept every body."""


class Outcome(NamedTuple):
    """Result of one request; None: it was refused."""

    completion_s: float | None


def make_paths(
    router: type[Router], entries: int, backends: Backends
) -> list[RequestPath]:
    """Return one request path for each entry VM."""
    vms = _vm_list(entries)
    return [
        _make_path(vm, vms, router, backends)
        for vm in vms
        if vm.role is VmRole.ENTRY
    ]


def _make_path(
    vm: VmEntry,
    vms: list[VmEntry],
    router_type: type[Router],
    backends: Backends,
) -> RequestPath:
    router = router_type(vm.domain, random.Random(vm.port))
    router.update(vms)
    clock = SystemClock()
    admission = Admission()
    client = SlotClient(backends, vm.domain)
    sender = Sender(router, client, admission.mean_service_s, _ignore, clock)
    return RequestPath(admission, router, NoDeduplication(), sender, clock)


def _vm_list(entries: int) -> list[VmEntry]:
    kinds = [(VmRole.ENTRY, entries), (VmRole.BACKEND, SERVERS)]
    return [
        VmEntry(
            vm=f'{role.value}{number}',
            role=role,
            domain=DOMAINS[number % len(DOMAINS)],
            address='127.0.0.1',
            port=number,
        )
        for role, count in kinds
        for number in range(count)
    ]


def arrivals(load: float, seconds: int, rng: random.Random) -> Iterator[float]:
    """Yield arrival times in seconds: half uniform, half in bursts."""
    per_s = load * SERVERS * SLOTS / MEAN_SERVICE_S
    steady = int(per_s * seconds / 2)
    times = [rng.uniform(0, seconds) for _ in range(steady)]
    for _ in range(steady // BURST_REQUESTS):
        start_s = rng.uniform(0, seconds)
        times.extend(
            start_s + rng.uniform(0, 0.05) for _ in range(BURST_REQUESTS)
        )
    heapq.heapify(times)
    while times:
        yield heapq.heappop(times)


async def run_case(
    router: type[Router], load: float, entries: int
) -> tuple[list[Outcome], Backends]:
    """Send the load through the request paths and return all outcomes."""
    rng = random.Random(_SEED.value)
    backends = Backends(rng)
    paths = make_paths(router, entries, backends)
    dispatch_task = asyncio.create_task(_dispatch_periodically(paths))
    started_s = time.monotonic()
    tasks = []
    for arrival_s in arrivals(load, _SECONDS.value, rng):
        wait_s = started_s + arrival_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        service_s = min(2.0, rng.expovariate(1 / MEAN_SERVICE_S))
        path = rng.choice(paths)
        tasks.append(asyncio.create_task(_serve_request(path, service_s)))
    outcomes = await asyncio.gather(*tasks)
    dispatch_task.cancel()
    return outcomes, backends


async def _dispatch_periodically(paths: list[RequestPath]) -> None:
    while True:
        await asyncio.sleep(0.02)
        for path in paths:
            path.dispatch()


async def _serve_request(path: RequestPath, service_s: float) -> Outcome:
    started_s = time.monotonic()
    head = RequestHead(
        contract=CONTRACT,
        request_id='r',
        idempotent=True,
        urgency=Urgency.NORMAL,
        deadline_s=started_s + DEADLINE_S,
    )
    pending = PendingRequest(head, str(service_s).encode(), _is_caller_waiting)
    try:
        async with path.serve(pending):
            return Outcome(time.monotonic() - started_s)
    except RefusedError:
        return Outcome(None)


def _is_caller_waiting() -> bool:
    return True


def _ignore(_count: int) -> None:
    """Ignore the byte count."""


def _close_nothing() -> None:
    """Do nothing; there is no connection to close."""


CONTRACT = Contract(
    organisation='litoral',
    token_sha256=(),
    requests=RequestLimits(max_in_progress=10_000, max_queued=10_000),
)
POLICIES = (
    ('fixed limits', FixedShareRouter),
    ('no limits', UnlimitedRouter),
    ('adaptive limits', Router),
)


def report(name: str, outcomes: list[Outcome], backends: Backends) -> str:
    """Format one line of the table."""
    times = sorted(
        one.completion_s for one in outcomes if one.completion_s is not None
    )
    refused = len(outcomes) - len(times)
    p99 = times[int(len(times) * 0.99)]
    attempts = len(times) + backends.refusals
    return (
        f'  {name:20} p50 {statistics.median(times) * 1000:6.0f} ms  '
        f'p99 {p99 * 1000:6.0f} ms  served {len(times):6}  '
        f'refused {refused:5}  busy/request '
        f'{backends.refusals / len(outcomes):5.2f}  '
        f'cross-domain {backends.cross_domain_sends / max(1, attempts):4.2f}'
    )


def main(_arguments: list[str]) -> None:
    """Print a table of all policies and loads."""
    for entries in map(int, _ENTRIES.value):
        for load in (0.5, 0.9, 1.2):
            print(f'{entries} entry VMs, load {load:.0%}')
            for name, router in POLICIES:
                outcomes = asyncio.run(run_case(router, load, entries))
                print(report(name, *outcomes), flush=True)


if __name__ == '__main__':
    app.run(main)
