"""The local cache of store keys survives what its reader cannot handle."""

import asyncio
import logging

import pytest
from fake_watchable_store import FakeWatchableStore

from bulrushcove.clock import ManualClock
from bulrushcove.node import prefix_cache as cache_module
from bulrushcove.node.prefix_cache import PrefixCache
from bulrushcove.store import Changes, Write


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    monkeypatch.setattr(cache_module, 'RELAYED_POLL_INTERVAL_S', 0.005)


async def test_an_unexpected_error_of_the_reader_ends_no_later_update():
    """One malformed entry must not take the process down."""
    store = FakeWatchableStore(ManualClock())
    await store.commit((Write('p/malformed', b'', 0),))
    seen = []

    def read(entries, changed):
        seen.append(changed)
        if 'p/malformed' in changed:
            raise KeyError('unexpected')

    cache = PrefixCache(store, 'p/', read, retry_interval_s=0.005)
    await cache.start()
    await asyncio.sleep(0.05)
    await store.commit((Write('p/sound', b'', 0),))
    await asyncio.sleep(0.1)
    assert not cache.crashed
    assert frozenset(('p/sound',)) in seen
    await cache.stop()


# Changes that the store returns to a watch at most.
PAGE_SIZE = 500


class PagedStore(FakeWatchableStore):
    """Returns changes to a watch in pages, the oldest first."""

    async def watch(self, prefix, after, wait_ms):
        changes = await super().watch(prefix, after, wait_ms)
        written = sorted(changes.written, key=lambda item: item.mod_revision)
        page = tuple(written[:PAGE_SIZE])
        revision = page[-1].mod_revision if page else changes.store_revision
        return Changes(page, (), revision)


async def test_a_cache_keeps_up_with_the_entries_of_1500_workers():
    """A worker that had left was given work 7 s later, as the cache lagged."""
    store = PagedStore()
    await store.commit((Write('w/0', b'ready', 0),))
    cache = PrefixCache(store, 'w/', lambda *_: None, batching_delay_s=0.6)
    await cache.start()
    await asyncio.sleep(0.05)
    # What 1,500 workers wrote in three seconds, and one that drains.
    for number in range(1, 3000):
        store._commit((Write(f'w/{number}', b'ready', 0),), ())
    store._commit((Write('w/last', b'draining', 0),), ())
    async with asyncio.timeout(3):
        while 'w/last' not in cache.entries:
            await asyncio.sleep(0.01)
    await cache.stop()


async def test_the_log_tells_how_large_a_reload_was_and_how_long_it_took(
    caplog,
):
    """The logs of an incident did not tell which reads filled the links."""
    store = FakeWatchableStore()
    await store.commit((Write('p/a', b'x' * 300, 0), Write('p/b', b'y', 0)))
    cache = PrefixCache(store, 'p/', lambda *_: None)
    with caplog.at_level(logging.INFO):
        await cache.start()
        await asyncio.sleep(0.05)
        await cache.stop()
    (loaded,) = (
        record for record in caplog.records if record.msg == 'feed.loaded'
    )
    assert (loaded.prefix, loaded.entries, loaded.bytes) == ('p/', 2, 301)
    assert loaded.ms >= 0
