"""Malformed messages from callers, operators, workers, the store and peers.

Each valid message is damaged at a random place. A decoder may refuse the
result, by the error or the None that its callers handle, and nothing else.
"""

import copy
import json

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from test_platform_messages import CONFIGURATION, WORKER_ENTRY

from bulrushcove.batch.exceptions import InvalidJobError, RecordError
from bulrushcove.batch.ids import QueueName
from bulrushcove.batch.orders import OrderReply, WorkerCallError
from bulrushcove.batch.policy import find_queue
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    restore_job,
)
from bulrushcove.exceptions import StoreError, WireError
from bulrushcove.ids import JobId, OrganisationId
from bulrushcove.messages import parse_message
from bulrushcove.node.leader_records import _decode_record
from bulrushcove.node.messages import LeaderRecord, Pong, Submit
from bulrushcove.platform import store as platform_store
from bulrushcove.platform import worker_client
from bulrushcove.platform.exceptions import TooLargeError, UndecodableError
from bulrushcove.platform.http_client import Reply
from bulrushcove.platform.job_api import decode_job
from bulrushcove.platform.program import decode_desired_state
from bulrushcove.platform.store_entries import decode_worker
from bulrushcove.store import StoredValue
from bulrushcove.wire import decode_body

JOB = JobId('5c0e7a21d94b36f8')
REPORT = {
    'clock-ms': 5000,
    'running': [[f'{JOB}.0.1.17', 2, 'saved', 40, 0.5]],
    'ended': [[1, f'{JOB}.0.1.18', 2, 'done', '']],
    'born': 7,
}
SUBMISSION = {
    'spec': 'work',
    'steps': [
        {'count': 2, 'cpu': 1000, 'mem-mb': 100, 'gpu': 1, 'gang': True},
        {'count': 1, 'estimated-ms': 500, 'after': [0], 'affinity': 'r1'},
    ],
    'repeat-count': 2,
    'first-run-ms': 10,
    'interval-ms': 1000,
}
REJECTION = {'clock-ms': 5000, 'reason': 'late'}
RANGE_PAGE = {
    'items': [{'key': 'a', 'value': 'YQ==', 'revision': 3}],
    'has-more': False,
    'current-rev': 9,
}
# Frames with fields that the handlers of another VM parse.
PONG = {
    'holder': ['vm-1', 'incarnation', '10.0.0.1:7000', 5, 9],
    'is_active': True,
    'hears_holder': True,
    'addresses': ['10.0.0.2:7000'],
}
JUNK = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from([1e308, -1, '', 'x', 'a.b.c.d', [], {}, [[]], [None]]),
    st.text(max_size=5),
)


def find_paths(value, path=()):
    """Return the paths of all parts of ``value``, itself included."""
    paths = [path]
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return paths
    for key, part in items:
        paths.extend(find_paths(part, (*path, key)))
    return paths


def replace_part(value, path, part):
    """Replace the part of ``value`` at ``path``; ``part`` None removes it."""
    if not path:
        return part
    damaged = copy.deepcopy(value)
    holder = damaged
    for key in path[:-1]:
        holder = holder[key]
    if part is None and isinstance(holder, dict):
        holder.pop(path[-1])
    else:
        holder[path[-1]] = part
    return damaged


@st.composite
def damaged_values(draw, valid):
    path = draw(st.sampled_from(find_paths(valid)))
    return replace_part(valid, path, draw(JUNK))


@st.composite
def damaged_json(draw, valid):
    """JSON of ``valid`` with one part replaced, cut off or not JSON."""
    encoded = json.dumps(draw(damaged_values(valid))).encode()
    cut = draw(st.integers(0, 3))
    if cut == 1:
        return encoded[: draw(st.integers(0, len(encoded)))]
    if cut == 2:
        return draw(st.binary(max_size=20))
    return encoded


# As json writes infinity; a float beyond the range of a double.
INFINITE = b'1e999'


@given(damaged_json(json.loads(WORKER_ENTRY)))
@example(WORKER_ENTRY[:-1] + b',"drain-remaining-ms":' + INFINITE + b'}')
def test_worker_entries(encoded):
    entry = decode_worker('servers/i-1', encoded)
    assert entry is None or entry.worker == 'i-1'


@given(damaged_json(json.loads(CONFIGURATION)))
def test_configurations(encoded):
    policy = decode_desired_state({'op/config': encoded}, 5).policy
    if policy is not None:
        find_queue(policy, 'q.example', '/a/x')


@given(damaged_json(REPORT))
@example(
    json.dumps(REPORT).replace('.17", 2,', '.17", 1e999,').encode(),
)
def test_reports_of_workers(encoded):
    try:
        worker_client._decode_report(encoded)
    except WorkerCallError:
        return


@given(st.sampled_from([200, 400, 409, 421, 503]), damaged_json(REJECTION))
def test_responses_to_orders(status, encoded):
    reply = worker_client._decode_order_response(Reply(status, encoded))
    assert isinstance(reply, OrderReply)


@given(damaged_json(SUBMISSION))
@settings(max_examples=300)
def test_submissions(encoded):
    try:
        decode_job(JOB, encoded, make_queue(), OrganisationId('mill'))
    except (InvalidJobError, UndecodableError, TooLargeError):
        return


@given(damaged_json(RANGE_PAGE))
def test_pages_of_the_store(encoded):
    try:
        page = platform_store._decode_read(encoded, platform_store._RangePage)
        for item in page.items:
            platform_store._decode_item(item)
    except StoreError:
        return


@given(damaged_values(['vm-1', 'incarnation', '10.0.0.1:7000', 5, 9]))
def test_leader_records(value):
    stored = StoredValue('bulrushcove/tenure', encode_msgpack(value), 3)
    try:
        assert isinstance(_decode_record(stored), LeaderRecord)
    except StoreError:
        return


@given(st.binary(max_size=40), st.binary(max_size=40))
def test_records_of_jobs(submission, progress):
    try:
        restore_job(
            decode_submission(submission), decode_progress(progress), now_s=1
        )
    except RecordError:
        return


@given(damaged_values([1, 'Pong', 7, PONG]), st.sampled_from([Pong, Submit]))
def test_frames_of_peers(value, message_type):
    try:
        parse_message(message_type, decode_body(encode_msgpack(value)).fields)
    except WireError:
        return


def encode_msgpack(value):
    """Encode ``value``; integers beyond 64 bits as text."""
    return msgspec.msgpack.encode(
        json.loads(json.dumps(value), parse_int=shorten)
    )


def shorten(digits):
    number = int(digits)
    return number if abs(number) < 2**63 else digits


def make_queue():
    policy = decode_desired_state({'op/config': CONFIGURATION}, 5).policy
    queue = find_queue(policy, 'q.example', '/a/x')
    assert queue.name == QueueName('r-1')
    return queue


@pytest.mark.parametrize('size', [0, 3, 4])
def test_short_frames(size):
    with pytest.raises(WireError):
        decode_body(b'\x94' * size)
