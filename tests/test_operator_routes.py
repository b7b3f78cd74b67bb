import pytest

from bulrushcove.job import JobRecord, JobSpec
from bulrushcove.states import JobState
from tests.operator_app import TOKEN, OperatorApp

HEADERS = {'Authorization': f'Bearer {TOKEN}'}
CONTRACT = {'organisation': 'Pärlbar Söder', 'token_sha256': []}


@pytest.fixture
def operator_app():
    return OperatorApp()


@pytest.fixture
async def client(operator_app, aiohttp_client):
    return await aiohttp_client(
        operator_app.make_application(), headers=HEADERS
    )


def order(operation, **fields):
    return {'operation': operation, **fields}


async def put_domain(client, domain, state, **fields):
    body = {'order': order(**fields), 'state': state}
    response = await client.put(f'/v1/operator/domains/{domain}', json=body)
    return response.status, await response.json()


async def put_contract(client, operation, **fields):
    body = {'order': order(operation), 'contract': {**CONTRACT, **fields}}
    path = '/v1/operator/contracts/Pärlbar Söder'
    response = await client.put(path, json=body)
    return response.status, await response.json()


@pytest.mark.parametrize(
    'header', ['', 'Bearer ', 'Bearer x', f'Basic {TOKEN}']
)
async def test_a_request_without_valid_token_is_refused(
    operator_app, aiohttp_client, header
):
    client = await aiohttp_client(operator_app.make_application())
    response = await client.get(
        '/v1/operator/status', headers={'Authorization': header}
    )
    assert response.status == 401
    assert (await response.json())['outcome'] == 'not-run'
    assert operator_app.store.calls == 0


async def test_a_contract_is_applied_shown_and_removed(client):
    assert (await put_domain(client, 'Luleå', 'in', operation='a'))[0] == 200
    status, response = await put_contract(client, 'b')
    assert (status, response['revision'], response['changed']) == (200, 2, True)
    listed = await (await client.get('/v1/operator/contracts')).json()
    assert list(listed['contracts']) == ['Pärlbar Söder']
    assert listed['stored'] is True
    removed = await client.delete(
        '/v1/operator/contracts/Pärlbar Söder', json=order('c')
    )
    assert removed.status == 200


@pytest.mark.parametrize(
    ('body', 'status', 'message'),
    [
        (b'{', 400, 'truncated'),
        (b'x' * 1_048_577, 413, 'limit'),
        (b'{"order": {"operation": "a b"}}', 400, 'order.operation'),
        (b'{"order": {"operation": "a"}, "x": 1}', 400, 'unknown field `x`'),
    ],
)
async def test_an_invalid_body_is_refused(client, body, status, message):
    path = '/v1/operator/contracts/x'
    response = await client.put(path, data=body)
    assert response.status == status
    refused = await response.json()
    assert refused['outcome'] == 'not-run'
    assert message in refused['message']


async def test_a_contract_under_another_name_is_refused(client):
    body = {'order': order('a'), 'contract': CONTRACT}
    response = await client.put('/v1/operator/contracts/x', json=body)
    assert response.status == 400
    assert (await response.json())['field'] == 'contract.organisation'


async def test_a_refused_unknown_domain_suggests_the_closest(client):
    status, response = await put_domain(client, 'Lulea', 'in', operation='a')
    assert status == 422
    assert "did you mean 'Luleå'?" in response['message']


async def test_without_a_cluster_view_a_domain_change_is_refused(
    client, operator_app
):
    operator_app.has_view = False
    status, response = await put_domain(client, 'Luleå', 'in', operation='a')
    assert (status, response['outcome']) == (503, 'not-run')
    assert 'no cluster view from its control' in response['message']


async def test_guarantees_and_jobs_of_a_domain_are_shown(client, operator_app):
    await put_domain(client, 'Luleå', 'in', operation='a')
    await put_contract(client, 'b')
    await operator_app.jobs.create(
        JobRecord(
            'job-1',
            'Pärlbar Söder',
            JobSpec('batch'),
            JobState.RUNNING,
            'Luleå',
            1,
        )
    )
    status, response = await put_domain(client, 'Luleå', 'out', operation='c')
    assert status == 422
    assert response['details'] == ['Pärlbar Söder: no domain left']
    status, response = await put_domain(
        client, 'Luleå', 'out', operation='c', dry_run=True
    )
    assert status == 200
    assert response['affected_jobs'] == ['job-1']


async def test_store_errors_report_the_outcome(client, operator_app):
    await put_domain(client, 'Luleå', 'in', operation='a')
    operator_app.store.lose_writes = 100
    status, response = await put_contract(client, 'b')
    assert (status, response['outcome']) == (504, 'unknown')
    operator_app.store.down = True
    status, response = await put_contract(client, 'c')
    assert (status, response['outcome']) == (503, 'not-run')
    listed = await (await client.get('/v1/operator/contracts')).json()
    assert listed['stored'] is False


async def test_operators_see_jobs_without_payload(client, operator_app):
    spec = JobSpec('batch', payload='secret')
    record = JobRecord(
        'job-1', 'Pärlbar Söder', spec, JobState.QUEUED, 'Luleå', 1
    )
    await operator_app.jobs.create(record)
    response = await client.get('/v1/operator/jobs?state=queued')
    text = await response.text()
    assert 'job-1' in text
    assert 'secret' not in text
    operator_app.wait_reason = 'waits for accelerators'
    explained = await client.get('/v1/operator/jobs/job-1/explain')
    lines = (await explained.json())['lines']
    assert lines[-1] == (
        'Reason given by the scheduler: waits for accelerators.'
    )
    assert [notice.job for notice in operator_app.notices] == ['job-1']
    operator_app.notices.clear()
    assert "It waits because domain 'Luleå' is not in service." in lines
    cancelled = await client.post('/v1/operator/jobs/job-1/cancel')
    assert (await cancelled.json())['cancel_requested'] is True
    assert [notice.job for notice in operator_app.notices] == ['job-1']


@pytest.mark.parametrize(
    ('path', 'status'),
    [('jobs/none', 404), ('jobs?state=quued', 400), ('jobs?limit=0', 400)],
)
async def test_invalid_requests_about_jobs(client, path, status):
    response = await client.get(f'/v1/operator/{path}')
    assert response.status == status


async def test_status_and_workers(client):
    status = await (await client.get('/v1/operator/status')).json()
    assert [vm['vm'] for vm in status['vms']] == ['entry-1', 'entry-2']
    assert status['domains'][0]['permit_age_ms'] == 300
    workers = await (await client.get('/v1/operator/workers')).json()
    assert workers['workers'][0]['accelerators'] == 8
