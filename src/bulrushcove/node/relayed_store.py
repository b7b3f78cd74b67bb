"""Store client that relays calls through another VM during an outage.

Used when the store is unavailable from this VM but not from others.
"""

import logging
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import TypeVar

from ..clock import Clock
from ..exceptions import (
    PeerUnreachableError,
    StoreError,
    StoreHistoryGoneError,
    StoreLinkBusyError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
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
from .relay_order import RelayOrder

# After a failure, calls are relayed for this long before the next direct call.
DIRECT_RETRY_INTERVAL_S = 1.5
# A relayed call takes one more hop than a direct one.
RELAY_TIMEOUT_S = 1.3
# Peers tried before a call fails.
MAX_RELAY_PEERS = 2
# Single responses may get lost; after this many in a row calls are relayed.
MAX_LOST_RESPONSES = 3

ResponseType = TypeVar('ResponseType')

logger = logging.getLogger(__name__)


class RelayedStore:
    """Store client that uses ``peers`` while ``direct`` is unavailable."""

    def __init__(self, direct: WatchableStore, peers: Peers, clock: Clock):
        """Call ``direct`` while available, else relay through ``peers``."""
        self.direct = direct
        self._peers = peers
        self._clock = clock
        self._direct_retry_at_s = 0.0
        self._relay_order = RelayOrder()
        # Direct calls with a lost response since the last successful one.
        self._lost_response_count = 0

    @property
    def is_directly_reachable(self) -> bool:
        """Return whether no direct call has failed since the last success."""
        return not self._direct_retry_at_s

    async def read(self, key: str) -> Scan:
        """Read one key."""
        call = StoreCall(StoreOperation.READ, name=key)
        return await self._call(
            call, lambda: self.direct.read(key), _unpack_scan
        )

    async def scan(self, prefix: str) -> Scan:
        """Read all keys below ``prefix``."""
        call = StoreCall(StoreOperation.SCAN, name=prefix)
        return await self._call(
            call, lambda: self.direct.scan(prefix), _unpack_scan
        )

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait for changes below ``prefix``."""
        # A relayed watch does not wait: it would block the peer's connection.
        call = StoreCall(
            StoreOperation.WATCH, name=prefix, after=after, time_ms=1
        )
        return await self._call(
            call,
            lambda: self.direct.watch(prefix, after, wait_ms),
            _unpack_changes,
        )

    async def commit(
        self, writes: tuple[Write, ...], checks: tuple[Check, ...] = ()
    ) -> WriteAnswer:
        """Apply all ``writes`` under their conditions, or none."""
        call = StoreCall(StoreOperation.COMMIT, writes=writes, checks=checks)
        return await self._call(
            call,
            lambda: self.direct.commit(writes, checks),
            _unpack_write_answer,
        )

    async def grant_lease(self, ttl_ms: int) -> StoreLeaseId:
        """Create a lease."""
        call = StoreCall(StoreOperation.GRANT, time_ms=ttl_ms)
        return await self._call(
            call,
            lambda: self.direct.grant_lease(ttl_ms),
            lambda reply: reply.lease,
        )

    async def renew_lease(self, lease: StoreLeaseId) -> bool:
        """Renew a lease; returns False if it has ended."""
        call = StoreCall(StoreOperation.RENEW, lease=lease)
        return await self._call(
            call,
            lambda: self.direct.renew_lease(lease),
            lambda reply: reply.is_alive,
        )

    async def end_lease(self, lease: StoreLeaseId) -> None:
        """End a lease."""
        call = StoreCall(StoreOperation.END, lease=lease)
        await self._call(
            call, lambda: self.direct.end_lease(lease), lambda _reply: None
        )

    async def close(self) -> None:
        """Close the direct connections."""
        await self.direct.close()

    async def _call(
        self,
        call: StoreCall,
        call_directly: Callable[[], Awaitable[ResponseType]],
        unpack: Callable[[StoreReply], ResponseType],
    ) -> ResponseType:
        failure: StoreError | None = None
        if self._clock.monotonic_s() >= self._direct_retry_at_s:
            try:
                return await self._call_directly(call_directly)
            except (StoreLinkBusyError, StoreRejectedError):
                # A relayed response would pass the same link, and a call that
                # the store does not permit would be rejected again.
                raise
            except StoreUnavailableError as exc:
                failure = exc
                self._record_direct_failure(exc)
        return unpack(await self._relay(call, failure))

    async def _call_directly(
        self, call_directly: Callable[[], Awaitable[ResponseType]]
    ) -> ResponseType:
        try:
            response = await call_directly()
        except StoreRejectedError:
            # It has answered.
            self._record_direct_success()
            raise
        except StoreOutcomeUnknownError as exc:
            # Only the caller knows whether a retry is safe.
            self._lost_response_count += 1
            if self._lost_response_count >= MAX_LOST_RESPONSES:
                self._record_direct_failure(exc)
            raise
        self._record_direct_success()
        return response

    async def _relay(
        self, call: StoreCall, failure: StoreError | None
    ) -> StoreReply:
        candidates = self._relay_order.sort(self._peers.known_addresses)
        for address in candidates[:MAX_RELAY_PEERS]:
            reply = await self._relay_through(address, call)
            if reply.failure is not StoreFailure.UNAVAILABLE:
                _raise_if_failed(reply)
                return reply
        self._relay_order.forget_last()
        raise StoreUnavailableError(
            f'store is unavailable from all peers tried: {failure}'
        )

    async def _relay_through(self, address: str, call: StoreCall) -> StoreReply:
        try:
            _, reply = await self._peers.request(
                address,
                call,
                StoreReply,
                RELAY_TIMEOUT_S,
                # A large value takes longer on a link of 10 Mbit/s.
                waits_for_frame=call.operation in _READING_OPERATIONS,
            )
        except PeerNotConnectedError as exc:
            return StoreReply(StoreFailure.UNAVAILABLE, str(exc))
        except PeerUnreachableError as exc:
            self._relay_order.record_silence(address)
            may_have_taken_effect = call.operation in _MUTATING_OPERATIONS
            failure = (
                StoreFailure.UNKNOWN
                if may_have_taken_effect
                else StoreFailure.UNAVAILABLE
            )
            return StoreReply(failure, str(exc))
        self._relay_order.record_answer(
            address,
            has_reached_store=reply.failure is not StoreFailure.UNAVAILABLE,
        )
        return reply

    def _record_direct_failure(self, exc: StoreError) -> None:
        if not self._direct_retry_at_s:
            log_event(logger, 'store.lost', level=logging.WARNING, error=exc)
        self._direct_retry_at_s = (
            self._clock.monotonic_s() + DIRECT_RETRY_INTERVAL_S
        )

    def _record_direct_success(self) -> None:
        self._lost_response_count = 0
        if self._direct_retry_at_s:
            log_event(logger, 'store.regained')
        self._direct_retry_at_s = 0.0


_READING_OPERATIONS = frozenset(
    (StoreOperation.READ, StoreOperation.SCAN, StoreOperation.WATCH)
)
# Operations whose effect is unknown when the response is lost.
_MUTATING_OPERATIONS = frozenset(
    (StoreOperation.COMMIT, StoreOperation.GRANT, StoreOperation.END)
)
# How another VM is told; any other error means that the store is unavailable.
_FAILURE_BY_ERROR = MappingProxyType(
    {
        StoreHistoryGoneError: StoreFailure.HISTORY_GONE,
        StoreRejectedError: StoreFailure.REJECTED,
        StoreOutcomeUnknownError: StoreFailure.UNKNOWN,
    }
)


async def serve_store_call(
    store: WatchableStore, call: StoreCall
) -> StoreReply:
    """Run ``call`` on ``store`` for another VM and return its reply."""
    try:
        return await _execute(store, call)
    except StoreError as exc:
        failure = _FAILURE_BY_ERROR.get(type(exc), StoreFailure.UNAVAILABLE)
        return StoreReply(failure, str(exc))


async def _execute(store: WatchableStore, call: StoreCall) -> StoreReply:
    operation = call.operation
    if operation is StoreOperation.READ:
        return StoreReply(scan=await store.read(call.name))
    if operation is StoreOperation.SCAN:
        return StoreReply(scan=await store.scan(call.name))
    if operation is StoreOperation.WATCH:
        changes = await store.watch(call.name, call.after, call.time_ms)
        return StoreReply(changes=changes)
    if operation is StoreOperation.COMMIT:
        write_answer = await store.commit(call.writes, call.checks)
        return StoreReply(written=write_answer)
    return await _execute_lease_operation(store, call)


async def _execute_lease_operation(
    store: WatchableStore, call: StoreCall
) -> StoreReply:
    if call.operation is StoreOperation.GRANT:
        return StoreReply(lease=await store.grant_lease(call.time_ms))
    if call.operation is StoreOperation.RENEW:
        return StoreReply(is_alive=await store.renew_lease(call.lease))
    await store.end_lease(call.lease)
    return StoreReply()


def _raise_if_failed(reply: StoreReply) -> None:
    if reply.failure is StoreFailure.HISTORY_GONE:
        raise StoreHistoryGoneError(reply.message)
    if reply.failure is StoreFailure.REJECTED:
        raise StoreRejectedError(reply.message)
    if reply.failure is StoreFailure.UNKNOWN:
        raise StoreOutcomeUnknownError(reply.message)


def _unpack_scan(reply: StoreReply) -> Scan:
    return reply.scan or Scan((), 0)


def _unpack_changes(reply: StoreReply) -> Changes:
    return reply.changes or Changes((), (), 0)


def _unpack_write_answer(reply: StoreReply) -> WriteAnswer:
    if reply.written is None:
        raise StoreOutcomeUnknownError(
            'relayed commit: reply without a write answer'
        )
    return reply.written
