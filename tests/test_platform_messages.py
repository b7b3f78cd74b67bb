"""Decoding of the platform's settings, store entries and task names."""

import re
import tomllib
from pathlib import Path

import pytest

from bulrushcove.batch.ids import TaskRef
from bulrushcove.batch.job_spec import TaskSize
from bulrushcove.batch.policy import (
    RequestLimits,
    find_organisation,
    find_queue,
)
from bulrushcove.ids import JobId
from bulrushcove.platform.exceptions import UndecodableError
from bulrushcove.platform.program import decode_desired_state
from bulrushcove.platform.settings import decode_node_settings
from bulrushcove.platform.store_entries import (
    decode_policy,
    decode_worker,
    parse_closed_domain,
)
from bulrushcove.platform.worker_client import format_task_name, parse_task_name

SOURCE_DIRECTORY = Path(__file__).parents[1] / 'src' / 'bulrushcove'
WIRE_NAME_PATTERN = re.compile(
    'kv-(txn|range|key|watch|lease)|run-(start|stop)|acked-through'
    '|current-rev|X-(Fence-Token|Expect-Instance|Credential)|minion'
    '|mem-mb|api-keys|op/config|servers/'
)
SETTINGS = """
node = "front-a-1"
ip = "10.1.0.19"
zone = "a"
region = "north"
internal-ports = [7000, 7015]
seeds = ["10.1.0.19:8526"]
discovery = "platform"
something-new = [1, 2]
[listen]
front = "10.1.0.19:8521"
ready = "10.1.0.19:8523"
control = "10.1.0.19:8526"
[platform]
address = "10.200.1.7:8524"
[bounds]
max-hold-ms = 10000
stop-ms = 400
grace-s = 6
"""
WORKER_ENTRY = (
    b'{"service":"p","address":"10.128.0.9:8080","zone":"a","version":"v1",'
    b'"slots":8,"state":"ready","cold-remaining-ms":0,"seq":4,"capacity":'
    b'{"cpu":16000,"mem-mb":32768,"gpu":2},"labels":["a","r1-3"],"born":7}'
)
CONFIGURATION = (
    b'{"version":7,"routes":[{"name":"r-1","host":"Q.example","prefix":"/a/",'
    b'"service":"p","priority":0,"max-attempts":4,"stretch":1.5,'
    b'"target-duration-ms":600,"public":false},{"name":"r-2","host":'
    b'"q.example","prefix":"/a/b/","service":"p","public":true}],'
    b'"services":[{"name":"p","enforces-capacity":true}],"limits":'
    b'{"max-body-bytes":9},"tenants":[{"name":"t","api-keys":["k"],'
    b'"guaranteed":{"gpu":32}}]}'
)


def test_wire_names_are_used_only_in_the_adapter():
    violating_modules = [
        str(path.relative_to(SOURCE_DIRECTORY))
        for path in SOURCE_DIRECTORY.rglob('*.py')
        if path.parent.name != 'platform'
        and WIRE_NAME_PATTERN.search(path.read_text(encoding='utf-8'))
    ]
    assert violating_modules == []


def test_settings_are_decoded():
    settings = decode_node_settings(tomllib.loads(SETTINGS))
    assert settings.vm == 'front-a-1'
    assert settings.stream_address == '10.1.0.19:8526'
    assert settings.metrics_address == '10.1.0.19:7015'
    assert (settings.max_lease_ms, settings.stop_grace_ms) == (10_000, 6000)


@pytest.mark.parametrize(
    ('limits', 'expected'),
    [('', (0, 0)), ('memory-mb = 160\nmax-fds = 1638', (160, 1638))],
)
def test_memory_and_descriptors_of_the_machine_are_decoded(limits, expected):
    settings = decode_node_settings(
        tomllib.loads(f'{SETTINGS}[limits]\n{limits}\n')
    )
    assert (settings.memory_mb, settings.max_descriptors) == expected


