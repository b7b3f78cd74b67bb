"""Writes of the leader's records on a store with faults."""

import asyncio

import pytest
from fake_store import StoreFault
from fake_watchable_store import FakeWatchableStore
from hypothesis import given
from hypothesis import strategies as st

from bulrushcove.clock import ManualClock
from bulrushcove.ids import Epoch, IncarnationId, VmId
from bulrushcove.node import store_writer as store_writer_module
from bulrushcove.node.messages import LeaderRecord
from bulrushcove.node.store_keys import LEADER_KEY
from bulrushcove.node.store_writer import (
    LeadershipLostError,
    StoreWriter,
    WriteWithdrawnError,
)
from bulrushcove.store import StoreLeaseId, Write

TIMEOUT_S = 5
# Faults of the next calls, after which the store still responds.
LOST_RESPONSES = st.lists(
    st.sampled_from(
        (
            StoreFault.NONE,
            StoreFault.LOSE_RESPONSE,
            StoreFault.LOSE_WRITE,
            StoreFault.LATE_WRITE,
        )
    ),
    max_size=12,
)


class Leadership:
    """Fake leadership that records the calls made to it."""

    def __init__(self):
        self.confirmations = []
        self.step_down_reason = ''

    def confirm(self, sent_at_s):
        self.confirmations.append(sent_at_s)

    async def step_down(self, reason):
        self.step_down_reason = reason


async def open_store_writer(store, clock=None):
    known = await store.read(LEADER_KEY)
    revision = known.found[0].mod_revision if known.found else 0
    response = await store.commit((Write(LEADER_KEY, b'me', revision),))
    leader = LeaderRecord(
        VmId('vm'),
        IncarnationId('i'),
        'a:1',
        StoreLeaseId(0),
        Epoch(response.store_revision),
    )
    store_writer = StoreWriter(
        store, Leadership(), leader, clock or ManualClock()
    )
    await store_writer.start()
    return store_writer


async def wait_until_stored(future):
    async with asyncio.timeout(TIMEOUT_S):
        await asyncio.shield(future)


async def test_concurrent_writes_share_a_transaction():
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    futures = [store_writer.put(f'k{number}', b'v') for number in range(10)]
    for future in futures:
        await wait_until_stored(future)
    assert store_writer.transaction_count == 1
    await store_writer.stop()


async def test_a_newer_value_replaces_a_pending_one():
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    first = store_writer.put('k', b'1')
    second = store_writer.put('k', b'2')
    await wait_until_stored(first)
    await wait_until_stored(second)
    assert store.values['k'].value == b'2'
    assert store_writer.transaction_count == 1
    await store_writer.stop()


@pytest.mark.parametrize(
    'fault', [StoreFault.LOSE_RESPONSE, StoreFault.LOSE_WRITE, StoreFault.DOWN]
)
async def test_a_failed_write_is_retried_until_stored(fault, monkeypatch):
    monkeypatch.setattr(store_writer_module, 'RETRY_INTERVAL_S', 0)
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    store.scripted_faults.extend([fault, fault])
    await wait_until_stored(store_writer.put('k', b'1'))
    assert store.values['k'].value == b'1'
    await store_writer.stop()


async def test_lost_responses_do_not_count_as_an_outage(monkeypatch):
    """Submissions were refused when each lost response counted as an outage."""
    clock = ManualClock()
    store = FakeWatchableStore(clock)
    store_writer = await open_store_writer(store, clock)
    outages_s = []
    commit = store.commit

    async def slow_commit(*parts):
        outages_s.append(store_writer.outage_s)
        clock.advance(0.3)
        return await commit(*parts)

    monkeypatch.setattr(store, 'commit', slow_commit)
    # Each lost response is followed by a read that succeeds.
    for _ in range(4):
        store.scripted_faults.extend([StoreFault.LOSE_WRITE, StoreFault.NONE])
    await wait_until_stored(store_writer.put('k', b'1'))
    assert outages_s == [0, 0, 0, 0, 0]
    await store_writer.stop()


