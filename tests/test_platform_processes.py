"""Jobs on node processes that run against the stand-in platform."""

import asyncio
import contextlib
import json
import signal

import aiohttp
import pytest

from dev.platform_standin import deployment as deployment_module
from dev.platform_standin.deployment import CONFIG, Deployment
from dev.platform_standin.proxy import ProxyMode

JOB = '5c0e7a21d94b36f8'
OTHER_JOB = '5c0e7a21d94b36f9'
THIRD_JOB = '5c0e7a21d94b36fa'
STEP = {'count': 1, 'cpu': 1000, 'gpu': 1}
ADVICE = {'decision-ms': 50, 'period-ms': 5, 'validity-ms': 3000}
# Time until a new configuration or a closed domain takes effect on all VMs.
CONFIGURATION_DELAY_S = 3.0
CLOSED_DOMAIN_DELAY_S = 5.0
CALL_DEADLINE_S = 3.0
# Time until the runs of a cancelled job have ended.
CANCELLED_WORK_STOPS_S = 3.4


def find_runs(deployment, job):
    return [
        (task, run)
        for worker in deployment.workers
        for task, run, _ in worker.started_runs
        if task.startswith(job)
    ]


async def wait_for_other_leader(deployment, previous):
    """Return the index of the node that replaces ``previous`` as leader."""
    async with asyncio.timeout(10):
        while True:
            with contextlib.suppress(LookupError):
                leader = deployment.find_leader()
                if leader is not previous:
                    return deployment.nodes.index(leader)
            await asyncio.sleep(0.05)


async def test_a_deployment_that_does_not_get_ready_leaves_no_process(
    monkeypatch,
):
    """Its node programs stayed, and slowed down the tests after it."""
    monkeypatch.setattr(deployment_module, 'READY_TIMEOUT_S', 0.1)
    deployment = Deployment(nodes=2)
    with pytest.raises(TimeoutError):
        await deployment.__aenter__()
    assert len(deployment.nodes) == 2
    assert all(node.process.returncode is not None for node in deployment.nodes)


async def test_job_can_be_submitted_to_any_vm():
    async with Deployment() as deployment:
        assert await deployment.submit(JOB, node=1, count=3) == 200
        assert await deployment.submit(JOB, node=0, count=3) == 200
        for node in (0, 1):
            await deployment.wait_for_state(JOB, 'succeeded', node=node)
        assert len(find_runs(deployment, JOB)) == 3
        status, body = await deployment.call('GET', '')
        assert (status, body) == (200, {'pending': 0})


async def test_responses_have_the_published_status():
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
            actual_status, body = await deployment.call(
                method, job, **request_options
            )
            assert actual_status == status, (method, job, body)
        assert await deployment.submit(OTHER_JOB, gpu=9) == 429
        status, _ = await deployment.call('DELETE', JOB, node=1)
        assert status == 200
        await deployment.wait_for_state(JOB, 'cancelled')


@pytest.mark.parametrize('stop_signal', [signal.SIGKILL, signal.SIGTERM])
async def test_failover_repeats_no_run(stop_signal):
    async with Deployment(nodes=3) as deployment:
        assert await deployment.submit(JOB, count=4, duration_s=4.0) == 200
        await deployment.wait_for_state(JOB, 'running')
        leader = deployment.find_leader()
        await leader.stop(stop_signal)
        remaining_nodes = [
            other for other in deployment.nodes if other is not leader
        ]
        node = deployment.nodes.index(remaining_nodes[0])
        assert await deployment.submit(OTHER_JOB, node=node) == 200
        await deployment.wait_for_state(JOB, 'succeeded', node=node)
        await deployment.wait_for_state(OTHER_JOB, 'succeeded', node=node)
        assert len(find_runs(deployment, JOB)) == 4


async def test_accepted_job_survives_the_loss_of_all_vms():
    async with Deployment() as deployment:
        assert await deployment.submit(JOB, duration_s=0.5) == 200
        for node in deployment.nodes:
            await node.stop(signal.SIGKILL)
        seeds = [node.stream_address for node in deployment.nodes]
        for node in deployment.nodes:
            await node.start(seeds)
        for node in deployment.nodes:
            await deployment.wait_until_ready(node)
        await deployment.wait_for_state(JOB, 'succeeded')
        assert len(find_runs(deployment, JOB)) == 1


async def test_lost_store_response_loses_no_job():
    async with Deployment() as deployment:
        deployment.store.responses_to_drop = 3
        assert await deployment.submit(JOB) == 200
        await deployment.wait_for_state(JOB, 'succeeded')
        assert len(find_runs(deployment, JOB)) == 1


