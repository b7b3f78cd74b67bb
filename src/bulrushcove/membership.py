"""State of the other entry VMs as known to a control; does no I/O."""

import msgspec

from .clock import MS_PER_S
from .ids import DomainName, VmId
from .messages import DomainView, Heartbeat, VmStatus
from .vm_list import VmEntry

# An older view of a domain is ignored.
VIEW_LIFETIME_MS = 30_000


class _ReceivedView(msgspec.Struct, frozen=True):
    view: DomainView
    # When the control made the view, on this process's monotonic clock.
    made_at_s: float


class Membership:
    """Keeps the last heartbeat of each peer and the newest domain views."""

    def __init__(self, peer_timeout_ms: int) -> None:
        """Start without peers.

        A peer is unreachable ``peer_timeout_ms`` after its last heartbeat.
        """
        self._peer_timeout_s = peer_timeout_ms / MS_PER_S
        self._heartbeats: dict[VmId, Heartbeat] = {}
        self._last_heartbeat_at_s: dict[VmId, float] = {}
        self._views: dict[DomainName, _ReceivedView] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Record a heartbeat and the domain views that it carries."""
        self._heartbeats[heartbeat.vm] = heartbeat
        self._last_heartbeat_at_s[heartbeat.vm] = now_s
        for view in heartbeat.domains:
            self.record_view(view, now_s)

    def record_view(self, view: DomainView, now_s: float) -> None:
        """Record ``view`` if it is newer than the known view of its domain.

        A view of a higher epoch is always newer.
        """
        received = _ReceivedView(view, now_s - view.age_ms / MS_PER_S)
        known = self._views.get(view.domain)
        if known is None or _rank(received) > _rank(known):
            self._views[view.domain] = received

    def domain_views(self, now_s: float) -> tuple[DomainView, ...]:
        """Return the views that are not too old, with their current ages."""
        aged = (
            msgspec.structs.replace(
                received.view,
                age_ms=int((now_s - received.made_at_s) * MS_PER_S),
            )
            for received in self._views.values()
        )
        return tuple(view for view in aged if view.age_ms <= VIEW_LIFETIME_MS)

    def find_active_control(
        self, domain: DomainName, now_s: float
    ) -> VmId | None:
        """Return the active control of ``domain``; None when not known."""
        for view in self.domain_views(now_s):
            if view.domain == domain:
                return view.control
        return None

    def is_reachable(self, vm: VmId, now_s: float) -> bool:
        """Return whether the last heartbeat of ``vm`` is recent enough."""
        last_heartbeat_at_s = self._last_heartbeat_at_s.get(vm)
        return (
            last_heartbeat_at_s is not None
            and now_s - last_heartbeat_at_s < self._peer_timeout_s
        )

    def statuses(
        self,
        vms: tuple[VmEntry, ...],
        now_s: float,
    ) -> tuple[VmStatus, ...]:
        """Return the status of each entry VM in ``vms``."""
        return tuple(self._status(entry, now_s) for entry in vms)

    def _status(self, entry: VmEntry, now_s: float) -> VmStatus:
        heartbeat = self._heartbeats.get(entry.vm)
        if heartbeat is None:
            return VmStatus(entry.vm, entry.domain, 0, reachable=False)
        return VmStatus(
            vm=entry.vm,
            domain=entry.domain,
            revision=heartbeat.revision,
            reachable=self.is_reachable(entry.vm, now_s),
            leaving=heartbeat.leaving,
            incarnation=heartbeat.incarnation,
        )


def _rank(received: _ReceivedView) -> tuple[int, float]:
    return received.view.epoch, received.made_at_s
