"""Who is the active scheduler: its record, its lease and its succession."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec
from mode import Service

from ..clock import Clock
from ..exceptions import (
    PeerUnreachableError,
    StoreError,
    StoreOutcomeUnknownError,
)
from ..ids import Epoch
from ..logs import log_event
from ..store import SharedStore, StoredValue, Write
from .keys import TENURE_KEY, VMS_PREFIX, vm_key
from .messages import Holder, Ping, Pong
from .peers import PeerRefusedError, Peers
from .settings import NodeSettings
from .succession import Sight, Verdict, campaign_delay_s, judge

# Lease of the holder's record: how long a VM without power is missed.
LEASE_MS = 2500
RENEW_S = 0.6
PING_S = 0.4
# A round trip between the farthest VMs takes 60 ms.
PING_TIMEOUT_S = 0.45
# While there is no holder.
SEARCH_S = 0.15
# How long a scheduler acts on its last proof of tenure. Long enough to keep
# running work alive through an outage of the store.
AUTHORITY_S = 12.0
_FIRST_ROUND_TRIP_S = 0.05

logger = logging.getLogger(__name__)


class Tenure(Service):
    """Follows the holder, or is it."""

    def __init__(
        self,
        settings: NodeSettings,
        store: SharedStore,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Take part in the succession once started."""
        super().__init__()
        self.holder: Holder | None = None
        # Called when this VM becomes, and ceases to be, the active scheduler.
        self.on_won: Callable[[Holder], Awaitable[None]] = _ignore
        self.on_lost: Callable[[str], Awaitable[None]] = _ignore
        # Set when this VM has a holder to turn to.
        self.is_leaving = False
        # Whether the holder before is known to have ended, so that it can
        # give no more orders or leases.
        self.predecessor_is_over = False
        self._settings = settings
        self._store = store
        self._peers = peers
        self._clock = clock
        self._sight = Sight()
        # Epoch of the last holder that is known to have ended.
        self._over_epoch = Epoch(0)
        # Epoch of the last record that was read.
        self._seen_epoch = Epoch(0)
        self._is_active = False
        self._proof_s = 0.0
        self._round_trip_s = _FIRST_ROUND_TRIP_S
        self._wake = asyncio.Event()

    @property
    def is_active(self) -> bool:
        """Return whether this VM is the active scheduler."""
        return self._is_active

    @property
    def has_authority(self) -> bool:
        """Return whether this VM may still give orders."""
        age_s = self._clock.monotonic_s() - self._proof_s
        return self._is_active and age_s < AUTHORITY_S

    @property
    def hears_holder(self) -> bool:
        """Return whether the holder answered the last ping."""
        if self._is_active:
            return True
        sight = self._sight
        has_answered = not sight.missed_pings and not sight.is_dead
        return self.holder is not None and has_answered

    def note_proof(self, asked_s: float) -> None:
        """Take note that a write under the record's condition succeeded."""
        self._proof_s = max(self._proof_s, asked_s)

    def note_hand_over(self, epoch: Epoch) -> None:
        """The holder of ``epoch`` has left."""
        if self.holder is not None and self.holder.epoch == epoch:
            self._sight.is_dead = True
            self._over_epoch = epoch
            self.holder = None
            self._wake.set()

    async def lose(self, reason: str) -> None:
        """Cease to be the active scheduler."""
        if not self._is_active:
            return
        self._is_active = False
        self.holder = None
        log_event(logger, 'tenure.lost', level=logging.WARNING, reason=reason)
        await self.on_lost(reason)

    async def resign(self) -> Holder | None:
        """Give the tenure back; returns it when this VM had it."""
        self.is_leaving = True
        holder = self.holder
        if not self._is_active or holder is None:
            return None
        await self.lose('this VM stops')
        try:
            await self._store.end_lease(holder.lease)
        except StoreError as exc:
            # The lease lapses by itself.
            log_event(logger, 'tenure.release_failed', error=exc)
        return holder

    @Service.task
    async def _run(self) -> None:
        await self._register()
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
        if self._is_active:
            await self._renew()
            return RENEW_S
        if self.holder is None:
            await self._look()
            return SEARCH_S if self.holder is None else 0
        await self._ping(self.holder)
        verdict = judge(self._sight, self._clock.monotonic_s())
        if verdict is Verdict.WAIT:
            return PING_S
        if verdict is Verdict.REPLACE and not await self._others_hear():
            await self._look(replace=self.holder)
        else:
            await self._look()
        return SEARCH_S

    async def _register(self) -> None:
        """Tell the other VMs where this one is, and learn where they are."""
        address = self._peers.address.encode()
        key = vm_key(self._settings.vm)
        while not self.should_stop:
            try:
                found = await self._store.scan(VMS_PREFIX)
                self._learn(found.found)
                known = {item.key: item for item in found.found}.get(key)
                if known is not None and known.value == address:
                    return
                revision = known.mod_revision if known else 0
                await self._store.commit((Write(key, address, revision),))
            except StoreError as exc:
                log_event(
                    logger,
                    'vm.register_failed',
                    level=logging.WARNING,
                    error=exc,
                )
                await self.sleep(SEARCH_S)

    def _learn(self, vms: tuple[StoredValue, ...]) -> None:
        self._peers.learn(
            tuple(item.value.decode(errors='replace') for item in vms)
        )

    async def _renew(self) -> None:
        holder = self.holder
        if holder is None:
            return
        asked_s = self._clock.monotonic_s()
        try:
            is_alive = await self._store.renew_lease(holder.lease)
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
            self.note_proof(asked_s)
        else:
            await self.lose('its lease has ended')

    async def _ping(self, holder: Holder) -> None:
        ping = Ping(self._settings.vm, self._peers.address)
        now_s = self._clock.monotonic_s
        try:
            peer, pong = await self._peers.ask(
                holder.address, ping, Pong, PING_TIMEOUT_S
            )
        except PeerRefusedError:
            # A cut may refuse as well, so the process is not surely over.
            self._sight.is_dead = True
            return
        except PeerUnreachableError:
            self._sight.note_missed(now_s())
            return
        if peer.incarnation != holder.incarnation:
            self._sight.is_dead = True
            self._over_epoch = holder.epoch
            return
        self._peers.learn(pong.addresses)
        self._sight.note_heard(is_active=pong.is_active, now_s=now_s())

    async def _others_hear(self) -> bool:
        """Return whether another VM hears the holder; asks a few."""
        holder = self.holder
        if holder is None or self._sight.is_dead:
            return False
        ping = Ping(self._settings.vm, self._peers.address)
        for address in sorted(self._peers.known)[:2]:
            if address == holder.address:
                continue
            try:
                _, pong = await self._peers.ask(
                    address, ping, Pong, PING_TIMEOUT_S
                )
            except PeerUnreachableError:
                continue
            is_same = pong.holder is not None and (
                pong.holder.epoch == holder.epoch
            )
            if is_same and pong.hears_holder:
                return True
        return False

    async def _look(self, replace: Holder | None = None) -> None:
        """Read the record; without one, or to ``replace`` it, campaign."""
        asked_s = self._clock.monotonic_s()
        found = await self._store.read(TENURE_KEY)
        self._round_trip_s = self._clock.monotonic_s() - asked_s
        record = found.found[0] if found.found else None
        if record is None:
            await self._campaign(None)
            return
        holder = _decode_holder(record)
        if holder.incarnation == self._peers.hello.incarnation:
            # A write of this VM whose answer was lost.
            await self._begin(holder, asked_s)
            return
        self._seen_epoch = holder.epoch
        if replace is not None and replace.epoch == holder.epoch:
            await self._campaign(holder)
            return
        if self.holder is None or self.holder.epoch != holder.epoch:
            self.holder = holder
            self._sight = Sight()
            log_event(
                logger, 'tenure.follows', holder=holder.vm, epoch=holder.epoch
            )

    async def _campaign(self, before: Holder | None) -> None:
        if self.is_leaving:
            return
        await self.sleep(campaign_delay_s(self._round_trip_s))
        lease = await self._store.grant_lease(
            max(LEASE_MS, self._settings.min_store_lease_ms)
        )
        hello = self._peers.hello
        record = Holder(hello.vm, hello.incarnation, self._peers.address, lease)
        expected = before.epoch if before else 0
        asked_s = self._clock.monotonic_s()
        write = Write(
            TENURE_KEY, msgspec.msgpack.encode(record), expected, lease
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
            await self._end_lease_of(before)
        await self._begin(msgspec.structs.replace(record, epoch=epoch), asked_s)

    async def _end_lease_of(self, before: Holder) -> None:
        """Let the holder before learn at its next renewal."""
        try:
            await self._store.end_lease(before.lease)
        except StoreError as exc:
            log_event(logger, 'tenure.lease_left', holder=before.vm, error=exc)

    async def _begin(self, holder: Holder, proof_s: float) -> None:
        if self.is_leaving:
            return
        self.predecessor_is_over = (
            self._seen_epoch > 0 and self._seen_epoch == self._over_epoch
        )
        self.holder = holder
        self._sight = Sight()
        self._is_active = True
        self._proof_s = proof_s
        log_event(
            logger,
            'tenure.won',
            epoch=holder.epoch,
            round_trip_ms=round(self._round_trip_s * 1000),
        )
        await self.on_won(holder)


def _decode_holder(record: StoredValue) -> Holder:
    try:
        holder = msgspec.msgpack.decode(record.value, type=Holder)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise StoreError(f'record of the active scheduler: {exc}') from exc
    return msgspec.structs.replace(holder, epoch=Epoch(record.mod_revision))


async def _ignore(_news: object) -> None:
    """Stand in for a handler that is set later."""
