"""A small deployment on loopback: store, minions, node programs, clients."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp
from aiohttp import web
from store import Store

ROOT = Path(__file__).resolve().parents[3]
HOST = '127.0.0.1'
ROUTE_HOST = 'jobs.example'
PREFIX = '/jobs/'
KEY = 'key-of-mill'
HEARTBEAT_S = 1.5
ZONES = {'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c'}

SETTINGS = """
node = "{name}"
role = "node"
machine-class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "{zone}"
region = "{region}"
internal-ports = [{ports[3]},{ports[4]}]
seeds = [{seeds}]
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
orders = "rpc"
advice = ""
[listen]
front = "127.0.0.1:{ports[0]}"
ready = "127.0.0.1:{ports[1]}"
control = "127.0.0.1:{ports[2]}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
[bounds]
contact-ms = 4000
grace-s = 6
config-apply-ms = 3000
max-hold-ms = {max_hold_ms}
stop-ms = {stop_ms}
gang-timeout-ms = 3000
cancel_ms = 3000
lease-ms = 3000
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
"""


GIVEN_PORTS = set()


def free_ports(count):
    """Return ports that nothing listens on, each of them once.

    They lie below those that the system gives to outgoing connections.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(15_000, 30_000)
        if port in GIVEN_PORTS:
            continue
        try:
            socket.create_server((HOST, port)).close()
        except OSError:
            continue
        GIVEN_PORTS.add(port)
        ports.append(port)
    return ports


class Minion:
    """One machine of a service; each start of it is a new life."""

    def __init__(self, play, name, zone, labels, gpu=8, cpu=32_000):
        self.play = play
        self.name = name
        self.zone = zone
        self.labels = labels
        self.capacity = {'cpu': cpu, 'mem-mb': 65_536, 'gpu': gpu}
        self.port = free_ports(1)[0]
        self.process = None
        self.heartbeat = None
        self.lives = 0
        self.id = ''
        # Further words for the minion's command, and the time from its start
        # to its first entry in the store.
        self.trouble = ()
        self.first_entry_s = 0.0

    async def start(self, keeps_id=False):
        """Start a life: under a new id, or under the one that it had."""
        if not (keeps_id and self.id):
            self.lives += 1
            self.id = f'i-{self.name}-{self.lives}'
        play = self.play
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).with_name('minion.py')),
            self.id,
            str(self.port),
            str(play.minion_log),
            str(play.stop_ms),
            str(play.max_hold_ms),
            *self.trouble,
            stdout=asyncio.subprocess.PIPE,
            env=play.environment(),
        )
        hello = json.loads(await self.process.stdout.readline())
        play.record(f'minion {self.name} up as {self.id}')
        self.heartbeat = asyncio.create_task(
            self._report(self.process, self.id, hello['born'])
        )

    def crash(self):
        """End the process without a word, and all that it runs."""
        self.process.kill()
        self.play.record(f'minion {self.name} crashed')

    async def _report(self, process, name, born):
        """Write the entry at each heartbeat; remove it after three missed."""
        seq = 0
        await asyncio.sleep(self.first_entry_s)
        while process.returncode is None:
            seq += 1
            self.play.store.put_json(
                f'servers/{name}',
                {
                    'service': 'pool',
                    'address': f'{HOST}:{self.port}',
                    'zone': self.zone,
                    'version': 'v1',
                    'slots': 8,
                    'state': 'ready',
                    'cold-remaining-ms': 0,
                    'seq': seq,
                    'born': born,
                    'capacity': self.capacity,
                    'labels': self.labels,
                },
            )
            try:
                await asyncio.wait_for(process.wait(), HEARTBEAT_S)
            except TimeoutError:
                continue
        await asyncio.sleep(3 * HEARTBEAT_S)
        if self.id != name or self.process is process:
            self.play.store.remove(f'servers/{name}')


class Node:
    """One machine of the system."""

    def __init__(self, play, name, zone):
        self.play = play
        self.name = name
        self.zone = zone
        self.ports = free_ports(5)
        self.process = None
        self.front = f'{HOST}:{self.ports[0]}'

    async def start(self):
        """Start the program with the command of the deploy file."""
        play = self.play
        settings = play.folder / f'{self.name}.toml'
        seeds = ','.join(f'"{HOST}:{n.ports[2]}"' for n in play.nodes[:3])
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                region=ZONES[self.zone],
                ports=self.ports,
                seeds=seeds,
                store=play.store_address,
                max_hold_ms=play.max_hold_ms,
                stop_ms=play.stop_ms,
            ),
            encoding='utf-8',
        )
        log = (play.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *play.command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env=play.environment(
                BULRUSHCOVE_CONFIG=str(settings), **play.role_environment
            ),
        )
        log.close()


