"""A small deployment for the scripts of this review.

Starts the node program as the deploy file says, on loopback, with the
project's own stand-ins for the platform's store and the workers. Adds what
the pages say and those do not check: the store refuses a value above
`value-bytes`, and the platform restarts a program that ended, and kills one
that is over `memory-mb`. Everything that is seen goes to record.txt.
"""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT))

from dev.platform_standin import deployment as base  # noqa: E402
from dev.platform_standin.store import StandinStore  # noqa: E402

VALUE_BYTES = 1_048_576  # `value-bytes` under [platform] in DEPLOY.md
LIMITS = {  # [limits] of a machine of the small sites, DEPLOY.md
    'cpu-share': 0.537,
    'cores': 2,
    'memory-mb': 300,
    'max-fds': 4100,
}
CONTACT_S = 4.0  # contact-ms of the small sites
FINISH_S = 14.0  # finish_s of the small sites
BODY_BYTES = 262_144  # max-body-bytes of the small sites


class Record:
    """Writes record.txt: one line for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began_s = time.time()

    def __call__(self, *words):
        line = f'{time.time() - self.began_s:8.3f} ' + ' '.join(map(str, words))
        self.file.write(line + '\n')
        self.file.flush()


class Store(StandinStore):
    """The project's stand-in, with the page's limit on the size of a value."""

    def __init__(self, record):
        super().__init__()
        self.record = record

    def make_application(self):
        application = web.Application(
            middlewares=[self._inject_faults], client_max_size=64 << 20
        )
        old = super().make_application()
        for route in old.router.routes():
            if route.method != 'HEAD':
                application.router.add_route(
                    route.method, route.resource.canonical, route.handler
                )
        return application

    async def _commit(self, request):
        body = await request.json()
        for row in body['set-keys']:
            size = len(row['value']) * 3 // 4
            if size > VALUE_BYTES + 2:
                self.record('store refused', row['key'], size, 'bytes: 400')
                return web.json_response({}, status=400)
        return await super()._commit(request)


class Small(base.Deployment):
    """Nodes, workers and the store; the platform watches the nodes."""

    def __init__(self, record, nodes=3, workers=6):
        super().__init__(nodes=nodes, workers=workers, limits=LIMITS)
        self.record = record
        self.store = Store(record)
        self.kills = {}  # node: how often over its memory
        self.ends = {}  # node: how often it ended by itself
        self.peak_mb = {}
        self.is_watching = True

    def write_configuration(self, config):
        config = {
            **config,
            'limits': {
                'max-body-bytes': BODY_BYTES,
                'max-header-bytes': 16_384,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15_000,
            },
        }
        super().write_configuration(config)

    async def watch_nodes(self):
        """Kill a program over its memory, and start again one that ended."""
        seeds = [node.stream_address for node in self.nodes]
        while self.is_watching:
            for node in self.nodes:
                process = node.process
                if process.returncode is not None:
                    self.ends[node.name] = self.ends.get(node.name, 0) + 1
                    self.record(node.name, 'ended', process.returncode)
                    await asyncio.sleep(0.5)
                    await node.start(seeds)
                    continue
                used_mb = resident_mb(process.pid)
                peak = self.peak_mb.get(node.name, 0)
                if used_mb > peak + 10:
                    self.record(node.name, 'resident memory', used_mb, 'MB')
                self.peak_mb[node.name] = max(peak, used_mb)
                if used_mb > LIMITS['memory-mb']:
                    self.kills[node.name] = self.kills.get(node.name, 0) + 1
                    self.record(
                        node.name, 'is over its memory:', used_mb, 'MB; killed'
                    )
                    process.send_signal(signal.SIGKILL)
                    await process.wait()
                    await asyncio.sleep(0.5)
                    self.peak_mb[node.name] = 0
                    await node.start(seeds)
            await asyncio.sleep(0.2)

    async def ask(
        self, method, job, node, *, body=None, key=base.CREDENTIAL, wait_s=3.0,
        prefix=base.QUEUE_PREFIX,
    ):
        """Send a client's request; return its status, 0 for no answer."""
        headers = {
            'Host': base.QUEUE_HOST,
            'X-Credential': key,
            'X-Deadline-Ms': str(int(wait_s * 1000)),
        }
        url = f'http://{self.nodes[node].api_address}{prefix}{job}'
        size = len(body) if body else 0
        self.record(method, job, 'to', self.nodes[node].name, size, 'bytes')
        answer = {}
        try:
            async with asyncio.timeout(wait_s):
                async with self.http.request(
                    method, url, headers=headers, data=body
                ) as response:
                    status = response.status
                    answer = await response.json()
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as exc:
            status = 0
            answer = {'error': type(exc).__name__}
        self.record(method, job, 'answered', status, json.dumps(answer)[:120])
        return status, answer

    def free_share(self):
        """Return the share of the workers' accelerators that is not in use."""
        running = sum(len(worker.running) for worker in self.workers)
        return 1 - running / (8 * len(self.workers))

    def has_run_since(self, job, since_s):
        """Return whether a task of ``job`` is done, or ran after ``since_s``."""
        for worker in self.workers:
            for at_s, kind, task, _ in worker.history:
                if task.startswith(job + '.') and (
                    kind == 'done' or at_s >= since_s
                ):
                    return True
            if any(task.startswith(job + '.') for task, _ in worker.running):
                return True
        return False


