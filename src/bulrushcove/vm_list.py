"""The platform's list of VMs (``GET /vms``, JSON), which lags by seconds."""

import msgspec

from .ids import DomainName, RackId, VmId
from .states import VmRole, VmState


class VmEntry(msgspec.Struct, frozen=True):
    """One VM; ``address`` is its IP address."""

    vm: VmId
    role: VmRole
    domain: DomainName
    address: str
    # HTTP port: of an entry VM for callers, of a worker for its control, of a
    # backend server for requests.
    port: int
    state: VmState = VmState.LIVE
    rack: RackId = RackId('')
    # Stream port of an entry VM's control; 0 for other roles.
    control_port: int = 0


class VmList(msgspec.Struct, frozen=True):
    """The complete list, as it was some seconds ago."""

    vms: tuple[VmEntry, ...]
