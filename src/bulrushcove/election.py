"""Election of the one active control of a failure domain.

The active control's key is bound to a lease of the platform's store. A domain
lease counts from just before the request that granted or renewed the store
lease, on the control's monotonic clock. A control that was frozen thus finds
its domain lease expired before it acts on it.
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
    """Value of a domain's control key in the store."""

    vm: VmId
    incarnation: IncarnationId
    epoch: Epoch


class DomainLease(msgspec.Struct):
    """Right to act as the active control of a domain until it expires."""

    domain: DomainName
    epoch: Epoch
    store_lease: StoreLeaseId
    # Until then, on the monotonic clock, no other control can be elected.
    valid_until_s: float
    is_lost: bool = False

    def is_valid(self, now_s: float) -> bool:
        """Return whether certainly no other control has been elected."""
        return not self.is_lost and now_s < self.valid_until_s


class Election:
    """Campaigns for domains and renews the leases that were won."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        vm: VmId,
        incarnation: IncarnationId,
        lease_ms: int,
    ) -> None:
        """Campaign as ``vm``.

        Leases last ``lease_ms``, rounded down to whole seconds, at least 1 s.
        """
        self._store = store
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._lease_s = max(1, lease_ms // MS_PER_S)

    async def find_active_control(
        self, domain: DomainName
    ) -> ActiveControl | None:
        """Return the active control of ``domain``, None without one.

        Raises ``StoreError``.
        """
        scan = await self._store.read(_control_key(domain))
        if not scan.found:
            return None
        return _decode_active_control(scan.found[0])

    async def campaign(self, domain: DomainName) -> DomainLease | None:
        """Try to become the active control of a domain that has none.

        Returns None if another control was faster. Raises ``StoreError``.
        """
        requested_at_s = self._clock.monotonic_s()
        lease = await self._store.grant_lease(self._lease_s)
        try:
            epoch = await self._write_control(domain, lease)
        except StoreError:
            await self._revoke(lease)
            raise
        if epoch is None:
            await self._revoke(lease)
            return None
        return DomainLease(domain, epoch, lease, requested_at_s + self._lease_s)

    async def renew(self, domain_lease: DomainLease) -> None:
        """Extend ``domain_lease``, or mark it as lost.

        Raises ``StoreError``; ``domain_lease`` is then unchanged.
        """
        requested_at_s = self._clock.monotonic_s()
        remaining_s = await self._store.renew_lease(domain_lease.store_lease)
        if remaining_s > 0:
            domain_lease.valid_until_s = requested_at_s + min(
                remaining_s, self._lease_s
            )
        else:
            domain_lease.is_lost = True

    async def resign(self, domain_lease: DomainLease) -> None:
        """Revoke the lease, so that another control can take over at once."""
        domain_lease.is_lost = True
        await self._revoke(domain_lease.store_lease)

    async def _write_control(
        self, domain: DomainName, lease: StoreLeaseId
    ) -> Epoch | None:
        scan = await self._store.read(_epoch_key(domain))
        known = scan.found[0] if scan.found else None
        epoch = _next_epoch(known)
        active_control = ActiveControl(self._vm, self._incarnation, epoch)
        value = msgspec.msgpack.encode(active_control)
        try:
            response = await self._store.write(
                Write(_control_key(domain), value, 0, lease),
                Write(
                    _epoch_key(domain),
                    str(epoch).encode(),
                    known.mod_revision if known else 0,
                ),
            )
        except StoreOutcomeUnknownError:
            if await self.find_active_control(domain) == active_control:
                return epoch
            raise
        return epoch if response.written else None

    async def _revoke(self, lease: StoreLeaseId) -> None:
        try:
            await self._store.revoke_lease(lease)
        except StoreError as exc:
            # The lease will expire.
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
