"""Stand-ins for the scripts of the review, and a launcher of node programs.

The store is the project's own stand-in. Minions, clients and the operator are
written here after PROTOCOL.md: a minion is sound unless a script tells it to
crash, to be cut off or to lose an answer.
"""

import asyncio
import contextlib
import json
import os
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

from dev.platform_standin.store import StandinStore

ROOT = Path(__file__).parents[1]
HOST = '127.0.0.1'
QUEUE_HOST = 'queue.example'
KEY = 'key-of-the-mill'
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_MS = 100
GANG_TIMEOUT_MS = 3000
ENDS_AT_A_TIME = 500
MAX_HOLD_WAIT_MS = 2000
TICK_S = 0.01
FIRST_PORT = 10_000
PORT_RANGE = 20_000
PORT_BLOCK = 100
# From the end of the traffic until jobs are asked for, and how long nothing of
# a job may run then (LOST).
FINISH_S = 14
IDLE_S = 3

QUEUE = {
    'name': 'r-1',
    'host': QUEUE_HOST,
    'prefix': '/reviews/',
    'service': 'pool',
    'kind': 'unsafe',
    'timeout-ms': 3000,
    'target-duration-ms': 1500,
    'priority': 1,
    'max-attempts': 4,
    'stretch': 3.0,
    'public': False,
}

SETTINGS = """
node = "{name}"
role = "node"
machine-class = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "{zone}"
region = "north"
internal-ports = [{control}, {metrics}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
orders = "rpc"
advice = ""
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
[bounds]
contact-ms = 4000
ack-ms = 5000
grace-s = 6
max-hold-ms = 10000
stop-ms = 400
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
lease-ms = 3000
reclaim-ms = 2900
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
[cloud]
address = ""
duties = []
"""


def choose_ports(count):
    """Return ``count`` free ports below those that the system hands out.

    Scripts that run side by side look in different blocks.
    """
    ports = []
    port = FIRST_PORT + os.getpid() * PORT_BLOCK % PORT_RANGE
    while len(ports) < count:
        with socket.socket() as one:
            with contextlib.suppress(OSError):
                one.bind((HOST, port))
                ports.append(port)
        port += 1
    return ports


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')

    def now_s(self):
        return time.monotonic() - self.started_s

    def write(self, text):
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()


class Run:
    """One run of a task on a minion."""

    def __init__(self, task, number, spec):
        self.task, self.number = task, number
        # The spec of a task holds its work in seconds and whether it is a
        # member of a gang of that many tasks.
        text = json.loads(spec)
        self.work_s, self.gang = text['work-s'], text.get('gang', 0)
        self.ends_as = text.get('ends-as', 'done')
        self.begun_s = time.monotonic()
        self.done_s = 0.0
        self.stop_at_s = None
        self.ended_s, self.how, self.is_noted = None, '', False

    @property
    def percent(self):
        return min(99, int(100 * self.done_s / self.work_s))

    @property
    def gang_key(self):
        return (self.task.rpartition('.')[0], self.number)


