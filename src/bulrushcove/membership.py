"""What a control knows of the other entry VMs, without I/O."""

import msgspec

from .clock import MS_PER_S
from .ids import DomainName, VmId
from .messages import DomainView, Heartbeat, VmStatus
from .vm_list import VmEntry

# A view older than this says nothing about its domain any more.
VIEW_LIFETIME_MS = 30_000


class _HeardView(msgspec.Struct, frozen=True):
    view: DomainView
    # When the view was made, on this process's monotonic clock.
    made_at_s: float


class Membership:
    """Peers by their heartbeats, domains by their newest views."""

    def __init__(self, peer_timeout_ms: int) -> None:
        """Count a peer as unreachable after ``peer_timeout_ms`` of silence."""
        self._peer_timeout_s = peer_timeout_ms / MS_PER_S
        self._heartbeats: dict[VmId, Heartbeat] = {}
        self._heard_at_s: dict[VmId, float] = {}
        self._views: dict[DomainName, _HeardView] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Take in a heartbeat and the domain views that it carries."""
        self._heartbeats[heartbeat.vm] = heartbeat
        self._heard_at_s[heartbeat.vm] = now_s
        for view in heartbeat.domains:
            self.record_view(view, now_s)

    def record_view(self, view: DomainView, now_s: float) -> None:
        """Keep ``view`` if it is of a higher epoch or newer than the held."""
        heard = _HeardView(view, now_s - view.age_ms / MS_PER_S)
        held = self._views.get(view.domain)
        if held is None or _rank(heard) > _rank(held):
            self._views[view.domain] = heard

    def domain_views(self, now_s: float) -> tuple[DomainView, ...]:
        """Return the views that are recent enough, with their ages now."""
        aged = (
            msgspec.structs.replace(
                heard.view,
                age_ms=int((now_s - heard.made_at_s) * MS_PER_S),
            )
            for heard in self._views.values()
        )
        return tuple(view for view in aged if view.age_ms <= VIEW_LIFETIME_MS)

    def control_of(self, domain: DomainName, now_s: float) -> VmId | None:
        """Return the active control of ``domain``; None when not known."""
        for view in self.domain_views(now_s):
            if view.domain == domain:
                return view.control
        return None

    def is_reachable(self, vm: VmId, now_s: float) -> bool:
        """Return whether ``vm`` was heard within the silence limit."""
        heard_at_s = self._heard_at_s.get(vm)
        return (
            heard_at_s is not None and now_s - heard_at_s < self._peer_timeout_s
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


def _rank(heard: _HeardView) -> tuple[int, float]:
    return heard.view.epoch, heard.made_at_s
