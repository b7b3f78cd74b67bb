"""Guards against wrong outcomes of writes around a store outage.

When the response to a write is lost and the store goes down before the record
can be read back, the outcome of the write is unknown.
"""

import pytest

from bulrushcove.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.job import JobRecord, JobSpec
from bulrushcove.job_store import JobStore
from bulrushcove.states import JobState
from tests.fake_store import FakeStore

RECORD = JobRecord(
    job='planta/job-1',
    organisation='planta',
    spec=JobSpec(kind='boiler-review'),
    state=JobState.QUEUED,
    domain='Guichón',
    accepted_unix_ms=0,
)


class StoreDownAfterWrite(FakeStore):
    """Becomes unavailable right after the next write."""

    async def write(self, *writes):
        try:
            return await super().write(*writes)
        finally:
            self.down = True


async def test_outcome_is_unknown_when_the_read_back_fails():
    store = StoreDownAfterWrite()
    store.lose_responses = 1
    with pytest.raises(StoreOutcomeUnknownError):
        await JobStore(store).create(RECORD)
    # The write did take effect.
    assert store.values


async def test_write_to_an_unavailable_store_has_no_effect():
    store = StoreDownAfterWrite()
    store.down = True
    with pytest.raises(StoreUnavailableError):
        await JobStore(store).create(RECORD)
    assert not store.values
