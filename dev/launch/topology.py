"""Plans the VMs, ports and links of a launched cluster; no I/O."""

from collections.abc import Iterator

import msgspec

from bulrushcove.ids import (
    BackendId,
    DomainName,
    RackId,
    VmId,
    WorkerId,
)
from bulrushcove.states import VmRole, VmState
from bulrushcove.vm_list import VmEntry, VmList
from bulrushcove.worker_api import WorkerDescription
from dev.launch.ports import HOST
from dev.standins.backend_state import BackendDescription
from dev.standins.links import Link
from dev.standins.vm_list import VmListView
from dev.standins.worker import HostedWorker

# Name of the platform's end of a link.
PLATFORM = 'platform'
ACCELERATORS = 8
CORES = 32
MEMORY_MB = 65_536
WORKERS_PER_RACK = 8
# Platform, platform admin, VM list admin and links admin.
SHARED_PORTS = 4
PORTS_PER_ENTRY_VM = 3
# VM list, worker admin and backend server admin.
PORTS_PER_DOMAIN = 3


class DomainSize(msgspec.Struct, frozen=True):
    """Number of VMs of each kind in one failure domain."""

    domain: DomainName
    # Prefix of the names of its VMs.
    slug: str
    entry_vms: int
    workers: int
    backends: int


class EntryVm(msgspec.Struct, frozen=True):
    """One entry VM, which runs an entry and a control daemon."""

    vm: VmId
    domain: DomainName
    entry_port: int
    stream_port: int
    control_http_port: int

    @property
    def url(self) -> str:
        """Return the base URL for callers and operators."""
        return f'http://{HOST}:{self.entry_port}'


class DomainPlan(msgspec.Struct, frozen=True):
    """Ports and VMs of one failure domain."""

    size: DomainSize
    vm_list_port: int
    worker_admin_port: int
    backend_admin_port: int
    entry_vms: tuple[EntryVm, ...]
    workers: tuple[HostedWorker, ...]
    backends: tuple[BackendDescription, ...]


class Topology(msgspec.Struct, frozen=True):
    """Ports and failure domains of the cluster."""

    platform_port: int
    platform_admin_port: int
    vm_list_admin_port: int
    links_admin_port: int
    domains: tuple[DomainPlan, ...]

    @property
    def entry_vms(self) -> list[EntryVm]:
        """Return the entry VMs of all domains."""
        return [vm for plan in self.domains for vm in plan.entry_vms]


def count_ports(sizes: tuple[DomainSize, ...]) -> int:
    """Return the number of ports of a cluster without links."""
    total = SHARED_PORTS
    for size in sizes:
        total += PORTS_PER_DOMAIN + size.workers + size.backends
        total += PORTS_PER_ENTRY_VM * size.entry_vms
    return total


def plan_topology(
    sizes: tuple[DomainSize, ...], ports: Iterator[int]
) -> Topology:
    """Return the cluster with its ports assigned from ``ports``."""
    return Topology(
        platform_port=next(ports),
        platform_admin_port=next(ports),
        vm_list_admin_port=next(ports),
        links_admin_port=next(ports),
        domains=tuple(_plan_domain(size, ports) for size in sizes),
    )


def _plan_domain(size: DomainSize, ports: Iterator[int]) -> DomainPlan:
    return DomainPlan(
        size=size,
        vm_list_port=next(ports),
        worker_admin_port=next(ports),
        backend_admin_port=next(ports),
        entry_vms=tuple(
            EntryVm(
                vm=VmId(f'{size.slug}-entry-{number}'),
                domain=size.domain,
                entry_port=next(ports),
                stream_port=next(ports),
                control_http_port=next(ports),
            )
            for number in range(1, size.entry_vms + 1)
        ),
        workers=tuple(
            HostedWorker(
                port=next(ports), description=_describe_worker(size, number)
            )
            for number in range(1, size.workers + 1)
        ),
        backends=tuple(
            BackendDescription(
                backend=BackendId(f'{size.slug}-backend-{number}'),
                domain=size.domain,
                port=next(ports),
            )
            for number in range(1, size.backends + 1)
        ),
    )


