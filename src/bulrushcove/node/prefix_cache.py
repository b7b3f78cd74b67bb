"""Local cache of the store keys below a prefix, kept current by a watch."""

import asyncio
import logging
from collections.abc import Callable

from mode import Service

from ..clock import MS_PER_S
from ..exceptions import StoreError, StoreHistoryGoneError
from ..logs import log_event, log_unexpected_error
from ..store import WatchableStore

# A watch on a dead connection never returns events. Changes must be seen within
# three seconds, which leaves room for two waits and a reload.
WATCH_WAIT_MS = 1000
RETRY_INTERVAL_S = 0.2
# A relayed watch returns at once, so it is polled at this interval.
RELAYED_POLL_INTERVAL_S = 0.5
# A response with more changes is followed by the next watch at once: the store
# returns about 500 at a time, and 1,500 workers write 1,000 in a second.
MAX_BATCHED_CHANGES = 250

logger = logging.getLogger(__name__)

Entries = dict[str, bytes]


class PrefixCache(Service):
    """Keeps a copy of the keys below ``prefix`` and reports changes."""

    def __init__(
        self,
        store: WatchableStore,
        prefix: str,
        on_change: Callable[[Entries, frozenset[str]], None],
        batching_delay_s: float = 0,
        watch_wait_ms: int = WATCH_WAIT_MS,
        retry_interval_s: float = RETRY_INTERVAL_S,
    ) -> None:
        """Call ``on_change`` with all entries and the keys that changed.

        After a few changes the next watch starts ``batching_delay_s`` later,
        so that frequent changes are reported together. A watch without changes
        ends after ``watch_wait_ms``.
        """
        super().__init__()
        self.entries: Entries = {}
        # Store revision of the entries; zero: to be loaded.
        self.revision = 0
        # Whether all entries were read once; also true while they are reloaded.
        self.has_loaded = False
        # Whether the last scan or watch succeeded.
        self.is_current = False
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._batching_delay_s = batching_delay_s
        self._watch_wait_ms = watch_wait_ms
        self._retry_interval_s = retry_interval_s

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self._update()
            except StoreHistoryGoneError as exc:
                # Usual for keys that seldom change.
                log_event(
                    logger,
                    'feed.reloads',
                    level=logging.DEBUG,
                    prefix=self._prefix,
                    error=exc,
                )
                self.revision = 0
            except StoreError as exc:
                self._record_failure(exc)
                await self.sleep(self._retry_interval_s)

    async def _update(self) -> None:
        if not self.revision:
            await self._reload()
            return
        loop = asyncio.get_running_loop()
        sent_at_s = loop.time()
        changes = await self._store.watch(
            self._prefix, self.revision, self._watch_wait_ms
        )
        self._record_success()
        if changes.written or changes.removed:
            # Without events the revision is kept: once the store's history no
            # longer reaches back to it, a reload finds what the watch missed.
            self.revision = changes.store_revision
            changed = {item.key for item in changes.written}
            changed.update(item.key for item in changes.removed)
            for item in changes.written:
                self.entries[item.key] = item.value
            for removed in changes.removed:
                self._remove(removed.key, changes.written, removed.mod_revision)
            self._report(frozenset(changed))
            if len(changed) <= MAX_BATCHED_CHANGES and self._batching_delay_s:
                await self.sleep(self._batching_delay_s)
        elif loop.time() - sent_at_s < RETRY_INTERVAL_S:
            await self.sleep(RELAYED_POLL_INTERVAL_S)

    def _remove(self, key: str, written: tuple, revision: int) -> None:
        is_written_again = any(
            item.key == key and item.mod_revision > revision for item in written
        )
        if not is_written_again:
            self.entries.pop(key, None)

    async def _reload(self) -> None:
        loop = asyncio.get_running_loop()
        sent_at_s = loop.time()
        scan = await self._store.scan(self._prefix)
        self._record_success()
        log_event(
            logger,
            'feed.loaded',
            prefix=self._prefix,
            entries=len(scan.found),
            bytes=sum(len(item.value) for item in scan.found),
            ms=round((loop.time() - sent_at_s) * MS_PER_S),
        )
        entries = {item.key: item.value for item in scan.found}
        keys = entries.keys() | self.entries.keys()
        changed = frozenset(
            key for key in keys if entries.get(key) != self.entries.get(key)
        )
        self.entries = entries
        self.revision = scan.store_revision
        self.has_loaded = True
        self._report(changed)

    def _report(self, changed: frozenset[str]) -> None:
        """Report ``changed``; an error of the reader ends no later update."""
        try:
            self._on_change(self.entries, changed)
        except Exception as exc:
            log_unexpected_error(logger, exc, prefix=self._prefix)

    def _record_success(self) -> None:
        self.is_current = True

    def _record_failure(self, exc: StoreError) -> None:
        if self.is_current:
            log_event(
                logger,
                'feed.lost',
                level=logging.WARNING,
                prefix=self._prefix,
                error=exc,
            )
        self.is_current = False
