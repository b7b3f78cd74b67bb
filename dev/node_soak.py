"""Soak test: injects random faults into real node programs under load.

``python -m dev.node_soak --first=1 --seeds=50`` runs the seeds one after the
other and prints the guarantees that each of them violated.
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

LOAD_DURATION_S = 12.0
# Accepted jobs must end within this time of the last fault: covers the longest
# lease of an unreachable worker and the duration of the work.
SETTLE_TIMEOUT_S = 40.0
CALL_TIMEOUT_S = 4.0
MAX_PAUSE_S = 1.0
MAX_FAULT_S = 3.0
STATUS_OK = 200
REFUSED_STATUSES = frozenset((400, 404, 429, 503))
FINAL_STATES = frozenset(('succeeded', 'failed', 'cancelled'))

# Time in seconds, 'begin' or the end kind, task and run number.
RunEvent = tuple[float, str, str, int]

_FIRST = flags.DEFINE_integer('first', 1, 'First seed.')
_SEEDS = flags.DEFINE_integer('seeds', 1, 'How many seeds to run.')


class SubmittedJob(msgspec.Struct):
    """State of one job as its callers know it."""

    is_accepted: bool = False
    # Every submission was refused, so the job must never run.
    is_always_refused: bool = True
    is_cancelled: bool = False
    state: str = ''


class Soak:
    """Runs one seed: load, faults and checks on one deployment."""

    def __init__(self, seed: int) -> None:
        """Derive all random choices from ``seed``."""
        self.random = random.Random(seed)
        self.deployment = Deployment(nodes=3, workers=3)
        self.jobs: dict[str, SubmittedJob] = defaultdict(SubmittedJob)
        self.faults: list[str] = []

    async def run(self) -> list[str]:
        """Run load and faults; return the violated guarantees."""
        async with self.deployment:
            end_s = time.monotonic() + LOAD_DURATION_S
            await asyncio.gather(
                self._submit_jobs(end_s),
                self._submit_jobs(end_s),
                self._inject_faults(end_s),
            )
            await self._clear_faults()
            violations = await self._wait_for_ends()
            return violations + self._check_runs()

    async def _submit_jobs(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await self._submit_one_job()
            await asyncio.sleep(self.random.uniform(0, MAX_PAUSE_S))

    async def _submit_one_job(self) -> None:
        job = f'{self.random.getrandbits(64):016x}'
        body = {
            'spec': str(round(self.random.uniform(0.1, 4.0), 2)),
            'steps': [
                {'count': self.random.randint(1, 6), 'cpu': 1000, 'gpu': 1}
            ],
        }
        for _ in range(self.random.randint(1, 3)):
            status = await self._call('POST', job, json=body)
            submitted = self.jobs[job]
            submitted.is_accepted = submitted.is_accepted or status == STATUS_OK
            submitted.is_always_refused = (
                submitted.is_always_refused and status in REFUSED_STATUSES
            )
            if status == STATUS_OK:
                break
        if self.jobs[job].is_accepted and self._draw_one_in(5):
            status = await self._call('DELETE', job)
            self.jobs[job].is_cancelled = status == STATUS_OK
            if status != STATUS_OK:
                # The outcome of the cancellation is unknown.
                self.jobs.pop(job)

    def _draw_one_in(self, count: int) -> bool:
        return not self.random.randrange(count)

    async def _call(
        self, method: str, job: str, **request_options: object
    ) -> int:
        node = self.random.randrange(len(self.deployment.nodes))
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, _ = await self.deployment.call(
                    method, job, node=node, **request_options
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        return status

    async def _inject_faults(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            fault = self.random.choice(
                (
                    self._restart_node,
                    self._pause_node,
                    self._disrupt_store_connection,
                    self._make_store_fail,
                    self._drop_worker_responses,
                )
            )
            self.faults.append(fault.__name__)
            await fault(self.random.choice(self.deployment.nodes))
            await asyncio.sleep(self.random.uniform(0, MAX_PAUSE_S))

    async def _restart_node(self, node: Node) -> None:
        stop_signal = self.random.choice((signal.SIGKILL, signal.SIGTERM))
        await node.stop(stop_signal)
        await asyncio.sleep(self.random.uniform(0, 1))
        await node.start(
            [other.stream_address for other in self.deployment.nodes]
        )

    async def _pause_node(self, node: Node) -> None:
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, MAX_FAULT_S))
        node.send_signal(signal.SIGCONT)

    async def _disrupt_store_connection(self, node: Node) -> None:
        mode = self.random.choice(list(ProxyMode)[1:])
        node.proxy.switch_mode(mode)
        await asyncio.sleep(self.random.uniform(0.2, MAX_FAULT_S))
        node.proxy.switch_mode(ProxyMode.PASS_THROUGH)

    async def _make_store_fail(self, _node: Node) -> None:
        store = self.deployment.store
        store.responses_to_drop = self.random.randint(0, 4)
        store.is_unavailable = self._draw_one_in(2)
        await asyncio.sleep(self.random.uniform(0.2, MAX_FAULT_S))
        store.is_unavailable = False

    async def _drop_worker_responses(self, _node: Node) -> None:
        worker = self.random.choice(self.deployment.workers)
        worker.responses_to_drop = self.random.randint(1, 3)

    async def _clear_faults(self) -> None:
        self.deployment.store.responses_to_drop = 0
        for worker in self.deployment.workers:
            worker.responses_to_drop = 0
        for node in self.deployment.nodes:
            await self.deployment.wait_until_ready(node)

    async def _wait_for_ends(self) -> list[str]:
        """Wait for accepted jobs to end; return those in a wrong state."""
        end_s = time.monotonic() + SETTLE_TIMEOUT_S
        unfinished = [
            job for job, submitted in self.jobs.items() if submitted.is_accepted
        ]
        while unfinished and time.monotonic() < end_s:
            await asyncio.sleep(0.3)
            unfinished = [
                job for job in unfinished if not await self._has_ended(job)
            ]
        violations = [
            f'{job}: {self.jobs[job].state} at the end' for job in unfinished
        ]
        for job, submitted in self.jobs.items():
            expected_state = (
                'cancelled' if submitted.is_cancelled else 'succeeded'
            )
            is_final = submitted.state in FINAL_STATES
            if (
                submitted.is_accepted
                and is_final
                and submitted.state != expected_state
            ):
                violations.append(
                    f'{job}: {submitted.state}, not {expected_state}'
                )
        return violations

    async def _has_ended(self, job: str) -> bool:
        submitted = self.jobs[job]
        status, body = await self.deployment.call('GET', job)
        submitted.state = body.get('state', str(status))
        # A job that ended before the cancellation arrived stays succeeded.
        if submitted.is_cancelled and submitted.state == 'succeeded':
            submitted.is_cancelled = False
        return submitted.state in FINAL_STATES

    def _check_runs(self) -> list[str]:
        events: dict[str, list[RunEvent]] = defaultdict(list)
        for worker in self.deployment.workers:
            for event in worker.history:
                events[event[2]].append(event)
        violations = []
        for task, history in events.items():
            history.sort()
            violations.extend(check_task(task, history))
            submitted = self.jobs.get(task.partition('.')[0])
            if submitted is not None and submitted.is_always_refused:
                violations.append(
                    f'{task}: ran although every submission was refused'
                )
        return violations


def check_task(task: str, history: list[RunEvent]) -> list[str]:
    """Return the guarantees that the runs of one task violate.

    ``history`` holds the events of the task, sorted by time.
    """
    violations = []
    run_numbers = [event[3] for event in history if event[1] == 'begin']
    if any(later <= previous for previous, later in pairwise(run_numbers)):
        violations.append(f'{task}: runs {run_numbers} do not increase')
    for previous, later in pairwise(history):
        if previous[1] == 'begin' and later[1] == 'begin':
            violations.append(f'{task}: two runs at the same time')
    event_kinds = [event[1] for event in history]
    if (
        'done' in event_kinds
        and 'begin' in event_kinds[event_kinds.index('done') :]
    ):
        violations.append(f'{task}: started again after it was done')
    return violations


def main(_arguments: list[str]) -> None:
    """Run the seeds; exit with status 1 if any violated a guarantee."""
    failed = 0
    for seed in range(_FIRST.value, _FIRST.value + _SEEDS.value):
        soak = Soak(seed)
        violations = asyncio.run(soak.run())
        accepted_count = sum(
            submitted.is_accepted for submitted in soak.jobs.values()
        )
        print(
            f'seed={seed} jobs={len(soak.jobs)} accepted={accepted_count} '
            f'faults={len(soak.faults)} broken={violations}',
            flush=True,
        )
        failed += bool(violations)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    app.run(main)
