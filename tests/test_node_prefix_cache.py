"""The local cache of store keys survives what its reader cannot handle."""

import asyncio

import pytest
from fake_watchable_store import FakeWatchableStore

from bulrushcove.clock import ManualClock
from bulrushcove.node import prefix_cache as cache_module
from bulrushcove.node.prefix_cache import PrefixCache
from bulrushcove.store import Write


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
