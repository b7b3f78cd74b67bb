"""Keeps a control's configuration current by polling the platform.

A response without a newer configuration still proves, for the start permits,
that the current one was the newest when the request was sent.
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
    """Reads the configuration key once every ``poll_ms``."""

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
        self._last_store_revision = 0

    async def poll(self) -> None:
        """Read once; an error only marks the platform as unreachable."""
        requested_at_s = self._clock.monotonic_s()
        try:
            scan = await self._store.read(
                CONFIGURATION_KEY,
                newer_than=self._last_store_revision,
            )
        except (StoreError, aiohttp.ClientError) as exc:
            self._record_unreachable(exc)
            return
        self.platform_reachable = True
        if self._adopt(scan):
            self._permits.record_proof(
                self._configuration_holder.current.revision, requested_at_s
            )

    @Service.task
    async def _poll_repeatedly(self) -> None:
        while not self.should_stop:
            await self.poll()
            await self.sleep(self._interval_s)

    def _adopt(self, scan: Scan) -> bool:
        """Adopt what was read.

        Returns whether the current configuration is proved to be the newest.
        """
        for stored in scan.found:
            try:
                configuration = decode_configuration(stored.value)
            except ConfigurationError as exc:
                _log_unreadable(exc)
                return False
            if (
                configuration.revision
                < self._configuration_holder.current.revision
            ):
                # The store lost acknowledged writes: keep the current one.
                _log_older_revision(configuration.revision)
                return False
            self._last_store_revision = stored.mod_revision
            if self._configuration_holder.adopt(configuration):
                _log_adopted(configuration.revision)
        return True

    def _record_unreachable(self, exc: Exception) -> None:
        if self.platform_reachable:
            log_event(
                logger,
                'platform.unreachable',
                level=logging.WARNING,
                error=exc,
            )
        self.platform_reachable = False


def _log_unreadable(exc: ConfigurationError) -> None:
    log_event(
        logger,
        'configuration.unreadable',
        level=logging.ERROR,
        error=exc,
    )


def _log_older_revision(revision: int) -> None:
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
