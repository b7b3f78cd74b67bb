"""Two organisations on one cluster: neither sees the other's work."""

import asyncio

import pytest
from msgspec import json

from dev.history.records import IsolationProbe
from dev.workload.organisations import ORGANISATIONS
from tests import process_tools as tools

OWNER = ORGANISATIONS[0].organisation
REQUESTER = ORGANISATIONS[1].organisation
UNKNOWN_JOB = 'nobodys-job'
CALLS = (
    ('GET', ''),
    ('GET', '/result'),
    ('POST', '/cancel'),
    ('POST', '/acknowledge'),
)


@pytest.fixture(scope='module')
def cluster():
    with tools.launched_cluster() as launched:
        yield launched


def without_trace(body, job):
    """Return a refusal body without its trace id and job id."""
    fields = json.decode(body)
    fields.pop('trace', None)
    return json.encode(fields).decode().replace(job, 'JOB')


async def probe(run, method, suffix, job):
    path = f'/v1/jobs/{job}{suffix}'
    foreign = await run.callers.call(method, path, REQUESTER)
    unknown = await run.callers.call(
        method, f'/v1/jobs/{UNKNOWN_JOB}{suffix}', REQUESTER
    )
    return IsolationProbe(
        requester=REQUESTER,
        target=f'{method} {path}',
        status=foreign.status,
        body=without_trace(foreign.body, job),
        unknown_status=unknown.status,
        unknown_body=without_trace(unknown.body, UNKNOWN_JOB),
        secrets=(OWNER, f'result of {job}'),
    )


async def test_jobs_of_another_organisation_look_unknown(cluster):
    async with tools.new_run(cluster, 'foreign') as run:
        offered = run.offer_job(2000, tasks=2)
        running = asyncio.create_task(run.run_job(offered))
        await run.wait_for_start(offered)
        probes = [
            await probe(run, method, suffix, offered.job)
            for method, suffix in CALLS
        ]
        await running
        probes.extend(
            [
                await probe(run, method, suffix, offered.job)
                for method, suffix in CALLS
            ]
        )
        listing = await run.callers.call('GET', '/v1/jobs', REQUESTER)
        run.check(probes=tuple(probes))
    assert offered.job not in listing.body.decode()
    # The owner does see its result.
    assert run.jobs[0].results


async def test_equal_ids_of_two_organisations_do_not_conflict(cluster):
    async with tools.new_run(cluster, 'same-id') as run:
        for idempotent in (True, False):
            first = run.offer_request(idempotent=idempotent)
            for organisation in (OWNER, REQUESTER):
                await run.send(tools.with_organisation(first, organisation))
        job = run.offer_job(300)
        await asyncio.gather(
            *[
                run.run_job(tools.with_organisation(job, organisation))
                for organisation in (OWNER, REQUESTER)
            ]
        )
        run.check()
    assert not run.list_refusals()
    assert [record.accepted for record in run.jobs] == [True, True]


async def test_all_unknown_tokens_get_the_same_response(cluster):
    async with tools.new_run(cluster, 'token') as run:
        tokens = ('no-such-token', 'token-of-nobody', '')
        responses = [
            await run.callers.call_with_token('GET', '/v1/jobs', token)
            for token in tokens
        ]
    assert {response.status for response in responses} == {401}
    bodies = {without_trace(response.body, '-') for response in responses}
    assert len(bodies) == 1
