"""Starts stand-ins and entry VMs as processes on this machine.

When the context exits, every process is ended by its pid, even after an
exception or Ctrl-C.
"""

import signal
import tempfile
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from pathlib import Path

import msgspec

from bulrushcove.ids import DomainName, VmId
from dev.history.events import Event, read_events
from dev.launch.http import get_bytes, put_json, responds_with, wait_until
from dev.launch.ports import choose_ports
from dev.launch.processes import Processes
from dev.launch.settings_file import (
    NetworkPlan,
    format_settings,
    make_settings,
)
from dev.launch.standin_start import START_TIMEOUT_S, StandinStarter
from dev.launch.topology import (
    DomainPlan,
    DomainSize,
    EntryVm,
    Topology,
    count_ports,
    mark_as_leaving,
    plan_links,
    plan_topology,
    plan_vm_list_views,
)
from dev.standins.faults import Faults
from dev.standins.links import Link, LinkState

FULL_SIZE = (
    DomainSize(DomainName('Fray Bentos'), 'fray-bentos', 3, 8, 8),
    DomainSize(DomainName('Guichón'), 'guichon', 2, 8, 8),
    DomainSize(DomainName('Centenario'), 'centenario', 2, 8, 8),
)
SMALL_SIZE = (
    DomainSize(DomainName('Fray Bentos'), 'fray-bentos', 1, 2, 2),
    DomainSize(DomainName('Guichón'), 'guichon', 1, 2, 2),
    DomainSize(DomainName('Centenario'), 'centenario', 1, 2, 2),
)


class LaunchOptions(msgspec.Struct, frozen=True):
    """Size, settings and options of a launched cluster."""

    sizes: tuple[DomainSize, ...] = FULL_SIZE
    vm_list_lag_s: float = 0
    # Relays traffic between domains, so that tests can cut it.
    with_links: bool = False
    control_changes: dict[str, int] = msgspec.field(default_factory=dict)
    entry_changes: dict[str, int] = msgspec.field(default_factory=dict)
    # Exporter for the trace spans of the daemons.
    exporter: str = 'none'
    # Directory that is kept with all logs; empty: a temporary one.
    directory: str = ''


class PlatformStats(msgspec.Struct, frozen=True):
    """Call counts of the platform stand-in."""

    calls: dict[str, int]
    waiting_watches: int


