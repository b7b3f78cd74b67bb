"""Numbers too large in what callers submit and operators configure."""

import json

import pytest
from aiohttp.test_utils import make_mocked_request
from batch_builders import Bench, entry, job_spec, step
from odd_values import HUGE, HUGE_DIGITS

from bulrushcove.batch.exceptions import BatchError
from bulrushcove.batch.policy import DesiredState
from bulrushcove.clock import ManualClock
from bulrushcove.ids import JobId, OrganisationId
from bulrushcove.node.messages import Submit
from bulrushcove.platform.exceptions import UndecodableError
from bulrushcove.platform.job_api import (
    DEADLINE_HEADER,
    HttpJobApi,
    decode_job,
)
from bulrushcove.platform.numbers import MAX_NUMBER
from bulrushcove.platform.store_entries import decode_policy
from bulrushcove.wire import encode

REFUSALS = (BatchError, UndecodableError)
STEP_NUMBERS = (
    'cpu',
    'mem-mb',
    'gpu',
    'estimated-ms',
    'max-per-server',
    'target-ms',
    'may-miss',
)
JOB_NUMBERS = ('repeat-count', 'first-run-ms', 'interval-ms')
ODD_NUMBERS = (HUGE, -HUGE, 2**64, 2**63)
POLICY = {
    'version': 7,
    'routes': [{'name': 'r', 'host': 'h', 'prefix': '/', 'service': 'pool'}],
    'services': [{'name': 'pool'}],
}
QUEUE = decode_policy(json.dumps(POLICY).encode()).queues[0]


def submit(fields):
    return decode_job(
        JobId('0' * 16), json.dumps(fields).encode(), QUEUE, OrganisationId('')
    )


@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize('field', STEP_NUMBERS)
def test_an_odd_number_of_a_step_is_refused(field, number):
    """One job of a caller kept all tasks from being started."""
    body = {'spec': '', 'steps': [{'count': 1, field: number}]}
    with pytest.raises(REFUSALS):
        submit(body)


@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize('field', JOB_NUMBERS)
def test_an_odd_number_of_a_job_is_refused(field, number):
    """A retry was told that the job was accepted; it was never stored."""
    with pytest.raises(REFUSALS):
        submit({'spec': '', 'steps': [{'count': 1}], field: number})


@pytest.mark.parametrize('text', ['²', '٣', HUGE_DIGITS, '9' * 400, '-1', ''])
def test_an_odd_deadline_is_limited(text):
    api = HttpJobApi(None, DesiredState, ManualClock(), lambda *_: None)
    request = make_mocked_request('GET', '/', headers={DEADLINE_HEADER: text})
    wait_s = api._deadline_s(request) - ManualClock().monotonic_s()
    assert 0 < wait_s <= 600


@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize(
    'field', ['priority', 'max-attempts', 'target-duration-ms', 'timeout-ms']
)
def test_an_odd_number_of_a_queue_is_no_configuration(field, number):
    """Each submission to the queue would fail; the known one is kept."""
    route = POLICY['routes'][0] | {field: number}
    assert decode_policy(json.dumps(POLICY | {'routes': [route]}).encode()) is (
        None
    )


def test_a_large_estimate_can_be_scheduled_and_sent():
    """The largest numbers that are accepted fit all that follows."""
    spec = submit(
        {
            'spec': '',
            'steps': [{'count': 1, 'cpu': 1, 'estimated-ms': MAX_NUMBER}],
        }
    )
    assert encode(Submit(spec, 1))
    bench = Bench(entry('w'))
    bench.submit(spec)
    bench.submit(job_spec('1' * 16, step()))
    assert len(bench.plan().starts) == 2
