import random

import pytest

from bulrushcove.states import Outcome
from dev.history.records import CallerRequest
from dev.workload import table
from dev.workload.offered_load import generate_jobs, generate_requests
from dev.workload.organisations import ORGANISATIONS


def generate_load(seed):
    requests = generate_requests(random.Random(seed), 200, 10)
    jobs = generate_jobs(random.Random(seed), 40, 10)
    return requests, jobs


def test_same_seed_generates_the_same_load():
    assert generate_load(1) == generate_load(1)
    assert generate_load(1) != generate_load(2)


@pytest.mark.parametrize('seed', range(1, 6))
def test_load_covers_all_organisations_and_kinds(seed):
    requests, jobs = generate_load(seed)
    assert len({request.organisation for request in requests}) == 4
    assert {request.idempotent for request in requests} == {True, False}
    assert max(job.spec.accelerators for job in jobs) == 16
    assert {job.spec.idempotent for job in jobs} == {True, False}
    assert all(0 <= job.at_s <= 10 for job in jobs)


def test_contracts_have_distinct_tokens():
    digests = {
        organisation.contract.token_sha256 for organisation in ORGANISATIONS
    }
    assert len(digests) == len(ORGANISATIONS)


@pytest.mark.parametrize(
    ('percent', 'expected'), [(50, 50), (99, 99), (100, 100)]
)
def test_percentile(percent, expected):
    numbers = [float(number) for number in range(100, 0, -1)]
    assert table.compute_percentile(numbers, percent) == expected
    assert table.compute_percentile([], percent) == 0


def test_lost_request_and_memory_over_its_bound_are_reported():
    request = CallerRequest(
        organisation='planta',
        request='r1',
        vm='vm-1',
        sent_at_s=0,
        ended_at_s=1,
        idempotent=True,
    )
    answered = CallerRequest(
        organisation='planta',
        request='r2',
        vm='vm-1',
        sent_at_s=0,
        ended_at_s=1,
        idempotent=True,
        status=200,
        outcome=Outcome.RAN,
    )
    (lost,) = table.find_lost_requests([request, answered])
    assert 'r1' in lost
    uses = [
        table.MemoryUse('control', idle_mb=47.9, end_mb=60),
        table.MemoryUse('entry', idle_mb=64.1, end_mb=60),
    ]
    (violation,) = table.find_memory_violations(uses)
    assert '64.1' in violation
