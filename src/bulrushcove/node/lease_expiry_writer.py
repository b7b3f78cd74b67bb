"""Stores when the leases of silent workers expire; see ``lease_expiry``."""

import asyncio
import logging
from collections.abc import Callable

from ..batch.engine import Engine
from ..batch.exceptions import RecordError
from ..batch.lease_expiry import (
    LeaseExpiryRecord,
    decode_lease_expiry,
    encode_lease_expiry,
)
from ..logs import log_event
from ..store import WatchableStore
from .background_tasks import BackgroundTasks
from .store_keys import LEASE_EXPIRY_KEY
from .store_writer import LeadershipLostError, StoreWriter

logger = logging.getLogger(__name__)


class LeaseExpiryWriter:
    """Keeps the stored lease expiry of the silent workers up to date."""

    def __init__(self, engine: Engine, store_writer: StoreWriter) -> None:
        """Store the expiry of the workers of ``engine``."""
        # Called when a record is stored: some workers may get leases again.
        self.on_stored: Callable[[], None] = _do_nothing
        self.tasks = BackgroundTasks()
        self._engine = engine
        self._store_writer = store_writer
        self._is_storing = False

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

    def update(self, now_s: float) -> None:
        """Apply the stored expiry and store the next record if it differs."""
        table = self._engine.lease_expiry
        table.advance(self._engine.workers, now_s)
        if self._is_storing:
            return
        record = table.next_record(self._engine.workers, now_s)
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
