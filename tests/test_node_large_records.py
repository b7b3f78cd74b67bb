"""Records that the store does not take, and those of jobs of many tasks."""

import asyncio
import time
from itertools import repeat

import pytest
from batch_builders import Bench, entry, job_spec
from fake_store import StoreFault
from fake_watchable_store import FakeWatchableStore
from test_node_store_writer import open_store_writer, wait_until_stored

from bulrushcove.batch.job_spec import StepSpec, TaskSize
from bulrushcove.batch.job_state import UnitPhase
from bulrushcove.batch.records import (
    MAX_RECORD_BYTES,
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    largest_progress_bytes,
    restore_job,
)
from bulrushcove.exceptions import StoreRejectedError
from bulrushcove.ids import JobId, OrganisationId
from bulrushcove.node.exceptions import WriteRejectedError
from bulrushcove.node.write_queue import MAX_TRANSACTION_BYTES
from bulrushcove.platform.job_api import decode_job

MAX_BODY_BYTES = 262_144
LARGE = b'x' * 100
NO_SIZE = TaskSize()


class LimitedStore(FakeWatchableStore):
    """Rejects a transaction that has a value of 100 bytes or more."""

    def __init__(self):
        super().__init__()
        self.commits = []

    async def commit(self, writes, checks=()):
        self.commits.append([write.key for write in writes])
        if any(len(write.value or b'') >= len(LARGE) for write in writes):
            raise StoreRejectedError('status 400')
        return await super().commit(writes, checks)


async def test_a_write_that_the_store_rejects_fails_alone():
    """Its transaction was repeated for good, with all in it (review 14)."""
    store = LimitedStore()
    store_writer = await open_store_writer(store)
    large = store_writer.put('large', LARGE)
    others = [store_writer.put(f'k{number}', b'v') for number in range(5)]
    for other in others:
        await wait_until_stored(other)
    with pytest.raises(WriteRejectedError, match='large'):
        await wait_until_stored(large)
    assert not store_writer.outage_s
    assert not store_writer.backlog
    await store_writer.stop()


async def test_a_write_that_must_follow_a_rejected_one_fails_too():
    """A job that was refused must not have a progress record."""
    store = LimitedStore()
    store_writer = await open_store_writer(store)
    large = store_writer.put('job', LARGE)
    progress = store_writer.put('progress', b'v', after='job')
    for rejected in (large, progress):
        with pytest.raises(WriteRejectedError):
            await wait_until_stored(rejected)
    assert 'progress' not in store.values
    await store_writer.stop()


async def test_a_record_that_cannot_be_encoded_fails_alone():
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)

    def fail():
        raise ValueError('odd value')

    odd = store_writer.put('odd', fail)
    await wait_until_stored(store_writer.put('k', b'v'))
    with pytest.raises(WriteRejectedError):
        await wait_until_stored(odd)
    await store_writer.stop()


async def test_a_record_is_encoded_once_for_a_transaction():
    """Each report of a worker encoded the job of thousands of tasks anew."""
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    store.scripted_faults.extend(repeat(StoreFault.LOSE_RESPONSE, 2))
    versions = []

    def encode():
        versions.append(len(versions))
        return str(len(versions)).encode()

    for _ in range(50):
        stored = store_writer.put('k', encode)
    await wait_until_stored(stored)
    assert versions == [0]
    assert store.values['k'].value == b'1'
    await store_writer.stop()


async def test_a_record_that_is_slow_to_encode_is_paced():
    """The encoding took the event loop while thousands of runs ended."""
    store = FakeWatchableStore()
    store_writer = await open_store_writer(store)
    loop = asyncio.get_running_loop()
    encoded_at_s = []

    def encode_slowly():
        time.sleep(0.02)
        encoded_at_s.append(loop.time())
        return b'v'

    for _ in range(3):
        await wait_until_stored(store_writer.put('slow', encode_slowly))
        await wait_until_stored(store_writer.put('quick', b'v'))
    pauses_s = [
        later - earlier
        for earlier, later in zip(encoded_at_s, encoded_at_s[1:], strict=False)
    ]
    assert min(pauses_s) >= 5 * 0.02
    await store_writer.stop()


