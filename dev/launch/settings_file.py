"""Creates the settings files of the launched entry VMs."""

import hashlib
import json

import msgspec

from bulrushcove.ids import DomainName
from bulrushcove.settings import (
    ControlSettings,
    EntrySettings,
    PlatformSettings,
    Settings,
    TracingSettings,
    VmSettings,
)
from dev.launch.ports import HOST
from dev.launch.topology import EntryVm, Topology, find_link_ports
from dev.standins.links import Link

OPERATOR_TOKEN = 'operator-of-the-launched-cluster'


class NetworkPlan(msgspec.Struct, frozen=True):
    """Ports of the cluster and the links between its failure domains."""

    topology: Topology
    links: tuple[Link, ...] = ()

    def platform_settings(self, domain: DomainName) -> PlatformSettings:
        """Return the platform URLs for the VMs of ``domain``."""
        plan = next(
            each for each in self.topology.domains if each.size.domain == domain
        )
        store = self._address(domain, self.topology.platform_port)
        vm_list = self._address(domain, plan.vm_list_port)
        return PlatformSettings(
            store_url=f'http://{store}', vm_list_url=f'http://{vm_list}/vms'
        )

    def peer_addresses(self, domain: DomainName) -> tuple[str, ...]:
        """Return the addresses of all control daemons for ``domain``."""
        return tuple(
            self._address(domain, vm.stream_port)
            for vm in self.topology.entry_vms
        )

    def _address(self, domain: DomainName, port: int) -> str:
        ports = find_link_ports(domain, self.links)
        return f'{HOST}:{ports.get(port, port)}'


def make_settings(
    vm: EntryVm,
    network: NetworkPlan,
    control_changes: dict[str, int],
    entry_changes: dict[str, int],
    exporter: str = 'none',
) -> Settings:
    """Return the settings of one entry VM."""
    token_sha256 = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return Settings(
        vm=VmSettings(id=vm.vm, domain=vm.domain),
        entry=EntrySettings(
            port=vm.entry_port,
            operator_token_sha256=(token_sha256,),
            **entry_changes,
        ),
        control=ControlSettings(
            stream_port=vm.stream_port,
            http_port=vm.control_http_port,
            peer_addresses=network.peer_addresses(vm.domain),
            **control_changes,
        ),
        platform=network.platform_settings(vm.domain),
        tracing=TracingSettings(exporter=exporter),
    )


def format_settings(settings: Settings) -> str:
    """Return ``settings`` as TOML."""
    lines: list[str] = []
    for section, fields in msgspec.to_builtins(settings).items():
        lines.append(f'[{section}]')
        for key, setting in fields.items():
            # JSON strings, numbers, booleans and arrays are also valid TOML.
            lines.append(f'{key} = {json.dumps(setting, ensure_ascii=False)}')
    return '\n'.join([*lines, ''])
