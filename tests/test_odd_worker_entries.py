"""One odd entry among those of the workers; the others hold."""

import asyncio

import pytest
from batch_builders import entry
from odd_values import WorkerList, nested_arrays, well_names, worker_entry

from bulrushcove.platform.store_entries import WORKERS_PREFIX, decode_worker

SEEDS = range(8)


def decode_or_fail(key, stored):
    """Stand in for a decoder with a fault that no test knows of."""
    if b'odd' in stored:
        raise ZeroDivisionError(key)
    return entry(key.removeprefix(WORKERS_PREFIX))


@pytest.mark.parametrize('seed', SEEDS)
async def test_other_entries_of_a_reload_hold(seed):
    """The entries after one that raised were never applied."""
    workers = WorkerList(decode_or_fail)
    workers.put_mixed(seed, f'odd-{seed}', b'odd')
    await workers.registry.start()
    await workers.wait_until_listed(well_names())
    assert workers.listed() == set(well_names())
    await workers.registry.stop()


@pytest.mark.parametrize('seed', SEEDS)
async def test_other_entries_of_a_watch_hold(seed):
    workers = WorkerList(decode_or_fail)
    workers.put('first', worker_entry())
    await workers.registry.start()
    await workers.wait_until_listed(['first'])
    workers.put_mixed(seed, f'odd-{seed}', b'odd')
    await workers.wait_until_listed(well_names())
    assert workers.listed() == {'first', *well_names()}
    await workers.registry.stop()


async def test_a_worker_whose_entry_cannot_be_handled_is_not_used():
    """Another writer replaced the entry; it names no worker to use."""
    workers = WorkerList(decode_or_fail)
    workers.put('w', worker_entry())
    await workers.registry.start()
    await workers.wait_until_listed(['w'])
    workers.put('w', b'odd')
    async with asyncio.timeout(3):
        while workers.listed():
            await asyncio.sleep(0.01)
    await workers.registry.stop()


@pytest.mark.parametrize('seed', SEEDS)
async def test_other_entries_hold_beside_a_deeply_nested_one(seed):
    workers = WorkerList()
    workers.put_mixed(seed, f'odd-{seed}', b'{"x":%s}' % nested_arrays(100_000))
    await workers.registry.start()
    await workers.wait_until_listed(well_names())
    assert workers.listed() == set(well_names())
    await workers.registry.stop()


def test_an_entry_that_is_rewritten_is_logged_once(caplog):
    """Workers rewrite their entries each second or two."""
    caplog.set_level('INFO')
    for sequence in range(5):
        stored = worker_entry(seq=sequence, state='odd')
        assert decode_worker('servers/logged-once', stored) is None
    assert len(caplog.records) == 1
