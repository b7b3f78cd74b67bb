"""Settings of the node program, whatever file they came from."""

import msgspec

from ..ids import DomainName, VmId


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a process learns from its surroundings."""

    vm: VmId
    domain: DomainName
    ip: str
    # Pairs host:port.
    caller_api_address: str
    readiness_address: str
    # Streams of the other VMs; at a VM without a port of its own, empty.
    stream_address: str
    metrics_address: str
    # Streams of a few VMs, possibly gone.
    seed_addresses: tuple[str, ...]
    store_address: str
    # Placement adviser; empty: there is none.
    adviser_address: str
    # Longest lease that a worker grants.
    max_lease_ms: int
    # Time from the request to stop to the end of the process by force.
    stop_grace_ms: int
    min_store_lease_ms: int
