"""The stored lease expiry of silent workers, across changes of leader."""

import math
import random

import pytest
from batch_builders import Bench, entry, job_spec, report

from bulrushcove.batch.engine import Engine
from bulrushcove.batch.exceptions import RecordError
from bulrushcove.batch.lease_expiry import (
    MAX_REFERENCE_CLOCKS,
    STORED_AFTER_S,
    LeaseExpiryRecord,
    decode_lease_expiry,
    encode_lease_expiry,
)
from bulrushcove.batch.membership import record_entry
from bulrushcove.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
    restore_job,
)
from bulrushcove.batch.workers import find_expired_workers
from bulrushcove.ids import Epoch

LEASE_S = 6.0
DRAINING_LEASE_S = 3.0
# Longest time that a replaced leader goes on to act, and that its leases last.
AUTHORITY_S = 12.0
LONGEST_LEASE_S = 14.0
STEP_S = 0.25
EPOCH = Epoch(7)
WORKER_COUNT = 6


class SimulatedWorker:
    """A worker with a slow clock and one lease for all its runs."""

    def __init__(self, name, generator):
        self.name = name
        self.rate = generator.uniform(0.98, 1.0)
        self.offset_s = generator.uniform(0, 500)
        self.lease_end_ms = 0
        self.max_epoch = 0
        # Leaders, by epoch, that do not reach it.
        self.cut_from = set()
        self.is_draining = False
        self.started_unix_ms = 1
        self.has_runs = True

    def restart(self, true_s):
        self.started_unix_ms += 1
        self.offset_s = -self.rate * true_s
        self.has_runs = False
        self.max_epoch = 0

    def clock_ms(self, true_s):
        return int((self.offset_s + true_s * self.rate) * 1000)

    def holds_lease(self, true_s):
        is_expired = self.clock_ms(true_s) > self.lease_end_ms
        return self.has_runs and not is_expired


class SimulatedLeader:
    """One leader's engine, fed with the reports of simulated workers."""

    def __init__(self, world, epoch, *, ended_epoch=0):
        self.world = world
        self.epoch = epoch
        self.clock_offset_s = world.generator.uniform(0, 1000)
        self.engine = Engine()
        now_s = self.now_s()
        sole_at_s = now_s
        wait_s = LEASE_S / 0.98
        if not ended_epoch or ended_epoch != world.record.sole_epoch:
            sole_at_s += AUTHORITY_S
            wait_s = LONGEST_LEASE_S / 0.98
        self.engine.restore(world.load_jobs(), now_s + wait_s)
        self.engine.lease_expiry.restore(
            decode_lease_expiry(encode_lease_expiry(world.record)),
            epoch=epoch,
            sole_at_s=sole_at_s,
        )
        # A write that is under way.
        self.pending = None
        # When its authority was last confirmed, once it is replaced.
        self.confirmed_at_s = math.inf

    def now_s(self):
        return self.clock_offset_s + self.world.true_s

    def step(self, workers):
        for simulated in workers:
            self.poll(simulated)

    def poll(self, simulated):
        worker = record_entry(
            self.engine.workers,
            self.engine.reliability,
            entry(
                simulated.name,
                is_draining=simulated.is_draining,
                domain=simulated.name[-1],
                started_unix_ms=simulated.started_unix_ms,
            ),
            self.now_s(),
        )
        lease_end_ms = self.renewed_lease_end_ms(worker)
        is_reached = self.epoch not in simulated.cut_from
        if not is_reached or simulated.max_epoch > self.epoch:
            if not worker.failed_polls:
                worker.silent_since_s = self.now_s()
            worker.failed_polls += 1
            return
        simulated.max_epoch = self.epoch
        simulated.lease_end_ms = max(simulated.lease_end_ms, lease_end_ms)
        clock_ms = simulated.clock_ms(self.world.true_s)
        is_first_report = not worker.has_reported
        refs = [(ref, '', 0) for ref in worker.allocations]
        self.engine.apply_report(
            worker,
            report(clock_ms, refs, started_unix_ms=simulated.started_unix_ms),
            requested_at_s=self.now_s(),
            now_s=self.now_s(),
            unix_ms=0,
        )
        if is_first_report:
            worker.record_lease(clock_ms + LEASE_S * 1000)

    def renewed_lease_end_ms(self, worker):
        """Return the end of the lease to grant; 0: none is granted."""
        is_responding = worker.has_reported and not worker.failed_polls
        if not is_responding or worker.id in self.engine.lease_expiry.named:
            return 0
        lease_s = DRAINING_LEASE_S if worker.entry.is_draining else LEASE_S
        age_s = max(0, self.world.true_s - self.confirmed_at_s)
        lease_s = min(lease_s, LONGEST_LEASE_S - age_s)
        lease_end_ms = worker.estimate_clock_ms(self.now_s()) + lease_s * 1000
        worker.record_lease(lease_end_ms)
        return lease_end_ms

    def store(self):
        """Go on with the write under way, or start the next one."""
        table = self.engine.lease_expiry
        table.advance(self.engine.workers, self.now_s())
        if self.pending is not None:
            if self.world.generator.random() < 0.3:
                self.world.record = self.pending
                table.finish_storing(self.pending)
                self.pending = None
            return
        self.pending = table.next_record(self.engine.workers, self.now_s())
        if self.pending is not None:
            table.start_storing(self.pending)

    def expired_workers(self):
        return find_expired_workers(self.engine.workers.values(), self.now_s())


