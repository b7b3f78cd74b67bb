"""Writes claims to the platform's store in batches."""

import asyncio
import math
from collections import deque
from collections.abc import Callable

import msgspec
from mode import Service

from .claims import (
    MAX_CLAIMS_PER_TRANSACTION,
    Claim,
    ClaimStatus,
    ClaimValue,
    Decision,
    claim_writes,
    decide_claims,
)
from .clock import MS_PER_S, Clock
from .exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from .ids import IncarnationId, VmId
from .store import Store, StoreLeaseId, Write, WriteAnswer

# Limit for the claims of all entry VMs together.
MAX_TRANSACTIONS_PER_S = 200.0
# A store lease is replaced after this part of the retention time.
LEASE_REUSE_RATIO = 0.125
MAX_ATTEMPTS = 3
MAX_UNSENT_CLAIMS = 10_000


class GrantedClaim(msgspec.Struct, frozen=True):
    """A granted claim, needed to release it if the request was not sent."""

    claim: Claim
    mod_revision: int


class _PendingClaim(msgspec.Struct, eq=False):
    claim: Claim
    decision: asyncio.Future[Decision]
    attempts: int = 0


class ClaimWriter(Service):
    """Sends one transaction at a time; claims made meanwhile share the next.

    Claims of requests that were not sent are deleted, so that a retry on
    another VM can run.
    """

    def __init__(
        self,
        store: Store,
        vm: VmId,
        incarnation: IncarnationId,
        retention_ms: int,
        live_entries: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Claim for ``vm``; claims last at least ``retention_ms``."""
        super().__init__()
        self._store = store
        self._vm = vm
        self._incarnation = incarnation
        self._retention_s = retention_ms / MS_PER_S
        self._live_entries = live_entries
        self._clock = clock
        self._last_number = 0
        self._lease: StoreLeaseId | None = None
        self._lease_reused_until_s = 0.0
        self._work_available = asyncio.Event()
        self._queue: deque[_PendingClaim] = deque()
        # By key: own claims of requests that definitely were not sent.
        self._unsent: dict[str, ClaimValue] = {}
        self._releases: deque[GrantedClaim] = deque(maxlen=MAX_UNSENT_CLAIMS)
        # Deletions in progress, until they are known to have taken effect.
        self._sent_releases: list[GrantedClaim] = []

    async def claim(self, key: str, body_sha256: str) -> Decision:
        """Claim ``key``; raises ``StoreUnavailableError`` if that fails.

        If the wait is cancelled, a claim granted later is released.
        """
        pending = _PendingClaim(
            Claim(key, self._value_for(key, body_sha256)),
            asyncio.get_running_loop().create_future(),
        )
        self._queue.append(pending)
        self._work_available.set()
        return await pending.decision

    def release(self, granted: GrantedClaim) -> None:
        """Delete the claim of a request that definitely was not sent."""
        self._remember_unsent(granted.claim)
        self._releases.append(granted)
        self._work_available.set()

    @Service.task
    async def _write_batches(self) -> None:
        while not self.should_stop:
            await self._work_available.wait()
            started_s = self._clock.monotonic_s()
            await self._write_claims()
            await self._write_releases()
            if not (self._queue or self._releases or self._sent_releases):
                self._work_available.clear()
            spent_s = self._clock.monotonic_s() - started_s
            interval_s = self._live_entries() / MAX_TRANSACTIONS_PER_S
            await asyncio.sleep(max(0, interval_s - spent_s))

    async def _write_claims(self) -> None:
        batch = self._next_batch()
        if not batch:
            return
        try:
            response = await self._write(batch)
        except StoreOutcomeUnknownError as exc:
            self._retry(batch, exc)
        except StoreUnavailableError as exc:
            self._lease = None
            self._fail(batch, exc)
        else:
            claims = [pending.claim for pending in batch]
            for pending, decision in zip(
                batch, decide_claims(claims, response), strict=True
            ):
                self._complete(pending, decision)

    async def _write(self, batch: list[_PendingClaim]) -> WriteAnswer:
        now_s = self._clock.monotonic_s()
        if self._lease is None or now_s > self._lease_reused_until_s:
            reuse_s = self._retention_s * LEASE_REUSE_RATIO
            self._lease = await self._store.grant_lease(
                math.ceil(self._retention_s + reuse_s)
            )
            self._lease_reused_until_s = now_s + reuse_s
        claims = (pending.claim for pending in batch)
        return await self._store.write(*claim_writes(claims, self._lease))

    def _next_batch(self) -> list[_PendingClaim]:
        """Remove and return the next claims, without repeated keys."""
        batch: list[_PendingClaim] = []
        keys: set[str] = set()
        while self._queue and len(batch) < MAX_CLAIMS_PER_TRANSACTION:
            if self._queue[0].claim.key in keys:
                break
            pending = self._queue.popleft()
            keys.add(pending.claim.key)
            batch.append(pending)
        return batch

    def _complete(self, pending: _PendingClaim, decision: Decision) -> None:
        if decision.status is ClaimStatus.RETRY:
            self._queue.append(pending)
        elif not pending.decision.done():
            pending.decision.set_result(decision)
        elif decision.status is ClaimStatus.GRANTED:
            self.release(GrantedClaim(decision.claim, decision.mod_revision))

    def _retry(
        self,
        batch: list[_PendingClaim],
        error: StoreOutcomeUnknownError,
    ) -> None:
        """Queue the claims again; the next write shows which took effect."""
        for pending in batch:
            pending.attempts += 1
        exhausted = [one for one in batch if one.attempts >= MAX_ATTEMPTS]
        self._queue.extendleft(
            one for one in reversed(batch) if one.attempts < MAX_ATTEMPTS
        )
        self._fail(exhausted, StoreUnavailableError(str(error)))

    def _fail(
        self,
        batch: list[_PendingClaim],
        error: StoreUnavailableError,
    ) -> None:
        """Fail claims; their requests have not been sent."""
        for pending in batch:
            self._remember_unsent(pending.claim)
            if not pending.decision.done():
                pending.decision.set_exception(error)

    async def _write_releases(self) -> None:
        self._start_releases()
        if not self._sent_releases:
            return
        writes = [
            Write(granted.claim.key, None, granted.mod_revision)
            for granted in self._sent_releases
        ]
        try:
            response = await self._store.write(*writes)
        except (StoreOutcomeUnknownError, StoreUnavailableError):
            return
        if response.written:
            self._sent_releases = []
            return
        current = {
            stored.key: stored.mod_revision for stored in response.current
        }
        self._sent_releases = [
            granted
            for granted in self._sent_releases
            if current.get(granted.claim.key) == granted.mod_revision
        ]

    def _start_releases(self) -> None:
        """Start deletions of claims that were not reused meanwhile.

        From now on the same key gets a new claim value, so a late delete
        cannot remove it.
        """
        while (
            self._releases
            and len(self._sent_releases) < MAX_CLAIMS_PER_TRANSACTION
        ):
            granted = self._releases.popleft()
            if self._unsent.get(granted.claim.key) == granted.claim.value:
                self._unsent.pop(granted.claim.key)
                self._sent_releases.append(granted)

    def _value_for(self, key: str, body_sha256: str) -> ClaimValue:
        unsent = self._unsent.pop(key, None)
        if unsent is not None and unsent.body_sha256 == body_sha256:
            return unsent
        self._last_number += 1
        return ClaimValue(
            self._vm, self._incarnation, self._last_number, body_sha256
        )

    def _remember_unsent(self, claim: Claim) -> None:
        if len(self._unsent) >= MAX_UNSENT_CLAIMS:
            self._unsent.pop(next(iter(self._unsent)))
        self._unsent[claim.key] = claim.value
