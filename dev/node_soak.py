"""Random faults on real node programs, and the promises checked meanwhile.

``python -m dev.node_soak --first=1 --seeds=50`` plays seeds one after the
other and names those that broke a promise.
"""

import asyncio
import random
import signal
import sys
import time
from collections import defaultdict
from itertools import pairwise

import aiohttp
import msgspec
from absl import app, flags

from dev.platform_standin.deployment import Deployment, Node
from dev.platform_standin.proxy import ProxyMode

PLAY_S = 12.0
# Ends of accepted jobs are owed this long after the last fault: the longest
# lease of a worker that nobody could reach, and the work itself.
SETTLE_S = 40.0
CALL_TIMEOUT_S = 4.0
MAX_PAUSE_S = 1.0
MAX_FAULT_S = 3.0
ACCEPTED = 200
REFUSED = frozenset((400, 404, 429, 503))
FINAL = frozenset(('succeeded', 'failed', 'cancelled'))

# Seconds, 'begin' or how it ended, task, run.
Event = tuple[float, str, str, int]

_FIRST = flags.DEFINE_integer('first', 1, 'First seed.')
_SEEDS = flags.DEFINE_integer('seeds', 1, 'How many seeds to play.')


class Claim(msgspec.Struct):
    """What callers know of one job."""

    accepted: bool = False
    # Each try was refused, so it must never run.
    only_refused: bool = True
    cancelled: bool = False
    state: str = ''


