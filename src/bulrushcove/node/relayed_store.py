"""The store, reached through another VM where it turns this one away."""

import logging
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ..clock import Clock
from ..exceptions import (
    PeerUnreachableError,
    StoreError,
    StoreHistoryGoneError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..logs import log_event
from ..store import (
    Changes,
    Check,
    Scan,
    StoreLeaseId,
    WatchableStore,
    Write,
    WriteAnswer,
)
from .messages import StoreCall, StoreFailure, StoreOperation, StoreReply
from .peers import PeerNotConnectedError, Peers

# After a failure the store is tried directly again after this.
DIRECT_PAUSE_S = 1.5
# A relayed call takes one hop more than a direct one.
RELAY_TIMEOUT_S = 1.3
# Peers asked before a call is given up.
MAX_RELAYS = 2
# Single answers may be lost; after this many a peer is asked.
MAX_UNANSWERED = 3

Answer = TypeVar('Answer')

logger = logging.getLogger(__name__)


class RelayedStore:
    """Store port that goes through peers while the store is out of reach."""

    def __init__(self, direct: WatchableStore, peers: Peers, clock: Clock):
        """Call ``direct`` where it answers, else ask ``peers``."""
        self.direct = direct
        self._peers = peers
        self._clock = clock
        self._direct_from_s = 0.0
        # The peer that reached the store last.
        self._good_relay = ''
        # Changing calls in a row without an answer.
        self._unanswered = 0

    @property
    def is_directly_reachable(self) -> bool:
        """Return whether the last direct call was answered."""
        return not self._direct_from_s

    async def read(self, key: str) -> Scan:
        """Read one key."""
        call = StoreCall(StoreOperation.READ, name=key)
        return await self._run(call, lambda: self.direct.read(key), _scan)

    async def scan(self, prefix: str) -> Scan:
        """Read all keys below ``prefix``."""
        call = StoreCall(StoreOperation.SCAN, name=prefix)
        return await self._run(call, lambda: self.direct.scan(prefix), _scan)

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait for changes below ``prefix``."""
        # A relayed watch does not wait: it would hold the peer's connection.
        call = StoreCall(
            StoreOperation.WATCH, name=prefix, after=after, time_ms=1
        )
        return await self._run(
            call,
            lambda: self.direct.watch(prefix, after, wait_ms),
            _changes,
        )

    async def commit(
        self, writes: tuple[Write, ...], checks: tuple[Check, ...] = ()
    ) -> WriteAnswer:
        """Apply all ``writes`` under their conditions, or none."""
        call = StoreCall(StoreOperation.COMMIT, writes=writes, checks=checks)
        return await self._run(
            call, lambda: self.direct.commit(writes, checks), _written
        )

    async def grant_lease(self, ttl_ms: int) -> StoreLeaseId:
        """Create a lease."""
        call = StoreCall(StoreOperation.GRANT, time_ms=ttl_ms)
        return await self._run(
            call,
            lambda: self.direct.grant_lease(ttl_ms),
            lambda reply: reply.lease,
        )

    async def renew_lease(self, lease: StoreLeaseId) -> bool:
        """Renew a lease; false: it has ended."""
        call = StoreCall(StoreOperation.RENEW, lease=lease)
        return await self._run(
            call,
            lambda: self.direct.renew_lease(lease),
            lambda reply: reply.is_alive,
        )

    async def end_lease(self, lease: StoreLeaseId) -> None:
        """End a lease."""
        call = StoreCall(StoreOperation.END, lease=lease)
        await self._run(
            call, lambda: self.direct.end_lease(lease), lambda _reply: None
        )

    async def close(self) -> None:
        """Close the connections of the store itself."""
        await self.direct.close()

    async def _run(
        self,
        call: StoreCall,
        direct: Callable[[], Awaitable[Answer]],
        unpack: Callable[[StoreReply], Answer],
    ) -> Answer:
        failure: StoreError | None = None
        if self._clock.monotonic_s() >= self._direct_from_s:
            try:
                answer = await direct()
            except StoreUnavailableError as exc:
                failure = exc
                self._note_lost(exc)
            except StoreOutcomeUnknownError as exc:
                # Repeating it is for the caller, who knows what that means.
                self._unanswered += 1
                if self._unanswered >= MAX_UNANSWERED:
                    self._note_lost(exc)
                raise
            else:
                self._note_direct()
                return answer
        return unpack(await self._relay(call, failure))

    async def _relay(
        self, call: StoreCall, failure: StoreError | None
    ) -> StoreReply:
        candidates = list(self._peers.known_addresses)
        random.shuffle(candidates)
        # Some peers are gone, and some are turned away as well.
        candidates.sort(key=lambda address: address != self._good_relay)
        for address in candidates[:MAX_RELAYS]:
            reply = await self._relay_by(address, call)
            if reply.failure is not StoreFailure.UNAVAILABLE:
                self._good_relay = address
                _raise_failure(reply)
                return reply
        self._good_relay = ''
        raise StoreUnavailableError(f'no VM reaches the store: {failure}')

    async def _relay_by(self, address: str, call: StoreCall) -> StoreReply:
        try:
            _, reply = await self._peers.request(
                address, call, StoreReply, RELAY_TIMEOUT_S
            )
        except PeerNotConnectedError as exc:
            return StoreReply(StoreFailure.UNAVAILABLE, str(exc))
        except PeerUnreachableError as exc:
            may_be_done = call.operation in _CHANGING
            failure = (
                StoreFailure.UNKNOWN
                if may_be_done
                else StoreFailure.UNAVAILABLE
            )
            return StoreReply(failure, str(exc))
        return reply

    def _note_lost(self, exc: StoreError) -> None:
        if not self._direct_from_s:
            log_event(logger, 'store.lost', level=logging.WARNING, error=exc)
        self._direct_from_s = self._clock.monotonic_s() + DIRECT_PAUSE_S

    def _note_direct(self) -> None:
        self._unanswered = 0
        if self._direct_from_s:
            log_event(logger, 'store.regained')
        self._direct_from_s = 0.0


# Operations that may have had their effect when no answer comes.
_CHANGING = frozenset(
    (StoreOperation.COMMIT, StoreOperation.GRANT, StoreOperation.END)
)


async def serve_store_call(
    store: WatchableStore, call: StoreCall
) -> StoreReply:
    """Carry out ``call`` for another VM."""
    try:
        return await _carry_out(store, call)
    except StoreHistoryGoneError as exc:
        return StoreReply(StoreFailure.HISTORY_GONE, str(exc))
    except StoreOutcomeUnknownError as exc:
        return StoreReply(StoreFailure.UNKNOWN, str(exc))
    except StoreError as exc:
        return StoreReply(StoreFailure.UNAVAILABLE, str(exc))


async def _carry_out(store: WatchableStore, call: StoreCall) -> StoreReply:
    operation = call.operation
    if operation is StoreOperation.READ:
        return StoreReply(scan=await store.read(call.name))
    if operation is StoreOperation.SCAN:
        return StoreReply(scan=await store.scan(call.name))
    if operation is StoreOperation.WATCH:
        changes = await store.watch(call.name, call.after, call.time_ms)
        return StoreReply(changes=changes)
    if operation is StoreOperation.COMMIT:
        written = await store.commit(call.writes, call.checks)
        return StoreReply(written=written)
    return await _carry_out_lease(store, call)


async def _carry_out_lease(
    store: WatchableStore, call: StoreCall
) -> StoreReply:
    if call.operation is StoreOperation.GRANT:
        return StoreReply(lease=await store.grant_lease(call.time_ms))
    if call.operation is StoreOperation.RENEW:
        return StoreReply(is_alive=await store.renew_lease(call.lease))
    await store.end_lease(call.lease)
    return StoreReply()


def _raise_failure(reply: StoreReply) -> None:
    if reply.failure is StoreFailure.HISTORY_GONE:
        raise StoreHistoryGoneError(reply.message)
    if reply.failure is StoreFailure.UNKNOWN:
        raise StoreOutcomeUnknownError(reply.message)


def _scan(reply: StoreReply) -> Scan:
    return reply.scan or Scan((), 0)


def _changes(reply: StoreReply) -> Changes:
    return reply.changes or Changes((), (), 0)


def _written(reply: StoreReply) -> WriteAnswer:
    if reply.written is None:
        raise StoreOutcomeUnknownError('relayed write without an answer')
    return reply.written
