"""Stores when the leases of silent workers expire; see ``lease_expiry``."""

import asyncio
import logging
from collections.abc import Callable

from ..batch.engine import Engine
from ..batch.exceptions import RecordError
from ..batch.lease_expiry import (
    STORED_AFTER_S,
    LeaseExpiryRecord,
    decode_lease_expiry,
    encode_lease_expiry,
)
from ..batch.workers import (
    MAX_CLOCK_DRIFT,
    find_expired_workers,
    find_silent_workers,
)
from ..clock import Clock
from ..ids import Epoch
from ..logs import log_event
from ..store import WatchableStore
from .background_tasks import BackgroundTasks
from .leadership import AUTHORITY_TTL_S, LEASE_TAIL_S, Leadership
from .store_keys import LEASE_EXPIRY_KEY
from .store_writer import LeadershipLostError, StoreWriter

# Once the store has not confirmed the leader for this long, nothing is stored:
# an entry could not be removed again, and its worker would get no lease.
MAX_CONFIRMATION_AGE_S = STORED_AFTER_S
# A worker's clock may run slow, which prolongs a lease by up to this factor.
LEASE_DRIFT_FACTOR = 1 / (1 - MAX_CLOCK_DRIFT)

logger = logging.getLogger(__name__)


class LeaseExpiryWriter:
    """Keeps the stored lease expiry of the silent workers up to date."""

    def __init__(
        self,
        engine: Engine,
        store_writer: StoreWriter,
        leadership: Leadership,
        clock: Clock,
    ) -> None:
        """Store the expiry of the workers of ``engine``."""
        # Called when a record is stored: some workers may get leases again.
        self.on_stored: Callable[[], None] = _do_nothing
        self.tasks = BackgroundTasks()
        self._engine = engine
        self._store_writer = store_writer
        self._leadership = leadership
        self._clock = clock
        self._is_storing = False

    @property
    def silent_count(self) -> int:
        """Return how many workers with runs do not respond."""
        return len(find_silent_workers(self._engine.workers.values()))

    async def load(self, store: WatchableStore) -> LeaseExpiryRecord:
        """Return the stored record; raises ``StoreError``.

        A record that cannot be decoded is logged and replaced.
        """
        scan = await store.read(LEASE_EXPIRY_KEY)
        if not scan.found:
            return LeaseExpiryRecord()
        stored = scan.found[0]
        self._store_writer.revisions[LEASE_EXPIRY_KEY] = stored.mod_revision
        try:
            return decode_lease_expiry(stored.value)
        except RecordError as exc:
            log_event(
                logger,
                'lease_expiry.unreadable',
                level=logging.ERROR,
                error=exc,
            )
        self._store_writer.put(LEASE_EXPIRY_KEY, None)
        return LeaseExpiryRecord()

    def restore(
        self, record: LeaseExpiryRecord, lease_s: float, epoch: Epoch
    ) -> float:
        """Use ``record`` from now on, for the leader of ``epoch``.

        Returns the seconds until all leases of earlier leaders, of at most
        ``lease_s``, have expired: one lease, or all that a leader may grant
        unless every earlier one is known to have ended. The previous leader may
        not have known it of those before.
        """
        leadership = self._leadership
        was_sole = record.sole_epoch == leadership.previous_epoch
        wait_s = lease_s
        now_s = self._clock.monotonic_s()
        sole_at_s = now_s
        if not (leadership.has_previous_leader_ended and was_sole):
            wait_s = AUTHORITY_TTL_S + LEASE_TAIL_S
            sole_at_s += AUTHORITY_TTL_S
        self._engine.lease_expiry.restore(
            record, epoch=epoch, sole_at_s=sole_at_s
        )
        return wait_s * LEASE_DRIFT_FACTOR

    def update(self, now_s: float) -> None:
        """Apply the stored expiry and store the next record if it differs."""
        table = self._engine.lease_expiry
        workers = self._engine.workers
        table.advance(workers, now_s)
        for worker in find_expired_workers(workers.values(), now_s):
            log_event(
                logger,
                'worker.leases_expired',
                worker=worker.id,
                runs=len(worker.allocations),
                has_reported=worker.has_reported,
            )
        confirmed_at_s = self._leadership.confirmed_at_s
        is_store_away = now_s - confirmed_at_s > MAX_CONFIRMATION_AGE_S
        if self._is_storing or is_store_away:
            return
        record = table.next_record(workers, now_s)
        if record is not None:
            self._is_storing = True
            table.start_storing(record)
            self.tasks.spawn(self._store(record))

    async def _store(self, record: LeaseExpiryRecord) -> None:
        write = self._store_writer.put(
            LEASE_EXPIRY_KEY, encode_lease_expiry(record)
        )
        try:
            await asyncio.shield(write)
        except LeadershipLostError:
            return
        self._is_storing = False
        table = self._engine.lease_expiry
        table.finish_storing(record)
        log_event(logger, 'lease_expiry.stored', workers=len(table.named))
        self.on_stored()


def _do_nothing() -> None:
    """Stand in for a handler that is set later."""
