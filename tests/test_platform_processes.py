"""Jobs through the adapter on real processes, against our stand-in."""

import asyncio
import json
import signal

import pytest

from dev.platform_standin.deployment import CONFIG, Deployment

JOB = '5c0e7a21d94b36f8'
OTHER_JOB = '5c0e7a21d94b36f9'
ADVICE = {'decision-ms': 50, 'period-ms': 5, 'validity-ms': 3000}
# Time of a configuration, and of a closed domain, to be in force.
CONFIG_BOUND_S = 3.0
CLOSED_BOUND_S = 5.0


def runs_of(deployment, job):
    return [
        (task, run)
        for worker in deployment.workers
        for task, run, _ in worker.started_runs
        if task.startswith(job)
    ]


async def test_a_job_is_served_from_any_vm():
    async with Deployment() as deployment:
        assert await deployment.submit(JOB, node=1, count=3) == 200
        assert await deployment.submit(JOB, node=0, count=3) == 200
        for node in (0, 1):
            await deployment.wait_state(JOB, 'succeeded', node=node)
        assert len(runs_of(deployment, JOB)) == 3
        status, body = await deployment.call('GET', '')
        assert (status, body) == (200, {'pending': 0})


async def test_callers_are_answered_as_published():
    async with Deployment() as deployment:
        assert await deployment.submit(JOB, duration_s=30, gpu=8) == 200
        for status, method, job, request_options in (
            (410, 'GET', OTHER_JOB, {}),
            (410, 'GET', JOB, {'credential': 'key-2'}),
            (410, 'DELETE', JOB, {'credential': 'key-2'}),
            (401, 'GET', JOB, {'credential': 'unknown'}),
            (404, 'GET', 'no-id', {}),
            (400, 'POST', OTHER_JOB, {'data': b'{'}),
            (400, 'POST', OTHER_JOB, {'json': {'spec': '', 'steps': []}}),
            (413, 'POST', OTHER_JOB, {'data': b' ' * 20_000}),
            (
                409,
                'POST',
                JOB,
                {'json': {'spec': 'x', 'steps': [{'count': 1}]}},
            ),
        ):
            answer, body = await deployment.call(method, job, **request_options)
            assert answer == status, (method, job, body)
        assert await deployment.submit(OTHER_JOB, gpu=9) == 429
        status, _ = await deployment.call('DELETE', JOB, node=1)
        assert status == 200
        await deployment.wait_state(JOB, 'cancelled')


@pytest.mark.parametrize('how', [signal.SIGKILL, signal.SIGTERM])
async def test_a_change_of_scheduler_repeats_no_run(how):
    async with Deployment(nodes=3) as deployment:
        assert await deployment.submit(JOB, count=4, duration_s=4.0) == 200
        await deployment.wait_state(JOB, 'running')
        leader = deployment.leader()
        await leader.stop(how)
        left = [one for one in deployment.nodes if one is not leader]
        node = deployment.nodes.index(left[0])
        assert await deployment.submit(OTHER_JOB, node=node) == 200
        await deployment.wait_state(JOB, 'succeeded', node=node)
        await deployment.wait_state(OTHER_JOB, 'succeeded', node=node)
        assert len(runs_of(deployment, JOB)) == 4


async def test_all_vms_lost_right_after_an_acceptance():
    async with Deployment() as deployment:
        assert await deployment.submit(JOB, duration_s=0.5) == 200
        for node in deployment.nodes:
            await node.stop(signal.SIGKILL)
        seeds = [node.streams for node in deployment.nodes]
        for node in deployment.nodes:
            await node.start(seeds)
        for node in deployment.nodes:
            await deployment.wait_ready(node)
        await deployment.wait_state(JOB, 'succeeded')
        assert len(runs_of(deployment, JOB)) == 1


async def test_a_lost_answer_of_the_store_loses_no_job():
    async with Deployment() as deployment:
        deployment.store.responses_to_drop = 3
        assert await deployment.submit(JOB) == 200
        await deployment.wait_state(JOB, 'succeeded')
        assert len(runs_of(deployment, JOB)) == 1