@pytest.mark.parametrize(
    ('stated', 'expected'),
    [
        (b'{}', RequestLimits()),
        (
            b'{"max-header-bytes":1,"max-body-bytes":2,'
            b'"header-timeout-ms":3,"idle-timeout-ms":4}',
            RequestLimits(
                max_header_bytes=1,
                max_body_bytes=2,
                header_timeout_ms=3,
                idle_timeout_ms=4,
            ),
        ),
        (b'{"max-header-bytes":0,"idle-timeout-ms":-1}', RequestLimits()),
    ],
)
def test_limits_of_requests_are_decoded(stated, expected):
    configuration = CONFIGURATION.replace(b'{"max-body-bytes":9}', stated)
    assert decode_policy(configuration).request_limits == expected


@pytest.mark.parametrize('missing', ['node', 'listen', 'platform'])
def test_error_names_the_missing_setting(missing):
    document = tomllib.loads(SETTINGS)
    document.pop(missing)
    with pytest.raises(UndecodableError, match=missing):
        decode_node_settings(document)


def test_configuration_is_decoded():
    policy = decode_policy(CONFIGURATION)
    assert policy.version == 7
    queue = find_queue(policy, 'q.example', '/a/b/x')
    assert (queue.name, queue.is_public) == ('r-2', True)
    assert find_queue(policy, 'q.example', '/a/x').name == 'r-1'
    assert find_queue(policy, 'other.example', '/a/x') is None
    assert find_organisation(policy, 'k').guaranteed_accelerators == 32
    assert find_organisation(policy, '') is None


def test_limits_and_weights_of_organisations_are_decoded():
    policy = decode_policy(
        b'{"version":1,"routes":[],"services":[],"tenants":['
        b'{"name":"a","api-keys":["k"],"weight":2,"allowed-regions":[],'
        b'"cap":{"cpu":688078,"mem-mb":3546863,"gpu":309}},'
        b'{"name":"b","weight":0.5,"cap":{"gpu":0}},{"name":"c"}]}'
    )
    first, second, third = policy.organisations
    assert (first.limit, first.weight) == (TaskSize(688078, 3546863, 309), 2)
    assert (second.limit, second.weight) == (TaskSize(), 0.5)
    assert (third.limit, third.weight) == (TaskSize(), 0)


@pytest.mark.parametrize(
    'field', ['"weight":-1', '"weight":1e9', '"cap":{"cpu":-1}', '"cap":3']
)
def test_a_limit_or_weight_that_makes_no_sense_is_refused(field):
    start = '{"version":1,"routes":[],"services":[],"tenants":[{"name":"a",'
    assert decode_policy(f'{start}{field}}}]}}'.encode()) is None


@pytest.mark.parametrize('raw_entry', [b'', b'{"version":"x"}', b'\xff'])
def test_undecodable_configuration_yields_no_policy(raw_entry):
    assert decode_policy(raw_entry) is None
    assert decode_desired_state({'op/config': raw_entry}, 5).policy is None


def test_closed_domains_are_decoded_from_keys():
    desired_state = decode_desired_state(
        {'op/evacuate/a': b'{}', 'op/wave/1': b''}, 5
    )
    assert desired_state.closed_domains == {'a'}
    assert parse_closed_domain('op/config') is None


def test_worker_entry_is_decoded():
    entry = decode_worker('servers/i-1', WORKER_ENTRY)
    assert (entry.worker, entry.rack, entry.domain) == ('i-1', 'r1-3', 'a')
    assert entry.capacity.accelerators == 2
    assert entry.started_unix_ms == 7
    assert not entry.is_draining


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        (b'"slots":8,', b''),
        (b'"state":"ready"', b'"state":"resting"'),
        (b'"labels":["a","r1-3"]', b'"labels":"a"'),
        (b'"cpu":16000', b'"cpu":"many"'),
        (b'10.128.0.9:8080', b'nowhere'),
        (b'{', b'\xff'),
    ],
)
def test_malformed_worker_entry_is_ignored(old, new):
    assert decode_worker('servers/i-1', WORKER_ENTRY.replace(old, new)) is None


def test_task_name_round_trip():
    task = TaskRef(JobId('5c0e7a21d94b36f8'), 0, 1, 17)
    assert format_task_name(task) == '5c0e7a21d94b36f8.0.1.17'
    assert parse_task_name(format_task_name(task)) == task


@pytest.mark.parametrize('name', ['', 'a.b', 'a.0.1.x', 'a.0.1.2.3'])
def test_invalid_task_name_is_rejected(name):
    with pytest.raises(UndecodableError):
        parse_task_name(name)
