"""Election of the one active control of a failure domain.

The holder's key hangs on a lease of the platform's store. A tenure counts from
before its lease was granted or renewed, on the holder's monotonic clock, so a
holder that was frozen finds its tenure over before it acts on it.
"""

import logging

import msgspec

from .clock import MS_PER_S, Clock
from .exceptions import StoreError, StoreOutcomeUnknownError
from .ids import DomainName, Epoch, IncarnationId, VmId
from .logs import log_event
from .store import (
    CONTROL_PREFIX,
    Store,
    StoredValue,
    StoreLeaseId,
    Write,
)

EPOCH_PREFIX = 'bulrushcove/epoch/'

logger = logging.getLogger(__name__)


class ActiveControl(msgspec.Struct, frozen=True):
    """Value of the control key of a domain."""

    vm: VmId
    incarnation: IncarnationId
    epoch: Epoch


class DomainLease(msgspec.Struct):
    """The right to act as the active control of a domain."""

    domain: DomainName
    epoch: Epoch
    store_lease: StoreLeaseId
    # Monotonic time until which no other control can have been elected.
    valid_until_s: float
    is_lost: bool = False

    def is_valid(self, now_s: float) -> bool:
        """Return whether no other control can have been elected yet."""
        return not self.is_lost and now_s < self.valid_until_s


class Election:
    """Campaigns for domains and keeps what was won."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        vm: VmId,
        incarnation: IncarnationId,
        lease_ms: int,
    ) -> None:
        """Campaign as ``vm``; leases last ``lease_ms``, in whole seconds."""
        self._store = store
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._lease_s = max(1, lease_ms // MS_PER_S)

    async def find_active_control(
        self, domain: DomainName
    ) -> ActiveControl | None:
        """Return who holds ``domain``; raises ``StoreError``."""
        scan = await self._store.read(_control_key(domain))
        if not scan.found:
            return None
        return _decode_active_control(scan.found[0])

    async def campaign(self, domain: DomainName) -> DomainLease | None:
        """Try to become the holder of a domain that has none.

        Returns None when another control was faster. Raises ``StoreError``.
        """
        asked_at_s = self._clock.monotonic_s()
        lease = await self._store.grant_lease(self._lease_s)
        try:
            epoch = await self._take(domain, lease)
        except StoreError:
            await self._give_up(lease)
            raise
        if epoch is None:
            await self._give_up(lease)
            return None
        return DomainLease(domain, epoch, lease, asked_at_s + self._lease_s)

    async def renew(self, domain_lease: DomainLease) -> None:
        """Prolong ``domain_lease``, or note that it is over.

        Raises ``StoreError``; the tenure then stands as it was.
        """
        asked_at_s = self._clock.monotonic_s()
        left_s = await self._store.renew_lease(domain_lease.store_lease)
        if left_s > 0:
            domain_lease.valid_until_s = asked_at_s + min(left_s, self._lease_s)
        else:
            domain_lease.is_lost = True

    async def resign(self, domain_lease: DomainLease) -> None:
        """Let another control take over at once."""
        domain_lease.is_lost = True
        await self._give_up(domain_lease.store_lease)

    async def _take(
        self, domain: DomainName, lease: StoreLeaseId
    ) -> Epoch | None:
        scan = await self._store.read(_epoch_key(domain))
        known = scan.found[0] if scan.found else None
        epoch = _next_epoch(known)
        holder = ActiveControl(self._vm, self._incarnation, epoch)
        value = msgspec.msgpack.encode(holder)
        try:
            answer = await self._store.write(
                Write(_control_key(domain), value, 0, lease),
                Write(
                    _epoch_key(domain),
                    str(epoch).encode(),
                    known.mod_revision if known else 0,
                ),
            )
        except StoreOutcomeUnknownError:
            if await self.find_active_control(domain) == holder:
                return epoch
            raise
        return epoch if answer.written else None

    async def _give_up(self, lease: StoreLeaseId) -> None:
        try:
            await self._store.revoke_lease(lease)
        except StoreError as exc:
            # The lease lapses by itself.
            log_event(logger, 'election.lease_not_revoked', error=exc)


def _control_key(domain: DomainName) -> str:
    return f'{CONTROL_PREFIX}{domain}'


def _epoch_key(domain: DomainName) -> str:
    return f'{EPOCH_PREFIX}{domain}'


def _decode_active_control(stored: StoredValue) -> ActiveControl:
    return msgspec.msgpack.decode(stored.value, type=ActiveControl)


def _next_epoch(known: StoredValue | None) -> Epoch:
    if known is None:
        return Epoch(1)
    return Epoch(int(known.value) + 1)
