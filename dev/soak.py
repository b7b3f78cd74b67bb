"""Soak test of the entry and control daemons: runs random faults.

Every round starts its own cluster and injects two or three faults; rounds run
until the time is up. A round that violates a property is repeated with fewer
faults. The seed and the shortest list of faults that still violates a property
are printed, and the exit status is 1.
"""

import asyncio
import random
import sys
import time

import aiohttp
from absl import app, flags

from dev.demo import Demo
from dev.history.checker import check_history
from dev.launcher import Cluster, LaunchOptions, launched
from dev.soak_faults import SoakFault, draw_faults, inject_fault

SECONDS = flags.DEFINE_float('seconds', 60, 'No round starts after this time.')
UNDO_RETRY_S = 1.0
MAX_UNDO_TRIES = 30
SETTLE_S = 3.0

Violations = dict[str, list[str]]


class SoakRun(Demo):
    """The demo's load under a list of faults."""

    def __init__(
        self,
        cluster: Cluster,
        session: aiohttp.ClientSession,
        seed: int,
        faults: tuple[SoakFault, ...],
    ) -> None:
        """Prepare the run on a launched cluster."""
        super().__init__(cluster, session, seed)
        self._faults = faults

    async def _inject_faults(self) -> None:
        async with asyncio.TaskGroup() as group:
            for fault in self._faults:
                group.create_task(self._inject_fault(fault))

    async def _inject_fault(self, fault: SoakFault) -> None:
        await self._wait_until(fault.at_s)
        try:
            undo = await inject_fault(fault, self.cluster, self.operator)
        except Exception as exc:
            # Operator calls may fail while another fault is active.
            print(f'    fault not injected: {fault}: {exc}')
            return
        await asyncio.sleep(fault.duration_s)
        for _ in range(MAX_UNDO_TRIES):
            try:
                await undo()
            except Exception:
                await asyncio.sleep(UNDO_RETRY_S)
            else:
                return


async def _run_round(
    cluster: Cluster, seed: int, faults: tuple[SoakFault, ...]
) -> Violations:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        run = SoakRun(cluster, session, seed, faults)
        await run.configure()
        await run.run()
        await asyncio.sleep(SETTLE_S)
    return check_history(run.collect_history())


def run_round(seed: int, faults: tuple[SoakFault, ...]) -> Violations:
    """Run one round and return the violations."""
    with launched(LaunchOptions()) as cluster:
        return asyncio.run(_run_round(cluster, seed, faults))


def minimise_faults(
    seed: int, faults: tuple[SoakFault, ...]
) -> tuple[SoakFault, ...]:
    """Return the faults without those not needed for a violation."""
    needed = faults
    for fault in faults:
        fewer = tuple(other for other in needed if other != fault)
        if fewer and run_round(seed, fewer):
            needed = fewer
    return needed


def main(_arguments: list[str]) -> None:
    """Run rounds until the time is up or a property is violated."""
    deadline_s = time.monotonic() + SECONDS.value
    seed = flags.FLAGS.seed
    rounds = 0
    while time.monotonic() < deadline_s:
        rng = random.Random(seed)
        faults = draw_faults(rng, rng.choice((2, 3)))
        print(f'seed {seed}: {"; ".join(map(str, faults))}', flush=True)
        violations = run_round(seed, faults)
        rounds += 1
        if violations:
            print(f'BROKEN with seed {seed}: {violations}')
            print('shortest list of faults that still violates a property:')
            for fault in minimise_faults(seed, faults):
                print(f'  {fault}')
            sys.exit(1)
        seed += 1
    print(f'{rounds} rounds, all checks passed')


if __name__ == '__main__':
    app.run(main)
