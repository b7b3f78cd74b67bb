"""Complete deployment on loopback: the store, workers and node programs."""

import asyncio
import base64
import json
import os
import signal
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType, TracebackType
from typing import Any

import aiohttp
from aiohttp import web

from dev.launch.ports import choose_ports
from dev.platform_standin.adviser import StandinAdviser
from dev.platform_standin.proxy import Proxy
from dev.platform_standin.store import StandinStore
from dev.platform_standin.worker import StandinWorker

ROOT = Path(__file__).parents[2]
HOST = '127.0.0.1'
QUEUE_HOST = 'queue.example'
QUEUE_PREFIX = '/work/'
CREDENTIAL = 'key-1'
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
STOP_GRACE_S = 6.0
NO_LIMITS: MappingProxyType[str, int] = MappingProxyType({})

CONFIG: MappingProxyType[str, Any] = MappingProxyType(
    {
        'version': 3,
        'routes': [
            {
                'name': 'r-1',
                'host': QUEUE_HOST,
                'prefix': QUEUE_PREFIX,
                'service': 'pool',
                'target-duration-ms': 1500,
                'priority': 1,
                'max-attempts': 3,
                'stretch': 3.0,
                'public': False,
            }
        ],
        'services': [{'name': 'pool', 'enforces-capacity': False}],
        'limits': {'max-body-bytes': 10_000},
        'tenants': [
            {
                'name': 'mill',
                'api-keys': [CREDENTIAL],
                'guaranteed': {'gpu': 8},
            },
            {'name': 'other', 'api-keys': ['key-2']},
        ],
    }
)


SETTINGS = """
node = "{name}"
role = "node"
ip = "{host}"
zone = "a"
region = "north"
internal-ports = [{first_port}, {last_port}]
seeds = [{seeds}]
advice = "{adviser}"
[listen]
front = "{front}"
ready = "{ready}"
[platform]
address = "{store}"
[bounds]
max-hold-ms = 6000
stop-ms = 400
grace-s = {grace_s}
{limits}"""