class Play:
    """Starts everything, records what is seen, and ends everything."""

    def __init__(self, folder, max_hold_ms=10_000, stop_ms=400):
        self.record_file = (Path(folder) / 'record.txt').open('w')
        self.began_at = time.time()
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.max_hold_ms = max_hold_ms
        self.stop_ms = stop_ms
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.minion_log = self.folder / 'minions.txt'
        self.minion_log.touch()
        self.store = Store()
        self.nodes = []
        self.minions = []
        self.http = None
        self.runner = None
        self.store_address = ''
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['node']
        self.command = role['run'].split()
        self.role_environment = role.get('env', {})

    def environment(self, **more):
        """Return the variables of a started process."""
        inherited = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        return {
            **inherited,
            'PYTHONPATH': str(ROOT / 'target/deps'),
            **more,
        }

    def record(self, line):
        self.record_file.write(f'{time.time() - self.began_at:8.3f} {line}\n')
        self.record_file.flush()

    def calls(self, began, ended):
        """Return how many calls reached the minions between two times."""
        log = self.minion_log.with_suffix('.calls')
        times = map(float, log.read_text().split()) if log.exists() else ()
        return sum(began <= when <= ended for when in times)

    def events(self):
        """Return what the minions ran: time, minion, event, task, run."""
        lines = self.minion_log.read_text().splitlines()
        rows = [line.split() for line in lines]
        return [(float(r[0]), r[1], r[2], r[3], int(r[4])) for r in rows]

    async def start(self, config):
        port = free_ports(1)[0]
        self.store_address = f'{HOST}:{port}'
        self.runner = web.AppRunner(self.store.application(), access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, port).start()
        self.store.put_json('op/config', config)
        self.http = aiohttp.ClientSession()
        for minion in self.minions:
            await minion.start()
        for node in self.nodes:
            await node.start()

    async def wait_until_ready(self, node, limit_s=20):
        ends_at = time.monotonic() + limit_s
        url = f'http://{HOST}:{node.ports[1]}/api/ready'
        while time.monotonic() < ends_at:
            try:
                async with self.http.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{node.name} is not ready')

    async def call(
        self, method, job, node=0, body=None, deadline_ms=3000, prefix=PREFIX
    ):
        """Make a client's call; return status and body, 0 without answer."""
        headers = {
            'Host': ROUTE_HOST,
            'X-Credential': KEY,
            'X-Deadline-Ms': str(deadline_ms),
        }
        url = f'http://{self.nodes[node].front}{prefix}{job}'
        try:
            async with self.http.request(
                method,
                url,
                headers=headers,
                json=body,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000 + 0.5),
            ) as response:
                status, found = response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, found = 0, {'error': type(error).__name__}
        self.record(
            f'client {method} {job} at {self.nodes[node].name}:'
            f' {status or "no answer"} {json.dumps(found)}'
        )
        return status, found

    async def wait_for_event(self, job, event, limit_s):
        """Return the first such event of the job; None if there is none."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            for row in self.events():
                if row[2] == event and row[3].startswith(job):
                    return row
            await asyncio.sleep(0.01)
        return None

    async def stop(self):
        """End all processes that were started; keep what they ran."""
        tasks = []
        for owner in (*self.nodes, *self.minions):
            process = owner.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
            if getattr(owner, 'heartbeat', None) is not None:
                tasks.append(owner.heartbeat)
        for task in tasks:
            task.cancel()
        if self.http is not None:
            await self.http.close()
        if self.runner is not None:
            await self.runner.cleanup()
        self.record('what the minions ran:')
        for when, minion, event, task, run in self.events():
            self.record_file.write(
                f'{when - self.began_at:8.3f} {minion} {event} {task}'
                f' run {run}\n'
            )
        for node in self.nodes:
            log = self.folder / f'{node.name}.log'
            if log.exists() and os.environ.get('KEEP_LOGS'):
                shutil.copy(log, os.environ['KEEP_LOGS'])
        shutil.rmtree(self.folder)

    def finish(self, is_broken, verdict):
        self.record(f'verdict: {verdict}')
        self.record_file.close()
        print(verdict)
        sys.exit(1 if is_broken else 0)


def make_config(version=3, **route):
    """Return a configuration with one queue and two tenants."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-1',
                'host': ROUTE_HOST,
                'prefix': PREFIX,
                'service': 'pool',
                'timeout-ms': 10_000,
                'target-duration-ms': 1500,
                'priority': 1,
                'max-attempts': 4,
                'stretch': 3.0,
                'public': False,
                **route,
            }
        ],
        'services': [{'name': 'pool', 'enforces-capacity': False}],
        'limits': {'max-body-bytes': 262_144},
        'tenants': [
            {'name': 'mill', 'api-keys': [KEY], 'guaranteed': {'gpu': 8}},
            {'name': 'lab', 'api-keys': ['key-of-lab']},
        ],
    }


def run(script):
    """Run a coroutine; exit with 2 if it could not do its part."""
    try:
        asyncio.run(script)
    except SystemExit:
        raise
    except Exception as error:  # noqa: BLE001
        print(f'could not run: {type(error).__name__}: {error}')
        sys.exit(2)
