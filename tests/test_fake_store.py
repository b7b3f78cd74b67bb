import pytest

from bulrushcove.clock import ManualClock
from bulrushcove.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.store import Write
from tests.fake_store import FakeStore


async def test_a_transaction_applies_whole_or_not_at_all():
    store = FakeStore()
    assert (await store.write(Write('a', b'1', 0))).written
    answer = await store.write(Write('a', b'2', 0), Write('b', b'2', 0))
    assert not answer.written
    assert [stored.value for stored in answer.current] == [b'1']
    assert (await store.read('b')).found == ()


async def test_a_read_finds_only_what_is_newer():
    store = FakeStore()
    await store.write(Write('p/a', b'1', 0))
    seen = (await store.scan('p/')).store_revision
    await store.write(Write('p/b', b'2', 0))
    newer = await store.scan('p/', newer_than=seen)
    assert [stored.key for stored in newer.found] == ['p/b']


async def test_keys_go_with_their_lease():
    clock = ManualClock()
    store = FakeStore(clock)
    lease = await store.grant_lease(5)
    await store.write(Write('a', b'1', 0, lease))
    clock.advance(4)
    assert await store.renew_lease(lease) == 5
    clock.advance(5)
    assert (await store.read('a')).found == ()
    assert await store.renew_lease(lease) == 0


async def test_faults_can_be_switched():
    store = FakeStore()
    store.lose_answers = 1
    store.lose_writes = 1
    for _ in range(2):
        with pytest.raises(StoreOutcomeUnknownError):
            await store.write(Write('a', b'1', 0))
    assert len((await store.read('a')).found) == 1
    store.down = True
    with pytest.raises(StoreUnavailableError):
        await store.read('a')
