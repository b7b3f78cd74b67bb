"""Settings of the node program, independent of their file format."""

import msgspec

from ..batch.records import MAX_RECORD_BYTES
from ..ids import DomainName, VmId

# Lease of a worker's runs. Long enough to outlast a failover; a longer lease
# delays the restart of a lost worker's tasks elsewhere.
LEASE_MS = 8000


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one node process; addresses are ``host:port``."""

    vm: VmId
    domain: DomainName
    ip: str
    # Where the HTTP API for callers listens.
    caller_api_address: str
    # Where the readiness check listens.
    readiness_address: str
    # Where streams from the other VMs are accepted.
    stream_address: str
    metrics_address: str
    # Stream addresses of a few other VMs, some of which may be gone.
    seed_addresses: tuple[str, ...]
    store_address: str
    # Address of the placement adviser; empty: there is none.
    adviser_address: str
    # Longest lease that a worker grants for its runs.
    max_lease_ms: int
    # Time from the stop request until the process is killed.
    stop_grace_ms: int
    min_store_lease_ms: int
    # Largest value that the store takes.
    max_record_bytes: int = MAX_RECORD_BYTES
    # CPU of the VM, in cores of the reference speed.
    cpu_cores: float = 1.0
    # Memory and descriptors that the process may use; 0: not known.
    memory_mb: int = 0
    max_descriptors: int = 0


def run_lease_ms(max_lease_ms: int) -> int:
    """Return the lease of runs, of which workers grant ``max_lease_ms``."""
    return min(LEASE_MS, max_lease_ms)