class World:
    """Workers that run one task each, and leaders that follow each other."""

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.true_s = 0.0
        self.record = LeaseExpiryRecord()
        names = [f'w{number}' for number in range(WORKER_COUNT)]
        self.workers = [SimulatedWorker(name, self.generator) for name in names]
        bench = Bench(*(entry(name, accelerators=1) for name in names))
        self.jobs = [bench.submit(job_spec(f'job-{name}')) for name in names]
        bench.start_all()
        self.stored_jobs = [
            (encode_submission(job), encode_progress(job)) for job in self.jobs
        ]
        self.replaced = []
        self.leader_paused_until_s = 0.0
        self.leader = SimulatedLeader(self, 1)

    def load_jobs(self):
        return [
            restore_job(decode_submission(spec), decode_progress(progress), 0)
            for spec, progress in self.stored_jobs
        ]

    def change_leader(self):
        """Replace the leader; it has ended, or acts on for a while."""
        old = self.leader
        if old.pending is not None and self.generator.random() < 0.5:
            # Carried out, but the leader never hears of it.
            self.record = old.pending
        has_ended = self.generator.random() < 0.5
        if not has_ended:
            old.confirmed_at_s = self.true_s
            self.replaced.append((old, self.true_s + AUTHORITY_S))
        self.leader = SimulatedLeader(
            self, old.epoch + 1, ended_epoch=old.epoch if has_ended else 0
        )

    def change_cuts(self):
        simulated = self.generator.choice(self.workers)
        epoch = self.leader.epoch
        if self.generator.random() < 0.3:
            simulated.cut_from.clear()
        else:
            # Earlier leaders may still reach it.
            simulated.cut_from.update(range(epoch, epoch + 50))
        simulated.is_draining = self.generator.random() < 0.3

    def step(self):
        self.true_s += STEP_S
        if self.generator.random() < 0.1:
            self.change_cuts()
        if self.generator.random() < 0.06:
            self.change_leader()
        if self.generator.random() < 0.02:
            self.generator.choice(self.workers).restart(self.true_s)
        if self.generator.random() < 0.03:
            self.leader_paused_until_s = self.true_s + 5
        for old, until_s in self.replaced:
            if self.true_s < until_s:
                old.step(self.workers)
        if self.true_s >= self.leader_paused_until_s:
            self.leader.step(self.workers)
            self.leader.store()


@pytest.mark.parametrize('seed', range(40))
def test_no_lease_is_taken_for_expired_before_it_ends(seed):
    """Otherwise a task would run twice."""
    world = World(seed)
    by_name = {simulated.name: simulated for simulated in world.workers}
    for _ in range(600):
        world.step()
        for worker in world.leader.expired_workers():
            simulated = by_name[worker.id]
            assert not simulated.holds_lease(world.true_s)


def restored_engine(record, *names, full_wait_s=18.0):
    """Return a new leader's engine for a job on the worker ``silent``."""
    bench = Bench(entry('silent', accelerators=1))
    job = bench.submit(job_spec('job'))
    bench.start_all()
    restored = restore_job(
        decode_submission(encode_submission(job)),
        decode_progress(encode_progress(job)),
        0,
    )
    bench = Bench(*(entry(name) for name in names))
    bench.engine.restore([restored], bench.now_s + full_wait_s)
    bench.engine.lease_expiry.restore(record, epoch=EPOCH, sole_at_s=math.inf)
    return bench


def next_record(bench):
    return bench.engine.lease_expiry.next_record(
        bench.engine.workers, bench.now_s
    )


def stored_record():
    """Return the record of a leader that has waited for two seconds."""
    bench = restored_engine(LeaseExpiryRecord(), 'w1', 'w2')
    bench.advance(2)
    return next_record(bench)


def test_a_short_silence_of_a_listed_worker_is_not_stored():
    bench = restored_engine(LeaseExpiryRecord(), 'w1')
    record_entry(
        bench.engine.workers,
        bench.engine.reliability,
        entry('silent'),
        bench.now_s,
    )
    bench.advance(STORED_AFTER_S)
    assert next_record(bench) is None


def test_a_worker_off_the_list_is_stored_at_once():
    bench = restored_engine(LeaseExpiryRecord(), 'w1')
    (group,) = next_record(bench).groups
    assert list(group.remaining_ms) == ['silent']


