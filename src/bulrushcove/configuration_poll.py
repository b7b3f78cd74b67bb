"""Keeps a control's configuration current by polling the platform.

An answer that holds nothing new is still a proof, for the start permit, that
the held configuration was the newest when the question was sent.
"""

import logging

import aiohttp
from mode import Service

from .clock import MS_PER_S, Clock
from .configuration_codec import decode_configuration
from .configuration_holder import ConfigurationHolder
from .exceptions import ConfigurationError, StoreError
from .logs import log_event
from .permit import StartPermits
from .store import CONFIGURATION_KEY, Scan, Store

logger = logging.getLogger(__name__)


class ConfigurationPoll(Service):
    """Polls the configuration key once an interval."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        poll_ms: int,
        configuration_holder: ConfigurationHolder,
        permits: StartPermits,
    ) -> None:
        """Adopt what is read and record a proof for ``permits``."""
        super().__init__()
        self.platform_reachable = False
        self._store = store
        self._clock = clock
        self._interval_s = poll_ms / MS_PER_S
        self._configuration_holder = configuration_holder
        self._permits = permits
        self._known_store_revision = 0

    async def poll(self) -> None:
        """Read once; errors only mark the platform as not reachable."""
        asked_at_s = self._clock.monotonic_s()
        try:
            scan = await self._store.read(
                CONFIGURATION_KEY,
                newer_than=self._known_store_revision,
            )
        except (StoreError, aiohttp.ClientError) as exc:
            self._note_unreachable(exc)
            return
        self.platform_reachable = True
        if self._take(scan):
            self._permits.record_proof(
                self._configuration_holder.current.revision, asked_at_s
            )

    @Service.task
    async def _poll_for_ever(self) -> None:
        while not self.should_stop:
            await self.poll()
            await self.sleep(self._interval_s)

    def _take(self, scan: Scan) -> bool:
        """Adopt what was read; tell whether it proves what is held."""
        for stored in scan.found:
            try:
                configuration = decode_configuration(stored.value)
            except ConfigurationError as exc:
                _log_refused(exc)
                return False
            if (
                configuration.revision
                < self._configuration_holder.current.revision
            ):
                # The store lost acknowledged writes: what is held stands.
                _log_fallen_back(configuration.revision)
                return False
            self._known_store_revision = stored.mod_revision
            if self._configuration_holder.adopt(configuration):
                _log_adopted(configuration.revision)
        return True

    def _note_unreachable(self, exc: Exception) -> None:
        if self.platform_reachable:
            log_event(
                logger,
                'platform.unreachable',
                level=logging.WARNING,
                error=exc,
            )
        self.platform_reachable = False


def _log_refused(exc: ConfigurationError) -> None:
    log_event(
        logger,
        'configuration.unreadable',
        level=logging.ERROR,
        error=exc,
    )


def _log_fallen_back(revision: int) -> None:
    log_event(
        logger,
        'configuration.fell_back',
        level=logging.ERROR,
        revision=revision,
    )


def _log_adopted(revision: int) -> None:
    log_event(
        logger, 'configuration.adopted', revision=revision, source='store'
    )
