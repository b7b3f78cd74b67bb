"""The store through another VM, where it turns this one away."""

import contextlib

import pytest
from fake_store import StoreFault
from fake_watchable_store import FakeWatchableStore

from bulrushcove.clock import ManualClock
from bulrushcove.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.node.peers import PeerNotConnectedError
from bulrushcove.node.relayed_store import (
    DIRECT_PAUSE_S,
    RelayedStore,
    serve_store_call,
)
from bulrushcove.store import Write

WRITES = (Write('k', b'v', 0),)


class Peers:
    """Other VMs by address: the store that each reaches, or None."""

    def __init__(self, **stores):
        self.known_addresses = set(stores)
        self.asked = []
        self._stores = stores

    async def request(self, address, call, answer_type, timeout_s):
        self.asked.append(address)
        store = self._stores[address]
        if store is None:
            raise PeerNotConnectedError(address)
        return None, await serve_store_call(store, call)


def relayed(**peers):
    clock = ManualClock()
    own = FakeWatchableStore()
    own.down = True
    return RelayedStore(own, Peers(**peers), clock), own, clock


async def test_a_vm_that_is_turned_away_reads_and_writes_through_a_peer():
    shared = FakeWatchableStore()
    store, _, _ = relayed(a=shared)
    answer = await store.commit(WRITES)
    assert answer.written
    assert (await store.read('k')).found[0].value == b'v'
    assert await store.renew_lease(await store.grant_lease(1000))


async def test_a_peer_that_reached_the_store_is_asked_first():
    shared = FakeWatchableStore()
    gone = {f'gone{number}': None for number in range(6)}
    store, _, _ = relayed(good=shared, **gone)
    while 'good' not in store._peers.asked:
        with contextlib.suppress(StoreUnavailableError):
            await store.read('k')
    store._peers.asked.clear()
    for _ in range(20):
        await store.read('k')
    assert set(store._peers.asked) == {'good'}


async def test_the_direct_path_is_taken_again():
    shared = FakeWatchableStore()
    store, own, clock = relayed(a=shared)
    await store.read('k')
    own.down = False
    clock.advance(DIRECT_PAUSE_S)
    await store.read('k')
    assert store.is_directly_reachable


async def test_without_a_peer_the_store_is_unavailable():
    store, _, _ = relayed(a=None)
    with pytest.raises(StoreUnavailableError):
        await store.commit(WRITES)


async def test_a_write_without_an_answer_is_not_repeated_here():
    shared = FakeWatchableStore()
    store, own, _ = relayed(a=shared)
    own.down = False
    own.script.append(StoreFault.LOSE_WRITE)
    with pytest.raises(StoreOutcomeUnknownError):
        await store.commit(WRITES)
    assert not shared.values


async def test_a_peers_unknown_outcome_stays_unknown():
    shared = FakeWatchableStore()
    shared.script.append(StoreFault.LOSE_ANSWER)
    store, _, _ = relayed(a=shared)
    with pytest.raises(StoreOutcomeUnknownError):
        await store.commit(WRITES)
