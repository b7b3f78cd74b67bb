import asyncio

import msgspec
import pytest
from aiohttp import web

from bulrushcove.authentication import TokenIndex
from bulrushcove.clock import ManualClock, SystemClock
from bulrushcove.contract import JobLimits
from bulrushcove.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.job_context import JobContext
from bulrushcove.job_routes import add_job_routes
from bulrushcove.job_store import JobStore
from bulrushcove.job_watch import JobWatch
from bulrushcove.messages import ClusterView, DomainView
from bulrushcove.states import JobState
from tests.entry_fakes import (
    SETTINGS,
    TOKENS,
    configuration_of,
    contract_of,
)
from tests.fake_store import FakeStore

URL = '/v1/jobs'
LITORAL = {'Authorization': TOKENS['litoral']}
PARLSTUGAN = {'Authorization': TOKENS['parlstugan']}
SPEC = {'kind': 'boiler', 'tasks': 4, 'accelerators_per_task': 2}


class FakeControl:
    def __init__(self):
        self.notices = []
        self.view = ClusterView(
            vm_statuses=(),
            domains=(make_north_view(),),
            vms=(),
            platform_reachable=True,
            permit_age_ms={},
        )

    async def notify_job(self, notice):
        self.notices.append(notice)


def make_north_view():
    return DomainView(
        domain='north',
        control='e1',
        epoch=1,
        workers=8,
        usable_workers=8,
        free_accelerators=64,
        total_accelerators=64,
        largest_rack=64,
        largest_worker=8,
        queued_jobs=0,
        running_jobs=0,
    )


@pytest.fixture
async def client(aiohttp_client):
    store = FakeStore()
    clock = ManualClock()
    jobs = JobStore(store)
    watch = JobWatch(jobs, SystemClock())
    control = FakeControl()
    litoral = msgspec.structs.replace(
        contract_of('litoral'), jobs=JobLimits(max_queued=3)
    )
    configuration = configuration_of(litoral, contract_of('parlstugan'))
    application = web.Application()
    context = JobContext(
        settings=SETTINGS,
        domain='north',
        configuration=lambda: configuration,
        tokens=TokenIndex(),
        job_store=jobs,
        watch=watch,
        control=control,
        clock=clock,
    )
    add_job_routes(application.router, context)
    client = await aiohttp_client(application)
    client.store = store
    client.jobs = jobs
    client.clock = clock
    client.watch = watch
    client.control = control
    await watch.start()
    yield client
    await watch.stop()


async def submit(client, job='j1', headers=LITORAL, **changes):
    return await client.post(
        URL, json={'job': job, 'spec': SPEC | changes}, headers=headers
    )


async def finish(client, job, state=JobState.SUCCEEDED):
    stored = await client.jobs.load(job)
    ended = msgspec.structs.replace(
        stored.record, state=state, results=('done',)
    )
    await client.jobs.replace(stored, ended)


async def test_submitted_job_is_stored_and_control_notified(client):
    response = await submit(client)
    assert response.status == 201
    assert (await response.json())['state'] == 'queued'
    stored = await client.jobs.load('litoral/j1')
    assert stored.record.domain == 'north'
    assert [notice.job for notice in client.control.notices] == ['litoral/j1']


async def test_resubmission_creates_no_second_job(client):
    await submit(client)
    client.clock.advance(1)
    again = await submit(client)
    other = await submit(client, tasks=3)
    assert (again.status, other.status) == (200, 409)
    assert (await other.json())['field'] == 'job'


async def test_job_ids_are_separate_per_organisation(client):
    await submit(client)
    assert (await client.get(f'{URL}/j1', headers=PARLSTUGAN)).status == 404
    assert (await submit(client, headers=PARLSTUGAN, tasks=2)).status == 201
    listed = await client.get(URL, headers=PARLSTUGAN)
    assert len(await listed.json()) == 1


