"""Starts the processes that measure_path compares."""

import tempfile
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import NamedTuple

import msgspec

from bulrushcove.authentication import token_digest
from bulrushcove.configuration import Configuration
from bulrushcove.contract import Contract, RequestLimits
from bulrushcove.messages import ClusterView, ConfigurationPush, Hello
from bulrushcove.settings import (
    ControlSettings,
    EntrySettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from bulrushcove.states import DomainState, VmRole
from bulrushcove.streams import StreamServer
from bulrushcove.vm_list import VmEntry
from bulrushcove.wire import Frame
from dev.launch.http import responds_with, wait_until
from dev.launch.ports import HOST, choose_ports
from dev.launch.processes import Processes
from dev.launch.settings_file import format_settings
from dev.standins.backend_state import BackendDescription

SERVERS = 4
START_TIMEOUT_S = 15
TOKEN = 'Bearer measure'
DOMAIN = 'north'


class Ports(NamedTuple):
    """Ports of the processes of one measurement."""

    backends: tuple[int, ...]
    admin: int
    forwarder: int
    entry: int
    stream: int
    unused: int


def _choose_ports() -> Ports:
    ports = choose_ports(SERVERS + 5)
    return Ports(tuple(ports[:SERVERS]), *ports[SERVERS:])


def _start_processes(
    processes: Processes, ports: Ports, directory: Path
) -> None:
    hosted = [
        BackendDescription(f'b{port}', DOMAIN, port) for port in ports.backends
    ]
    hosted_path = directory / 'hosted.json'
    hosted_path.write_bytes(msgspec.json.encode(hosted))
    processes.start(
        'backend',
        'dev.standins.backend',
        f'--hosted={hosted_path}',
        f'--admin_port={ports.admin}',
        f'--log_file={directory / "log.jsonl"}',
    )
    targets = ','.join(run_urls(ports))
    processes.start(
        'forwarder',
        'dev.bare_forwarder',
        f'--port={ports.forwarder}',
        f'--targets={targets}',
    )
    settings_path = directory / 'entry.toml'
    settings_path.write_text(format_settings(_make_settings(ports)))
    processes.start('entry', 'bulrushcove.entry', f'--settings={settings_path}')


def _make_settings(ports: Ports) -> Settings:
    unused = f'http://{HOST}:{ports.unused}'
    return Settings(
        vm=VmSettings(id='e1', domain=DOMAIN),
        entry=EntrySettings(port=ports.entry),
        control=ControlSettings(
            stream_port=ports.stream, http_port=ports.unused
        ),
        platform=PlatformSettings(store_url=unused, vm_list_url=unused),
    )


def run_urls(ports: Ports) -> list[str]:
    """Return the URLs at which the backend servers run requests."""
    return [f'http://{HOST}:{port}/v1/run' for port in ports.backends]


@asynccontextmanager
async def running_control_standin(ports: Ports) -> AsyncIterator[None]:
    """Serve the entry daemon its configuration and VM list.

    Replaces the control daemon within the context.
    """
    contract = Contract(
        organisation='measure',
        token_sha256=(token_digest(TOKEN),),
        requests=RequestLimits(max_in_progress=1000, max_queued=1000),
    )
    configuration = Configuration(
        revision=1,
        contracts={contract.organisation: contract},
        domains={DOMAIN: DomainState.IN_SERVICE},
    )
    view = _make_view(ports)

    async def on_frame(_peer: Hello, _frame: Frame) -> ConfigurationPush:
        server.push('entry', view)
        return ConfigurationPush(configuration)

    hello = Hello('e1', DOMAIN, 'control', 'c1')
    server = StreamServer(HOST, ports.stream, hello, on_frame)
    await server.start()
    try:
        yield
    finally:
        await server.stop()


def _make_view(ports: Ports) -> ClusterView:
    backends = [
        VmEntry(f'b{port}', VmRole.BACKEND, DOMAIN, HOST, port)
        for port in ports.backends
    ]
    entry = VmEntry('e1', VmRole.ENTRY, DOMAIN, HOST, ports.entry)
    return ClusterView(
        vm_statuses=(),
        domains=(),
        vms=(entry, *backends),
        platform_reachable=True,
        permit_age_ms={},
    )


def wait_until_ready(ports: Ports) -> None:
    """Wait until every process responds."""
    wait_until(
        lambda: (
            responds_with(ports.entry, '/readyz')
            and responds_with(ports.forwarder, '/', 404)
            and responds_with(ports.admin, '/faults/unknown', 404)
        ),
        'the processes are not ready',
        START_TIMEOUT_S,
    )


class PathBench(NamedTuple):
    """The started processes and their ports."""

    ports: Ports
    processes: Processes


@contextmanager
def running_path_bench() -> Iterator[PathBench]:
    """Run the processes within the context; each is ended by its pid."""
    with tempfile.TemporaryDirectory(prefix='bulrushcove-') as name:
        processes = Processes(Path(name))
        ports = _choose_ports()
        try:
            _start_processes(processes, ports, Path(name))
            yield PathBench(ports, processes)
        finally:
            processes.end()
