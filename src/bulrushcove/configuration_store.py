"""Loads the configuration from the store and changes it there."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import msgspec

from .configuration import Configuration, empty_configuration
from .configuration_codec import decode_configuration, encode_configuration
from .exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from .store import CONFIGURATION_KEY, Store, StoredValue, Write

MAX_READ_BACK_ATTEMPTS = 5
FIRST_RETRY_DELAY_S = 0.1

Sleep = Callable[[float], Awaitable[object]]


class StoredConfiguration(msgspec.Struct, frozen=True):
    """A configuration and the store revision of its write (0: none)."""

    configuration: Configuration
    mod_revision: int


class ConfigurationStore:
    """Loads the configuration and replaces it by compare-and-swap."""

    def __init__(self, store: Store, sleep: Sleep = asyncio.sleep) -> None:
        """Use ``store``; ``sleep`` waits between attempts."""
        self._store = store
        self._sleep = sleep

    async def load(self) -> StoredConfiguration:
        """Return the stored configuration; the empty one if none is stored.

        Raises ``StoreUnavailableError``, and ``ConfigurationError`` for a
        stored value that is corrupt.
        """
        scan = await self._store.read(CONFIGURATION_KEY)
        return _decode(scan.found)

    async def compare_and_swap(
        self,
        stored: StoredConfiguration,
        replacement: Configuration,
    ) -> StoredConfiguration:
        """Replace ``stored`` by ``replacement``; return what is then stored.

        That is ``replacement`` or, if another write came first, the other
        configuration. If the response is lost, the store is read back, and
        the same write is sent again while ``stored`` is unchanged: the first
        may have been lost, and at most one of them takes effect.

        Raises ``StoreUnavailableError`` if nothing was written, and
        ``StoreOutcomeUnknownError`` if that is not known.
        """
        write = Write(
            CONFIGURATION_KEY,
            encode_configuration(replacement),
            stored.mod_revision,
        )
        try:
            return await self._write(write, replacement)
        except StoreOutcomeUnknownError:
            return await self._resolve_unknown_outcome(write, replacement)

    async def _write(
        self,
        write: Write,
        replacement: Configuration,
    ) -> StoredConfiguration:
        response = await self._store.write(write)
        if response.written:
            return StoredConfiguration(replacement, response.store_revision)
        return _decode(response.current)

    async def _resolve_unknown_outcome(
        self,
        write: Write,
        replacement: Configuration,
    ) -> StoredConfiguration:
        for attempt in range(MAX_READ_BACK_ATTEMPTS):
            await self._sleep(FIRST_RETRY_DELAY_S * 2**attempt)
            # The outcome of the first write is unknown until a read succeeds.
            with suppress(StoreUnavailableError, StoreOutcomeUnknownError):
                return await self._read_back(write, replacement)
        raise StoreOutcomeUnknownError(
            f'configuration revision {replacement.revision}: write outcome '
            f'unknown after {MAX_READ_BACK_ATTEMPTS} attempts to read it back',
        )

    async def _read_back(
        self,
        write: Write,
        replacement: Configuration,
    ) -> StoredConfiguration:
        current = await self.load()
        if current.mod_revision != write.expected_revision:
            return current
        return await self._write(write, replacement)


def _decode(found: tuple[StoredValue, ...]) -> StoredConfiguration:
    if not found:
        return StoredConfiguration(empty_configuration(), 0)
    return StoredConfiguration(
        decode_configuration(found[0].value),
        found[0].mod_revision,
    )
