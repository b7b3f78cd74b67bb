"""Leader election among the VMs, by a leased record in the store."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from mode import Service

from ..clock import MS_PER_S, Clock
from ..exceptions import StoreError
from ..ids import Epoch
from ..logs import log_event
from ..store import WatchableStore
from .failover import FailoverAction, campaign_delay_s
from .leader_monitor import LeaderMonitor
from .leader_records import RECORD_LEASE_MS, LeaderRecordStore
from .loop_delay import LoopDelay
from .messages import LeaderRecord
from .peers import Peers
from .settings import NodeSettings

RENEW_INTERVAL_S = 0.6
# Interval between reads of the record while no leader is known.
SEARCH_INTERVAL_S = 0.15
# How long the leader acts on its last confirmation. Long enough to keep
# running tasks alive through an outage of the store.
AUTHORITY_TTL_S = 12.0

MIN_RECORD_LEASE_S = RECORD_LEASE_MS / MS_PER_S
# How long the leases of runs may outlast the authority of their leader. Covers
# a confirmation that arrives late after an outage of the store.
LEASE_TAIL_S = 2.0

logger = logging.getLogger(__name__)


class Leadership(Service):
    """Campaigns for leadership and holds it, or follows the current leader.

    The leader is the VM that schedules. The epoch of its record is the
    fencing token of its orders and writes.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: WatchableStore,
        peers: Peers,
        clock: Clock,
        loop_delay: LoopDelay,
    ) -> None:
        """Take part in the leader election once started."""
        super().__init__()
        self.leader: LeaderRecord | None = None
        self.loop_delay = loop_delay
        # Called when this VM becomes the leader, and when it steps down.
        self.on_gained: Callable[[LeaderRecord], Awaitable[None]] = _do_nothing
        self.on_lost: Callable[[str], Awaitable[None]] = _do_nothing
        # Whether this VM has read the operators' configuration. A leader must
        # know the limits and closed domains before its first start.
        self.is_configured: Callable[[], bool] = _always
        # Whether this VM is shutting down; it does not campaign then.
        self.is_draining = False
        # Whether the previous leader's process is known to have ended, so that
        # it can no longer send orders or renew leases.
        self.has_previous_leader_ended = False
        # Epoch of the leader that this VM replaced; zero: it knows of none.
        self.previous_epoch = Epoch(0)
        self._settings = settings
        self._store = store
        self._peers = peers
        self._clock = clock
        self._records = LeaderRecordStore(settings, store, peers, clock)
        self._monitor = LeaderMonitor(settings.vm, peers, clock, loop_delay)
        # Epoch of the last record read by which this VM does not lead.
        self._last_read_epoch = Epoch(0)
        # Epoch by which this process led last; zero: it has not led.
        self._own_epoch = Epoch(0)
        # When that leader was last known to hold the record.
        self._last_read_at_s = 0.0
        self._is_leader = False
        # When the store last confirmed leadership.
        self.confirmed_at_s = 0.0
        self._wake = asyncio.Event()
        self._has_record_changed = False

    @property
    def is_leader(self) -> bool:
        """Return whether this VM is the leader."""
        return self._is_leader

    @property
    def has_authority(self) -> bool:
        """Return whether this VM is the leader and may still send orders.

        It may until ``AUTHORITY_TTL_S`` after its last confirmation.
        """
        age_s = self._clock.monotonic_s() - self.confirmed_at_s
        return self._is_leader and age_s < AUTHORITY_TTL_S

    @property
    def is_leader_reachable(self) -> bool:
        """Return whether the leader is this VM or answered the last ping."""
        if self._is_leader:
            return True
        return self.leader is not None and self._monitor.is_responsive

    async def check_leader(self) -> bool:
        """Return whether the leader is this VM or responds now."""
        leader = self.leader
        if self._is_leader or leader is None:
            return self._is_leader
        return await self._monitor.is_reachable(leader)

    def confirm(self, sent_at_s: float) -> None:
        """Record that a store call sent at ``sent_at_s`` confirmed leadership.

        Such a call reads the leader record, or is a write conditional on it.
        """
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)

    def handle_hand_over(self, epoch: Epoch) -> None:
        """Stop following the leader of ``epoch``, which has resigned."""
        if self.leader is not None and self.leader.epoch == epoch:
            self._monitor.record_ended(epoch)
            self._last_read_at_s = self._clock.monotonic_s()
            self.leader = None
            self._wake.set()

    def handle_record_changed(self) -> None:
        """Read the leader record again: it was written or removed."""
        self._has_record_changed = True
        self._wake.set()

    async def step_down(self, reason: str) -> None:
        """Stop being the leader; does nothing if this VM is not."""
        if not self._is_leader:
            return
        self._is_leader = False
        self.leader = None
        log_event(logger, 'tenure.lost', level=logging.WARNING, reason=reason)
        await self.on_lost(reason)

    async def resign(self) -> LeaderRecord | None:
        """Give up leadership and campaign no more.

        Returns this VM's record, or None if it was not the leader.
        """
        self.is_draining = True
        leader = self.leader
        if not self._is_leader or leader is None:
            return None
        await self.step_down('this VM is shutting down')
        try:
            await self._store.end_lease(leader.lease)
        except StoreError as exc:
            # The lease expires by itself.
            log_event(logger, 'tenure.release_failed', error=exc)
        return leader

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                pause_s = await self._step()
            except StoreError as exc:
                log_event(
                    logger,
                    'tenure.store_failed',
                    level=logging.DEBUG,
                    error=exc,
                )
                pause_s = SEARCH_INTERVAL_S
            await _wait(self._wake, pause_s)
            self._wake.clear()

    async def _step(self) -> float:
        if self._is_leader:
            await self._renew()
            return RENEW_INTERVAL_S
        if self.leader is None or self._has_record_changed:
            self._has_record_changed = False
            await self._read_record()
            return SEARCH_INTERVAL_S if self.leader is None else 0
        action = await self._monitor.check(self.leader)
        if action is FailoverAction.WAIT:
            return self._monitor.ping_interval_s(self._settings.cpu_cores)
        should_replace = action is FailoverAction.REPLACE
        await self._read_record(replace=self.leader if should_replace else None)
        return SEARCH_INTERVAL_S

    async def _renew(self) -> None:
        leader = self.leader
        if leader is None:
            return
        self._has_record_changed = False
        sent_at_s = self._clock.monotonic_s()
        try:
            is_alive, record = await asyncio.gather(
                self._store.renew_lease(leader.lease), self._records.read()
            )
        except StoreError as exc:
            age_s = sent_at_s - self.confirmed_at_s
            log_event(
                logger,
                'tenure.renewal_failed',
                level=logging.WARNING,
                proof_age_s=round(age_s, 2),
                error=exc,
            )
            return
        # The lease of a record that was replaced may live on.
        is_own_record = record is not None and record.epoch == leader.epoch
        if is_alive and is_own_record:
            self.confirm(sent_at_s)
        elif is_alive:
            await self.step_down('another VM has replaced the leader record')
        else:
            await self.step_down(
                'the store lease of the leader record has expired'
            )

    async def _read_record(self, replace: LeaderRecord | None = None) -> None:
        """Read the record and follow the leader that it names.

        Campaigns if there is no record, or if it still is ``replace``.
        """
        sent_at_s = self._clock.monotonic_s()
        leader = await self._records.read()
        if leader is None:
            await self._campaign(None)
            return
        is_own = leader.incarnation == self._peers.hello.incarnation
        if is_own and leader.epoch != self._own_epoch:
            # This VM's own write took effect, but its response was lost.
            await self._become_leader(leader, sent_at_s)
            return
        self._last_read_epoch = leader.epoch
        self._last_read_at_s = sent_at_s
        if is_own:
            # Late writes and orders of the term that this VM has ended carry
            # its epoch: a new record rejects them.
            await self._campaign(leader)
            return
        if replace is not None and replace.epoch == leader.epoch:
            log_event(
                logger,
                'tenure.replaces',
                level=logging.WARNING,
                holder=leader.vm,
                epoch=leader.epoch,
                **self._monitor.describe(),
            )
            await self._campaign(leader)
            return
        if self.leader is None or self.leader.epoch != leader.epoch:
            if self.leader is not None:
                # Requests that the previous leader left unanswered are sent
                # again at once; it can no longer accept a job.
                self._peers.close_stream(self.leader.address)
            self.leader = leader
            self._monitor.reset()
            log_event(
                logger, 'tenure.follows', holder=leader.vm, epoch=leader.epoch
            )

    async def _campaign(self, previous: LeaderRecord | None) -> None:
        if self.is_draining or not self.is_configured():
            return
        delay_s = campaign_delay_s(
            self._records.round_trip_s, self._settings.cpu_cores
        )
        # Of many VMs that campaign at once, another has probably won already.
        is_current = asyncio.create_task(
            self._records.is_current_after(delay_s, previous)
        )
        if previous is not None and previous.epoch != self._own_epoch:
            if await self._monitor.answers_during(previous, is_current):
                log_event(
                    logger,
                    'tenure.kept',
                    holder=previous.vm,
                    epoch=previous.epoch,
                )
                return
        if not await is_current:
            return
        sent_at_s = self._clock.monotonic_s()
        record = await self._records.replace(previous)
        if record is None:
            return
        if previous is not None:
            self.add_future(self._records.end_lease(previous))
        await self._become_leader(
            record, sent_at_s, has_replaced=previous is not None
        )

    async def _become_leader(
        self,
        leader: LeaderRecord,
        confirmed_at_s: float,
        *,
        has_replaced: bool = False,
    ) -> None:
        if self.is_draining:
            return
        # Without a record to replace, another VM may have led in between; its
        # record would have lasted for this long.
        age_s = confirmed_at_s - self._last_read_at_s
        is_last_read_previous = has_replaced or age_s < MIN_RECORD_LEASE_S
        self.has_previous_leader_ended = (
            is_last_read_previous
            and self._last_read_epoch > 0
            and self._last_read_epoch == self._monitor.ended_epoch
        )
        self.previous_epoch = self._last_read_epoch
        self._own_epoch = leader.epoch
        self.leader = leader
        self._monitor.reset()
        self._is_leader = True
        self.confirmed_at_s = confirmed_at_s
        log_event(
            logger,
            'tenure.won',
            epoch=leader.epoch,
            round_trip_ms=round(self._records.round_trip_s * 1000),
        )
        await self.on_gained(leader)


def longest_lease_s(confirmed_at_s: float, now_s: float) -> float:
    """Return for how long a leader may grant leases at ``now_s``.

    A later leader waits until all of them have expired.
    """
    authority_ends_at_s = confirmed_at_s + AUTHORITY_TTL_S
    return max(0, authority_ends_at_s + LEASE_TAIL_S - now_s)


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until ``event`` is set, at most ``timeout_s``."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return


def _always() -> bool:
    """Stand in for a condition that is set later."""
    return True


async def _do_nothing(_event: object) -> None:
    """Stand in for a handler that is set later."""
