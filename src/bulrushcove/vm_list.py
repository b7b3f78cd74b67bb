"""Entries of the platform's lagging list of VMs (``GET /vms``, JSON)."""

import msgspec

from .ids import DomainName, RackId, VmId
from .states import VmRole, VmState


class VmEntry(msgspec.Struct, frozen=True):
    """One VM; ``address`` is an IP number."""

    vm: VmId
    role: VmRole
    domain: DomainName
    address: str
    # HTTP port: callers of an entry VM, tasks of a worker, work of a backend.
    port: int
    state: VmState = VmState.LIVE
    rack: RackId = RackId('')
    # Stream port of an entry VM's control; 0 for other roles.
    control_port: int = 0


class VmList(msgspec.Struct, frozen=True):
    """The whole list as of some seconds ago."""

    vms: tuple[VmEntry, ...]