class Caller:
    """An ordinary client: hands jobs in, retries, and asks for their states.

    After no answer, 502 or 504 it sends the same job again, up to four times.
    """

    def __init__(self, small, key=base.CREDENTIAL, prefix='0a'):
        self.small = small
        self.key = key
        self.prefix = prefix
        self.accepted = {}  # job: when
        self.count = 0
        self.unanswered = 0

    async def hand_in(self, duration_s=0.3, tasks=1):
        self.count += 1
        job = f'{self.prefix}{self.count:014x}'
        step = {
            'count': tasks,
            'cpu': 1000,
            'mem-mb': 100,
            'gpu': 1,
            'estimated-ms': int(duration_s * 1000),
        }
        body = json.dumps({'spec': str(duration_s), 'steps': [step]})
        for attempt in range(5):
            node = (self.count + attempt) % len(self.small.nodes)
            status, _ = await self.small.ask(
                'POST', job, node, body=body, key=self.key
            )
            if status == 200:
                self.accepted[job] = time.time()
                return job
            if status not in {0, 502, 504}:
                return None
        self.unanswered += 1
        return None

    async def run(self, for_s, every_s):
        tasks = []
        end_s = time.time() + for_s
        while time.time() < end_s:
            tasks.append(asyncio.create_task(self.hand_in()))
            await asyncio.sleep(every_s)
        await asyncio.gather(*tasks)

    async def find_lost(self):
        """Return the accepted jobs that break LOST now, and why.

        To be called FINISH_S after the end of the traffic. A job is lost if no
        VM answers or all that do say 410, or if it waits and nothing of it runs
        for 3 s while more than half of the GPUs are free. The caller's jobs have
        one task of one GPU, so that there is room for it twice over then.
        """
        waiting = {}
        lost = {}

        async def check(job):
            state = None
            answered = set()
            for node in range(len(self.small.nodes)):
                status, answer = await self.small.ask(
                    'GET', job, node, key=self.key
                )
                answered.add(status)
                if status == 200:
                    state = answer.get('state')
                    break
            if state is None and answered <= {0, 410}:
                lost[job] = f'no state from any VM {sorted(answered)}'
            elif state in {'failed', 'cancelled'}:
                lost[job] = f'shown as {state}'
            elif state in {'queued', 'running'}:
                waiting[job] = state
            elif state is None:
                self.small.record('not counted:', job, sorted(answered))

        await asyncio.gather(*(check(job) for job in list(self.accepted)))
        since_s = time.time()
        while waiting and time.time() < since_s + 3.5:
            for job in list(waiting):
                if self.small.has_run_since(job, since_s):
                    self.small.record('not counted:', job, waiting.pop(job))
                elif self.small.free_share() <= 0.5:
                    self.small.record('not counted:', job, 'the service is full')
                    waiting.pop(job)
            await asyncio.sleep(0.1)
        for job, state in waiting.items():
            lost[job] = f'shown as {state}, and nothing of it runs for 3 s'
        return lost


def resident_mb(pid):
    try:
        text = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) // 1024
    return 0


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'
