"""Health checks of the leader, directly and through other VMs."""

import asyncio
import random

import msgspec

from ..clock import Clock
from ..exceptions import PeerUnreachableError
from ..ids import Epoch, VmId
from ..messages import Hello
from .failover import (
    MISSED_PING_RETRY_S,
    FailoverAction,
    LeaderObservation,
    PeerReports,
    choose_action,
    ping_interval_s,
)
from .loop_delay import LoopDelay
from .messages import LeaderRecord, Ping, Pong
from .peers import PeerRefusedError, Peers

# A round trip between the farthest VMs takes 60 ms.
PING_TIMEOUT_S = 0.3
# Time limit of the last ping before a leader is replaced: as long as that of a
# store read that passes the same link.
LAST_PING_TIMEOUT_S = 1.2
# How much longer than that read the ping may take: the farthest VM is 60 ms
# farther than the store.
LAST_PING_GRACE_S = 0.1
# Other VMs asked whether they reach a silent leader before it is replaced.
MAX_PEERS_ASKED = 2
# How long they have to respond; they may have to ping the leader first.
PEER_CHECK_TIMEOUT_S = 0.65


class LeaderMonitor:
    """Pings the leader that this VM follows and records the responses."""

    def __init__(
        self, vm: VmId, peers: Peers, clock: Clock, loop_delay: LoopDelay
    ) -> None:
        """Send pings in the name of ``vm``."""
        # Epoch of the last leader that is known to have ended.
        self.ended_epoch = Epoch(0)
        self._peers = peers
        self._clock = clock
        self._loop_delay = loop_delay
        self._ping = Ping(vm, peers.address)
        self._observation = LeaderObservation()
        # Responses of the VMs that were last asked about the leader.
        self._peer_reports = PeerReports()
        # The ping in progress on behalf of other VMs.
        self._peer_check: asyncio.Task[bool] | None = None

    @property
    def is_responsive(self) -> bool:
        """Return whether the last ping was answered."""
        return (
            not self._observation.missed_pings and not self._observation.is_dead
        )

    def describe(self) -> dict[str, object]:
        """Return what is known of the leader, as fields of a log line."""
        observation = self._observation
        silent_s = 0.0
        if observation.silent_since_s:
            silent_s = self._clock.monotonic_s() - observation.silent_since_s
        return {
            'is_dead': observation.is_dead,
            'missed_pings': observation.missed_pings,
            'silent_s': round(silent_s, 2),
            'asked': self._peer_reports.asked,
            'answered': self._peer_reports.answered,
            'hearing': self._peer_reports.hearing,
        }

    def ping_interval_s(self, cpu_cores: float) -> float:
        """Return the time until this VM, of ``cpu_cores``, pings again."""
        if self._observation.missed_pings:
            return MISSED_PING_RETRY_S
        vm_count = len(self._peers.known_addresses) + 1
        return ping_interval_s(vm_count, cpu_cores)

    def reset(self) -> None:
        """Forget past observations, for a new leader."""
        self._observation = LeaderObservation()
        self._peer_reports = PeerReports()

    def record_ended(self, epoch: Epoch) -> None:
        """Record that the leader of ``epoch`` has ended."""
        self.ended_epoch = epoch
        self._observation.is_dead = True

    async def check(self, leader: LeaderRecord) -> FailoverAction:
        """Ping ``leader`` and return what to do about it."""
        reports = PeerReports()
        if self._observation.missed_pings:
            # Other VMs are asked at once, so that a dead leader is replaced
            # soon.
            reports, _ = await asyncio.gather(
                self._ask_others(leader), self._ping_leader(leader)
            )
        else:
            await self._ping_leader(leader)
        self._peer_reports = reports
        return choose_action(
            self._observation, self._clock.monotonic_s(), reports
        )

    async def answers_during(
        self, leader: LeaderRecord, link_check: asyncio.Task[bool]
    ) -> bool:
        """Return whether ``leader`` answers a last ping before its replacement.

        It may until shortly after the end of ``link_check``, a call that shows
        that this VM's own link works. It is not asked if it is presumed dead or
        ``link_check`` returns that it is replaced already.
        """
        if self._observation.is_dead:
            return False
        pong = asyncio.create_task(self._wait_for_pong(leader))
        try:
            if not await link_check:
                return False
            async with asyncio.timeout(LAST_PING_GRACE_S):
                await pong
        except TimeoutError:
            return False
        finally:
            pong.cancel()
        return True

    async def is_reachable(self, leader: LeaderRecord) -> bool:
        """Ping ``leader`` for another VM; return whether it responds.

        Requests at the same time share one ping.
        """
        check = self._peer_check
        if check is None or check.done():
            check = asyncio.create_task(self._responds(leader))
            self._peer_check = check
        return await asyncio.shield(check)

    async def _wait_for_pong(self, leader: LeaderRecord) -> None:
        """Ping ``leader`` until it responds, and record that."""
        while True:
            if await self._responds(leader, LAST_PING_TIMEOUT_S):
                break
            await asyncio.sleep(MISSED_PING_RETRY_S)
        self._observation.record_pong(
            is_active=True, now_s=self._clock.monotonic_s()
        )

    async def _responds(
        self, leader: LeaderRecord, timeout_s: float = PING_TIMEOUT_S
    ) -> bool:
        """Ping ``leader`` without recording the result."""
        try:
            peer, pong = await self._ask(leader.address, timeout_s)
        except PeerUnreachableError:
            return False
        return peer.incarnation == leader.incarnation and pong.is_active

    async def _ping_leader(self, leader: LeaderRecord) -> None:
        """Ping ``leader`` and record the result.

        A missing response is ignored if this process itself was late.
        """
        sent_at_s = self._clock.monotonic_s()
        try:
            peer, pong = await self._ask(leader.address)
        except PeerRefusedError:
            # A network partition may refuse connections too, so the process
            # is not known to have ended.
            self._observation.is_dead = True
        except PeerUnreachableError:
            if not self._loop_delay.was_late_since(sent_at_s):
                self._observation.record_missed_ping(self._clock.monotonic_s())
        else:
            if peer.incarnation != leader.incarnation:
                self.record_ended(leader.epoch)
            else:
                self._peers.add_addresses(pong.addresses)
                self._observation.record_pong(
                    is_active=pong.is_active, now_s=self._clock.monotonic_s()
                )

    async def _ask_others(self, leader: LeaderRecord) -> PeerReports:
        """Ask a few other VMs whether they reach ``leader``."""
        others = sorted(self._peers.known_addresses - {leader.address})
        asked = random.sample(others, min(MAX_PEERS_ASKED, len(others)))
        responses = await asyncio.gather(
            *(self._is_reachable_by(address, leader) for address in asked)
        )
        answers = [answer for answer in responses if answer is not None]
        return PeerReports(len(asked), len(answers), sum(answers))

    async def _is_reachable_by(
        self, address: str, leader: LeaderRecord
    ) -> bool | None:
        """Return whether the VM at ``address`` reaches ``leader``.

        None: it did not answer.
        """
        ping = msgspec.structs.replace(self._ping, checks_leader=True)
        try:
            _, pong = await self._peers.request(
                address, ping, Pong, PEER_CHECK_TIMEOUT_S
            )
        except PeerUnreachableError:
            return None
        leader_epoch = pong.holder.epoch if pong.holder else None
        return leader_epoch == leader.epoch and pong.hears_holder

    async def _ask(
        self, address: str, timeout_s: float = PING_TIMEOUT_S
    ) -> tuple[Hello, Pong]:
        return await self._peers.request(address, self._ping, Pong, timeout_s)