class Soak:
    """One seed: callers, faults and checks on one deployment."""

    def __init__(self, seed: int) -> None:
        """Draw everything from ``seed``."""
        self.random = random.Random(seed)
        self.deployment = Deployment(nodes=3, workers=3)
        self.claims: dict[str, Claim] = defaultdict(Claim)
        self.faults: list[str] = []

    async def play(self) -> list[str]:
        """Return the promises that were broken."""
        async with self.deployment:
            end_s = time.monotonic() + PLAY_S
            await asyncio.gather(
                self._callers(end_s), self._callers(end_s), self._faults(end_s)
            )
            await self._calm()
            broken = await self._settle()
            return broken + self._check_runs()

    async def _callers(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await self._use_one_job()
            await asyncio.sleep(self.random.uniform(0, MAX_PAUSE_S))

    async def _use_one_job(self) -> None:
        job = f'{self.random.getrandbits(64):016x}'
        body = {
            'spec': str(round(self.random.uniform(0.1, 4.0), 2)),
            'steps': [
                {'count': self.random.randint(1, 6), 'cpu': 1000, 'gpu': 1}
            ],
        }
        for _ in range(self.random.randint(1, 3)):
            status = await self._call('POST', job, json=body)
            claim = self.claims[job]
            claim.accepted = claim.accepted or status == ACCEPTED
            claim.only_refused = claim.only_refused and status in REFUSED
            if status == ACCEPTED:
                break
        if self.claims[job].accepted and self._draw_one_in(5):
            status = await self._call('DELETE', job)
            self.claims[job].cancelled = status == ACCEPTED
            if status != ACCEPTED:
                # Whether it is cancelled is not known.
                self.claims.pop(job)

    def _draw_one_in(self, count: int) -> bool:
        return not self.random.randrange(count)

    async def _call(self, method: str, job: str, **parts: object) -> int:
        node = self.random.randrange(len(self.deployment.nodes))
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, _ = await self.deployment.call(
                    method, job, node=node, **parts
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        return status

    async def _faults(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            fault = self.random.choice(
                (
                    self._stop_node,
                    self._pause_node,
                    self._cut_node,
                    self._store_fails,
                    self._worker_fails,
                )
            )
            self.faults.append(fault.__name__)
            await fault(self.random.choice(self.deployment.nodes))
            await asyncio.sleep(self.random.uniform(0, MAX_PAUSE_S))

    async def _stop_node(self, node: Node) -> None:
        how = self.random.choice((signal.SIGKILL, signal.SIGTERM))
        await node.stop(how)
        await asyncio.sleep(self.random.uniform(0, 1))
        await node.start([one.streams for one in self.deployment.nodes])

    async def _pause_node(self, node: Node) -> None:
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, MAX_FAULT_S))
        node.send_signal(signal.SIGCONT)

    async def _cut_node(self, node: Node) -> None:
        mode = self.random.choice(list(ProxyMode)[1:])
        node.proxy.set_mode(mode)
        await asyncio.sleep(self.random.uniform(0.2, MAX_FAULT_S))
        node.proxy.set_mode(ProxyMode.PASS_THROUGH)

    async def _store_fails(self, _node: Node) -> None:
        store = self.deployment.store
        store.responses_to_drop = self.random.randint(0, 4)
        store.is_unavailable = self._draw_one_in(2)
        await asyncio.sleep(self.random.uniform(0.2, MAX_FAULT_S))
        store.is_unavailable = False

    async def _worker_fails(self, _node: Node) -> None:
        worker = self.random.choice(self.deployment.workers)
        worker.responses_to_drop = self.random.randint(1, 3)

    async def _calm(self) -> None:
        self.deployment.store.responses_to_drop = 0
        for worker in self.deployment.workers:
            worker.responses_to_drop = 0
        for node in self.deployment.nodes:
            await self.deployment.wait_ready(node)

    async def _settle(self) -> list[str]:
        """Wait for the ends that are owed."""
        end_s = time.monotonic() + SETTLE_S
        owed = [job for job, claim in self.claims.items() if claim.accepted]
        while owed and time.monotonic() < end_s:
            await asyncio.sleep(0.3)
            owed = [job for job in owed if not await self._has_ended(job)]
        broken = [f'{job}: {self.claims[job].state} at the end' for job in owed]
        for job, claim in self.claims.items():
            wanted = 'cancelled' if claim.cancelled else 'succeeded'
            is_final = claim.state in FINAL
            if claim.accepted and is_final and claim.state != wanted:
                broken.append(f'{job}: {claim.state}, not {wanted}')
        return broken

    async def _has_ended(self, job: str) -> bool:
        claim = self.claims[job]
        status, body = await self.deployment.call('GET', job)
        claim.state = body.get('state', str(status))
        # A job that ended before its cancellation came stays succeeded.
        if claim.cancelled and claim.state == 'succeeded':
            claim.cancelled = False
        return claim.state in FINAL

    def _check_runs(self) -> list[str]:
        events: dict[str, list[Event]] = defaultdict(list)
        for worker in self.deployment.workers:
            for event in worker.history:
                events[event[2]].append(event)
        broken = []
        for task, history in events.items():
            history.sort()
            broken.extend(check_task(task, history))
            claim = self.claims.get(task.partition('.')[0])
            if claim is not None and claim.only_refused:
                broken.append(f'{task}: ran though each try was refused')
        return broken


def check_task(task: str, history: list[Event]) -> list[str]:
    """Return the promises that the runs of one task break.

    ``history`` holds its events in order of time: seconds, 'begin' or how it
    ended, task, run.
    """
    broken = []
    started_runs = [event[3] for event in history if event[1] == 'begin']
    if any(later <= before for before, later in pairwise(started_runs)):
        broken.append(f'{task}: runs {started_runs} do not rise')
    for before, later in pairwise(history):
        if before[1] == 'begin' and later[1] == 'begin':
            broken.append(f'{task}: two runs at the same time')
    kinds = [event[1] for event in history]
    if 'done' in kinds and 'begin' in kinds[kinds.index('done') :]:
        broken.append(f'{task}: began after it was done')
    return broken


def main(_arguments: list[str]) -> None:
    """Play the seeds; exits with 1 when one broke a promise."""
    failed = 0
    for seed in range(_FIRST.value, _FIRST.value + _SEEDS.value):
        soak = Soak(seed)
        broken = asyncio.run(soak.play())
        accepted = sum(claim.accepted for claim in soak.claims.values())
        print(
            f'seed={seed} jobs={len(soak.claims)} accepted={accepted} '
            f'faults={len(soak.faults)} broken={broken}',
            flush=True,
        )
        failed += bool(broken)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    app.run(main)
