"""Submissions that callers were told never run."""

import asyncio
import signal

from dev.platform_standin.deployment import (
    CREDENTIAL,
    QUEUE_HOST,
    QUEUE_PREFIX,
    Deployment,
)

ACCEPTED_JOB = '5c0e7a21d94b36f8'
JOBS = [f'{number:016x}' for number in range(1, 9)]
LEAVE_AFTER_S = 0.02
# Too short for the election of a leader.
DEADLINE_MS = 250


async def submit_and_leave(deployment, job, node):
    """Return whether the caller left before there was an answer."""
    try:
        async with asyncio.timeout(LEAVE_AFTER_S):
            await deployment.submit(job, node=node, duration_s=0.5)
    except TimeoutError:
        return True
    return False


async def submit_in_haste(deployment, job, node):
    """Submit with a short deadline; return the HTTP status."""
    url = f'http://{deployment.nodes[node].api_address}{QUEUE_PREFIX}{job}'
    headers = {
        'Host': QUEUE_HOST,
        'X-Credential': CREDENTIAL,
        'X-Deadline-Ms': str(DEADLINE_MS),
    }
    one_step = {'count': 1, 'cpu': 1000, 'mem-mb': 100, 'gpu': 1}
    body = {'spec': '0.5', 'steps': [one_step]}
    async with deployment.http.post(url, headers=headers, json=body) as answer:
        return answer.status


async def test_no_job_runs_that_was_answered_503():
    """The VM of an earlier attempt sent it to the next leader."""
    async with Deployment(nodes=3, workers=3) as deployment:
        assert await deployment.submit(ACCEPTED_JOB) == 200
        leader = deployment.find_leader()
        first, second = (
            index
            for index, node in enumerate(deployment.nodes)
            if node is not leader
        )
        leader.send_signal(signal.SIGKILL)
        left = await asyncio.gather(
            *(submit_and_leave(deployment, job, first) for job in JOBS)
        )
        statuses = await asyncio.gather(
            *(submit_in_haste(deployment, job, second) for job in JOBS)
        )
        await asyncio.sleep(4)
        refused = {
            job
            for job, has_left, status in zip(JOBS, left, statuses, strict=True)
            if has_left and status == 503
        }
        assert refused
        started = {
            event[2].partition('.')[0]
            for worker in deployment.workers
            for event in worker.history
        }
        assert refused & started == set()
