"""The configuration in the platform's store, changed by compare-and-swap."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import msgspec

from .configuration import Configuration, empty_configuration
from .configuration_codec import decode_configuration, encode_configuration
from .exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from .store import CONFIGURATION_KEY, Store, StoredValue, Write

MAX_SETTLE_TRIES = 5
FIRST_PAUSE_S = 0.1

Sleep = Callable[[float], Awaitable[object]]


class StoredConfiguration(msgspec.Struct, frozen=True):
    """A configuration and the store revision that wrote it; 0: none did."""

    configuration: Configuration
    mod_revision: int


class ConfigurationStore:
    """Reads the configuration and replaces it by the next one."""

    def __init__(self, store: Store, sleep: Sleep = asyncio.sleep) -> None:
        """Work on ``store``; ``sleep`` waits between tries."""
        self._store = store
        self._sleep = sleep

    async def load(self) -> StoredConfiguration:
        """Return what the store holds; raises ``StoreUnavailableError``."""
        scan = await self._store.read(CONFIGURATION_KEY)
        return _decode(scan.found)

    async def compare_and_swap(
        self,
        stored: StoredConfiguration,
        following: Configuration,
    ) -> StoredConfiguration:
        """Write ``following`` over ``stored``; return what then stands.

        That is ``following`` or, when another write came first, the other's.
        After a lost answer the store is read back, and the same write is sent
        again while its base still stands: it may have been lost, and however
        often it arrives, it takes effect once.

        Raises ``StoreUnavailableError`` when nothing was written, and
        ``StoreOutcomeUnknownError`` when that cannot be told.
        """
        write = Write(
            CONFIGURATION_KEY,
            encode_configuration(following),
            stored.mod_revision,
        )
        try:
            return await self._write(write, following)
        except StoreOutcomeUnknownError:
            return await self._settle(write, following)

    async def _write(
        self,
        write: Write,
        following: Configuration,
    ) -> StoredConfiguration:
        answer = await self._store.write(write)
        if answer.written:
            return StoredConfiguration(following, answer.store_revision)
        return _decode(answer.current)

    async def _settle(
        self,
        write: Write,
        following: Configuration,
    ) -> StoredConfiguration:
        for turn in range(MAX_SETTLE_TRIES):
            await self._sleep(FIRST_PAUSE_S * 2**turn)
            # Until a read-back succeeds, the first write is in doubt.
            with suppress(StoreUnavailableError, StoreOutcomeUnknownError):
                return await self._read_back(write, following)
        raise StoreOutcomeUnknownError(
            f'configuration revision {following.revision}: no answer after '
            f'{MAX_SETTLE_TRIES} tries to read back',
        )

    async def _read_back(
        self,
        write: Write,
        following: Configuration,
    ) -> StoredConfiguration:
        current = await self.load()
        if current.mod_revision != write.expected_revision:
            return current
        return await self._write(write, following)


def _decode(found: tuple[StoredValue, ...]) -> StoredConfiguration:
    if not found:
        return StoredConfiguration(empty_configuration(), 0)
    return StoredConfiguration(
        decode_configuration(found[0].value),
        found[0].mod_revision,
    )
