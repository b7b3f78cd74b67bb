"""Health checks of the leader, directly and through other VMs."""

from ..clock import Clock
from ..exceptions import PeerUnreachableError
from ..ids import Epoch, VmId
from ..messages import Hello
from .failover import FailoverAction, LeaderObservation, choose_action
from .messages import LeaderRecord, Ping, Pong
from .peers import PeerRefusedError, Peers

# A round trip between the farthest VMs takes 60 ms.
PING_TIMEOUT_S = 0.3
# Other VMs asked whether they reach a silent leader before it is replaced.
MAX_PEERS_ASKED = 2


class LeaderMonitor:
    """Pings the leader that this VM follows and records the responses."""

    def __init__(self, vm: VmId, peers: Peers, clock: Clock) -> None:
        """Send pings in the name of ``vm``."""
        # Epoch of the last leader that is known to have ended.
        self.ended_epoch = Epoch(0)
        self._peers = peers
        self._clock = clock
        self._ping = Ping(vm, peers.address)
        self._observation = LeaderObservation()

    @property
    def is_responsive(self) -> bool:
        """Return whether the last ping was answered."""
        return (
            not self._observation.missed_pings and not self._observation.is_dead
        )

    def reset(self) -> None:
        """Forget past observations, for a new leader."""
        self._observation = LeaderObservation()

    def record_ended(self, epoch: Epoch) -> None:
        """Record that the leader of ``epoch`` has ended."""
        self.ended_epoch = epoch
        self._observation.is_dead = True

    async def check(self, leader: LeaderRecord) -> FailoverAction:
        """Ping ``leader`` and return what to do about it."""
        try:
            peer, pong = await self._ask(leader.address)
        except PeerRefusedError:
            # A network partition may refuse connections too, so the process
            # is not known to have ended.
            self._observation.is_dead = True
        except PeerUnreachableError:
            self._observation.record_missed_ping(self._clock.monotonic_s())
        else:
            if peer.incarnation != leader.incarnation:
                self.record_ended(leader.epoch)
            else:
                self._peers.add_addresses(pong.addresses)
                self._observation.record_pong(
                    is_active=pong.is_active, now_s=self._clock.monotonic_s()
                )
        action = choose_action(self._observation, self._clock.monotonic_s())
        if (
            action is FailoverAction.REPLACE
            and await self._is_reachable_by_others(leader)
        ):
            return FailoverAction.READ_RECORD
        return action

    async def _is_reachable_by_others(self, leader: LeaderRecord) -> bool:
        """Return whether one of a few other VMs reaches ``leader``.

        They are not asked about a leader that is presumed dead.
        """
        if self._observation.is_dead:
            return False
        others = self._peers.known_addresses - {leader.address}
        for address in sorted(others)[:MAX_PEERS_ASKED]:
            try:
                _, pong = await self._ask(address)
            except PeerUnreachableError:
                continue
            leader_epoch = pong.holder.epoch if pong.holder else None
            if leader_epoch == leader.epoch and pong.hears_holder:
                return True
        return False

    async def _ask(self, address: str) -> tuple[Hello, Pong]:
        return await self._peers.request(
            address, self._ping, Pong, PING_TIMEOUT_S
        )