async def test_job_refused_during_store_outage_never_runs():
    async with Deployment() as deployment:
        deployment.store.is_unavailable = True
        await asyncio.sleep(0.5)
        status = await deployment.submit(JOB)
        assert status == 503
        deployment.store.is_unavailable = False
        await asyncio.sleep(3)
        assert find_runs(deployment, JOB) == []
        assert await deployment.submit(OTHER_JOB) == 200
        await deployment.wait_for_state(OTHER_JOB, 'succeeded')


async def test_start_without_response_does_not_repeat_a_run():
    async with Deployment() as deployment:
        for worker in deployment.workers:
            worker.responses_to_drop = 1
        assert await deployment.submit(JOB, duration_s=1.0) == 200
        await deployment.wait_for_state(JOB, 'succeeded')
        run_numbers = [run for _, run in find_runs(deployment, JOB)]
        assert run_numbers == sorted(set(run_numbers))


async def test_new_configuration_applies_on_every_vm():
    async with Deployment() as deployment:
        configuration = {
            **CONFIG,
            'version': 4,
            'tenants': CONFIG['tenants'][1:],
        }
        deployment.write_configuration(configuration)
        await asyncio.sleep(CONFIGURATION_DELAY_S)
        for node in (0, 1):
            status, _ = await deployment.call('GET', JOB, node=node)
            assert status == 401
        deployment.write_configuration({**CONFIG, 'version': 2})
        await asyncio.sleep(CONFIGURATION_DELAY_S)
        status, _ = await deployment.call('GET', JOB)
        assert status == 401


async def test_a_vm_restarted_behind_a_cut_refuses_a_withdrawn_key():
    """It reads the store through a peer; no VM hands on its own copy."""
    async with Deployment() as deployment:
        restarted = deployment.nodes[1]
        await restarted.stop(signal.SIGKILL)
        restarted.proxy.switch_mode(ProxyMode.RESET)
        deployment.write_configuration(
            {**CONFIG, 'version': 4, 'tenants': CONFIG['tenants'][1:]}
        )
        await restarted.start([deployment.nodes[0].stream_address])
        await deployment.wait_until_ready(restarted)
        for _ in range(20):
            status, _ = await deployment.call('GET', JOB, node=1)
            assert status == 401
            await asyncio.sleep(0.05)


async def wait_for_an_answer(deployment, node):
    """Return the status of the first call that finds the process up."""
    async with asyncio.timeout(20):
        while True:
            try:
                status, _ = await deployment.call('GET', JOB, node=node)
            except aiohttp.ClientConnectorError:
                await asyncio.sleep(0.05)
            else:
                return status


async def test_a_vm_that_reaches_nobody_serves_nobody():
    async with Deployment() as deployment:
        restarted = deployment.nodes[1]
        await restarted.stop(signal.SIGKILL)
        restarted.proxy.switch_mode(ProxyMode.DROP_ALL)
        await deployment.nodes[0].stop(signal.SIGKILL)
        await restarted.start([deployment.nodes[0].stream_address])
        status = await wait_for_an_answer(deployment, 1)
        for _ in range(15):
            assert status == 503
            await asyncio.sleep(0.1)
            status, _ = await deployment.call('GET', JOB, node=1)


async def test_no_task_starts_in_a_closed_domain():
    async with Deployment() as deployment:
        deployment.store.put('op/evacuate/a', b'{}')
        await asyncio.sleep(CLOSED_DOMAIN_DELAY_S)
        assert await deployment.submit(JOB) == 200
        await asyncio.sleep(0.5)
        assert find_runs(deployment, JOB) == []
        deployment.store.remove('op/evacuate/a')
        await deployment.wait_for_state(JOB, 'succeeded')


async def test_no_task_starts_on_a_draining_worker():
    async with Deployment(workers=1) as deployment:
        deployment.register_worker(deployment.workers[0], 'draining')
        await asyncio.sleep(CONFIGURATION_DELAY_S)
        assert await deployment.submit(JOB) == 200
        await asyncio.sleep(0.5)
        assert find_runs(deployment, JOB) == []


async def test_malformed_worker_entries_are_ignored():
    async with Deployment() as deployment:
        for number, stored in enumerate(
            (b'\xff', b'[]', b'{}', json.dumps({'service': 7}).encode())
        ):
            deployment.store.put(f'servers/strange-{number}', stored)
        deployment.register_worker(deployment.workers[0], 'resting')
        assert await deployment.submit(JOB) == 200
        await deployment.wait_for_state(JOB, 'succeeded')