class Minion:
    """A minion: one life follows another under the same id."""

    def __init__(self, world, worker_id, labels):
        self.world, self.id, self.labels = world, worker_id, labels
        self.capacity = {'cpu': 32_000, 'mem-mb': 65_536, 'gpu': 8}
        self.address = ''
        # Every run of every life; runs of this life by task and number.
        self.history = []
        # Faults that a script sets.
        self.is_cut = False
        self.starts_to_lose = 0
        self._runner = None
        self._tasks = []

    async def begin(self, port):
        """Begin a life: without runs, ends, fence or lease."""
        self.address = f'{HOST}:{port}'
        self.born_ms = int(time.time() * 1000)
        self.born_s = time.monotonic()
        self.fence = self.last_end = self.lease_end_ms = self.seq = 0
        self.runs, self.ended, self.closed = {}, [], {}
        # When the lease lapsed last, also with nothing at work.
        self.lapsed_s = 0.0
        application = web.Application()
        for path, handler in (
            ('run-start', self._start),
            ('run-stop', self._stop),
            ('hold', self._hold),
            ('pace', self._pace),
        ):
            application.router.add_post(f'/api/{path}', self._guard(handler))
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.05
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, HOST, port).start()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]
        self.world.record.write(f'minion {self.id} up at {self.address}')

    async def crash(self):
        """End this life without a word; what runs is gone."""
        self.world.record.write(f'minion {self.id} crashes')
        for run in list(self.runs.values()):
            self._close(run, 'crashed')
        await self.close()

    async def close(self):
        for task in self._tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    @property
    def port(self):
        return int(self.address.rpartition(':')[2])

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.born_s) * 1000)

    def _guard(self, handler):
        async def guarded(request):
            if self.is_cut:
                await self._lose(request)
            if request.headers.get('X-Expect-Instance') != self.id:
                return web.Response(status=421)
            body = await request.json()
            if body.get('fence', 0) < self.fence:
                return self._rejection('fence')
            self.fence = body.get('fence', 0)
            answer = await handler(body)
            if self.is_cut:
                await self._lose(request)
            return answer

        return guarded

    async def _lose(self, request):
        """Lose what would pass a cut link, in either direction."""
        while self.is_cut:
            await asyncio.sleep(TICK_S)
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError

    async def _start(self, body):
        task, number = body['task'], body['run']
        key = (task, number)
        if key in self.runs:
            return self._answer()
        if body['deadline-ms'] < self.clock_ms:
            return self._rejection('late')
        self._extend_lease(body['deadline-ms'])
        if number <= self.closed.get(task, 0):
            self.world.record.write(f'{self.id} start {task} run {number}: old')
            return self._rejection('old')
        run = Run(task, number, body['spec'])
        self.runs[key] = run
        self.history.append(run)
        if run.gang:
            members = self.world.gangs.setdefault(run.gang_key, {})
            members[task] = (self, run)
        self.world.record.write(f'{self.id} begins {task} run {number}')
        if self.starts_to_lose:
            self.starts_to_lose -= 1
            self.world.record.write(f'{self.id} answer to that start is lost')
            # No answer comes on this connection any more.
            await asyncio.sleep(5)
        return self._answer()

    async def _stop(self, body):
        task, number = body['task'], body['run']
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and run.stop_at_s is None:
            run.stop_at_s = time.monotonic() + STOP_MS / 1000
        self.world.record.write(f'{self.id} is told to stop {task} run {number}')
        return self._answer()

    async def _hold(self, body):
        acked = body['acked-through']
        for end in self.ended:
            if end[0] <= acked and self.lapsed_s < end[5].ended_s:
                end[5].is_noted = True
        self.ended = [end for end in self.ended if end[0] > acked]
        if body.get('deadline-ms'):
            self._extend_lease(body['deadline-ms'])
        wait_ms = min(body.get('wait-ms', 0), MAX_HOLD_WAIT_MS)
        until_s = time.monotonic() + wait_ms / 1000
        while not self.ended and time.monotonic() < until_s:
            await asyncio.sleep(TICK_S)
        return self._answer(
            running=[
                [run.task, run.number, '', run.percent, 0]
                for run in self.runs.values()
            ],
            ended=[end[:5] for end in self.ended[:ENDS_AT_A_TIME]],
        )

    async def _pace(self, _body):
        return self._answer()

    def _extend_lease(self, deadline_ms):
        limit_ms = self.clock_ms + MAX_HOLD_MS
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, limit_ms))

    def _answer(self, status=200, **fields):
        head = {'clock-ms': self.clock_ms, 'born': self.born_ms}
        return web.json_response({**head, **fields}, status=status)

    def _rejection(self, reason):
        return self._answer(409, reason=reason)

    async def _beat(self):
        while True:
            # A cut parts a minion from the machines, not from the store.
            self.seq += 1
            entry = {
                'service': 'pool',
                'address': self.address,
                'zone': 'a',
                'version': 'v1',
                'slots': 1000,
                'state': 'ready',
                'cold-remaining-ms': 0,
                'capacity': self.capacity,
                'labels': self.labels,
                'clock-ms': self.clock_ms,
                'born': self.born_ms,
                'seq': self.seq,
            }
            self.world.store.put(
                f'servers/{self.id}', json.dumps(entry).encode()
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self):
        before_s = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            has_lapsed = self.clock_ms > self.lease_end_ms
            if has_lapsed and self.lease_end_ms:
                lapsed_ms = self.clock_ms - self.lease_end_ms
                self.lapsed_s = now_s - lapsed_ms / 1000
            for run in list(self.runs.values()):
                if has_lapsed:
                    self._end(run, 'lapsed')
                elif run.stop_at_s is not None and now_s >= run.stop_at_s:
                    self._end(run, 'stopped')
                else:
                    self._advance(run, now_s, now_s - before_s)
            before_s = now_s

    def _advance(self, run, now_s, elapsed_s):
        if run.gang:
            self._advance_gang(run, now_s, elapsed_s)
            return
        run.done_s += elapsed_s
        if run.done_s >= run.work_s:
            self._end(run, run.ends_as)

    def _advance_gang(self, run, now_s, elapsed_s):
        members = self.world.gangs[run.gang_key]
        if any(one.ended_s for _, one in members.values()):
            ends = {one.how for _, one in members.values()}
            self._end(run, 'done' if 'done' in ends else 'broken')
        elif len(members) < run.gang:
            if now_s - run.begun_s > GANG_TIMEOUT_MS / 1000:
                self._end(run, 'alone')
        else:
            # The members advance together.
            run.done_s += elapsed_s
            if run.done_s >= run.work_s:
                self._end(run, run.ends_as)

    def _end(self, run, how):
        self._close(run, how)
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, '', run])

    def _close(self, run, how):
        run.ended_s, run.how = time.monotonic(), how
        self.runs.pop((run.task, run.number))
        self.world.record.write(f'{self.id} {how}: {run.task} run {run.number}')


