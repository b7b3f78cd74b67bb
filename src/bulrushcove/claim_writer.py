"""Writes claims to the platform's store, many in one transaction."""

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
    decide,
)
from .clock import MS_PER_S, Clock
from .exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from .ids import IncarnationId, VmId
from .store import Store, StoreLeaseId, Write, WriteAnswer

# Transactions a second that all entry VMs together send for claims.
WRITES_PER_S = 200.0
# A lease is used for this part of the retention, then replaced.
LEASE_USE_SHARE = 0.125
MAX_TRIES = 3
MAX_KEPT_UNSENT = 10_000


class GrantedClaim(msgspec.Struct, frozen=True):
    """A granted claim, kept to give it back if the request never left."""

    claim: Claim
    mod_revision: int


class _Waiting(msgspec.Struct, eq=False):
    claim: Claim
    decided: asyncio.Future[Decision]
    tries: int = 0


class ClaimWriter(Service):
    """Has one transaction in flight; claims that come meanwhile share the next.

    Claims of requests that never left are deleted again, so that a retry on
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
        self._number = 0
        self._lease: StoreLeaseId | None = None
        self._lease_until_s = 0.0
        self._wanted = asyncio.Event()
        self._waiting: deque[_Waiting] = deque()
        # Claims of this process whose requests surely never left, by key.
        self._unsent: dict[str, ClaimValue] = {}
        self._releases: deque[GrantedClaim] = deque(maxlen=MAX_KEPT_UNSENT)
        # Releases that were sent and are not known to have taken effect.
        self._sent_releases: list[GrantedClaim] = []

    async def claim(self, key: str, body_sha256: str) -> Decision:
        """Claim ``key``; raises ``StoreUnavailableError`` without a claim.

        When the wait is cancelled, a claim granted later is given back.
        """
        waiting = _Waiting(
            Claim(key, self._value_for(key, body_sha256)),
            asyncio.get_running_loop().create_future(),
        )
        self._waiting.append(waiting)
        self._wanted.set()
        return await waiting.decided

    def release(self, held: GrantedClaim) -> None:
        """Give back the claim of a request that surely never left."""
        self._remember_unsent(held.claim)
        self._releases.append(held)
        self._wanted.set()

    @Service.task
    async def _write_while_wanted(self) -> None:
        while not self.should_stop:
            await self._wanted.wait()
            started_s = self._clock.monotonic_s()
            await self._write_claims()
            await self._write_releases()
            if not (self._waiting or self._releases or self._sent_releases):
                self._wanted.clear()
            spent_s = self._clock.monotonic_s() - started_s
            interval_s = self._live_entries() / WRITES_PER_S
            await asyncio.sleep(max(0, interval_s - spent_s))

    async def _write_claims(self) -> None:
        batch = self._next_batch()
        if not batch:
            return
        try:
            answer = await self._write(batch)
        except StoreOutcomeUnknownError as exc:
            self._try_again(batch, exc)
        except StoreUnavailableError as exc:
            self._lease = None
            self._fail(batch, exc)
        else:
            claims = [waiting.claim for waiting in batch]
            for waiting, decision in zip(
                batch, decide(claims, answer), strict=True
            ):
                self._tell(waiting, decision)

    async def _write(self, batch: list[_Waiting]) -> WriteAnswer:
        now_s = self._clock.monotonic_s()
        if self._lease is None or now_s > self._lease_until_s:
            use_s = self._retention_s * LEASE_USE_SHARE
            self._lease = await self._store.grant_lease(
                math.ceil(self._retention_s + use_s)
            )
            self._lease_until_s = now_s + use_s
        claims = (waiting.claim for waiting in batch)
        return await self._store.write(*claim_writes(claims, self._lease))

    def _next_batch(self) -> list[_Waiting]:
        """Take the next claims; a key is in a batch once."""
        batch: list[_Waiting] = []
        keys: set[str] = set()
        while self._waiting and len(batch) < MAX_CLAIMS_PER_TRANSACTION:
            if self._waiting[0].claim.key in keys:
                break
            waiting = self._waiting.popleft()
            keys.add(waiting.claim.key)
            batch.append(waiting)
        return batch

    def _tell(self, waiting: _Waiting, decision: Decision) -> None:
        if decision.status is ClaimStatus.AGAIN:
            self._waiting.append(waiting)
        elif not waiting.decided.done():
            waiting.decided.set_result(decision)
        elif decision.status is ClaimStatus.GRANTED:
            self.release(GrantedClaim(decision.claim, decision.mod_revision))

    def _try_again(
        self,
        batch: list[_Waiting],
        error: StoreOutcomeUnknownError,
    ) -> None:
        """Send the same claims again: the answer shows what took effect."""
        for waiting in batch:
            waiting.tries += 1
        spent = [one for one in batch if one.tries >= MAX_TRIES]
        self._waiting.extendleft(
            one for one in reversed(batch) if one.tries < MAX_TRIES
        )
        self._fail(spent, StoreUnavailableError(str(error)))

    def _fail(
        self,
        batch: list[_Waiting],
        error: StoreUnavailableError,
    ) -> None:
        """Tell that there is no claim; nothing of the requests has left."""
        for waiting in batch:
            self._remember_unsent(waiting.claim)
            if not waiting.decided.done():
                waiting.decided.set_exception(error)

    async def _write_releases(self) -> None:
        self._start_releases()
        if not self._sent_releases:
            return
        writes = [
            Write(held.claim.key, None, held.mod_revision)
            for held in self._sent_releases
        ]
        try:
            answer = await self._store.write(*writes)
        except (StoreOutcomeUnknownError, StoreUnavailableError):
            return
        if answer.written:
            self._sent_releases = []
            return
        current = {stored.key: stored.mod_revision for stored in answer.current}
        self._sent_releases = [
            held
            for held in self._sent_releases
            if current.get(held.claim.key) == held.mod_revision
        ]

    def _start_releases(self) -> None:
        """Start releases of claims that were not taken up again meanwhile.

        A claim for the same key from now on is a new one, so a delete that
        arrives late cannot undo it.
        """
        while (
            self._releases
            and len(self._sent_releases) < MAX_CLAIMS_PER_TRANSACTION
        ):
            held = self._releases.popleft()
            if self._unsent.get(held.claim.key) == held.claim.value:
                self._unsent.pop(held.claim.key)
                self._sent_releases.append(held)

    def _value_for(self, key: str, body_sha256: str) -> ClaimValue:
        unsent = self._unsent.pop(key, None)
        if unsent is not None and unsent.body_sha256 == body_sha256:
            return unsent
        self._number += 1
        return ClaimValue(
            self._vm, self._incarnation, self._number, body_sha256
        )

    def _remember_unsent(self, claim: Claim) -> None:
        if len(self._unsent) >= MAX_KEPT_UNSENT:
            self._unsent.pop(next(iter(self._unsent)))
        self._unsent[claim.key] = claim.value