async def test_an_outage_is_measured_from_its_first_failure():
    clock = ManualClock()
    store = FakeWatchableStore(clock)
    store_writer = await open_store_writer(store, clock)
    store.down = True
    store_writer.put('k', b'1')
    await asyncio.sleep(0.01)
    clock.advance(0.3)
    assert store_writer.outage_s == pytest.approx(0.3)
    await store_writer.stop()


async def write_with_faults(faults, values):
    """Write ``values`` to one key in turn, delivering late commits after each.

    Asserts that each value is stored and stays.
    """
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    store.scripted_faults.extend(faults)
    for value in values:
        await wait_until_stored(store_writer.put('k', value))
        store.deliver_commits()
        assert store.values['k'].value == value
    await store_writer.stop()


@given(
    faults=LOST_RESPONSES,
    count=st.integers(1, 5),
)
def test_a_late_write_never_overwrites_a_newer_one(faults, count):
    values = [f'{number}'.encode() for number in range(count)]
    asyncio.run(write_with_faults(faults, values))


async def test_without_conditions_a_late_write_overwrites_a_newer_one():
    """Control case: the same store, written without the old revision."""
    store = FakeWatchableStore()
    store.scripted_faults.append(StoreFault.LATE_WRITE)
    with pytest.raises(Exception, match='no response'):
        await store.commit((Write('k', b'old', 0),))
    await store.commit((Write('k', b'new', 0),))
    (writes, _) = store.late_commits.pop()
    revision = store.values['k'].mod_revision
    store._commit((Write('k', writes[0].value, revision),), ())
    assert store.values['k'].value == b'old'


async def test_a_replaced_leader_writes_nothing():
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    revision = store.values[LEADER_KEY].mod_revision
    await store.commit((Write(LEADER_KEY, b'other', revision),))
    with pytest.raises(LeadershipLostError):
        await wait_until_stored(store_writer.put('k', b'1'))
    with pytest.raises(LeadershipLostError):
        await wait_until_stored(store_writer.put('k', b'2'))
    assert 'k' not in store.values
    assert store_writer._leadership.step_down_reason
    await store_writer.stop()


async def test_a_rejected_write_can_be_withdrawn_and_has_no_effect():
    clock = ManualClock()
    store = FakeWatchableStore(clock)
    store_writer = await open_store_writer(store, clock)
    store.down = True
    future = store_writer.put('k', b'1')
    await asyncio.sleep(0.05)
    clock.advance(1)
    assert store_writer.outage_s == 1
    assert store_writer.withdraw(('k',))
    with pytest.raises(WriteWithdrawnError):
        await wait_until_stored(future)
    store.down = False
    await wait_until_stored(store_writer.put('other', b'1'))
    assert 'k' not in store.values
    await store_writer.stop()


async def test_a_write_without_a_response_cannot_be_withdrawn():
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    store.scripted_faults.append(StoreFault.LATE_WRITE)
    store.scripted_faults.extend((StoreFault.DOWN, StoreFault.DOWN))
    future = store_writer.put('k', b'1')
    await asyncio.sleep(0.05)
    assert not store_writer.withdraw(('k',))
    await wait_until_stored(future)
    await store_writer.stop()


class SlowStore(FakeWatchableStore):
    """Answers each commit after ``delay_s``, like a slow or distant store."""

    def __init__(self, delay_s=0.1):
        super().__init__()
        self.delay_s = delay_s
        self.in_flight = []
        # Pairs of transactions in flight at once with a common key.
        self.shared_keys = []

    async def commit(self, writes, checks=()):
        keys = {write.key for write in writes}
        self.shared_keys.extend(keys & other for other in self.in_flight)
        self.in_flight.append(keys)
        try:
            return await super().commit(writes, checks)
        finally:
            self.in_flight.remove(keys)


async def test_jobs_of_a_burst_do_not_wait_for_each_other_at_a_slow_store():
    """90 records took six transactions in a row, 1.2 s at 0.2 s each."""
    store = SlowStore()
    store_writer = await open_store_writer(store)
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    futures = [store_writer.put(f'k{number}', b'v') for number in range(90)]
    await wait_until_stored(asyncio.gather(*futures))
    assert loop.time() - started_at_s < 2 * store.delay_s
    assert store_writer.transaction_count == 6
    await store_writer.stop()


