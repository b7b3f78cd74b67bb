"""Model of workers, calls, store and leaders for tests of real schedulers.

Time is virtual: the event loop skips each wait, so a run is deterministic and
fast. The checks of ``World`` note each breach of an invariant as one line.
"""

import asyncio
import itertools
import logging
import selectors
from types import SimpleNamespace

import msgspec
from batch_builders import entry, job_spec, report, step
from fake_watchable_store import FakeWatchableStore
from pytest import MonkeyPatch

from bulrushcove.batch import crash_history as crash_module
from bulrushcove.batch.job_state import JobPhase, UnitPhase
from bulrushcove.batch.orders import (
    OrderOutcome,
    OrderReply,
    WorkerCallError,
    WorkerFencedError,
)
from bulrushcove.batch.records import MAX_RECORD_BYTES, decode_progress
from bulrushcove.batch.workers import EndKind
from bulrushcove.clock import ManualClock
from bulrushcove.exceptions import (
    BulrushcoveError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.ids import Epoch, IncarnationId, VmId
from bulrushcove.metrics import new_metrics
from bulrushcove.node.leadership import AUTHORITY_TTL_S
from bulrushcove.node.messages import LeaderRecord
from bulrushcove.node.metrics import NodeMetrics
from bulrushcove.node.scheduler import Scheduler
from bulrushcove.node.store_keys import LEADER_KEY, progress_key
from bulrushcove.node.worker_registry import WorkerAdapter, WorkerRegistry
from bulrushcove.store import StoreLeaseId, Write

WORKERS_PREFIX = 'workers/'
MAX_LEASE_MS = 6000
LATENCY_S = 0.005
# Delay of a response of the fate ``slow``; shorter than each time limit.
SLOW_S = 0.25
ORDER_TIMEOUT_S = 0.35
REPORT_MARGIN_S = 0.4
STORE_LATENCY_S = 0.01
STORE_TIMEOUT_S = 1.0
STOP_S = 0.2
HEARTBEAT_S = 1.0
# The entry of a worker is removed after so many heartbeats of silence.
MAX_MISSED_HEARTBEATS = 3
# All jobs must have succeeded so long after the last trouble.
HEAL_S = 90.0

# Fates of a call to a worker.
SOUND = 'sound'
# Carried out; the response comes late, after those of newer calls.
SLOW = 'slow'
# Carried out, no response.
MUTE = 'mute'
# Carried out late, after newer calls; no response.
LATE = 'late'
# Neither carried out nor answered.
CUT = 'cut'
# Further fate of a transaction: rejected without effect.
DOWN = 'down'


class SkippingSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('the loop waits for nothing')
        self._clock.advance(max(0, timeout))
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on the time of a manual clock."""

    def __init__(self, clock):
        super().__init__(SkippingSelector(clock))
        self._manual_clock = clock

    def time(self):
        return self._manual_clock.monotonic_s()


class Trouble:
    """Fates of the calls of one party, in turn, until a time."""

    def __init__(self, clock):
        self.late_s = 0.0
        self.until_s = 0.0
        self._clock = clock
        self._fates = (SOUND,)
        self._calls = 0

    def begin(self, fates, late_s, lasts_s):
        self._fates = fates
        self._calls = 0
        self.late_s = late_s
        self.until_s = self._clock.monotonic_s() + lasts_s

    def next_fate(self):
        if self._clock.monotonic_s() >= self.until_s:
            return SOUND
        fate = self._fates[self._calls % len(self._fates)]
        self._calls += 1
        return fate

    def is_only(self, fate):
        is_over = self._clock.monotonic_s() >= self.until_s
        return not is_over and set(self._fates) == {fate}


class Run:
    """One run that a worker has carried out."""

    def __init__(self, ref, life, started_at_s):
        self.ref = ref
        self.life = life
        self.started_at_s = started_at_s
        self.ended_at_s = None
        self.how = None
        self.number = 0
        self.acknowledged_at_s = None
        # Whether the lease lapsed between the end and its acknowledgement.
        self.has_lapsed = False

    @property
    def is_done(self):
        return self.how is EndKind.DONE


class Life:
    """One incarnation of a worker, as the protocol describes it."""

    def __init__(self, world, worker):
        self.world = world
        self.worker = worker
        self.started_at_s = world.now_s
        self.started_unix_ms = world.clock.unix_ms()
        self.is_up = True
        self.running = {}
        # Ends that are not forgotten.
        self.ended = []
        # Numbers of the ends in the reports that each leader has received.
        self.listed = {}
        self._count = 0
        self._acknowledged = 0
        self._highest_ended = {}
        self._epoch = 0
        self._lease_end_ms = 0
        self._lapses = []
        self._changed = asyncio.Event()

    def __str__(self):
        return f'{self.worker.name}@{self.started_unix_ms}'

    @property
    def clock_ms(self):
        elapsed_s = self.world.now_s - self.started_at_s
        return int(elapsed_s * self.worker.clock_rate * 1000)

    async def report(self, epoch, stored_end, lease_end_ms, wait_ms):
        self._check_epoch(epoch)
        self._acknowledge(epoch, stored_end)
        self._extend_lease(lease_end_ms or 0)
        if wait_ms and not self.ended:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                self._changed.clear()
        return self._report()

    async def start(self, order):
        self._extend_lease(order.deadline_ms)
        ref = order.ref
        if ref in self.running:
            return OrderOutcome.DONE
        if ref.run <= self._highest_ended.get(ref.task, 0):
            return OrderOutcome.STALE_RUN
        if self.clock_ms > order.deadline_ms:
            return OrderOutcome.TOO_LATE
        if len(self.running) >= self.worker.slots:
            return OrderOutcome.NO_CAPACITY
        self._begin(ref, float(order.payload))
        return OrderOutcome.DONE

    async def stop(self, ref):
        self._mark_ended(ref)
        if ref in self.running:
            self._end_later(ref, EndKind.STOPPED, STOP_S)
        return OrderOutcome.DONE

    async def order(self, epoch, execute, order):
        try:
            self._check_epoch(epoch)
        except WorkerFencedError:
            return OrderReply(OrderOutcome.FENCED, self.clock_ms)
        return OrderReply(await execute(order), self.clock_ms)

    def crash(self):
        self.is_up = False
        self.running.clear()

    def _check_epoch(self, epoch):
        if epoch < self._epoch:
            raise WorkerFencedError('a higher epoch was seen')
        self._epoch = epoch

    def _begin(self, ref, work_s):
        run = Run(ref, self, self.world.now_s)
        self.world.check_start(run)
        self.running[ref] = (run, work_s)
        self.world.log(f'{self} starts {name_of(ref)}')
        self._end_later(ref, EndKind.DONE, work_s)

    def _end_later(self, ref, how, delay_s):
        self.world.loop.call_later(delay_s, self._end, ref, how)

    def _end(self, ref, how):
        found = self.running.pop(ref, None)
        if found is None or not self.is_up:
            return
        run, _ = found
        self._mark_ended(ref)
        self._count += 1
        run.ended_at_s = self.world.now_s
        run.how = how
        run.number = self._count
        self.ended.append(run)
        self.world.log(
            f'{self} ends {name_of(ref)} {how.value} as {run.number}'
        )
        # The worker keeps the highest number that was acknowledged.
        self._forget(0)
        self._changed.set()

    def _mark_ended(self, ref):
        highest = self._highest_ended.get(ref.task, 0)
        self._highest_ended[ref.task] = max(highest, ref.run)

    def _acknowledge(self, epoch, number):
        if number:
            self.world.log(f'{self} is acknowledged {number} by {epoch}')
        self._acknowledged = max(self._acknowledged, number)
        self._forget(epoch)

    def _forget(self, epoch):
        listed = self.listed.get(epoch, ())
        for run in self.ended:
            if run.number > self._acknowledged:
                continue
            run.acknowledged_at_s = self.world.now_s
            run.has_lapsed = any(at >= run.ended_at_s for at in self._lapses)
            self.world.check_acknowledgement(run, run.number in listed)
        self.ended = [
            run for run in self.ended if run.number > self._acknowledged
        ]

    def _extend_lease(self, lease_end_ms):
        latest_ms = self.clock_ms + MAX_LEASE_MS
        self._lease_end_ms = max(
            self._lease_end_ms, min(lease_end_ms, latest_ms)
        )
        self._expire_later()

    def _expire_later(self):
        # The clock's reading is rounded down, so the timer may be early.
        left_ms = max(1, self._lease_end_ms + 1 - self.clock_ms)
        delay_s = left_ms / 1000 / self.worker.clock_rate
        self.world.loop.call_later(delay_s, self._expire, self._lease_end_ms)

    def _expire(self, lease_end_ms):
        if not self.is_up or lease_end_ms != self._lease_end_ms:
            return
        if self.clock_ms <= lease_end_ms:
            self._expire_later()
            return
        self._lapses.append(self.world.now_s)
        for ref in tuple(self.running):
            self._end(ref, EndKind.LEASE_EXPIRED)

    def _report(self):
        running = [
            (ref, '', self._percent(run, work_s))
            for ref, (run, work_s) in self.running.items()
        ]
        listed = self.ended[: self.world.list_limit]
        made = report(
            self.clock_ms,
            running,
            [(run.number, run.ref, run.how, '') for run in listed],
            self.started_unix_ms,
        )
        is_cut = len(listed) == self.world.list_limit
        return msgspec.structs.replace(
            made, is_cut=is_cut and self.world.marks_cut_lists
        )

    def _percent(self, run, work_s):
        share = (self.world.now_s - run.started_at_s) / work_s
        return min(99, int(share * 100))


class FakeWorker:
    """A worker with one life after the other, at one address."""

    def __init__(self, world, name, clock_rate):
        self.name = name
        self.clock_rate = clock_rate
        self.slots = world.slots
        self.trouble = Trouble(world.clock)
        self.world = world
        self.life = Life(world, self)
        self._stored_unix_ms = None
        self._last_heartbeat_s = world.now_s

    @property
    def entry(self):
        return entry(
            self.name,
            accelerators=self.slots,
            started_unix_ms=self._stored_unix_ms,
        )

    async def restart(self, down_s):
        """Crash and start again ``down_s`` later under the same id."""
        if self.life is None:
            return
        self.world.log(f'{self.life} crashes')
        self.life.crash()
        self.life = None
        await asyncio.sleep(down_s)
        self.life = Life(self.world, self)
        self.world.log(f'{self.life} is up')

    async def keep_entry(self):
        """Keep the entry in the store, as the platform does."""
        while True:
            if not self.world.is_store_down:
                self.update_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def update_entry(self):
        now_s = self.world.now_s
        if self.life is not None:
            self._last_heartbeat_s = now_s
            if self._stored_unix_ms != self.life.started_unix_ms:
                self._stored_unix_ms = self.life.started_unix_ms
                self.world.write(WORKERS_PREFIX + self.name, b'entry')
        silent_s = now_s - self._last_heartbeat_s
        is_gone = silent_s > MAX_MISSED_HEARTBEATS * HEARTBEAT_S
        if is_gone and self._stored_unix_ms is not None:
            self._stored_unix_ms = None
            self.world.write(WORKERS_PREFIX + self.name, None)


class FakeClient:
    """Client of one worker, as one leader uses it."""

    def __init__(self, world, leader, worker):
        self._world = world
        self._leader = leader
        self._worker = worker

    async def report(
        self, epoch, *, started_unix_ms, stored_end, lease_end_ms, wait_ms
    ):
        sent_to = self._worker.life
        has_effect = stored_end > 0 or lease_end_ms is not None
        if has_effect and not self._is_bound(sent_to, started_unix_ms):
            # Only the report by which the connection is identified is sent.
            stored_end, lease_end_ms, wait_ms = 0, None, 0

        async def execute(life):
            self._check_connection(life, sent_to)
            answer = await life.report(epoch, stored_end, lease_end_ms, wait_ms)
            return life, answer

        timeout_s = wait_ms / 1000 + REPORT_MARGIN_S
        life, answer = await self._call(execute, timeout_s)
        numbers = {ended.number for ended in answer.ended}
        life.listed.setdefault(epoch, set()).update(numbers)
        for ended in answer.ended:
            if ended.kind is EndKind.DONE:
                self._leader.known_done.add(ended.ref.task)
        return answer

    async def start(self, epoch, order):
        self._world.check_order(self._leader, order.ref)
        sent_to = self._worker.life
        if self._is_bound(sent_to, order.started_unix_ms):
            return await self._order(
                lambda life: life.order(epoch, life.start, order), sent_to
            )
        reply = await self._order(
            lambda life: life.order(epoch, _identify, order), sent_to
        )
        if reply.outcome is OrderOutcome.UNKNOWN:
            return OrderReply(OrderOutcome.UNREACHED)
        return reply

    async def stop(self, epoch, ref):
        return await self._order(
            lambda life: life.order(epoch, life.stop, ref), self._worker.life
        )

    async def throttle(self, epoch, ref, percent):
        return OrderReply(OrderOutcome.UNKNOWN)

    async def close(self):
        """Do nothing: no connection is open."""

    def _is_bound(self, life, started_unix_ms):
        """Return whether a call that is sent now is meant for ``life``.

        A call to a worker that is down reaches nobody.
        """
        if not self._world.binds_calls or life is None:
            return True
        return life.started_unix_ms == started_unix_ms

    def _check_connection(self, life, sent_to):
        """Check that ``life`` accepted the connection of a call."""
        if self._world.binds_calls and life is not sent_to:
            raise WorkerCallError('sent to an earlier life')

    async def _order(self, execute, sent_to):
        async def execute_order(life):
            self._check_connection(life, sent_to)
            return await execute(life)

        try:
            return await self._call(execute_order, ORDER_TIMEOUT_S)
        except WorkerCallError:
            return OrderReply(OrderOutcome.UNKNOWN)

    async def _call(self, execute, timeout_s):
        """Send a call; what becomes of it does not depend on the caller."""
        reply = self._world.loop.create_future()
        self._world.spawn(self._carry_out(execute, reply))
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError as exc:
            raise WorkerCallError('no response') from exc

    async def _carry_out(self, execute, reply):
        trouble = self._worker.trouble
        fate = trouble.next_fate()
        if fate == CUT:
            return
        await asyncio.sleep(trouble.late_s if fate == LATE else LATENCY_S)
        life = self._worker.life
        if life is None:
            return
        try:
            answer = await execute(life)
        except (WorkerCallError, WorkerFencedError) as exc:
            answer = exc
        await asyncio.sleep(SLOW_S if fate == SLOW else LATENCY_S)
        is_answered = fate in {SOUND, SLOW} and life.is_up
        if not is_answered or reply.done():
            return
        if isinstance(answer, Exception):
            reply.set_exception(answer)
        else:
            reply.set_result(answer)


async def _identify(_order):
    return OrderOutcome.OTHER_INCARNATION


class LeaderStore:
    """The store as one leader reaches it."""

    def __init__(self, world):
        self.is_cut = False
        self._world = world
        self._store = world.store

    async def read(self, key):
        await self._begin()
        return await self._store.read(key)

    async def scan(self, prefix):
        await self._begin()
        return await self._store.scan(prefix)

    async def watch(self, prefix, after, wait_ms):
        await self._begin()
        return await self._store.watch(prefix, after, wait_ms)

    async def commit(self, writes, checks=()):
        trouble = self._world.store_trouble
        fate = trouble.next_fate()
        await self._begin()
        if fate == DOWN:
            raise StoreUnavailableError('store is down')
        if fate == CUT:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreOutcomeUnknownError('no response')
        delay_s = trouble.late_s if fate == LATE else 0
        reply = self._world.loop.create_future()
        self._world.spawn(self._carry_out(writes, checks, delay_s, reply))
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                answer = await reply
        except TimeoutError as exc:
            raise StoreOutcomeUnknownError('no response') from exc
        if fate == MUTE:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreOutcomeUnknownError('no response')
        return answer

    async def _begin(self):
        await asyncio.sleep(STORE_LATENCY_S)
        if self.is_cut or self._world.is_store_down:
            raise StoreUnavailableError('store is down')

    async def _carry_out(self, writes, checks, delay_s, reply):
        await asyncio.sleep(delay_s)
        answer = await self._store.commit(writes, checks)
        if not reply.done():
            reply.set_result(answer)


class FakeLeadership:
    """Leadership that is confirmed as long as the store is reached."""

    def __init__(self, world, previous_epoch, has_previous_ended):
        self.previous_epoch = previous_epoch
        self.has_previous_leader_ended = has_previous_ended
        self.loop_delay = SimpleNamespace(was_late_since=lambda since_s: False)
        self.is_leader = True
        self.store = LeaderStore(world)
        self._world = world
        self._confirmed_at_s = world.now_s

    @property
    def confirmed_at_s(self):
        if not (self._world.is_store_down or self.store.is_cut):
            self._confirmed_at_s = self._world.now_s
        return self._confirmed_at_s

    @property
    def has_authority(self):
        age_s = self._world.now_s - self.confirmed_at_s
        return self.is_leader and age_s < AUTHORITY_TTL_S

    def confirm(self, sent_at_s):
        """Do nothing: the store confirms it anyway."""

    async def step_down(self, reason):
        self.is_leader = False
        self._world.log(f'a leader steps down: {reason}')


class Leader:
    """A scheduler that leads, or that led and still runs."""

    def __init__(self, world, epoch, previous_epoch, has_previous_ended):
        # Tasks of which it has received an end ``done``.
        self.known_done = set()
        self.epoch = epoch
        self.leadership = FakeLeadership(
            world, previous_epoch, has_previous_ended
        )
        self.scheduler = Scheduler(
            SimpleNamespace(
                max_lease_ms=MAX_LEASE_MS,
                cpu_cores=1.0,
                max_record_bytes=MAX_RECORD_BYTES,
                memory_mb=0,
            ),
            self.leadership.store,
            self.leadership,
            LeaderRecord(
                VmId('vm'), IncarnationId('i'), 'a:1', StoreLeaseId(0), epoch
            ),
            worker_adapter=WorkerAdapter(
                WORKERS_PREFIX,
                lambda key, stored: world.find_worker(key).entry,
                lambda name, address: FakeClient(
                    world, self, world.workers[name]
                ),
                None,
            ),
            clock=world.clock,
            metrics=NodeMetrics(new_metrics()),
        )

    @property
    def accepts_jobs(self):
        return self.leadership.is_leader and self.scheduler.is_loaded

    async def stop(self):
        self.leadership.is_leader = False
        await self.scheduler.stop()


class World:
    """Workers, a store, leaders in turn, and the checks of all they do."""

    # Whether the adapter marks reports whose list of ends is cut.
    marks_cut_lists = True
    # Whether the adapter binds each call to one life of a worker.
    binds_calls = True

    def __init__(self, clock, loop, *, list_limit=500, workers=2, slots=4):
        self.clock = clock
        self.loop = loop
        self.list_limit = list_limit
        self.slots = slots
        self.store = FakeWatchableStore(clock)
        self.store_trouble = Trouble(clock)
        self.breaches = []
        self.lines = []
        self.runs = []
        # When the last job was submitted.
        self.submitted_at_s = 0.0
        self.leader = None
        self._epoch = 0
        self._jobs = []
        self._tasks = set()
        self._changes = asyncio.Lock()
        self.workers = {
            f'w{number}': FakeWorker(self, f'w{number}', 1 - number * 0.02)
            for number in range(workers)
        }

    @property
    def now_s(self):
        return self.clock.monotonic_s()

    @property
    def is_store_down(self):
        return self.store_trouble.is_only(DOWN)

    def log(self, line):
        self.lines.append(f'{self.now_s:9.3f} {line}')

    def spawn(self, coroutine):
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def find_worker(self, key):
        return self.workers[key.removeprefix(WORKERS_PREFIX)]

    def write(self, key, stored):
        self.spawn(self._write(key, stored))

    async def open(self):
        for worker in self.workers.values():
            worker.update_entry()
            self.spawn(worker.keep_entry())
        await self.change_leader(0, 0)

    async def close(self):
        await self.leader.stop()

    async def submit(self, count, work_s):
        """Submit a job until it is accepted."""
        spec = job_spec(f'j{len(self._jobs)}', step(count), attempts=1000)
        spec = msgspec.structs.replace(spec, payload=str(work_s))
        self._jobs.append(spec.job)
        self.submitted_at_s = self.now_s
        self.log(f'{spec.job} of {count} tasks of {work_s} s is submitted')
        while True:
            try:
                await self._submit(spec)
                return
            except (BulrushcoveError, TimeoutError):
                await asyncio.sleep(0.3)

    async def change_leader(self, gap_s, overlap_s):
        """Elect a leader ``gap_s`` after the last one lost the store.

        That one acts ``overlap_s`` longer; zero: it ends at once.
        """
        async with self._changes:
            old = self.leader
            if old is not None:
                old.leadership.store.is_cut = True
                if not overlap_s:
                    await old.stop()
            await asyncio.sleep(gap_s)
            while self.is_store_down:
                await asyncio.sleep(0.1)
            await self._lead(has_previous_ended=not overlap_s)
            if old is not None and overlap_s:
                await asyncio.sleep(overlap_s)
                await old.stop()

    async def heal(self):
        """End all troubles and wait until all jobs have succeeded."""
        troubles = [worker.trouble for worker in self.workers.values()]
        troubles.append(self.store_trouble)
        until_s = max(trouble.until_s for trouble in troubles)
        await asyncio.sleep(max(0, until_s - self.now_s))
        async with self._changes:
            self.log('troubles have ended')
        end_s = self.now_s + HEAL_S
        while self.now_s < end_s and not self._have_all_succeeded():
            await asyncio.sleep(0.5)
        for job in self._jobs:
            phase = self._stored_phase(job)
            if phase is not JobPhase.SUCCEEDED:
                self.breaches.append(f'5: {job} is {phase} at the end')
        # The last ends are acknowledged, and nothing starts after them.
        await asyncio.sleep(3)
        self._check_starts_after_ends()

    def check_start(self, run):
        """Check a start that a worker carries out."""
        self.runs.append(run)
        for worker in self.workers.values():
            if worker.life is None:
                continue
            for other in worker.life.running:
                if other.task == run.ref.task:
                    self._note(f'4: {name_of(run.ref)} beside {name_of(other)}')

    def check_order(self, leader, ref):
        """Check a start that a leader sends."""
        sender = f'leader {leader.epoch}'
        if ref.task in leader.known_done:
            self._note(f'1: {sender} sends {name_of(ref)}, known as done')
        if any(
            run.is_done
            and run.ref.task == ref.task
            and run.acknowledged_at_s is not None
            for run in self.runs
        ):
            self._note(f'1: {sender} sends {name_of(ref)}, acknowledged')
        if self._is_stored_as_done(ref.task):
            self._note(f'1: {sender} sends {name_of(ref)}, stored as done')

    def check_acknowledgement(self, run, was_listed):
        """Check the acknowledgement of an end, as the worker carries it out."""
        end = f'end {run.number} of {run.life}, {name_of(run.ref)}'
        if not was_listed:
            self._note(f'2: {end} is acknowledged, but was not listed')
        if run.is_done and not self._is_stored_as_done(run.ref.task):
            self._note(f'3: {end} is acknowledged, but not stored as done')

    def _note(self, breach):
        self.log(f'BREACH {breach}')
        self.breaches.append(breach)

    def _check_starts_after_ends(self):
        noted = [
            run
            for run in self.runs
            if run.is_done
            and run.acknowledged_at_s is not None
            and not run.has_lapsed
        ]
        for ended, run in itertools.product(noted, self.runs):
            is_same = run.ref.task == ended.ref.task
            if is_same and run.started_at_s > ended.ended_at_s:
                self._note(
                    f'1: {name_of(run.ref)} started at {run.started_at_s}'
                    f' after {name_of(ended.ref)} ended done'
                    f' at {ended.ended_at_s}'
                )

    async def _write(self, key, stored):
        known = self.store.values.get(key)
        revision = known.mod_revision if known else 0
        await self.store.commit((Write(key, stored, revision),))

    async def _lead(self, *, has_previous_ended):
        previous = Epoch(self._epoch)
        write = Write(LEADER_KEY, b'', previous)
        answer = await self.store.commit((write,))
        self._epoch = Epoch(answer.store_revision)
        self.log(f'leader {self._epoch} follows {previous}')
        self.leader = Leader(self, self._epoch, previous, has_previous_ended)
        await self.leader.scheduler.start()

    async def _submit(self, spec):
        if not self.leader.accepts_jobs:
            raise TimeoutError('there is no leader')
        async with asyncio.timeout(5):
            await self.leader.scheduler.job_requests.submit(spec)

    def _progress(self, job):
        stored = self.store.values.get(progress_key(job))
        return None if stored is None else decode_progress(stored.value)

    def _stored_phase(self, job):
        progress = self._progress(job)
        return None if progress is None else JobPhase(progress.phase)

    def _is_stored_as_done(self, task):
        """Return whether ``task``, of a job of one step, is stored as done."""
        progress = self._progress(task.job)
        unit = progress.units.get(task.index) if progress else None
        return unit is not None and UnitPhase(unit.phase) is UnitPhase.DONE

    def _have_all_succeeded(self):
        return all(
            self._stored_phase(job) is JobPhase.SUCCEEDED for job in self._jobs
        )


def name_of(ref):
    """Return a short name of a run."""
    return f'{ref.task.job}.{ref.task.index} run {ref.run}'


def play(script, world_class=World, **options):
    """Play ``script``, a coroutine function, on a new world; return it."""
    clock = ManualClock()
    loop = VirtualLoop(clock)
    asyncio.set_event_loop(loop)
    world = world_class(clock, loop, **options)
    with MonkeyPatch.context() as monkeypatch:
        _make_deterministic(monkeypatch)
        _collect_errors(monkeypatch, world)
        try:
            loop.run_until_complete(_play(world, script))
        finally:
            asyncio.set_event_loop(None)
            loop.close()
    return world


async def _play(world, script):
    await world.open()
    await asyncio.sleep(1.5)
    await script(world)
    await world.heal()
    await world.close()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


class ErrorHandler(logging.Handler):
    """Notes each logged error as a breach."""

    def __init__(self, world):
        super().__init__(logging.ERROR)
        self._world = world

    def emit(self, record):
        line = (
            f'error: {record.getMessage()} {record.__dict__.get("error", "")}'
        )
        self._world.log(line)
        self._world.breaches.append(line)


def _collect_errors(monkeypatch, world):
    """Keep the log of the schedulers from the test's, but for its errors."""
    logger = logging.getLogger('bulrushcove')
    monkeypatch.setattr(logger, 'handlers', [ErrorHandler(world)])
    monkeypatch.setattr(logger, 'propagate', False)


def _make_deterministic(monkeypatch):
    """Remove what depends on the order of a set, and jobs given up."""
    handle_entries = WorkerRegistry._handle_entries
    monkeypatch.setattr(
        WorkerRegistry,
        '_handle_entries',
        lambda registry, entries, changed: handle_entries(
            registry, entries, tuple(sorted(changed))
        ),
    )
    for limit in ('IMMEDIATE', 'LONE', 'STABLE'):
        monkeypatch.setattr(crash_module, f'MAX_{limit}_CRASHES', 1000)
