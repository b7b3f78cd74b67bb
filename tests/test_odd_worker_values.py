"""Values in a worker's entry that can be decoded but not used."""

import pytest
from batch_builders import Bench, job_spec, step
from odd_values import (
    HUGE,
    HUGE_DIGITS,
    WorkerList,
    well_names,
    with_field,
    worker_entry,
)

from bulrushcove.platform.store_entries import WORKERS_PREFIX, decode_worker

WELL_CAPACITY = {'cpu': 16_000, 'mem-mb': 32_768, 'gpu': 2}
ODD_SIZES = (HUGE, -HUGE, 2**64, -1, 10**12)
ODD_ADDRESSES = (
    '10.128.0.9:99999',
    '10.128.0.9:0',
    '10.128.0.9:-1',
    '10.128.0.9:²',
    '10.128.0.9:٣',
    '10.128.0.9:+80',
    '10.128.0.9: 80',
    f'10.128.0.9:{HUGE_DIGITS}',
    '10.128.0.9:',
    '10.128.0.9',
    ':8080',
    '',
    'a b:80',
    ' :80',
    '::1:80',
    'user@10.128.0.9:80',
    '10.128.0.9:80/path',
    '10.128.0.9/path:80',
    '10.128.0.9?query:80',
    '10.128.0.9#fragment:80',
    'host\r\nX-Header: 1:80',
    'host\0:80',
    'é:80',
    '..:80',
    f'{"a" * 64}:80',
    f'{"a." * 200}b:80',
)
ODD_NAMES = ('', 'x\r\ny', 'a b', 'é', '中', 'x\0', 'x' * 300, '\x7f')


@pytest.mark.parametrize('size', ODD_SIZES)
@pytest.mark.parametrize('field', ['cpu', 'mem-mb', 'gpu'])
def test_an_odd_capacity_names_no_worker(field, size):
    """A capacity beyond a float failed each pass; another drew all work."""
    stored = worker_entry(capacity=WELL_CAPACITY | {field: size})
    assert decode_worker('servers/w', stored) is None


@pytest.mark.parametrize(
    ('field', 'number'),
    [
        ('born', -1),
        ('born', HUGE),
        ('born', 2**63),
        ('drain-remaining-ms', HUGE),
        ('drain-remaining-ms', 2**63),
    ],
)
def test_an_odd_time_names_no_worker(field, number):
    stored = worker_entry(**{field: number})
    assert decode_worker('servers/w', stored) is None


def test_a_drained_worker_has_no_time_left():
    stored = with_field('drain-remaining-ms', b'-1')
    assert decode_worker('servers/w', stored).shutdown_in_ms == 0


@pytest.mark.parametrize(
    'encoded', [b'1e400', b'NaN', b'Infinity', HUGE_DIGITS.encode()]
)
@pytest.mark.parametrize('field', ['born', 'drain-remaining-ms', 'seq'])
def test_a_number_that_is_none_names_no_worker(field, encoded):
    assert decode_worker('servers/w', with_field(field, encoded)) is None


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_an_odd_address_names_no_worker(address):
    stored = worker_entry(address=address)
    assert decode_worker('servers/w', stored) is None


@pytest.mark.parametrize(
    'address', ['w-1.example_2:1', '127.0.0.1:65535', '[::1]:80', 'w:080']
)
def test_a_usual_address_is_used(address):
    worker = decode_worker('servers/w', worker_entry(address=address))
    assert worker.address == address


@pytest.mark.parametrize('name', ODD_NAMES)
def test_an_odd_name_names_no_worker(name):
    """The name goes into a header, which must be printable ASCII."""
    assert decode_worker(f'{WORKERS_PREFIX}{name}', worker_entry()) is None


@pytest.mark.parametrize('text', [b'"%sud800"' % b'\\', b'"\xff"'])
def test_text_that_is_no_unicode_names_no_worker(text):
    assert decode_worker('servers/w', with_field('zone', text)) is None


def test_of_two_values_of_a_field_the_last_counts():
    worker = decode_worker('servers/w', with_field('zone', b'"z"'))
    assert worker.domain == 'z'


@pytest.mark.parametrize('size', ODD_SIZES)
def test_an_odd_capacity_does_not_stop_the_scheduling_pass(size):
    """One entry with such a number kept all tasks from being started."""
    bench = Bench()
    for name in ('odd', 'well'):
        capacity = WELL_CAPACITY
        if name == 'odd':
            capacity = capacity | {'cpu': size}
        stored = worker_entry(service='pool', capacity=capacity)
        worker = decode_worker(f'{WORKERS_PREFIX}{name}', stored)
        if worker is not None:
            bench.add_worker(worker)
            bench.report(name)
    bench.submit(job_spec('0' * 16, step(count=2)))
    starts = bench.plan().starts
    assert [start.worker for start in starts] == ['well', 'well']


@pytest.mark.parametrize(
    'changes',
    [
        {'capacity': WELL_CAPACITY | {'cpu': HUGE}},
        {'address': '10.128.0.9:99999'},
        {'state': 'odd'},
        {'labels': None},
    ],
)
async def test_other_entries_hold_beside_odd_values(changes):
    workers = WorkerList()
    workers.put_mixed(1, 'odd', worker_entry(**changes))
    await workers.registry.start()
    await workers.wait_until_listed(well_names())
    assert workers.listed() == set(well_names())
    await workers.registry.stop()
