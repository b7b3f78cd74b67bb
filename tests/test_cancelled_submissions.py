"""Callers that leave a submission unanswered and cancel it at another VM."""

import asyncio
import random
import signal
import time

import pytest

from dev.node_soak_checks import CANCEL_S, STOP_S, check_cancelled_task
from dev.platform_standin.deployment import Deployment

ACCEPTED_JOB = '5c0e7a21d94b36f8'
OTHER_JOB = '5c0e7a21d94b36f9'
NODES = 3
JOBS = 16
# When callers leave, in seconds after their submission.
EARLIEST_LEAVE_S = 0.01
LATEST_LEAVE_S = 0.6
SUSPENSION_S = 4.0
ACKNOWLEDGEMENT_TIMEOUT_S = 10.0
# Longer than a cancelled job may run.
TASK_DURATION_S = 6.0


async def leave_and_cancel(deployment, job, source, followers, sent_within_s):
    """Return when the cancellation was acknowledged; None if it was not sent.

    It is not if the submission was answered.
    """
    node, other_node = source.sample(followers, 2)
    await asyncio.sleep(source.uniform(0, sent_within_s))
    try:
        async with asyncio.timeout(
            source.uniform(EARLIEST_LEAVE_S, LATEST_LEAVE_S)
        ):
            await deployment.submit(job, node=node, duration_s=TASK_DURATION_S)
    except TimeoutError:
        return await cancel(deployment, job, other_node)
    return None


async def cancel(deployment, job, node):
    """Cancel ``job`` at ``node``; return when that was acknowledged."""
    async with asyncio.timeout(ACKNOWLEDGEMENT_TIMEOUT_S):
        while True:
            status, _ = await deployment.call('DELETE', job, node=node)
            if status in {200, 410}:
                return time.time()


def find_violations(deployment, cancelled_at_s):
    """Return how the cancelled jobs ran on.

    ``cancelled_at_s``: when the cancellation of each was acknowledged.
    """
    events = {}
    for worker in deployment.workers:
        for event in worker.history:
            events.setdefault(event[2], []).append(event)
    violations = []
    for task, history in events.items():
        acknowledged_at_s = cancelled_at_s.get(task.partition('.')[0])
        if acknowledged_at_s is not None:
            violations += check_cancelled_task(
                task, sorted(history), acknowledged_at_s, acknowledged_at_s
            )
    return violations


async def wait_for_leader(deployment, node):
    """Wait until a leader answers calls at ``node``."""
    async with asyncio.timeout(ACKNOWLEDGEMENT_TIMEOUT_S):
        status = 503
        while status == 503:
            status, _ = await deployment.call('GET', OTHER_JOB, node=node)


def count_refused(deployment):
    """Return how many submissions were refused as cancelled before."""
    return sum(
        node.log_path.read_text(encoding='utf-8').count(
            'was cancelled before it was accepted'
        )
        for node in deployment.nodes
    )


@pytest.mark.parametrize('is_leader_killed', [False, True])
async def test_a_job_that_was_cancelled_before_is_refused_by_every_vm(
    is_leader_killed,
):
    """410 to its cancellation had no effect on its submission."""
    body = {'spec': '6', 'steps': [{'count': 1, 'cpu': 1000, 'gpu': 1}]}
    async with Deployment(nodes=NODES) as deployment:
        assert await deployment.submit(OTHER_JOB) == 200
        status, _ = await deployment.call('DELETE', ACCEPTED_JOB, node=1)
        assert status == 410
        remaining = list(range(NODES))
        if is_leader_killed:
            leader = deployment.find_leader()
            await leader.stop(signal.SIGKILL)
            remaining.remove(deployment.nodes.index(leader))
            await wait_for_leader(deployment, remaining[0])
        for node in remaining:
            status, answer = await deployment.call(
                'POST', ACCEPTED_JOB, node=node, json=body
            )
            assert status == 409
            assert 'cancelled' in answer['error']
            status, _ = await deployment.call('GET', ACCEPTED_JOB, node=node)
            assert status == 410
        status, _ = await deployment.call(
            'POST',
            ACCEPTED_JOB,
            node=remaining[0],
            json=body,
            credential='key-2',
        )
        assert status == 200


# A killed leader is replaced within some tenths of a second.
@pytest.mark.parametrize(
    ('leader_signal', 'sent_within_s'),
    [(signal.SIGSTOP, 1.0), (signal.SIGKILL, 0.05)],
)
async def test_no_submission_is_accepted_after_its_cancellation(
    leader_signal, sent_within_s
):
    """Its VM sent it again to the next leader, which had answered 410."""
    source = random.Random(38)
    jobs = [f'{source.getrandbits(64):016x}' for _ in range(JOBS)]
    async with Deployment(nodes=NODES, workers=3) as deployment:
        assert await deployment.submit(ACCEPTED_JOB) == 200
        leader = deployment.find_leader()
        followers = [
            index
            for index, node in enumerate(deployment.nodes)
            if node is not leader
        ]
        leader.send_signal(leader_signal)
        acknowledged = await asyncio.gather(
            *(
                leave_and_cancel(
                    deployment, job, source, followers, sent_within_s
                )
                for job in jobs
            )
        )
        await asyncio.sleep(SUSPENSION_S)
        leader.send_signal(signal.SIGCONT)
        cancelled_at_s = {
            job: at_s
            for job, at_s in zip(jobs, acknowledged, strict=True)
            if at_s is not None
        }
        await asyncio.sleep(CANCEL_S + STOP_S)
        assert cancelled_at_s
        assert find_violations(deployment, cancelled_at_s) == []
        if leader_signal is signal.SIGSTOP:
            # Some were sent again after their cancellation was answered.
            assert count_refused(deployment)