async def test_wait_for_result_then_acknowledge(client):
    await submit(client)
    early = await client.post(f'{URL}/j1/acknowledge', headers=LITORAL)
    assert early.status == 409
    waiting = asyncio.create_task(
        client.get(f'{URL}/j1/result?wait_ms=5000', headers=LITORAL)
    )
    await asyncio.sleep(0.05)
    await finish(client, 'litoral/j1')
    body = await (await waiting).json()
    assert (body['state'], body['results']) == ('succeeded', ['done'])
    assert (
        await client.post(f'{URL}/j1/acknowledge', headers=LITORAL)
    ).status == 200
    assert (await client.get(f'{URL}/j1', headers=LITORAL)).status == 404


async def test_wait_times_out_without_a_result(client):
    await submit(client)
    response = await client.get(f'{URL}/j1/result?wait_ms=50', headers=LITORAL)
    assert (await response.json())['state'] == 'queued'


async def test_waits_end_when_the_entry_stops(client):
    await submit(client)
    path = f'{URL}/j1/result?wait_ms=60000'
    waiting = asyncio.create_task(client.get(path, headers=LITORAL))
    await asyncio.sleep(0.1)
    client.watch.release_waiters()
    async with asyncio.timeout(2):
        responses = [await waiting, await client.get(path, headers=LITORAL)]
    assert [response.status for response in responses] == [200, 200]


async def test_repeated_cancel_is_recorded_once(client):
    await submit(client)
    for _ in range(2):
        response = await client.post(f'{URL}/j1/cancel', headers=LITORAL)
        assert (await response.json())['cancel_requested']
    assert len(client.control.notices) == 2


@pytest.mark.parametrize(
    ('body', 'status', 'field'),
    [
        ({'job': 'j 1', 'spec': SPEC}, 400, 'job'),
        ({'job': 'j1', 'spec': SPEC, 'more': 1}, 400, 'more'),
        ({'job': 'j1', 'spec': SPEC | {'gpu': 1}}, 400, 'spec.gpu'),
        ({'job': 'j1', 'spec': SPEC | {'tasks': 65}}, 400, 'spec.tasks'),
        ({'job': 'j1', 'spec': SPEC | {'tasks': 33}}, 422, 'spec.tasks'),
        (
            {'job': 'j1', 'spec': SPEC | {'accelerators_per_task': 9}},
            422,
            'spec.tasks',
        ),
        (
            {'job': 'j1', 'spec': SPEC | {'tasks': 5, 'adjacency': 'worker'}},
            422,
            'spec.tasks',
        ),
    ],
)
async def test_invalid_submission_stores_nothing(client, body, status, field):
    response = await client.post(URL, json=body, headers=LITORAL)
    refusal = await response.json()
    assert (response.status, refusal['field']) == (status, field)
    assert (refusal['outcome'], refusal['limit'] != '') == ('not-run', True)
    assert await (await client.get(URL, headers=LITORAL)).json() == []


@pytest.mark.parametrize(
    ('error', 'outcome'),
    [
        (StoreUnavailableError, 'not-run'),
        (StoreOutcomeUnknownError, 'unknown'),
    ],
)
async def test_store_failure_reports_the_right_outcome(client, error, outcome):
    async def fail(*_arguments, **_options):
        raise error('no response')

    client.store.write = fail
    client.store.read = fail
    response = await submit(client)
    assert response.status == 503
    assert (await response.json())['outcome'] == outcome


async def test_jobs_over_the_contract_limit_are_refused(client):
    for number in range(3):
        assert (await submit(client, f'j{number}')).status == 201
    refused = await submit(client, 'j3')
    body = await refused.json()
    assert (refused.status, body['outcome']) == (429, 'not-run')
    assert (body['field'], body['limit']) == ('jobs.max_queued', '3 jobs')
    assert (await submit(client, 'j0')).status in {200, 201}
    assert (await submit(client, headers=PARLSTUGAN)).status == 201
    await finish(client, 'litoral/j0')
    await asyncio.sleep(1.3)
    assert (await submit(client, 'j3')).status == 201
