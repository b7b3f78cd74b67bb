import asyncio

import pytest

from bulrushcove.claim_writer import ClaimWriter, GrantedClaim
from bulrushcove.claims import (
    Claim,
    ClaimStatus,
    ClaimValue,
    claim_key,
    claim_writes,
    decide_claims,
)
from bulrushcove.clock import SystemClock
from bulrushcove.exceptions import StoreUnavailableError
from bulrushcove.store import StoredValue, WriteAnswer
from tests.fake_store import FakeStore


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
async def writers(store):
    started_writers = [
        ClaimWriter(store, vm, f'{vm}-1', 3_600_000, lambda: 1, SystemClock())
        for vm in ('e1', 'e2')
    ]
    for writer in started_writers:
        await writer.start()
    yield started_writers
    for writer in started_writers:
        await writer.stop()


def _value(number=1, body='aa'):
    return ClaimValue('e1', 'e1-1', number, body)


@pytest.mark.parametrize(
    ('existing', 'status'),
    [
        (None, ClaimStatus.RETRY),
        (_value(), ClaimStatus.GRANTED),
        (_value(number=2), ClaimStatus.TAKEN),
        (_value(number=2, body='bb'), ClaimStatus.TAKEN_WITH_OTHER_BODY),
        (_value(number=2, body=''), ClaimStatus.TAKEN),
    ],
)
def test_decision_if_the_batch_was_not_written(existing, status):
    claim = Claim(claim_key('litoral', 'r1'), _value())
    current = ()
    if existing is not None:
        written = claim_writes([Claim(claim.key, existing)], 1)[0]
        current = (StoredValue(claim.key, written.value, 5),)
    decisions = decide_claims([claim], WriteAnswer(False, 9, current))
    assert decisions[0].status is status


async def test_many_claims_share_transactions(writers, store):
    decisions = await asyncio.gather(
        *(writers[0].claim(f'k{number}', 'aa') for number in range(120))
    )
    assert {decision.status for decision in decisions} == {ClaimStatus.GRANTED}
    # One call for the lease, and two batches of at most 64 claims.
    assert store.calls == 3


async def test_one_taken_claim_does_not_fail_its_batch(writers):
    await writers[1].claim('k3', 'aa')
    decisions = await asyncio.gather(
        *(writers[0].claim(f'k{number}', 'aa') for number in range(6))
    )
    taken = [
        decision.claim.key
        for decision in decisions
        if decision.status is ClaimStatus.TAKEN
    ]
    assert taken == ['k3']
    assert len({decision.claim.key for decision in decisions}) == 6


@pytest.mark.parametrize('fault', ['lose_responses', 'lose_writes'])
async def test_write_without_response_is_retried(writers, store, fault):
    await writers[0].claim('first', 'aa')
    setattr(store, fault, 1)
    decision = await writers[0].claim('k1', 'aa')
    assert decision.status is ClaimStatus.GRANTED
    other = await writers[1].claim('k1', 'aa')
    assert other.status is ClaimStatus.TAKEN


async def test_store_outage_fails_the_claim_and_leaves_none(writers, store):
    store.down = True
    with pytest.raises(StoreUnavailableError):
        await writers[0].claim('k1', 'aa')
    store.down = False
    decision = await writers[1].claim('k1', 'aa')
    assert decision.status is ClaimStatus.GRANTED


async def test_released_id_can_be_claimed_by_another_vm(writers, store):
    decision = await writers[0].claim('k1', 'aa')
    writers[0].release(GrantedClaim(decision.claim, decision.mod_revision))
    await _deleted(store, 'k1')
    assert (await writers[1].claim('k1', 'aa')).status is ClaimStatus.GRANTED


async def test_release_does_not_delete_a_reused_claim(writers, store):
    decision = await writers[0].claim('k1', 'aa')
    writers[0].release(GrantedClaim(decision.claim, decision.mod_revision))
    again = await writers[0].claim('k1', 'aa')
    assert again.status is ClaimStatus.GRANTED
    await asyncio.sleep(0.1)
    assert (await writers[1].claim('k1', 'aa')).status is ClaimStatus.TAKEN


@pytest.mark.parametrize('fault', ['lose_responses', 'lose_writes'])
async def test_release_without_response_takes_effect(writers, store, fault):
    decision = await writers[0].claim('k1', 'aa')
    setattr(store, fault, 1)
    writers[0].release(GrantedClaim(decision.claim, decision.mod_revision))
    await _deleted(store, 'k1')
    assert (await writers[0].claim('k1', 'aa')).status is ClaimStatus.GRANTED
    assert (await writers[1].claim('k1', 'aa')).status is ClaimStatus.TAKEN


async def test_claim_granted_after_cancellation_is_released(writers, store):
    store.delay_s = 0.05
    waiting = asyncio.create_task(writers[0].claim('k1', 'aa'))
    await asyncio.sleep(0.02)
    waiting.cancel()
    await asyncio.sleep(0.15)
    store.delay_s = 0
    await _deleted(store, 'k1')
    assert (await writers[1].claim('k1', 'aa')).status is ClaimStatus.GRANTED


async def _deleted(store, key):
    async with asyncio.timeout(2):
        while key in store.values:
            await asyncio.sleep(0.01)
