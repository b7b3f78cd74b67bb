"""Reads and writes the leader's record in the store."""

import asyncio
import logging
from functools import lru_cache

import msgspec

from ..clock import Clock
from ..decoding import DECODE_ERRORS
from ..exceptions import StoreError, StoreOutcomeUnknownError
from ..ids import Epoch, IncarnationId, VmId
from ..logs import MAX_LOGGED_ERRORS, log_event
from ..store import StoredValue, StoreLeaseId, WatchableStore, Write
from .messages import LeaderRecord
from .peers import Peers
from .settings import NodeSettings
from .store_keys import LEADER_KEY

# Store lease of the leader's record. After a power loss of the leader's VM the
# record disappears when it expires.
RECORD_LEASE_MS = 2500
# Lease of a record that cannot be decoded; no lease has this id.
UNKNOWN_LEASE = StoreLeaseId(0)
END_LEASE_RETRY_S = 0.6
_INITIAL_ROUND_TRIP_S = 0.05

logger = logging.getLogger(__name__)


class LeaderRecordStore:
    """Access of one VM to the leader's record."""

    def __init__(
        self,
        settings: NodeSettings,
        store: WatchableStore,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Write records that name this VM and its process."""
        # Duration of the last read.
        self.round_trip_s = _INITIAL_ROUND_TRIP_S
        self._lease_ms = max(RECORD_LEASE_MS, settings.min_store_lease_ms)
        self._store = store
        self._peers = peers
        self._clock = clock

    async def read(self) -> LeaderRecord | None:
        """Return the record with its epoch; None if there is none.

        One that cannot be decoded names a leader without an address: it is
        replaced like any leader that does not respond.
        """
        sent_at_s = self._clock.monotonic_s()
        scan = await self._store.read(LEADER_KEY)
        self.round_trip_s = self._clock.monotonic_s() - sent_at_s
        if not scan.found:
            return None
        stored = scan.found[0]
        try:
            return _decode_record(stored)
        except StoreError as exc:
            _log_unreadable(stored.mod_revision, str(exc))
            return _unreadable_record(stored)

    async def is_current_after(
        self, delay_s: float, record: LeaderRecord | None
    ) -> bool:
        """Wait and read the record; return whether it still is ``record``."""
        await asyncio.sleep(delay_s)
        return _epoch_of(await self.read()) == _epoch_of(record)

    async def replace(
        self, previous: LeaderRecord | None
    ) -> LeaderRecord | None:
        """Replace ``previous`` by a record that names this VM, and return it.

        Returns None if another VM has replaced it, or if no response arrived:
        the next read finds the record if the write took effect.
        """
        lease = await self._store.grant_lease(self._lease_ms)
        hello = self._peers.hello
        record = LeaderRecord(
            hello.vm, hello.incarnation, self._peers.address, lease
        )
        write = Write(
            LEADER_KEY,
            msgspec.msgpack.encode(record),
            _epoch_of(previous),
            lease,
        )
        try:
            response = await self._store.commit((write,))
        except StoreOutcomeUnknownError:
            return None
        if not response.written:
            await self._store.end_lease(lease)
            return None
        return msgspec.structs.replace(
            record, epoch=Epoch(response.store_revision)
        )

    async def end_lease(self, record: LeaderRecord) -> None:
        """End the lease of a replaced ``record``; retries until it has ended.

        As long as its lease lives, each renewal confirms its leadership.
        """
        while record.lease != UNKNOWN_LEASE:
            try:
                await self._store.end_lease(record.lease)
            except StoreError as exc:
                log_event(
                    logger, 'tenure.lease_left', holder=record.vm, error=exc
                )
                await asyncio.sleep(END_LEASE_RETRY_S)
            else:
                return


def _unreadable_record(stored: StoredValue) -> LeaderRecord:
    return LeaderRecord(
        VmId(''),
        IncarnationId(''),
        address='',
        lease=UNKNOWN_LEASE,
        epoch=Epoch(stored.mod_revision),
    )


@lru_cache(maxsize=MAX_LOGGED_ERRORS)
def _log_unreadable(epoch: int, error: str) -> None:
    """Log an error once, although the record is read again and again."""
    log_event(
        logger,
        'tenure.record_unreadable',
        level=logging.ERROR,
        epoch=epoch,
        error=error,
    )


def _epoch_of(record: LeaderRecord | None) -> Epoch:
    return record.epoch if record else Epoch(0)


def _decode_record(stored: StoredValue) -> LeaderRecord:
    try:
        leader = msgspec.msgpack.decode(stored.value, type=LeaderRecord)
    except DECODE_ERRORS as exc:
        raise StoreError(f'cannot decode the leader record: {exc}') from exc
    return msgspec.structs.replace(leader, epoch=Epoch(stored.mod_revision))
