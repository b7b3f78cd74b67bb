"""Deep nesting in what other writers store or send is a decoding error."""

import msgspec
import pytest
from batch_builders import job_spec, step
from odd_values import (
    DEPTHS,
    nested_arrays,
    nested_msgpack,
    nested_objects,
    with_field,
)

from bulrushcove.batch.exceptions import RecordError
from bulrushcove.batch.job_state import new_job
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
)
from bulrushcove.exceptions import StoreError, WireError
from bulrushcove.node.leader_records import _decode_record
from bulrushcove.platform.exceptions import UndecodableError
from bulrushcove.platform.http_client import decode
from bulrushcove.platform.program import decode_desired_state
from bulrushcove.platform.settings import load_node_settings
from bulrushcove.platform.store_entries import POLICY_KEY, decode_worker
from bulrushcove.store import StoredValue
from bulrushcove.wire import decode_body

each_depth = pytest.mark.parametrize('depth', DEPTHS)


class Message(msgspec.Struct):
    """Knows none of the fields that the tests add."""


@each_depth
@pytest.mark.parametrize('nested', [nested_arrays, nested_objects])
def test_a_nested_message_is_undecodable(nested, depth):
    body = b'{"unknown":%s}' % nested(depth)
    with pytest.raises(UndecodableError, match='Message'):
        decode(body, Message)


@each_depth
def test_a_nested_entry_names_no_worker(depth):
    stored = with_field('unknown', nested_arrays(depth))
    assert decode_worker('servers/w', stored) is None


@each_depth
def test_a_nested_configuration_leaves_the_closed_domains(depth):
    entries = {
        POLICY_KEY: b'{"unknown":%s}' % nested_arrays(depth),
        'op/evacuate/a': b'{}',
    }
    state = decode_desired_state(entries, 5)
    assert state.policy is None
    assert state.closed_domains == {'a'}


@each_depth
@pytest.mark.parametrize(
    ('encode_record', 'decode_record'),
    [
        (encode_submission, decode_submission),
        (encode_progress, decode_progress),
    ],
)
def test_a_nested_job_record_is_a_record_error(
    encode_record, decode_record, depth
):
    stored = encode_record(new_job(job_spec('0' * 16, step()), 1, 0))
    # The array of the record's fields with one more element.
    stored = bytes((stored[0] + 1,)) + stored[1:] + nested_msgpack(depth)
    with pytest.raises(RecordError):
        decode_record(stored)


@each_depth
def test_a_nested_leader_record_is_a_store_error(depth):
    stored = b'\x81\xa1x' + nested_msgpack(depth)
    with pytest.raises(StoreError):
        _decode_record(StoredValue('k', stored, 1))


@pytest.mark.parametrize('depth', [500, 1000, 100_000])
@pytest.mark.parametrize('position', range(4))
def test_a_nested_frame_is_a_wire_error(position, depth):
    """The error message quoted the element, and that failed in turn."""
    elements = [b'\x01', b'\xa1k', b'\x01', b'\x80']
    elements[position] = nested_msgpack(depth)
    body = b'\x94' + b''.join(elements)
    if position == 3 and depth < 1024:
        # The fields are validated later, by ``parse_message``.
        assert decode_body(body).kind == 'k'
        return
    with pytest.raises(WireError):
        decode_body(body)


@each_depth
def test_nested_settings_name_the_file(depth, tmp_path, monkeypatch):
    path = tmp_path / 'settings.toml'
    path.write_bytes(b'a = ' + nested_arrays(depth))
    monkeypatch.setenv('BULRUSHCOVE_CONFIG', str(path))
    with pytest.raises(UndecodableError, match=r'settings\.toml'):
        load_node_settings()


def test_settings_that_are_not_utf8_name_the_file(tmp_path, monkeypatch):
    path = tmp_path / 'settings.toml'
    path.write_bytes(b'node = "\xff"')
    monkeypatch.setenv('BULRUSHCOVE_CONFIG', str(path))
    with pytest.raises(UndecodableError, match=r'settings\.toml'):
        load_node_settings()
