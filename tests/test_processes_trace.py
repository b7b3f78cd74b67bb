"""Every hop of a request and of a job shares its trace, on real processes."""

import asyncio
import re
from collections import defaultdict

import aiohttp
import msgspec
import pytest

from bulrushcove.states import DomainState
from dev.history.bounds import REVISION_SPREAD_S
from dev.launch.ports import HOST
from dev.launcher import SMALL_SIZE, LaunchOptions, launched
from dev.workload.operator_client import OperatorClient
from dev.workload.organisations import ORGANISATIONS

CALLER = ORGANISATIONS[0]
REQUEST_TRACE = 'a' * 32
JOB_TRACE = 'b' * 32
SPAN = re.compile(r'event=span\.ended span_name=(\S+) trace=(\w+)')
JOB_SPEC = {
    'kind': 'boiler-review',
    'tasks': 2,
    'payload': '{"run_ms": 200, "result": "done"}',
}


def make_traceparent(trace):
    return f'00-{trace}-{"c" * 16}-01'


async def serve(cluster):
    """Run one request and one job, each with its caller's trace id."""
    url = f'http://{HOST}:{cluster.entry_vms[0].entry_port}'
    headers = {'Authorization': f'Bearer {CALLER.token}'}
    async with aiohttp.ClientSession(headers=headers) as session:
        operator = OperatorClient(session, cluster.entry_vms)
        await configure(operator, cluster)
        request_headers = {
            'X-Bulrushcove-Request': 'traced',
            'traceparent': make_traceparent(REQUEST_TRACE),
        }
        body = b'{"service_ms": 5, "answer_bytes": 100}'
        async with session.post(
            f'{url}/v1/requests', data=body, headers=request_headers
        ) as response:
            assert response.status == 200
            assert response.headers['X-Bulrushcove-Trace'] == REQUEST_TRACE
        job = {'job': 'traced', 'spec': JOB_SPEC}
        async with session.post(
            f'{url}/v1/jobs',
            json=job,
            headers={'traceparent': make_traceparent(JOB_TRACE)},
        ) as accepted:
            assert accepted.status == 201
        async with session.get(
            f'{url}/v1/jobs/traced/result?wait_ms=20000'
        ) as result:
            assert result.status == 200


async def configure(operator, cluster):
    for _ in range(100):
        status = await operator.status()
        if all(domain.view for domain in status.domains) and status.domains:
            break
        await asyncio.sleep(0.1)
    for plan in cluster.topology.domains:
        await operator.set_domain(plan.size.domain, DomainState.IN_SERVICE)
    contract = msgspec.structs.replace(CALLER.contract, guaranteed=())
    await operator.apply_contract(contract)
    await operator.wait_in_force(REVISION_SPREAD_S)


@pytest.fixture(scope='module')
def spans():
    """Return the span names of each trace from the logs of all processes."""
    options = LaunchOptions(sizes=SMALL_SIZE, exporter='log')
    with launched(options) as cluster:
        asyncio.run(serve(cluster))
        found = defaultdict(set)
        for log_path in cluster.processes.log_paths():
            text = log_path.read_text(encoding='utf-8')
            for name, trace in SPAN.findall(text):
                found[trace].add(name)
        return found


def test_a_request_is_one_trace_from_entry_to_backend_server(spans):
    assert {'entry.request', 'entry.backend'} <= spans[REQUEST_TRACE]


def test_a_job_is_one_trace_from_entry_to_workers(spans):
    expected = {
        'entry.job',
        'control.place',
        'control.worker',
        'platform.call',
    }
    assert expected <= spans[JOB_TRACE]