async def test_writes_at_a_fast_store_still_share_transactions():
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    for _ in range(5):
        futures = [store_writer.put(f'k{number}', b'v') for number in range(5)]
        await wait_until_stored(asyncio.gather(*futures))
    assert store_writer.transaction_count == 5
    await store_writer.stop()


async def test_a_write_that_follows_another_is_not_stored_before_it():
    """A run must not start for a job that may still be refused."""
    store = SlowStore()
    store_writer = await open_store_writer(store)
    first = store_writer.put('job', b'1')
    await asyncio.sleep(store.delay_s / 2)
    second = store_writer.put('progress', b'1', after='job')
    await wait_until_stored(first)
    assert not second.done()
    await wait_until_stored(second)
    await store_writer.stop()


async def test_writes_of_one_key_are_stored_in_turn():
    store = SlowStore()
    store_writer = await open_store_writer(store)
    futures = []
    for number in range(4):
        futures.append(store_writer.put('k', f'{number}'.encode()))
        await asyncio.sleep(store.delay_s / 2)
    await wait_until_stored(asyncio.gather(*futures))
    assert store.values['k'].value == b'3'
    assert not any(store.shared_keys)
    await store_writer.stop()


async def test_one_transaction_probes_a_store_that_is_away(monkeypatch):
    monkeypatch.setattr(store_writer_module, 'RETRY_INTERVAL_S', 0.01)
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    store.down = True
    for number in range(40):
        store_writer.put(f'k{number}', b'v')
        await asyncio.sleep(0.005)
    assert len(store_writer.queue.batches) == 1
    store.down = False
    await wait_until_stored(store_writer.put('last', b'v'))
    await store_writer.stop()


async def test_a_stop_fails_the_writes_in_flight():
    store = SlowStore()
    store_writer = await open_store_writer(store)
    future = store_writer.put('k', b'1')
    await asyncio.sleep(store.delay_s / 2)
    await store_writer.stop()
    with pytest.raises(LeadershipLostError):
        await wait_until_stored(future)


async def store_random_writes(puts, faults):
    """Put values of few keys while transactions overlap and get lost.

    Asserts that the store ends with the last value of each key.
    """
    store = SlowStore(delay_s=0.001)
    store_writer = await open_store_writer(store)
    store.scripted_faults.extend(faults)
    futures = []
    for number, key in enumerate(puts):
        futures.append(store_writer.put(f'k{key}', f'{number}'.encode()))
        if number % 3 == 0:
            await asyncio.sleep(0)
    await wait_until_stored(asyncio.gather(*futures))
    store.deliver_commits()
    for number, key in enumerate(puts):
        if key not in puts[number + 1 :]:
            assert store.values[f'k{key}'].value == f'{number}'.encode()
    assert not any(store.shared_keys)
    await store_writer.stop()


@given(
    puts=st.lists(st.integers(0, 5), min_size=1, max_size=40),
    faults=LOST_RESPONSES,
)
def test_overlapping_transactions_keep_the_last_value_of_each_key(puts, faults):
    spacing_s = store_writer_module.TRANSACTION_SPACING_S
    store_writer_module.TRANSACTION_SPACING_S = 0
    try:
        asyncio.run(store_random_writes(puts, faults))
    finally:
        store_writer_module.TRANSACTION_SPACING_S = spacing_s


async def test_an_unexpected_error_of_a_write_ends_leadership(monkeypatch):
    """The end of a job must not be shown when it can never be stored."""
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)

    async def fail(*_parts):
        raise LookupError('unexpected')

    monkeypatch.setattr(store, 'commit', fail)
    with pytest.raises(LeadershipLostError):
        await wait_until_stored(store_writer.put('k', b'1'))
    with pytest.raises(LeadershipLostError):
        await wait_until_stored(store_writer.put('other', b'1'))
    assert store_writer._leadership.step_down_reason
    await store_writer.stop()


async def test_revisions_of_deleted_records_are_forgotten():
    """They stayed for each job that a leader had ever removed."""
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    for value in (b'v', None):
        await wait_until_stored(store_writer.put('k', value))
    assert store_writer.revisions == {}
    await wait_until_stored(store_writer.put('k', b'v'))
    assert store_writer.revisions == {'k': store.values['k'].mod_revision}
    await store_writer.stop()
