"""Who is the active scheduler: its record, its lease and its succession."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec
from mode import Service

from ..clock import Clock
from ..exceptions import StoreError, StoreOutcomeUnknownError
from ..ids import Epoch
from ..logs import log_event
from ..store import StoredValue, WatchableStore, Write
from .failover import Verdict, campaign_delay_s
from .leader_monitor import LeaderMonitor
from .messages import LeaderRecord
from .peers import Peers
from .settings import NodeSettings
from .store_keys import LEADER_KEY

# Lease of the holder's record: how long a VM without power is missed.
LEASE_MS = 2500
RENEW_S = 0.6
PING_S = 0.25
# While there is no holder.
SEARCH_S = 0.15
# How long a scheduler acts on its last proof of tenure. Long enough to keep
# running work alive through an outage of the store.
AUTHORITY_TTL_S = 12.0
_FIRST_ROUND_TRIP_S = 0.05

logger = logging.getLogger(__name__)


class Leadership(Service):
    """Follows the holder, or is it."""

    def __init__(
        self,
        settings: NodeSettings,
        store: WatchableStore,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Take part in the succession once started."""
        super().__init__()
        self.leader: LeaderRecord | None = None
        # Called when this VM becomes, and ceases to be, the active scheduler.
        self.on_gained: Callable[[LeaderRecord], Awaitable[None]] = _ignore
        self.on_lost: Callable[[str], Awaitable[None]] = _ignore
        # Whether this VM stops, and so campaigns no more.
        self.is_draining = False
        # Whether the holder before is known to have ended, so that it can
        # give no more orders or leases.
        self.has_previous_leader_ended = False
        self._settings = settings
        self._store = store
        self._peers = peers
        self._clock = clock
        self._watch = LeaderMonitor(settings.vm, peers, clock)
        # Epoch of the last record that was read.
        self._seen_epoch = Epoch(0)
        self._is_leader = False
        self._proof_s = 0.0
        self._round_trip_s = _FIRST_ROUND_TRIP_S
        self._wake = asyncio.Event()

    @property
    def is_leader(self) -> bool:
        """Return whether this VM is the active scheduler."""
        return self._is_leader

    @property
    def has_authority(self) -> bool:
        """Return whether this VM may still give orders."""
        age_s = self._clock.monotonic_s() - self._proof_s
        return self._is_leader and age_s < AUTHORITY_TTL_S

    @property
    def is_leader_reachable(self) -> bool:
        """Return whether the holder answered the last ping."""
        if self._is_leader:
            return True
        return self.leader is not None and self._watch.has_answered

    def confirm(self, asked_s: float) -> None:
        """Take note that a write under the record's condition succeeded."""
        self._proof_s = max(self._proof_s, asked_s)

    def handle_hand_over(self, epoch: Epoch) -> None:
        """The holder of ``epoch`` has left."""
        if self.leader is not None and self.leader.epoch == epoch:
            self._watch.note_over(epoch)
            self.leader = None
            self._wake.set()

    async def step_down(self, reason: str) -> None:
        """Cease to be the active scheduler."""
        if not self._is_leader:
            return
        self._is_leader = False
        self.leader = None
        log_event(logger, 'tenure.lost', level=logging.WARNING, reason=reason)
        await self.on_lost(reason)

    async def resign(self) -> LeaderRecord | None:
        """Give the tenure back; returns it when this VM had it."""
        self.is_draining = True
        leader = self.leader
        if not self._is_leader or leader is None:
            return None
        await self.step_down('this VM stops')
        try:
            await self._store.end_lease(leader.lease)
        except StoreError as exc:
            # The lease lapses by itself.
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
                pause_s = SEARCH_S
            await self._sleep(pause_s)

    async def _sleep(self, pause_s: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _step(self) -> float:
        if self._is_leader:
            await self._renew()
            return RENEW_S
        if self.leader is None:
            await self._look()
            return SEARCH_S if self.leader is None else 0
        verdict = await self._watch.look_at(self.leader)
        if verdict is Verdict.WAIT:
            return PING_S
        is_over = verdict is Verdict.REPLACE
        await self._look(replace=self.leader if is_over else None)
        return SEARCH_S

    async def _renew(self) -> None:
        leader = self.leader
        if leader is None:
            return
        asked_s = self._clock.monotonic_s()
        try:
            is_alive = await self._store.renew_lease(leader.lease)
        except StoreError as exc:
            age_s = asked_s - self._proof_s
            log_event(
                logger,
                'tenure.renewal_failed',
                level=logging.WARNING,
                proof_age_s=round(age_s, 2),
                error=exc,
            )
            return
        if is_alive:
            self.confirm(asked_s)
        else:
            await self.step_down('its lease has ended')

    async def _look(self, replace: LeaderRecord | None = None) -> None:
        """Read the record; without one, or to ``replace`` it, campaign."""
        asked_s = self._clock.monotonic_s()
        found = await self._store.read(LEADER_KEY)
        self._round_trip_s = self._clock.monotonic_s() - asked_s
        record = found.found[0] if found.found else None
        if record is None:
            await self._campaign(None)
            return
        leader = _decode_record(record)
        if leader.incarnation == self._peers.hello.incarnation:
            # A write of this VM whose answer was lost.
            await self._begin(leader, asked_s)
            return
        self._seen_epoch = leader.epoch
        if replace is not None and replace.epoch == leader.epoch:
            await self._campaign(leader)
            return
        if self.leader is None or self.leader.epoch != leader.epoch:
            self.leader = leader
            self._watch.restart()
            log_event(
                logger, 'tenure.follows', holder=leader.vm, epoch=leader.epoch
            )

    async def _campaign(self, before: LeaderRecord | None) -> None:
        if self.is_draining:
            return
        await self.sleep(campaign_delay_s(self._round_trip_s))
        lease = await self._store.grant_lease(
            max(LEASE_MS, self._settings.min_store_lease_ms)
        )
        hello = self._peers.hello
        record = LeaderRecord(
            hello.vm, hello.incarnation, self._peers.address, lease
        )
        expected = before.epoch if before else 0
        asked_s = self._clock.monotonic_s()
        write = Write(
            LEADER_KEY, msgspec.msgpack.encode(record), expected, lease
        )
        try:
            answer = await self._store.commit((write,))
        except StoreOutcomeUnknownError:
            # The next look finds the record if the write took effect.
            return
        if not answer.written:
            await self._store.end_lease(lease)
            return
        epoch = Epoch(answer.store_revision)
        if before is not None:
            self.add_future(self._end_lease_of(before))
        await self._begin(msgspec.structs.replace(record, epoch=epoch), asked_s)

    async def _end_lease_of(self, before: LeaderRecord) -> None:
        """Let the holder before learn at its next renewal.

        While its lease lives it takes each renewal for a proof.
        """
        while not self.should_stop:
            try:
                await self._store.end_lease(before.lease)
            except StoreError as exc:
                log_event(
                    logger, 'tenure.lease_left', holder=before.vm, error=exc
                )
                await self.sleep(RENEW_S)
            else:
                return

    async def _begin(self, leader: LeaderRecord, proof_s: float) -> None:
        if self.is_draining:
            return
        self.has_previous_leader_ended = (
            self._seen_epoch > 0 and self._seen_epoch == self._watch.over_epoch
        )
        self.leader = leader
        self._watch.restart()
        self._is_leader = True
        self._proof_s = proof_s
        log_event(
            logger,
            'tenure.won',
            epoch=leader.epoch,
            round_trip_ms=round(self._round_trip_s * 1000),
        )
        await self.on_gained(leader)


def _decode_record(record: StoredValue) -> LeaderRecord:
    try:
        leader = msgspec.msgpack.decode(record.value, type=LeaderRecord)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise StoreError(f'record of the active scheduler: {exc}') from exc
    return msgspec.structs.replace(leader, epoch=Epoch(record.mod_revision))


async def _ignore(_news: object) -> None:
    """Stand in for a handler that is set later."""