def _describe_worker(size: DomainSize, number: int) -> WorkerDescription:
    rack = (number - 1) // WORKERS_PER_RACK + 1
    return WorkerDescription(
        worker=WorkerId(f'{size.slug}-worker-{number}'),
        domain=size.domain,
        rack=RackId(f'{size.slug}-rack-{rack}'),
        accelerators=ACCELERATORS,
        cores=CORES,
        memory_mb=MEMORY_MB,
    )


def list_vms(plan: DomainPlan) -> list[VmEntry]:
    """Return the VM list entries of one domain, without links."""
    domain = plan.size.domain
    entries = [
        VmEntry(
            vm=vm.vm,
            role=VmRole.ENTRY,
            domain=domain,
            address=HOST,
            port=vm.entry_port,
            control_port=vm.stream_port,
        )
        for vm in plan.entry_vms
    ]
    workers = [
        VmEntry(
            vm=VmId(hosted.description.worker),
            role=VmRole.WORKER,
            domain=domain,
            address=HOST,
            port=hosted.port,
            rack=hosted.description.rack,
        )
        for hosted in plan.workers
    ]
    backends = [
        VmEntry(
            vm=VmId(hosted.backend),
            role=VmRole.BACKEND,
            domain=domain,
            address=HOST,
            port=hosted.port,
        )
        for hosted in plan.backends
    ]
    return [*entries, *workers, *backends]


def plan_vm_list_views(
    topology: Topology, links: tuple[Link, ...]
) -> list[VmListView]:
    """Return each domain's view of the VM list.

    The port of a VM behind a link is replaced by the port of the link.
    """
    all_entries = [
        entry for plan in topology.domains for entry in list_vms(plan)
    ]
    return [
        VmListView(
            name=plan.size.domain,
            port=plan.vm_list_port,
            vm_list=VmList(
                vms=tuple(
                    _apply_links(entry, plan.size.domain, links)
                    for entry in all_entries
                )
            ),
        )
        for plan in topology.domains
    ]


def mark_as_leaving(vm_list: VmList, names: frozenset[str]) -> VmList:
    """Return ``vm_list`` with the VMs in ``names`` marked as leaving."""
    return VmList(
        vms=tuple(
            msgspec.structs.replace(entry, state=VmState.LEAVING)
            if entry.vm in names
            else entry
            for entry in vm_list.vms
        )
    )


def find_link_ports(
    source: DomainName, links: tuple[Link, ...]
) -> dict[int, int]:
    """Return the link port by target port, for links from ``source``."""
    return {
        link.target_port: link.port for link in links if link.source == source
    }


def _apply_links(
    entry: VmEntry, source: DomainName, links: tuple[Link, ...]
) -> VmEntry:
    ports = find_link_ports(source, links)
    return msgspec.structs.replace(
        entry,
        port=ports.get(entry.port, entry.port),
        control_port=ports.get(entry.control_port, entry.control_port),
    )


def plan_links(topology: Topology, ports: Iterator[int]) -> tuple[Link, ...]:
    """Return links from each domain to the platform and other domains."""
    links: list[Link] = []
    for source in topology.domains:
        links.extend(
            Link(
                source=source.size.domain,
                target=PLATFORM,
                port=next(ports),
                target_port=target_port,
            )
            for target_port in (topology.platform_port, source.vm_list_port)
        )
        for target in topology.domains:
            if target.size.domain != source.size.domain:
                links.extend(_links_between(source, target, ports))
    return tuple(links)


def _links_between(
    source: DomainPlan, target: DomainPlan, ports: Iterator[int]
) -> Iterator[Link]:
    for entry in list_vms(target):
        for target_port in (entry.port, entry.control_port):
            if target_port:
                yield Link(
                    source=source.size.domain,
                    target=target.size.domain,
                    port=next(ports),
                    target_port=target_port,
                )
