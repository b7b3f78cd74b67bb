"""Soak test: injects random faults into real node programs under load.

``python -m dev.node_soak --first=1 --seeds=50`` runs the seeds one after the
other and prints the guarantees that each of them violated.
"""

import asyncio
import random
import sys
import time
from collections import defaultdict

import aiohttp
import msgspec
from absl import app, flags

from dev.node_soak_checks import (
    CONTACT_S,
    RunEvent,
    check_cancelled_task,
    check_start_order,
    check_task,
)
from dev.node_soak_faults import MAX_PAUSE_S, NodeFaults
from dev.platform_standin.deployment import Deployment, Node

LOAD_DURATION_S = 12.0
# Accepted jobs must end within this time of the last fault: covers the longest
# lease of an unreachable worker and the duration of the work.
SETTLE_TIMEOUT_S = 40.0
# Callers give up at the deadline that they state.
CALL_TIMEOUT_S = 3.0
MAX_CANCEL_ATTEMPTS = 4
CANCEL_RETRY_S = 0.3
SUBMIT_INTERVAL_S = 0.5
QUERY_INTERVAL_S = 0.1
# Callers that leave without an answer, while the leader is lost: how often they
# come, when they leave, and how long their tasks take: longer than a cancelled
# job may run.
LEAVE_INTERVAL_S = 0.05
EARLIEST_LEAVE_S = 0.01
LATEST_LEAVE_S = 0.6
LEFT_TASK_DURATION_S = 6.0
RECENT_JOBS = 4
STATUS_OK = 200
STATUS_GONE = 410
REFUSED_STATUSES = frozenset((400, 404, 429, 503))
FINAL_STATES = frozenset(('succeeded', 'failed', 'cancelled'))

_FIRST = flags.DEFINE_integer('first', 1, 'First seed.')
_SEEDS = flags.DEFINE_integer('seeds', 1, 'How many seeds to run.')


class SubmittedJob(msgspec.Struct):
    """State of one job as its callers know it."""

    is_accepted: bool = False
    # Every submission was refused, so the job must never run.
    is_always_refused: bool = True
    # When its cancellation was acknowledged; None: it was not.
    cancelled_at_s: float | None = None
    # Whether a cancellation was sent; without an acknowledgement the job may
    # be cancelled or not.
    is_cancel_sent: bool = False
    # The state with which it was acknowledged.
    acknowledged_state: str = ''
    # Whether it was acknowledged with 410: no such job was accepted before.
    is_cancelled_unknown: bool = False
    payload: str = ''
    state: str = ''

    def note_answer(self, status: int) -> None:
        """Note the answer to a submission; 0: there was none."""
        self.is_accepted = self.is_accepted or status == STATUS_OK
        self.is_always_refused = (
            self.is_always_refused and status in REFUSED_STATUSES
        )

    def check_cancelled(
        self, task: str, history: list[RunEvent], undisturbed_since_s: float
    ) -> list[str]:
        """Return how a task breaks the bounds if the job was cancelled."""
        if self.cancelled_at_s is None:
            return []
        if self.is_cancelled_unknown:
            # It was accepted after the answer, which no fault excuses.
            undisturbed_since_s = self.cancelled_at_s
        return check_cancelled_task(
            task, history, self.cancelled_at_s, undisturbed_since_s
        )

    @property
    def possible_states(self) -> frozenset[str]:
        """Return the states in which the job may have ended.

        One that ended before the cancellation arrived stays succeeded.
        """
        if self.acknowledged_state:
            return frozenset((self.acknowledged_state,))
        if self.is_cancel_sent:
            return frozenset(('cancelled', 'succeeded'))
        return frozenset(('succeeded',))


