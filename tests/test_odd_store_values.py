"""One value that cannot be decoded in a response of the store."""

import base64

import msgspec
import pytest
from batch_builders import job_spec, step
from fake_watchable_store import FakeWatchableStore

from bulrushcove.batch.cancellations import (
    CancellationRecord,
    encode_cancellation,
)
from bulrushcove.batch.job_state import new_job
from bulrushcove.batch.records import encode_submission
from bulrushcove.clock import ManualClock
from bulrushcove.ids import OrganisationId
from bulrushcove.node.job_records import load_jobs
from bulrushcove.node.store_keys import (
    cancellation_key,
    job_key,
    progress_key,
)
from bulrushcove.platform.http_client import Reply
from bulrushcove.platform.store import PlatformStore
from bulrushcove.store import Write

WELL = {
    'key': 'p/well',
    'revision': 2,
    'value': base64.b64encode(b'well').decode(),
}
ODD_VALUES = ('=', 'a', '!!!!', 'aa==\n', 'é', 'AAAA=AAA')


class OneReplyEndpoint:
    """Answers each call with the same body."""

    is_receiving_large_body = False

    def __init__(self, body):
        self.body = msgspec.json.encode(body)

    async def call(self, method, path, **_options):
        return Reply(200, self.body)


def store_with(body):
    store = PlatformStore('store:80', ManualClock())
    store._endpoint = OneReplyEndpoint(body)
    return store


def mixed(odd):
    return [WELL, {'key': 'p/odd', 'revision': 3, 'value': odd}]


@pytest.mark.parametrize('odd', ODD_VALUES)
async def test_other_values_of_a_scan_hold(odd):
    """All nodes lost the whole prefix until the value was replaced."""
    scan = await store_with({'current-rev': 5, 'items': mixed(odd)}).scan('p/')
    assert [(item.key, item.value) for item in scan.found] == [
        ('p/well', b'well'),
        ('p/odd', b''),
    ]


@pytest.mark.parametrize('odd', ODD_VALUES)
async def test_other_values_of_a_watch_hold(odd):
    body = {'current-rev': 5, 'events': mixed(odd)}
    changes = await store_with(body).watch('p/', 1, 0)
    assert [item.value for item in changes.written] == [b'well', b'']
    assert changes.store_revision == 5


async def test_a_value_that_cannot_be_decoded_keeps_its_revision():
    """It can be replaced, which needs the revision as a condition."""
    body = {'current-rev': 5, 'key': 'k', 'revision': 3, 'value': '='}
    scan = await store_with(body).read('k')
    assert [(item.value, item.mod_revision) for item in scan.found] == [
        (b'', 3)
    ]


async def test_a_job_with_an_empty_progress_record_is_not_started_anew():
    """Its tasks may have run: a job without progress starts from the start."""
    store = FakeWatchableStore(ManualClock())
    for name in ('0' * 16, '1' * 16):
        job = new_job(job_spec(name, step()), 1, 0)
        await store.commit((Write(job_key(name), encode_submission(job), 0),))
    await store.commit((Write(progress_key('0' * 16), b'', 0),))
    loaded = await load_jobs(store, ManualClock())
    assert [job.id for job in loaded.jobs] == ['1' * 16]


async def test_an_odd_cancellation_record_is_skipped():
    """The leader that read it failed, and so did the next one."""
    store = FakeWatchableStore(ManualClock())
    record = CancellationRecord((OrganisationId('mill'),), 1)
    for name, stored in (
        ('0' * 16, b''),
        ('1' * 16, b'\x92\xc0\xc0'),
        ('2' * 16, encode_cancellation(record)),
    ):
        await store.commit((Write(cancellation_key(name), stored, 0),))
    loaded = await load_jobs(store, ManualClock())
    assert loaded.cancellations == [('2' * 16, record)]
