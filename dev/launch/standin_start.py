"""Starts the stand-ins of a launched cluster."""

from collections.abc import Sequence
from pathlib import Path

import msgspec

from dev.launch.http import responds_with, wait_until
from dev.launch.processes import Processes
from dev.launch.topology import DomainPlan, Topology, plan_vm_list_views
from dev.standins.links import Link

START_TIMEOUT_S = 30


class StandinStarter(msgspec.Struct, frozen=True):
    """Starts all stand-ins of a cluster as processes."""

    processes: Processes
    directory: Path
    topology: Topology
    links: tuple[Link, ...]
    vm_list_lag_s: float

    def start(self) -> None:
        """Start all stand-ins and wait until their admin ports respond."""
        topology = self.topology
        self.processes.start(
            'platform',
            'dev.standins.platform',
            f'--kv_port={topology.platform_port}',
            f'--admin_port={topology.platform_admin_port}',
        )
        self._start_standin(
            'vm_list',
            plan_vm_list_views(topology, self.links),
            topology.vm_list_admin_port,
            f'--lag_s={self.vm_list_lag_s}',
        )
        for plan in topology.domains:
            self._start_domain(plan)
        if self.links:
            self._start_standin('links', self.links, topology.links_admin_port)
        for port in self._admin_ports():
            _wait_for_port(port)

    def _admin_ports(self) -> list[int]:
        ports = [
            self.topology.platform_admin_port,
            self.topology.vm_list_admin_port,
        ]
        for plan in self.topology.domains:
            ports.extend([plan.worker_admin_port, plan.backend_admin_port])
        if self.links:
            ports.append(self.topology.links_admin_port)
        return ports

    def _start_domain(self, plan: DomainPlan) -> None:
        groups = (
            ('worker', plan.workers, plan.worker_admin_port),
            ('backend', plan.backends, plan.backend_admin_port),
        )
        for kind, hosted, admin_port in groups:
            log_path = self.directory / f'{kind}-{plan.size.slug}.jsonl'
            self._start_standin(
                kind,
                hosted,
                admin_port,
                f'--log_file={log_path}',
                suffix=f'-{plan.size.slug}',
            )

    def _start_standin(
        self,
        kind: str,
        hosted: Sequence[msgspec.Struct],
        admin_port: int,
        *arguments: str,
        suffix: str = '',
    ) -> None:
        path = self.directory / f'{kind}{suffix}.json'
        path.write_bytes(msgspec.json.encode(hosted))
        self.processes.start(
            f'{kind}{suffix}',
            f'dev.standins.{kind}',
            f'--hosted={path}',
            f'--admin_port={admin_port}',
            *arguments,
        )


def _wait_for_port(port: int) -> None:
    wait_until(
        lambda: responds_with(port, '/faults/unknown', 404),
        f'stand-in admin port {port} does not respond',
        START_TIMEOUT_S,
    )