class Cluster:
    """A launched cluster: processes, injected faults and history."""

    def __init__(
        self,
        options: LaunchOptions,
        directory: Path,
    ) -> None:
        """Plan the cluster without starting it."""
        self.options = options
        self.processes = Processes(directory)
        topology, links = _choose_topology(options)
        self.topology = topology
        self.links = links
        self._directory = directory
        self._admin_ports = _admin_ports(self.topology)

    @property
    def entry_vms(self) -> list[EntryVm]:
        """Return all entry VMs."""
        return self.topology.entry_vms

    def start(self) -> None:
        """Start the stand-ins, then the entry VMs; wait until healthy."""
        self.start_standins()
        for vm in self.entry_vms:
            self.start_vm(vm.vm)
        for waited in self.entry_vms:
            self.wait_for_vm(waited)

    def start_standins(self) -> None:
        """Start all stand-ins."""
        StandinStarter(
            processes=self.processes,
            directory=self._directory,
            topology=self.topology,
            links=self.links,
            vm_list_lag_s=self.options.vm_list_lag_s,
        ).start()

    def start_vm(self, name: VmId) -> None:
        """Start the control daemon and the entry daemon of one VM."""
        vm = self.find_vm(name)
        settings = make_settings(
            vm,
            NetworkPlan(self.topology, self.links),
            self.options.control_changes,
            self.options.entry_changes,
            self.options.exporter,
        )
        path = self._directory / f'{vm.vm}.toml'
        path.write_text(format_settings(settings), encoding='utf-8')
        flag = f'--settings={path}'
        self.processes.start(control_name(vm.vm), 'bulrushcove.control', flag)
        self.processes.start(entry_name(vm.vm), 'bulrushcove.entry', flag)

    def wait_for_vm(self, vm: EntryVm) -> None:
        """Wait until both processes of a VM pass health checks."""
        wait_until(
            lambda: self.is_healthy(vm),
            f'{vm.vm} is not healthy',
            START_TIMEOUT_S,
        )

    def is_healthy(self, vm: EntryVm) -> bool:
        """Return whether both processes of a VM pass health checks.

        Raises ``ProcessDiedError`` when one of them has ended.
        """
        self.processes.check_running((control_name(vm.vm), entry_name(vm.vm)))
        ports = (vm.entry_port, vm.control_http_port)
        return all(responds_with(port, '/healthz') for port in ports)

    def find_vm(self, name: VmId) -> EntryVm:
        """Return the entry VM called ``name``."""
        return next(vm for vm in self.entry_vms if vm.vm == name)

    def find_domain(self, domain: DomainName) -> DomainPlan:
        """Return the plan of one failure domain."""
        return next(
            plan for plan in self.topology.domains if plan.size.domain == domain
        )

    def kill(self, process_name: str) -> None:
        """End one process with SIGKILL."""
        self.processes.signal(process_name, signal.SIGKILL)
        self.processes.wait(process_name)

    def put_faults(self, server: str, faults: Faults) -> None:
        """Replace the injected faults of one server."""
        put_json(self._admin_ports[server], f'/faults/{server}', faults)

    def put_draining(self, backend: str, *, draining: bool) -> None:
        """Switch draining of one backend server on or off."""
        put_json(self._admin_ports[backend], f'/leaving/{backend}', draining)

    def put_vm_lists(self, *leaving: str) -> None:
        """Update every VM list; marks the VMs in ``leaving`` as leaving."""
        for view in plan_vm_list_views(self.topology, self.links):
            vm_list = mark_as_leaving(view.vm_list, frozenset(leaving))
            put_json(view.port, '/vms', vm_list)

    def cut(self, first: str, second: str, *, cut: bool = True) -> None:
        """Cut or restore the links between two failure domains.

        Either may be the platform.
        """
        state = LinkState(places=(first, second), cut=cut)
        put_json(self.topology.links_admin_port, '/cut', state)

    def platform_stats(self) -> PlatformStats:
        """Return the call counts of the platform stand-in."""
        port = self.topology.platform_admin_port
        return msgspec.json.decode(
            get_bytes(port, '/stats'), type=PlatformStats
        )

    def events(self) -> list[Event]:
        """Return the events logged by workers and backend servers."""
        return read_events(self._directory.glob('*.jsonl'))


def control_name(vm: VmId) -> str:
    """Return the process name of a VM's control daemon."""
    return f'{vm}.control'


def entry_name(vm: VmId) -> str:
    """Return the process name of a VM's entry daemon."""
    return f'{vm}.entry'


@contextmanager
def planned(options: LaunchOptions) -> Iterator[Cluster]:
    """Plan a cluster; ends its processes when the context exits."""
    with _open_directory(options) as name:
        cluster = Cluster(options, Path(name))
        try:
            yield cluster
        finally:
            cluster.processes.end()


@contextmanager
def launched(options: LaunchOptions) -> Iterator[Cluster]:
    """Start a cluster; ends its processes when the context exits."""
    with planned(options) as cluster:
        cluster.start()
        yield cluster


def _open_directory(options: LaunchOptions) -> AbstractContextManager[str]:
    if options.directory:
        Path(options.directory).mkdir(parents=True)
        return nullcontext(options.directory)
    return tempfile.TemporaryDirectory(prefix='bulrushcove-')


def _choose_topology(
    options: LaunchOptions,
) -> tuple[Topology, tuple[Link, ...]]:
    count = count_ports(options.sizes)
    if not options.with_links:
        return plan_topology(options.sizes, iter(choose_ports(count))), ()
    # Each domain needs at most one link to each port.
    ports = iter(choose_ports(count * (1 + len(options.sizes))))
    topology = plan_topology(options.sizes, ports)
    return topology, plan_links(topology, ports)


def _admin_ports(topology: Topology) -> dict[str, int]:
    ports = {'platform': topology.platform_admin_port}
    for plan in topology.domains:
        for hosted in plan.workers:
            ports[hosted.description.worker] = plan.worker_admin_port
        for backend in plan.backends:
            ports[backend.backend] = plan.backend_admin_port
    return ports