async def test_a_transaction_is_within_a_frame():
    """One of many large records could not be relayed by another VM."""
    store = FakeWatchableStore()
    commits = []
    commit = store.commit

    async def record_commit(writes, checks=()):
        commits.append([len(write.value or b'') for write in writes])
        return await commit(writes, checks)

    store_writer = await open_store_writer(store)
    store.commit = record_commit
    large = bytes(MAX_TRANSACTION_BYTES * 2 // 5)
    stored = [store_writer.put(f'k{number}', large) for number in range(8)]
    for one in stored:
        await wait_until_stored(one)
    assert max(map(sum, commits)) <= MAX_TRANSACTION_BYTES
    assert max(map(len, commits)) == 2
    await store_writer.stop()


def repeat_step(step):
    """Return the longest body of equal steps that callers may send."""
    head, foot = b'{"spec":"0.2","steps":[', b']}'
    count = (MAX_BODY_BYTES - len(head + foot) + 1) // (len(step) + 1)
    return head + b','.join(repeat(step, min(count, 20_000))) + foot


@pytest.mark.parametrize(
    'step',
    [
        b'{"count":1}',
        b'{"count":1,"cpu":1}',
        b'{"count":1,"cpu":1,"gpu":1}',
        b'{"count":1,"cpu":1,"gpu":1,"fills":true,"gang":true}',
        b'{"count":1,"mem-mb":9,"may-miss":9,"max-per-server":9}',
        b'{"count":1,"image":"\xc3\xa9","affinity":"r","target-ms":9}',
        b'{"count":1,"perpetual":true,"allow-duplicates":true}',
        b'{"count":1,"checkpointing":true,"same-rack":true}',
        b'{"count":1,"required-label":"l","estimated-ms":70000}',
        b'{"count":1,"after":[0,1,2,3,4,5,6,7,8,9]}',
    ],
)
def test_the_record_of_the_longest_body_is_within_a_value(step, monkeypatch):
    """20,000 steps made a record of 4.8 MB (review case 14)."""
    monkeypatch.setattr(
        'bulrushcove.platform.job_api.grant_terms',
        lambda *_: job_spec('job').terms,
    )
    body = repeat_step(step)
    if b'after' in step:
        body = body.replace(b',"after":[0,1,2,3,4,5,6,7,8,9]', b'', 10)
    spec = decode_job(JobId('job'), body, None, OrganisationId('mill'))
    job = Bench(entry('w0', labels=('l',))).submit(spec)
    stored = encode_submission(job)
    assert len(stored) <= 2.5 * MAX_BODY_BYTES < MAX_RECORD_BYTES
    assert decode_submission(stored).spec == spec


def run_all(count, **others):
    """Return a job of ``count`` tasks that all run, and its bench."""
    bench = Bench(*(entry(f'server-of-a-long-name-{one}') for one in range(6)))
    step = StepSpec(task_count=count, size=NO_SIZE, **others)
    job = bench.submit(job_spec('job', step))
    bench.start_all()
    return job, bench


def restore(job):
    return restore_job(
        decode_submission(encode_submission(job)),
        decode_progress(encode_progress(job)),
        now_s=0,
    )


def state_of(job):
    return [
        (
            unit.phase,
            unit.run,
            unit.checkpoint,
            unit.failures,
            [
                (one.index, one.worker, one.worker_started_unix_ms)
                for one in unit.allocations.values()
            ],
        )
        for unit in job.units
    ]


def test_the_progress_of_the_largest_job_is_within_a_value():
    """That of 20,000 running tasks was above 1 MB."""
    job, _ = run_all(20_000)
    for unit in job.units:
        unit.checkpoint = '00000bb87a21d94b'
        for allocation in unit.allocations.values():
            allocation.worker_started_unix_ms = 1_800_000_000_000
            allocation.started_clock_ms = 4_000_000_000
    assert len(encode_progress(job)) <= MAX_RECORD_BYTES
    assert state_of(restore(job)) == state_of(job)


def test_checkpoints_that_exceed_a_value_are_left_out():
    job, _ = run_all(20_000)
    for number, unit in enumerate(job.units):
        unit.checkpoint = f'{number:0100}'
    encoded = encode_progress(job)
    assert len(encoded) <= largest_progress_bytes(job.spec) < MAX_RECORD_BYTES
    assert {unit.checkpoint for unit in restore(job).units} == {''}


@pytest.mark.parametrize('count', [10, 999, 1000, 1500])
def test_compact_progress_restores_the_same_job(count):
    job, bench = run_all(count)
    for number, unit in enumerate(job.units):
        if number % 7 == 0:
            unit.failures = 1
        if number % 5 < 3:
            for allocation in tuple(unit.allocations.values()):
                bench.engine.workers[allocation.worker].allocations.pop(
                    allocation.ref
                )
            unit.allocations.clear()
            unit.phase = UnitPhase.WAITING
            unit.run = 1 + number % 2
    assert state_of(restore(job)) == state_of(job)


def test_a_compact_gang_restores_the_same_job():
    job, _ = run_all(2000, is_gang=True)
    assert state_of(restore(job)) == state_of(job)
