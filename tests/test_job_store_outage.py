"""A write whose answer is lost just as the store goes down."""

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


class StoreGoingDown(FakeStore):
    """Goes down right after the next write."""

    async def write(self, *writes):
        try:
            return await super().write(*writes)
        finally:
            self.down = True


async def test_outcome_is_unknown_when_the_read_back_fails():
    store = StoreGoingDown()
    store.lose_answers = 1
    with pytest.raises(StoreOutcomeUnknownError):
        await JobStore(store).create(RECORD)
    # Control: the write did take effect.
    assert store.values


async def test_store_that_was_down_before_the_write_had_no_effect():
    store = StoreGoingDown()
    store.down = True
    with pytest.raises(StoreUnavailableError):
        await JobStore(store).create(RECORD)
    assert not store.values