async def test_logs_and_metrics_contain_a_job():
    async with Deployment() as deployment:
        # The leader answers: the first attempt of the submission reaches it.
        status, _ = await deployment.call('DELETE', OTHER_JOB)
        assert status == 410
        assert await deployment.submit(JOB) == 200
        await deployment.wait_for_state(JOB, 'succeeded')
        leader = deployment.find_leader()
        log_lines = leader.log_path.read_text(encoding='utf-8').splitlines()
        events = [
            word.partition('=')[2]
            for line in log_lines
            if JOB in line
            for word in line.split()
            if word.startswith('event=')
        ]
        assert events == ['job.accepted', 'run.start', 'run.ended', 'job.ended']
        url = f'http://{leader.metrics_address}/metrics'
        async with deployment.http.get(url) as response:
            text = await response.text()
        assert 'bulrushcove_jobs_accepted_total{queue="r-1"} 1' in text


def find_cancellations(node):
    """Return job, phase and leader of each cancellation that it answered."""
    lines = node.log_path.read_text(encoding='utf-8').splitlines()
    found = []
    for line in lines:
        if 'event=cancellation.answered' in line:
            fields = dict(
                word.split('=', 1) for word in line.split() if '=' in word
            )
            assert int(fields['epoch']) > 0
            found.append((fields['job'], fields['phase'], fields['leader']))
    return found


async def test_the_log_of_a_vm_tells_how_it_answered_a_cancellation():
    """A 2xx left no line, and a 410 did not name the leader."""
    async with Deployment() as deployment:
        assert await deployment.submit(JOB, duration_s=30) == 200
        leader = deployment.find_leader()
        node = 1 - deployment.nodes.index(leader)
        for job, expected_status in ((JOB, 200), (OTHER_JOB, 410)):
            status, _ = await deployment.call('DELETE', job, node=node)
            assert status == expected_status
        assert find_cancellations(deployment.nodes[node]) == [
            (JOB, 'cancelled', leader.name),
            (OTHER_JOB, 'none', leader.name),
        ]
        assert find_cancellations(leader) == []


async def test_queue_with_advice_uses_allowed_workers():
    route = {**CONFIG['routes'][0], 'advice': ADVICE}
    async with Deployment() as deployment:
        allowed_worker, other_worker = deployment.workers
        deployment.adviser.allowed_workers = {allowed_worker.worker_id}
        for worker in deployment.workers:
            worker.make_ticket = deployment.adviser.make_ticket
        deployment.write_configuration(
            {**CONFIG, 'version': 4, 'routes': [route]}
        )
        await asyncio.sleep(CONFIGURATION_DELAY_S)
        assert await deployment.submit(JOB, count=3) == 200
        await deployment.wait_for_state(JOB, 'succeeded')
        assert len(allowed_worker.started_runs) == 3
        assert other_worker.started_runs == []


async def test_a_suspended_leader_knows_jobs_accepted_meanwhile():
    """On waking it answered 410 to their cancellations, and they ran on."""
    async with Deployment(nodes=3, workers=3) as deployment:
        assert await deployment.submit(OTHER_JOB) == 200
        suspended = deployment.find_leader()
        suspended.send_signal(signal.SIGSTOP)
        try:
            leader = await wait_for_other_leader(deployment, suspended)
            for job in (JOB, THIRD_JOB):
                body = {'spec': '6', 'steps': [STEP, {**STEP, 'after': [0]}]}
                status, _ = await deployment.call(
                    'POST', job, node=leader, json=body
                )
                assert status == 200
            # Answered as soon as the process goes on.
            node = deployment.nodes.index(suspended)
            calls = asyncio.gather(
                deployment.call('DELETE', JOB, node=node),
                deployment.call('GET', THIRD_JOB, node=node),
            )
            await asyncio.sleep(0.5)
        finally:
            suspended.send_signal(signal.SIGCONT)
        (delete_status, _), (_, body) = await calls
        assert delete_status == 200
        assert body['state'] == 'running'
        await asyncio.sleep(CANCELLED_WORK_STOPS_S)
        assert not any(
            task.startswith(JOB)
            for worker in deployment.workers
            for task, _ in worker.running
        )


async def test_a_submission_of_a_caller_that_gave_up_does_not_run():
    """It waited in a suspended VM, and ran after its cancellation."""
    async with Deployment(nodes=3, workers=2) as deployment:
        assert await deployment.submit(OTHER_JOB) == 200
        leader = deployment.nodes.index(deployment.find_leader())
        node = (leader + 1) % len(deployment.nodes)
        deployment.nodes[node].send_signal(signal.SIGSTOP)
        try:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(CALL_DEADLINE_S):
                    await deployment.submit(JOB, node=node)
            status, _ = await deployment.call('DELETE', JOB, node=leader)
        finally:
            deployment.nodes[node].send_signal(signal.SIGCONT)
        assert status == 410
        await asyncio.sleep(CANCELLED_WORK_STOPS_S)
        assert find_runs(deployment, JOB) == []