def test_nothing_is_stored_without_a_clock():
    bench = restored_engine(LeaseExpiryRecord())
    bench.advance(2)
    assert next_record(bench) is None


def test_a_new_leader_waits_only_for_the_rest():
    bench = restored_engine(stored_record())
    bench.clock_ms += 2000 + 10_000
    bench.add_worker(entry('w2'))
    bench.engine.lease_expiry.advance(bench.engine.workers, bench.now_s)
    left_s = bench.engine.workers['silent'].leases_expire_at_s - bench.now_s
    assert 6.0 <= left_s <= 6.3


def test_a_clock_of_another_incarnation_tells_nothing():
    bench = restored_engine(stored_record())
    bench.clock_ms += 20_000
    bench.add_worker(entry('w2'))
    bench.report('w2', started_unix_ms=2)
    before = bench.engine.workers['silent'].leases_expire_at_s
    bench.engine.lease_expiry.advance(bench.engine.workers, bench.now_s)
    assert bench.engine.workers['silent'].leases_expire_at_s == before


def test_the_expiry_is_stored_again_once_all_its_clocks_are_gone():
    bench = restored_engine(stored_record(), 'w7')
    bench.advance(2)
    record = next_record(bench)
    assert len(record.groups) == 2
    assert record.groups[1].clocks[0].worker == 'w7'


def test_a_stored_expiry_is_kept_as_it_is_while_a_clock_is_read():
    bench = restored_engine(stored_record(), 'w2', 'w7')
    bench.advance(2)
    assert next_record(bench) is None


def test_a_worker_that_responds_again_is_removed_and_then_renewed():
    bench = restored_engine(stored_record(), 'w1')
    table = bench.engine.lease_expiry
    bench.add_worker(entry('silent'))
    record = next_record(bench)
    assert not record.groups
    table.start_storing(record)
    assert 'silent' in table.named
    table.finish_storing(record)
    assert not table.named


def test_a_named_worker_is_given_no_run():
    """A run would need a lease that the stored expiry rules out."""
    bench = restored_engine(stored_record())
    bench.add_worker(entry('silent'))
    bench.submit(job_spec('other'))
    assert not bench.plan().starts
    bench.engine.lease_expiry.finish_storing(LeaseExpiryRecord())
    assert bench.plan().starts


def test_clocks_are_taken_from_several_domains():
    names = [f'{domain}{number}' for domain in 'abc' for number in range(9)]
    bench = restored_engine(LeaseExpiryRecord())
    for name in names:
        bench.add_worker(entry(name, domain=name[0]))
    bench.advance(2)
    (group,) = next_record(bench).groups
    assert len(group.clocks) == MAX_REFERENCE_CLOCKS
    assert {clock.worker[0] for clock in group.clocks} == set('abc')


@pytest.mark.parametrize(
    'stored', [b'', b'\x91', b'\xc1', b'\x91\x91\x05', b'\x91' * 5000 + b'\x90']
)
def test_a_record_that_cannot_be_decoded_is_an_error_of_records(stored):
    with pytest.raises(RecordError):
        decode_lease_expiry(stored)


def test_a_leader_is_sole_once_all_earlier_ones_have_ended():
    """Two changes within 12 s: a leader that is cut off may still act."""
    bench = Bench()
    table = bench.engine.lease_expiry
    table.restore(
        LeaseExpiryRecord((), Epoch(5)),
        epoch=EPOCH,
        sole_at_s=bench.now_s + AUTHORITY_S,
    )
    assert next_record(bench) is None
    bench.advance(AUTHORITY_S)
    assert next_record(bench).sole_epoch == EPOCH


def test_one_missed_poll_is_not_stored():
    """A poll waits up to 1.5 s, so the last report is old when one fails."""
    bench = Bench(entry('w1'), entry('w2'))
    bench.submit(job_spec('job'))
    bench.start_all()
    (worker,) = (
        one for one in bench.engine.workers.values() if one.allocations
    )
    bench.advance(1.6)
    worker.failed_polls = 1
    worker.silent_since_s = bench.now_s
    assert next_record(bench) is None
    bench.advance(STORED_AFTER_S + 0.1)
    assert next_record(bench) is not None


def test_a_worker_that_was_not_polled_yet_is_not_stored():
    """A new leader of 3,000 workers polls them for some seconds."""
    bench = restored_engine(LeaseExpiryRecord(), 'w1')
    record_entry(
        bench.engine.workers,
        bench.engine.reliability,
        entry('silent'),
        bench.now_s,
    )
    bench.advance(5)
    assert next_record(bench) is None
    silent = bench.engine.workers['silent']
    silent.failed_polls = 1
    silent.silent_since_s = bench.now_s - STORED_AFTER_S - 0.1
    assert next_record(bench) is not None