class Node:
    """A node program, started as the deploy file says."""

    def __init__(self, name, zone, ports, store_address):
        self.name, self.zone, self.ports = name, zone, ports
        self.front, self.ready, self.control, self.metrics = ports
        self.process = None
        self._store_address = store_address
        self._folder = Path(tempfile.mkdtemp(prefix='review-'))

    async def start(self, seeds):
        settings = self._folder / 'settings.toml'
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                host=HOST,
                seeds=', '.join(f'"{HOST}:{seed}"' for seed in seeds),
                front=self.front,
                ready=self.ready,
                control=self.control,
                metrics=self.metrics,
                store=self._store_address,
            ),
            encoding='utf-8',
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['node']
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': 'target/deps',
            'BULRUSHCOVE_CONFIG': str(settings),
            **role.get('env', {}),
        }
        with (self._folder / 'log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def log(self):
        return (self._folder / 'log').read_text(encoding='utf-8')

    def remove_folder(self):
        shutil.rmtree(self._folder, ignore_errors=True)


class World:
    """The store, minions, node programs and clients of one script."""

    def __init__(self, folder, minions, nodes=3):
        self.record = Record(folder)
        self.store = StandinStore()
        self.gangs = {}
        self.minions = [
            Minion(self, worker_id, labels) for worker_id, labels in minions
        ]
        self.nodes = []
        self._node_count = nodes
        self._runner = None
        self.http = None

    async def __aenter__(self):
        try:
            await self._open()
        except BaseException:
            await self._close()
            raise
        return self

    async def __aexit__(self, kind, exc, trace):
        await self._close()

    async def _open(self):
        ports = choose_ports(1 + len(self.minions) + 4 * self._node_count)
        store_port = ports.pop()
        self._runner = web.AppRunner(
            self.store.make_application(),
            access_log=None,
            shutdown_timeout=0.05,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, HOST, store_port).start()
        self.configure()
        for minion in self.minions:
            await minion.begin(ports.pop())
        for number in range(self._node_count):
            own = sorted(ports.pop() for _ in range(4))
            zone = 'abc'[number % 3]
            name = f'front-{zone}-{number}'
            address = f'{HOST}:{store_port}'
            self.nodes.append(Node(name, zone, own, address))
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        for node in self.nodes:
            await node.start([one.control for one in self.nodes])
        until_s = time.monotonic() + 20
        while not await self._are_ready():
            if time.monotonic() > until_s:
                for node in self.nodes:
                    self.record.write(f'log of {node.name}: {node.log()}')
                raise RuntimeError('the node programs did not become ready')
            await asyncio.sleep(0.1)
        # A leader has polled all minions.
        await asyncio.sleep(2)
        self.record.write('all node programs are ready')

    async def _close(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            if node.process is not None:
                await node.process.wait()
            node.remove_folder()
        if self.http is not None:
            await self.http.close()
        for minion in self.minions:
            await minion.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def configure(self):
        """Write the operator's configuration."""
        config = {
            'version': 1,
            'routes': [QUEUE],
            'services': [{'name': 'pool', 'enforces-capacity': False}],
            'limits': {'max-body-bytes': 262_144},
            'tenants': [
                {'name': 'mill', 'api-keys': [KEY], 'guaranteed': {'gpu': 8}}
            ],
        }
        self.store.put('op/config', json.dumps(config).encode())

    async def call(self, method, job, node=0, **options):
        """Send one call of a client; return status and body (0: no answer)."""
        url = f'http://{HOST}:{self.nodes[node].front}{QUEUE["prefix"]}{job}'
        headers = {
            'Host': QUEUE_HOST,
            'X-Credential': KEY,
            'X-Deadline-Ms': '3000',
        }
        try:
            async with asyncio.timeout(3):
                async with self.http.request(
                    method, url, headers=headers, **options
                ) as response:
                    status, body = response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            status, body = 0, {}
        self.record.write(
            f'client {method} {job} at {self.nodes[node].name}: {status} {body}'
        )
        return status, body

    async def submit(self, job, steps, spec, node=0):
        """Hand a job in, up to five times; return whether it was accepted."""
        body = {'spec': json.dumps(spec), 'steps': steps}
        for attempt in range(5):
            retry_node = (node + attempt) % len(self.nodes)
            status, _ = await self.call('POST', job, retry_node, json=body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def sleep_until(self, time_s):
        await asyncio.sleep(max(0, time_s - time.monotonic()))

    async def state(self, job, node=0):
        """Return the state of a job as a client sees it."""
        status, body = await self.call('GET', job, node)
        return body.get('state', f'status {status}')

    async def wait_for(self, job, states, timeout_s, node=0):
        """Ask for the state until it is one of ``states``; return the last."""
        until_s = time.monotonic() + timeout_s
        state = await self.state(job, node)
        while state not in states and time.monotonic() < until_s:
            await asyncio.sleep(0.5)
            state = await self.state(job, node)
        return state

    def runs(self, job=''):
        """Return the runs of a job by task, in the order of their starts."""
        found = {}
        for minion in self.minions:
            for run in minion.history:
                if run.task.startswith(job):
                    found.setdefault(run.task, []).append((minion, run))
        for rows in found.values():
            rows.sort(key=lambda row: row[1].begun_s)
        return found

    def twice(self):
        """Return the breaches of TWICE.

        Two runs of a task at a time, or a start after an end ``done`` that was
        taken note of, then or later: ``acked-through`` has reached it, and the
        lease of the minion has not lapsed between the two.
        """
        breaches = []
        for task, rows in self.runs().items():
            for position, (minion, run) in enumerate(rows):
                for other_minion, other in rows[position + 1 :]:
                    if run.ended_s is None or other.begun_s < run.ended_s:
                        breaches.append(
                            f'{task}: run {other.number} began on '
                            f'{other_minion.id} while run {run.number} was at '
                            f'work on {minion.id}'
                        )
                    elif run.how == 'done' and run.is_noted:
                        gap_s = other.begun_s - run.ended_s
                        breaches.append(
                            f'{task}: run {other.number} began on '
                            f'{other_minion.id} {gap_s:.2f} s after run '
                            f'{run.number} had ended done on {minion.id}; '
                            'that end was taken note of'
                        )
        return breaches

    async def _are_ready(self):
        for node in self.nodes:
            try:
                async with self.http.get(
                    f'http://{HOST}:{node.ready}/api/ready'
                ) as response:
                    if response.status != 200:
                        return False
            except aiohttp.ClientError:
                return False
        return True


def require(condition, reason):
    """End the script as one that could not run unless ``condition``."""
    if not condition:
        raise RuntimeError(reason)


def has_trouble():
    """Return whether the script is to make the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(play, path):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, else 2.

    ``play`` returns the breaches as a list of lines; ``path`` is the script's.
    """
    folder = Path(path).parent

    async def play_in_time():
        async with asyncio.timeout(112):
            return await play(folder)

    try:
        breaches = asyncio.run(play_in_time())
    except BaseException as exc:
        sys.stderr.write(f'the case could not run: {exc!r}\n')
        sys.exit(2)
    with contextlib.suppress(OSError):
        with (folder / 'record.txt').open('a', encoding='utf-8') as record:
            for line in breaches or ['the rule held']:
                record.write(f'result: {line}\n')
    print('\n'.join(breaches[:10] or ['the rule held']))
    sys.exit(1 if breaches else 0)