class Soak:
    """Runs one seed: load, faults and checks on one deployment."""

    def __init__(self, seed: int) -> None:
        """Derive all random choices from ``seed``."""
        self.random = random.Random(seed)
        # Of its own, so that the load that it draws leaves the faults of a seed
        # as they are.
        self._load_random = random.Random(f'load-{seed}')
        self.deployment = Deployment(nodes=3, workers=3)
        self.jobs: dict[str, SubmittedJob] = defaultdict(SubmittedJob)
        self._faults = NodeFaults(self.deployment, self.random)
        self._violations: list[str] = []

    @property
    def fault_count(self) -> int:
        """Return how many faults were injected."""
        return len(self._faults.names)

    async def run(self) -> list[str]:
        """Run load and faults; return the violated guarantees."""
        async with self.deployment:
            end_s = time.monotonic() + LOAD_DURATION_S
            await asyncio.gather(
                self._submit_jobs(end_s),
                self._submit_jobs(end_s),
                self._submit_jobs_steadily(end_s),
                self._faults.inject(end_s),
                self._faults.suspend_leader(self._load_random),
                self._query_jobs(end_s),
                self._submit_and_leave(end_s),
            )
            await self._faults.clear()
            self._violations.extend(await self._wait_for_ends())
            self._violations.extend(self._check_runs())
            self._violations.extend(self._check_start_orders())
            return self._violations

    async def _submit_jobs(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await self._submit_one_job(self.random)
            await asyncio.sleep(self.random.uniform(0, MAX_PAUSE_S))

    async def _submit_jobs_steadily(self, end_s: float) -> None:
        """Submit jobs also while others wait for a node that is suspended."""
        async with asyncio.TaskGroup() as submissions:
            while time.monotonic() < end_s:
                await asyncio.sleep(SUBMIT_INTERVAL_S)
                submissions.create_task(self._submit_one_job(self._load_random))

    async def _submit_one_job(self, source: random.Random) -> None:
        job = f'{source.getrandbits(64):016x}'
        body = {
            'spec': str(round(source.uniform(0.1, 4.0), 2)),
            'steps': [{'count': source.randint(1, 6), 'cpu': 1000, 'gpu': 1}],
        }
        if self._load_random.randrange(2):
            body['spec'] = f'{body["spec"]} saves'
            body['steps'][0]['checkpointing'] = True
        if self._load_random.randrange(2):
            body['steps'].append(
                {'count': 1, 'cpu': 1000, 'gpu': 1, 'after': [0]}
            )
        for _ in range(source.randint(1, 3)):
            node = source.randrange(len(self.deployment.nodes))
            status, _ = await self._call_node(node, 'POST', job, json=body)
            submitted = self.jobs[job]
            submitted.payload = body['spec']
            submitted.note_answer(status)
            if status == STATUS_OK:
                break
        has_no_answer = not self.jobs[job].is_accepted and not status
        is_unwanted = self.jobs[job].is_accepted and not source.randrange(5)
        if has_no_answer or is_unwanted:
            await self._cancel_job(job)

    async def _submit_and_leave(self, end_s: float) -> None:
        """Submit while the leader is lost; leave before there is an answer."""
        async with asyncio.TaskGroup() as callers:
            while time.monotonic() < end_s:
                await asyncio.sleep(LEAVE_INTERVAL_S)
                leader = self._faults.find_lost_leader()
                if leader is not None:
                    callers.create_task(self._submit_one_and_leave(leader))

    async def _submit_one_and_leave(self, lost_leader: Node) -> None:
        source = self._load_random
        job = f'{source.getrandbits(64):016x}'
        followers = [
            index
            for index, node in enumerate(self.deployment.nodes)
            if node is not lost_leader
        ]
        node, other_node = source.sample(followers, 2)
        payload = str(LEFT_TASK_DURATION_S)
        submitted = self.jobs[job]
        submitted.payload = payload
        status, _ = await self._call_node(
            node,
            'POST',
            job,
            timeout_s=source.uniform(EARLIEST_LEAVE_S, LATEST_LEAVE_S),
            json={
                'spec': payload,
                'steps': [{'count': 1, 'cpu': 1000, 'gpu': 1}],
            },
        )
        submitted.note_answer(status)
        if not status:
            await self._cancel_job(job, other_node)

    async def _cancel_job(self, job: str, node: int | None = None) -> None:
        """Cancel a job, repeatedly until that is acknowledged.

        At ``node`` if it is given, else at any node.
        """
        submitted = self.jobs[job]
        for _ in range(MAX_CANCEL_ATTEMPTS):
            submitted.is_cancel_sent = True
            status, state = await self._call_any('DELETE', job, node)
            if status in {STATUS_OK, STATUS_GONE}:
                submitted.cancelled_at_s = time.time()
                submitted.acknowledged_state = state
                submitted.is_cancelled_unknown = status == STATUS_GONE
                return
            await asyncio.sleep(CANCEL_RETRY_S)

    async def _query_jobs(self, end_s: float) -> None:
        """Query jobs that were accepted lately until ``end_s``.

        Does not wait for responses: those of a node that is paused come late.
        """
        async with asyncio.TaskGroup() as queries:
            while time.monotonic() < end_s:
                await asyncio.sleep(QUERY_INTERVAL_S)
                accepted = [
                    job
                    for job, submitted in self.jobs.items()
                    if submitted.is_accepted
                ]
                if accepted:
                    job = self._load_random.choice(accepted[-RECENT_JOBS:])
                    queries.create_task(self._call_any('GET', job))

    async def _call_any(
        self, method: str, job: str, node: int | None = None
    ) -> tuple[int, str]:
        """Call ``node``, or any, about a job; record a wrong answer."""
        if node is None:
            node = self._load_random.randrange(len(self.deployment.nodes))
        status, state = await self._call_node(node, method, job)
        if status == STATUS_GONE and self.jobs[job].is_accepted:
            self._violations.append(
                f'{job}: {method} at node {node} was answered 410 although '
                'the job was accepted'
            )
        return status, state

    async def _call_node(
        self,
        node: int,
        method: str,
        job: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        **request_options: object,
    ) -> tuple[int, str]:
        """Return status and state of the response; status 0: there was none."""
        try:
            async with asyncio.timeout(timeout_s):
                status, body = await self.deployment.call(
                    method, job, node=node, **request_options
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, ''
        return status, body.get('state', '')

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
            is_final = submitted.state in FINAL_STATES
            if (
                submitted.is_accepted
                and is_final
                and submitted.state not in submitted.possible_states
            ):
                violations.append(
                    f'{job}: {submitted.state}, not '
                    f'{sorted(submitted.possible_states)}'
                )
        return violations

    async def _has_ended(self, job: str) -> bool:
        submitted = self.jobs[job]
        status, body = await self.deployment.call('GET', job)
        submitted.state = body.get('state', str(status))
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
            if submitted is None:
                violations.append(f'{task}: ran although nobody submitted it')
                continue
            if submitted.is_always_refused:
                violations.append(
                    f'{task}: ran although every submission was refused'
                )
            violations.extend(
                submitted.check_cancelled(
                    task, history, self._faults.ended_at_s + CONTACT_S
                )
            )
        return violations

    def _check_start_orders(self) -> list[str]:
        workers = self.deployment.workers
        checkpoints = set().union(*(one.checkpoints for one in workers))
        violations = []
        for worker in workers:
            for order in worker.start_orders:
                submitted = self.jobs.get(order.task.partition('.')[0])
                payload = submitted.payload if submitted else ''
                violations.extend(
                    check_start_order(order, payload, checkpoints)
                )
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
            f'faults={soak.fault_count} broken={violations}',
            flush=True,
        )
        failed += bool(violations)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    app.run(main)
