"""What is written below a prefix of the store, kept up to date."""

import asyncio
import logging
from collections.abc import Callable

from mode import Service

from ..exceptions import StoreError, StoreHistoryGoneError
from ..logs import log_event
from ..store import WatchableStore

# A watch hears nothing for good on a silent connection: the bound on news is
# three seconds, so that two waits and a reload fit.
WAIT_MS = 1000
RETRY_S = 0.2
# A watch that goes through another VM returns at once.
RELAYED_PAUSE_S = 0.5

logger = logging.getLogger(__name__)

Entries = dict[str, bytes]


class PrefixCache(Service):
    """A copy of the keys below ``prefix``, and a call on each change."""

    def __init__(
        self,
        store: WatchableStore,
        prefix: str,
        on_change: Callable[[Entries, frozenset[str]], None],
        batching_delay_s: float = 0,
    ) -> None:
        """Call ``on_change`` with all entries and the keys that changed.

        News are gathered for ``batching_delay_s`` where they come often.
        """
        super().__init__()
        self.entries: Entries = {}
        # Revision up to which the entries are known; zero: never read.
        self.revision = 0
        # Whether the last read or watch was answered.
        self.is_current = False
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._batching_delay_s = batching_delay_s

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self._follow()
            except StoreHistoryGoneError as exc:
                log_event(
                    logger, 'feed.reloads', prefix=self._prefix, error=exc
                )
                self.revision = 0
            except StoreError as exc:
                self._note_lost(exc)
                await self.sleep(RETRY_S)

    async def _follow(self) -> None:
        if not self.revision:
            await self._reload()
            return
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        news = await self._store.watch(self._prefix, self.revision, WAIT_MS)
        self._note_current()
        if news.written or news.removed:
            # Without events the revision stays: when the history ends there,
            # a reload finds whatever a watch that heard nothing missed.
            self.revision = news.store_revision
            changed = {item.key for item in news.written}
            changed.update(item.key for item in news.removed)
            for item in news.written:
                self.entries[item.key] = item.value
            for removed in news.removed:
                self._remove(removed.key, news.written, removed.mod_revision)
            self._on_change(self.entries, frozenset(changed))
            if self._batching_delay_s:
                await self.sleep(self._batching_delay_s)
        elif loop.time() - asked_s < RETRY_S:
            await self.sleep(RELAYED_PAUSE_S)

    def _remove(self, key: str, written: tuple, revision: int) -> None:
        is_back = any(
            item.key == key and item.mod_revision > revision for item in written
        )
        if not is_back:
            self.entries.pop(key, None)

    async def _reload(self) -> None:
        found = await self._store.scan(self._prefix)
        self._note_current()
        entries = {item.key: item.value for item in found.found}
        keys = entries.keys() | self.entries.keys()
        changed = frozenset(
            key for key in keys if entries.get(key) != self.entries.get(key)
        )
        self.entries = entries
        self.revision = found.store_revision
        self._on_change(entries, changed)

    def _note_current(self) -> None:
        self.is_current = True

    def _note_lost(self, exc: StoreError) -> None:
        if self.is_current:
            log_event(
                logger,
                'feed.lost',
                level=logging.WARNING,
                prefix=self._prefix,
                error=exc,
            )
        self.is_current = False
