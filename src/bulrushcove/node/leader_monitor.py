"""Pings to the active scheduler, and what other VMs hear of it."""

from ..clock import Clock
from ..exceptions import PeerUnreachableError
from ..ids import Epoch, VmId
from ..messages import Hello
from .failover import Sight, Verdict, judge
from .messages import LeaderRecord, Ping, Pong
from .peers import PeerRefusedError, Peers

# A round trip between the farthest VMs takes 60 ms.
PING_TIMEOUT_S = 0.3
# Other VMs asked before a silent holder is replaced.
MAX_WITNESSES = 2


class LeaderMonitor:
    """What this VM sees of the holder that it follows."""

    def __init__(self, vm: VmId, peers: Peers, clock: Clock) -> None:
        """Ping from ``vm``."""
        # Epoch of the last holder that is known to have ended.
        self.over_epoch = Epoch(0)
        self._peers = peers
        self._clock = clock
        self._ping = Ping(vm, peers.address)
        self._sight = Sight()

    @property
    def has_answered(self) -> bool:
        """Return whether the last ping was answered."""
        return not self._sight.missed_pings and not self._sight.is_dead

    def restart(self) -> None:
        """Watch another holder from now on."""
        self._sight = Sight()

    def note_over(self, epoch: Epoch) -> None:
        """The holder of ``epoch`` has ended."""
        self.over_epoch = epoch
        self._sight.is_dead = True

    async def look_at(self, leader: LeaderRecord) -> Verdict:
        """Ping ``leader`` and return what that asks for."""
        try:
            peer, pong = await self._ask(leader.address)
        except PeerRefusedError:
            # A cut may refuse as well, so the process is not surely over.
            self._sight.is_dead = True
        except PeerUnreachableError:
            self._sight.note_missed(self._clock.monotonic_s())
        else:
            if peer.incarnation != leader.incarnation:
                self.note_over(leader.epoch)
            else:
                self._peers.add_addresses(pong.addresses)
                self._sight.note_heard(
                    is_active=pong.is_active, now_s=self._clock.monotonic_s()
                )
        verdict = judge(self._sight, self._clock.monotonic_s())
        if verdict is Verdict.REPLACE and await self._others_hear(leader):
            return Verdict.READ_RECORD
        return verdict

    async def _others_hear(self, leader: LeaderRecord) -> bool:
        """Return whether another VM hears the holder; asks a few."""
        if self._sight.is_dead:
            return False
        others = self._peers.known_addresses - {leader.address}
        for address in sorted(others)[:MAX_WITNESSES]:
            try:
                _, pong = await self._ask(address)
            except PeerUnreachableError:
                continue
            seen = pong.holder.epoch if pong.holder else None
            if seen == leader.epoch and pong.hears_holder:
                return True
        return False

    async def _ask(self, address: str) -> tuple[Hello, Pong]:
        return await self._peers.request(
            address, self._ping, Pong, PING_TIMEOUT_S
        )
