"""Faults of a soak run: how each is injected into a cluster and ended."""

import random
import signal
from collections.abc import Awaitable, Callable
from types import MappingProxyType

import msgspec

from bulrushcove.ids import DomainName
from bulrushcove.states import DomainState
from dev.launcher import FULL_SIZE, Cluster, control_name, entry_name
from dev.standins.faults import Faults
from dev.workload.operator_client import OperatorClient

NO_FAULTS = Faults()
SERVER_FAULTS = MappingProxyType(
    {
        'down': Faults(down=True),
        'slow': Faults(slow_ms=400),
        'frozen': Faults(frozen=True),
        'effect without response': Faults(effect_without_answer=True),
        'truncated responses': Faults(cut=True),
        'late responses': Faults(late_ms=2000),
    }
)
DOMAINS = tuple(size.domain for size in FULL_SIZE)
EARLIEST_START_S = 2.0
LATEST_START_S = 16.0
MIN_DURATION_S = 3.0
MAX_DURATION_S = 10.0


class SoakFault(msgspec.Struct, frozen=True):
    """Fault ``kind`` of ``target`` in ``domain`` for ``duration_s``."""

    at_s: float
    duration_s: float
    kind: str
    target: str
    domain: DomainName

    def __str__(self) -> str:
        """Return a description of the fault."""
        return (
            f'{self.at_s:.1f} s: {self.target} of {self.domain} {self.kind} '
            f'for {self.duration_s:.1f} s'
        )


Undo = Callable[[], Awaitable[None]]


def draw_faults(rng: random.Random, count: int) -> tuple[SoakFault, ...]:
    """Return ``count`` random faults sorted by start time."""
    faults = [_draw_fault(rng) for _ in range(count)]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_fault(rng: random.Random) -> SoakFault:
    target = rng.choice(
        ('platform', 'worker', 'backend', 'control', 'entry', 'domain')
    )
    kinds = {
        'control': ('killed', 'frozen'),
        'entry': ('killed', 'frozen'),
        'domain': ('taken out',),
    }.get(target, tuple(SERVER_FAULTS))
    return SoakFault(
        at_s=rng.uniform(EARLIEST_START_S, LATEST_START_S),
        duration_s=rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
        kind=rng.choice(kinds),
        target=target,
        domain=rng.choice(DOMAINS),
    )


async def inject_fault(
    fault: SoakFault, cluster: Cluster, operator: OperatorClient
) -> Undo:
    """Inject ``fault`` and return the function that ends it."""
    if fault.target == 'domain':
        return await _take_out(fault, operator)
    if fault.target in {'control', 'entry'}:
        return await _disrupt_process(fault, cluster, operator)
    server = _choose_server(fault, cluster)
    cluster.put_faults(server, SERVER_FAULTS[fault.kind])

    async def clear_faults() -> None:
        cluster.put_faults(server, NO_FAULTS)

    return clear_faults


async def _take_out(fault: SoakFault, operator: OperatorClient) -> Undo:
    await operator.set_domain(fault.domain, DomainState.OUT_OF_SERVICE)

    async def bring_back() -> None:
        await operator.set_domain(fault.domain, DomainState.IN_SERVICE)

    return bring_back


async def _disrupt_process(
    fault: SoakFault, cluster: Cluster, operator: OperatorClient
) -> Undo:
    vm = await operator.find_active_control(fault.domain)
    name = control_name(vm) if fault.target == 'control' else entry_name(vm)
    if fault.kind == 'killed':
        cluster.kill(name)
    else:
        cluster.processes.signal(name, signal.SIGSTOP)

    async def recover() -> None:
        if fault.kind == 'killed':
            cluster.processes.restart(name)
        else:
            cluster.processes.signal(name, signal.SIGCONT)

    return recover


def _choose_server(fault: SoakFault, cluster: Cluster) -> str:
    plan = cluster.find_domain(fault.domain)
    if fault.target == 'worker':
        return plan.workers[0].description.worker
    if fault.target == 'backend':
        return plan.backends[0].backend
    return 'platform'
