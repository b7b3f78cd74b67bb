"""Confirms with the store that this VM leads, before it answers from memory.

A leader that was suspended or cut off may have been replaced without knowing
it. Its orders and writes carry its epoch and are rejected then; what it
returns to callers is checked here.
"""

import asyncio
import contextlib
import logging

from ..batch.job_state import JobPhase
from ..clock import Clock
from ..exceptions import StoreError
from ..logs import log_event
from ..store import WatchableStore
from .leadership import Leadership
from .messages import LeaderRecord
from .store_keys import LEADER_KEY

# A state or a count is returned if leadership was confirmed within this time,
# a little longer than the interval of its renewal.
MAX_STATE_AGE_S = 1.0
# How long a state or a count waits for a confirmation.
MAX_CONFIRMATION_WAIT_S = 0.5

logger = logging.getLogger(__name__)


class LeadershipCheck:
    """Checks of the leader on this VM; concurrent ones share a read."""

    def __init__(
        self, leadership: Leadership, store: WatchableStore, clock: Clock
    ) -> None:
        """Check ``leadership`` against its record in ``store``."""
        self._leadership = leadership
        self._store = store
        self._clock = clock
        # The read of the record that is in progress.
        self._read: asyncio.Task[bool] | None = None

    async def is_confirmed_since(self, since_s: float) -> bool:
        """Return whether this VM was the leader at ``since_s`` or later.

        It then knows every job that was accepted before. Steps down if the
        record names another VM. Returns False if the store does not respond,
        and if this VM lost leadership meanwhile and gained it again.
        """
        leadership = self._leadership
        leader = leadership.leader
        while self._leads_as(leader) and leadership.confirmed_at_s < since_s:
            # A read that was sent before ``since_s`` is followed by another.
            if self._read is None or self._read.done():
                self._read = asyncio.create_task(self._read_record())
            if not await asyncio.shield(self._read):
                return False
        return self._leads_as(leader)

    async def may_return_phase(
        self, phase: JobPhase | None, received_at_s: float
    ) -> bool:
        """Return whether ``phase`` is the answer to a request about a job.

        None: this VM does not know the job, but a new leader may have accepted
        it. An end is stored before it is returned, and final.
        """
        if phase is None:
            return await self.is_confirmed_since(received_at_s)
        if phase in {JobPhase.QUEUED, JobPhase.RUNNING}:
            return await self.may_return_state()
        return True

    async def may_return_state(self) -> bool:
        """Return whether what the leader knows is recent enough.

        While the store does not respond, it is as long as the leader has
        authority.
        """
        oldest_s = self._clock.monotonic_s() - MAX_STATE_AGE_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_CONFIRMATION_WAIT_S):
                await self.is_confirmed_since(oldest_s)
        return self._leadership.has_authority

    def _leads_as(self, leader: LeaderRecord | None) -> bool:
        """Return whether this VM leads, and ``leader`` is its record."""
        return self._leadership.is_leader and self._leadership.leader is leader

    async def _read_record(self) -> bool:
        """Read the leader record; return whether it is this VM's."""
        leadership = self._leadership
        leader = leadership.leader
        sent_at_s = self._clock.monotonic_s()
        try:
            scan = await self._store.read(LEADER_KEY)
        except StoreError as exc:
            log_event(logger, 'tenure.confirmation_failed', error=exc)
            return False
        if leader is None or not self._leads_as(leader):
            return False
        epochs = [stored.mod_revision for stored in scan.found]
        if epochs != [leader.epoch]:
            await leadership.step_down(
                'another VM has replaced the leader record'
            )
            return False
        leadership.confirm(sent_at_s)
        return True