class Node:
    """A node program that runs as a separate process."""

    def __init__(
        self,
        name: str,
        ports: list[int],
        store_address: str,
        adviser_address: str,
        limits: Mapping[str, int],
    ) -> None:
        """Configure the process; ``start`` runs it.

        ``ports`` are those of the front, readiness, stream and metrics
        servers, in this order; ``limits`` are those of the machine.
        """
        self.name = name
        self.api_address = f'{HOST}:{ports[0]}'
        self.readiness_address = f'{HOST}:{ports[1]}'
        self.stream_address = f'{HOST}:{ports[2]}'
        self.metrics_address = f'{HOST}:{ports[3]}'
        self.process: asyncio.subprocess.Process | None = None
        # Forwards this node's connections to the store.
        self.proxy: Proxy | None = None
        self._ports = ports
        self._store_address = store_address
        self._adviser_address = adviser_address
        self._limits = dict(limits)
        directory = Path(tempfile.mkdtemp(prefix='bulrushcove-'))
        self.log_path = directory / 'log'
        self._settings_path = directory / 'settings.toml'

    async def start(self, seeds: list[str]) -> None:
        """Write the settings file and start the process."""
        self._settings_path.write_text(
            self._render_settings(seeds), encoding='utf-8'
        )
        environment = {
            **os.environ,
            'BULRUSHCOVE_CONFIG': str(self._settings_path),
        }
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / 'src' / 'bulrushcove_node.py'),
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, process_signal: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(process_signal)

    async def stop(self, stop_signal: signal.Signals = signal.SIGTERM) -> None:
        """Signal the process and wait for its exit; kill it on timeout."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(stop_signal)
        try:
            async with asyncio.timeout(STOP_GRACE_S + 2):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def _render_settings(self, seeds: list[str]) -> str:
        quoted_seeds = ', '.join(f'"{seed}"' for seed in seeds)
        return SETTINGS.format(
            name=self.name,
            host=HOST,
            first_port=self._ports[2],
            last_port=self._ports[3],
            seeds=quoted_seeds,
            front=self.api_address,
            ready=self.readiness_address,
            store=self._store_address,
            adviser=self._adviser_address,
            grace_s=STOP_GRACE_S,
            limits=self._render_limits(),
        )

    def _render_limits(self) -> str:
        lines = [f'{name} = {limit}' for name, limit in self._limits.items()]
        return '\n'.join(('[limits]', *lines, '')) if lines else ''


class Deployment:
    """A running deployment; use it as an asynchronous context manager."""

    def __init__(
        self,
        nodes: int = 2,
        workers: int = 2,
        limits: Mapping[str, int] = NO_LIMITS,
    ) -> None:
        """Set up ``nodes`` node programs and ``workers`` workers.

        ``limits`` go into the settings of each node program, by their names
        there; empty: the settings have none.
        """
        self.store = StandinStore()
        self.adviser = StandinAdviser()
        self.workers = [
            StandinWorker(f'w-{number}') for number in range(workers)
        ]
        self.nodes: list[Node] = []
        self._node_count = nodes
        self._limits = limits
        self._runners: list[web.AppRunner] = []
        self._addresses: dict[str, str] = {}
        self.http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'Deployment':
        """Start all servers and processes; wait until the nodes are ready."""
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes and servers."""
        await self._stop()

    def write_configuration(self, config: Mapping[str, Any]) -> None:
        """Write the operators' configuration to the store."""
        self.store.put('op/config', json.dumps(dict(config)).encode())

    def register_worker(
        self, worker: StandinWorker, state: str = 'ready', **extra_fields: Any
    ) -> None:
        """Write the store entry of ``worker``."""
        entry = {
            'service': 'pool',
            'address': self._addresses[worker.worker_id],
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold-remaining-ms': 0,
            'seq': 1,
            'capacity': {'cpu': 32_000, 'mem-mb': 64_000, 'gpu': 8},
            'labels': ['a', 'r-1'],
            'born': worker.started_unix_ms,
            **extra_fields,
        }
        self.store.put(
            f'servers/{worker.worker_id}', json.dumps(entry).encode()
        )

    async def wait_until_ready(self, node: Node) -> None:
        """Wait until ``node`` is ready: a balancer would route to it."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            is_ready = await self._is_ready(node)
            while not is_ready:
                await asyncio.sleep(POLL_INTERVAL_S)
                is_ready = await self._is_ready(node)

    async def call(
        self, method: str, job: str, *, node: int = 0, **request_options: Any
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request to a node; return status and JSON body."""
        headers = {
            'Host': QUEUE_HOST,
            'X-Credential': request_options.pop('credential', CREDENTIAL),
            'X-Deadline-Ms': '3000',
        }
        url = f'http://{self.nodes[node].api_address}{QUEUE_PREFIX}{job}'
        async with self.http.request(
            method, url, headers=headers, **request_options
        ) as response:
            return response.status, await response.json()

    async def submit(
        self, job: str, *, node: int = 0, duration_s: float = 0.2, **step: Any
    ) -> int:
        """Submit a job of one step; return the HTTP status."""
        step = {'count': 1, 'cpu': 1000, 'mem-mb': 100, 'gpu': 1, **step}
        body = {'spec': str(duration_s), 'steps': [step]}
        status, _ = await self.call('POST', job, node=node, json=body)
        return status

    async def wait_for_state(
        self,
        job: str,
        expected_state: str,
        *,
        node: int = 0,
        timeout_s: float = 15.0,
    ) -> None:
        """Wait until a node reports ``job`` as ``expected_state``.

        Raises ``AssertionError`` after ``timeout_s``.
        """
        actual_state = None
        try:
            async with asyncio.timeout(timeout_s):
                while actual_state != expected_state:
                    _, body = await self.call('GET', job, node=node)
                    actual_state = body.get('state')
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError as exc:
            raise AssertionError(
                f'job {job}: state {actual_state}, expected {expected_state}'
            ) from exc

    def find_leader(self) -> Node:
        """Return the node that the store records as the leader.

        Raises ``LookupError`` if there is none.
        """
        stored = self.store.items['bulrushcove/tenure']['value']
        text = base64.b64decode(stored)
        for node in self.nodes:
            if node.stream_address.encode() in text:
                return node
        raise LookupError('the leader is none of the nodes')

    async def _start(self) -> None:
        ports = choose_ports(2 + len(self.workers) + 5 * self._node_count)
        adviser_address = f'{HOST}:{ports.pop()}'
        await self._start_server(
            self.adviser.make_application(), adviser_address
        )
        store_address = f'{HOST}:{ports.pop()}'
        await self._start_server(self.store.make_application(), store_address)
        for worker in self.workers:
            address = f'{HOST}:{ports.pop()}'
            self._addresses[worker.worker_id] = address
            await self._start_server(worker.make_application(), address)
            self.register_worker(worker)
        self.write_configuration(CONFIG)
        for number in range(self._node_count):
            node_ports = [ports.pop() for _ in range(4)]
            proxy = Proxy(ports.pop(), int(store_address.partition(':')[2]))
            await proxy.start()
            proxy_address = f'{HOST}:{proxy.port}'
            node = Node(
                f'vm-{number}',
                node_ports,
                proxy_address,
                adviser_address,
                self._limits,
            )
            node.proxy = proxy
            self.nodes.append(node)
        self.http = aiohttp.ClientSession()
        seeds = [node.stream_address for node in self.nodes]
        for node in self.nodes:
            await node.start(seeds)
        for node in self.nodes:
            await self.wait_until_ready(node)

    async def _stop(self) -> None:
        for node in self.nodes:
            await node.stop(signal.SIGKILL)
            await node.proxy.close()
        if self.http is not None:
            await self.http.close()
        for runner in self._runners:
            await runner.cleanup()

    async def _is_ready(self, node: Node) -> bool:
        try:
            async with self.http.get(
                f'http://{node.readiness_address}/api/ready'
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _start_server(
        self, application: web.Application, address: str
    ) -> None:
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        host, _, port = address.rpartition(':')
        await web.TCPSite(runner, host, int(port)).start()
        self._runners.append(runner)
