"""Large jobs on node processes with the memory of a small VM."""

import asyncio
import json
import signal
from itertools import repeat
from pathlib import Path

import pytest

from dev.platform_standin.deployment import CONFIG, Deployment

LARGE_JOB = 'ee' * 8
OTHER_CREDENTIAL = 'key-2'
MEMORY_MB = 300
MAX_BODY_BYTES = 262_144
CONFIG_WITH_LIMITS = {
    **CONFIG,
    'limits': {
        'max-body-bytes': MAX_BODY_BYTES,
        'max-header-bytes': 16_384,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15_000,
    },
}
LIMITS = {'cpu-share': 0.537, 'cores': 2, 'memory-mb': MEMORY_MB}
# Time until a new configuration is in force on all VMs.
CONFIGURATION_DELAY_S = 3.0
# Time after a disruption from which on the rules hold again.
CONTACT_S = 4.0
# Longest wait for a start where there is room, as stated by the users.
MAX_START_WAIT_S = 3.0
KB_PER_MB = 1024


def peak_mb(node):
    """Return the highest resident memory of a node program so far."""
    status = Path(f'/proc/{node.process.pid}/status').read_text()
    (line,) = (row for row in status.splitlines() if row.startswith('VmHWM'))
    return int(line.split()[1]) // KB_PER_MB


def job_body(payload, *steps):
    text = json.dumps({'spec': payload, 'steps': steps}, separators=(',', ':'))
    return text.encode()


async def submit_large(deployment, body):
    status, _ = await deployment.call(
        'POST', LARGE_JOB, credential=OTHER_CREDENTIAL, data=body
    )
    return status


async def run_ordinary_jobs(deployment, count):
    """Run small jobs one after the other; each must start in time."""
    for number in range(count):
        job = f'0a{number:014x}'
        node = number % len(deployment.nodes)
        assert await deployment.submit(job, node=node, duration_s=0.1) == 200
        await deployment.wait_for_state(
            job, 'succeeded', node=node, timeout_s=MAX_START_WAIT_S + 1
        )


def count_running(deployment, job):
    return sum(
        task.startswith(job)
        for worker in deployment.workers
        for task, _ in worker.running
    )


SHAPES = {
    'gang of 2,000': job_body(
        '60', {'count': 2000, 'cpu': 10, 'mem-mb': 1, 'gang': True}
    ),
    'step named 60,000 times': job_body(
        '1',
        {'count': 1},
        {'count': 19_000, 'gpu': 1, 'after': list(repeat(0, 60_000))},
    ),
    '20,000 steps': job_body('5', *repeat({'count': 1}, 20_000)),
    '20,000 tasks': job_body('5', {'count': 20_000}),
}


@pytest.mark.parametrize('shape', SHAPES)
async def test_ordinary_jobs_run_beside_a_large_one(shape):
    """Each took down all VMs in turn (review cases 11, 12, 13 and 14)."""
    async with Deployment(nodes=3, workers=6, limits=LIMITS) as deployment:
        deployment.write_configuration(CONFIG_WITH_LIMITS)
        await asyncio.sleep(CONFIGURATION_DELAY_S)
        assert await submit_large(deployment, SHAPES[shape]) == 200
        await run_ordinary_jobs(deployment, 6)
        assert count_running(deployment, LARGE_JOB)
        deployment.find_leader().send_signal(signal.SIGKILL)
        await asyncio.sleep(2)
        alive = [
            node for node in deployment.nodes if node.process.returncode is None
        ]
        assert len(alive) == 2
        node = deployment.nodes.index(alive[0])
        async with asyncio.timeout(CONTACT_S):
            while await deployment.submit('0b' * 8, node=node) != 200:
                await asyncio.sleep(0.1)
        await deployment.wait_for_state('0b' * 8, 'succeeded', node=node)
        status, _ = await deployment.call(
            'DELETE', LARGE_JOB, node=node, credential=OTHER_CREDENTIAL
        )
        assert status == 200
        async with asyncio.timeout(MAX_START_WAIT_S):
            while count_running(deployment, LARGE_JOB):
                await asyncio.sleep(0.05)
        assert max(map(peak_mb, alive)) < MEMORY_MB


async def test_many_large_jobs_are_refused_together():
    """Fifty of them filled the memory of each VM (review case 13)."""
    async with Deployment(nodes=3, workers=6, limits=LIMITS) as deployment:
        body = job_body('0.2', {'count': 20_000, 'gpu': 1})
        statuses = []
        for number in range(30):
            status, _ = await deployment.call(
                'POST',
                f'ee{number:014x}',
                node=number % 3,
                credential=OTHER_CREDENTIAL,
                data=body,
            )
            statuses.append(status)
        assert 200 in statuses
        assert set(statuses) == {200, 429}
        await run_ordinary_jobs(deployment, 3)
        assert max(map(peak_mb, deployment.nodes)) < MEMORY_MB