async def test_a_store_that_is_away_refuses_at_once_and_truly():
    async with Deployment() as deployment:
        deployment.store.is_unavailable = True
        await asyncio.sleep(0.5)
        status = await deployment.submit(JOB)
        assert status == 503
        deployment.store.is_unavailable = False
        await asyncio.sleep(3)
        assert runs_of(deployment, JOB) == []
        assert await deployment.submit(OTHER_JOB) == 200
        await deployment.wait_state(OTHER_JOB, 'succeeded')


async def test_an_unanswered_start_runs_once():
    async with Deployment() as deployment:
        for worker in deployment.workers:
            worker.responses_to_drop = 1
        assert await deployment.submit(JOB, duration_s=1.0) == 200
        await deployment.wait_state(JOB, 'succeeded')
        numbers = [run for _, run in runs_of(deployment, JOB)]
        assert numbers == sorted(set(numbers))


async def test_a_new_configuration_is_in_force_everywhere():
    async with Deployment() as deployment:
        fewer = {**CONFIG, 'version': 4, 'tenants': CONFIG['tenants'][1:]}
        deployment.configure(fewer)
        await asyncio.sleep(CONFIG_BOUND_S)
        for node in (0, 1):
            status, _ = await deployment.call('GET', JOB, node=node)
            assert status == 401
        deployment.configure({**CONFIG, 'version': 2})
        await asyncio.sleep(CONFIG_BOUND_S)
        status, _ = await deployment.call('GET', JOB)
        assert status == 401


async def test_nothing_starts_in_a_closed_domain():
    async with Deployment() as deployment:
        deployment.store.put('op/evacuate/a', b'{}')
        await asyncio.sleep(CLOSED_BOUND_S)
        assert await deployment.submit(JOB) == 200
        await asyncio.sleep(0.5)
        assert runs_of(deployment, JOB) == []
        deployment.store.remove('op/evacuate/a')
        await deployment.wait_state(JOB, 'succeeded')


async def test_nothing_starts_on_a_leaving_worker():
    async with Deployment(workers=1) as deployment:
        deployment.register_worker(deployment.workers[0], 'draining')
        await asyncio.sleep(CONFIG_BOUND_S)
        assert await deployment.submit(JOB) == 200
        await asyncio.sleep(0.5)
        assert runs_of(deployment, JOB) == []


async def test_entries_of_other_writers_stop_nothing():
    async with Deployment() as deployment:
        for number, stored in enumerate(
            (b'\xff', b'[]', b'{}', json.dumps({'service': 7}).encode())
        ):
            deployment.store.put(f'servers/strange-{number}', stored)
        deployment.register_worker(deployment.workers[0], 'resting')
        assert await deployment.submit(JOB) == 200
        await deployment.wait_state(JOB, 'succeeded')


async def test_logs_and_metrics_tell_of_a_job():
    async with Deployment() as deployment:
        assert await deployment.submit(JOB) == 200
        await deployment.wait_state(JOB, 'succeeded')
        leader = deployment.leader()
        lines = leader.log.read_text(encoding='utf-8').splitlines()
        events = [
            word.partition('=')[2]
            for line in lines
            if JOB in line
            for word in line.split()
            if word.startswith('event=')
        ]
        assert events == ['job.accepted', 'run.start', 'run.ended', 'job.ended']
        url = f'http://{leader.metrics}/metrics'
        async with deployment.http.get(url) as response:
            text = await response.text()
        assert 'bulrushcove_jobs_accepted_total{queue="r-1"} 1' in text


async def test_a_queue_with_advice_runs_where_it_is_allowed():
    route = {**CONFIG['routes'][0], 'advice': ADVICE}
    async with Deployment() as deployment:
        allowed, barred = deployment.workers
        deployment.adviser.allowed = {allowed.worker}
        for worker in deployment.workers:
            worker.make_ticket = deployment.adviser.ticket
        deployment.configure({**CONFIG, 'version': 4, 'routes': [route]})
        await asyncio.sleep(CONFIG_BOUND_S)
        assert await deployment.submit(JOB, count=3) == 200
        await deployment.wait_state(JOB, 'succeeded')
        assert len(allowed.started_runs) == 3
        assert barred.started_runs == []
