"""Runs random combinations of two and three faults until the time is up.

Every round starts a cluster of its own. A round that breaks a property is
repeated with fewer faults; the seed and the shortest list that still breaks
one are printed, and the exit status is 1.
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
from dev.soak_faults import SoakFault, begin, draw_faults

SECONDS = flags.DEFINE_float('seconds', 60, 'No round starts after this time.')
OPERATORS_WAIT_S = 1.0
OPERATORS_TRIES = 30
SETTLE_S = 3.0

Broken = dict[str, list[str]]


class SoakRun(Demo):
    """The demo's work under a list of faults."""

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

    async def _disturb(self) -> None:
        async with asyncio.TaskGroup() as group:
            for fault in self._faults:
                group.create_task(self._suffer(fault))

    async def _suffer(self, fault: SoakFault) -> None:
        await self._wait_until(fault.at_s)
        try:
            undo = await begin(fault, self.cluster, self.operating)
        except Exception as exc:
            # An operator is refused while another fault is on.
            print(f'    not brought about: {fault}: {exc}')
            return
        await asyncio.sleep(fault.lasts_s)
        for _ in range(OPERATORS_TRIES):
            try:
                await undo()
            except Exception:
                await asyncio.sleep(OPERATORS_WAIT_S)
            else:
                return


async def _play(
    cluster: Cluster, seed: int, faults: tuple[SoakFault, ...]
) -> Broken:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        run = SoakRun(cluster, session, seed, faults)
        await run.configure()
        await run.run()
        await asyncio.sleep(SETTLE_S)
    return check_history(run.history())


def play(seed: int, faults: tuple[SoakFault, ...]) -> Broken:
    """Run one round; return what it broke."""
    with launched(LaunchOptions()) as cluster:
        return asyncio.run(_play(cluster, seed, faults))


def shorten(seed: int, faults: tuple[SoakFault, ...]) -> tuple[SoakFault, ...]:
    """Return the faults without those that the breach does not need."""
    kept = faults
    for fault in faults:
        fewer = tuple(other for other in kept if other != fault)
        if fewer and play(seed, fewer):
            kept = fewer
    return kept


def main(_arguments: list[str]) -> None:
    """Run rounds until the time is up or a property is broken."""
    end_s = time.monotonic() + SECONDS.value
    seed = flags.FLAGS.seed
    rounds = 0
    while time.monotonic() < end_s:
        rng = random.Random(seed)
        faults = draw_faults(rng, rng.choice((2, 3)))
        print(f'seed {seed}: {"; ".join(map(str, faults))}', flush=True)
        broken = play(seed, faults)
        rounds += 1
        if broken:
            print(f'BROKEN with seed {seed}: {broken}')
            print('shortest list of faults that still breaks it:')
            for fault in shorten(seed, faults):
                print(f'  {fault}')
            sys.exit(1)
        seed += 1
    print(f'{rounds} rounds, every check passed')


if __name__ == '__main__':
    app.run(main)
