"""Job records in the platform's store; written by compare-and-swap only."""

import msgspec

from .exceptions import (
    BulrushcoveError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from .ids import JobId
from .job import JobRecord
from .store import JOBS_PREFIX, Store, StoredValue, Write

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(JobRecord)


class StoredJob(msgspec.Struct, frozen=True):
    """A record and the store revision that wrote it."""

    record: JobRecord
    mod_revision: int


class JobScan(msgspec.Struct, frozen=True):
    """Job records as of ``store_revision``."""

    jobs: tuple[StoredJob, ...]
    store_revision: int


class JobExistsError(BulrushcoveError):
    """A record with this id already exists; ``stored`` is that record."""

    def __init__(self, stored: StoredJob) -> None:
        """Keep the existing record."""
        super().__init__(f'job {stored.record.job!r} already exists')
        self.stored = stored


class JobChangedError(BulrushcoveError):
    """The record was changed or deleted since it was read."""

    def __init__(self, job: JobId, stored: StoredJob | None) -> None:
        """Keep the current record; None if there is none."""
        super().__init__(f'job {job!r} was changed by another process')
        self.stored = stored


class JobStore:
    """Reads and writes job records; errors of the store are passed on."""

    def __init__(self, store: Store) -> None:
        """Use the records in ``store``."""
        self._store = store

    async def create(self, record: JobRecord) -> StoredJob:
        """Write a new record; raises ``JobExistsError``.

        If the response is lost, the record is read back; when it is the same,
        the write took effect.
        """
        try:
            return await self._compare_and_swap(record, 0)
        except JobChangedError as exc:
            if exc.stored is None:
                raise
            raise JobExistsError(exc.stored) from exc

    async def load(self, job: JobId) -> StoredJob | None:
        """Return the record of ``job``; None if there is none."""
        scan = await self._store.read(_key(job))
        if not scan.found:
            return None
        return _decode(scan.found[0])

    async def replace(self, stored: StoredJob, record: JobRecord) -> StoredJob:
        """Replace ``stored`` by ``record``; raises ``JobChangedError``."""
        return await self._compare_and_swap(record, stored.mod_revision)

    async def delete(self, stored: StoredJob) -> None:
        """Delete the record; raises ``JobChangedError``."""
        job = stored.record.job
        response = await self._store.write(
            Write(_key(job), None, stored.mod_revision),
        )
        if not response.written:
            raise JobChangedError(job, _decode_first(response.current))

    async def scan(self, newer_than: int = 0) -> JobScan:
        """Return all records written after revision ``newer_than``."""
        scan = await self._store.scan(JOBS_PREFIX, newer_than=newer_than)
        jobs = tuple(_decode(stored_value) for stored_value in scan.found)
        return JobScan(jobs, scan.store_revision)

    async def _compare_and_swap(
        self, record: JobRecord, expected_revision: int
    ) -> StoredJob:
        encoded = _encoder.encode(record)
        write = Write(_key(record.job), encoded, expected_revision)
        try:
            response = await self._store.write(write)
        except StoreOutcomeUnknownError:
            return await self._read_back(record, encoded)
        if response.written:
            return StoredJob(record, response.store_revision)
        raise JobChangedError(record.job, _decode_first(response.current))

    async def _read_back(self, record: JobRecord, encoded: bytes) -> StoredJob:
        try:
            scan = await self._store.read(_key(record.job))
        except StoreUnavailableError as exc:
            raise StoreOutcomeUnknownError(
                f'job {record.job!r}: no response to the write, and the record '
                'cannot be read back',
            ) from exc
        if scan.found and scan.found[0].value == encoded:
            return _decode(scan.found[0])
        if scan.found:
            raise JobChangedError(record.job, _decode(scan.found[0]))
        # The write may still be applied: only a later read can tell.
        raise StoreOutcomeUnknownError(
            f'job {record.job!r}: no response to the write, and the record '
            'is not found',
        )


def _key(job: JobId) -> str:
    return f'{JOBS_PREFIX}{job}'


def _decode(stored_value: StoredValue) -> StoredJob:
    record = _decoder.decode(stored_value.value)
    return StoredJob(record, stored_value.mod_revision)


def _decode_first(current: tuple[StoredValue, ...]) -> StoredJob | None:
    if not current:
        return None
    return _decode(current[0])
