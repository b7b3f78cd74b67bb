"""HTTP stand-in for a worker: orders, reports and leases."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

MS_PER_S = 1000
POLL_INTERVAL_S = 0.01
MAX_ENDS_PER_REPORT = 500


class StandinRun(msgspec.Struct):
    """One run with its start and its duration."""

    task: str
    run_number: int
    started_at_s: float
    duration_s: float
    # The last checkpoint, and whether the run makes one each second.
    checkpoint: str = ''
    is_checkpointing: bool = False


class StartOrder(msgspec.Struct, frozen=True):
    """What a start that was carried out had been sent with."""

    task: str
    payload: str
    checkpoint: str


class StandinWorker:
    """Simulates runs.

    The payload of a task is its duration in seconds, followed by the word
    ``saves`` if it makes checkpoints; a run does not resume from them.
    """

    def __init__(self, worker: str) -> None:
        """Simulate the worker with the id ``worker``, without any run."""
        self.worker_id = worker
        self.started_unix_ms = int(time.time() * MS_PER_S)
        self.running: dict[tuple[str, int], StandinRun] = {}
        self.ended: list[list[Any]] = []
        # Every run that was ever started: task, run, epoch.
        self.started_runs: list[tuple[str, int, int]] = []
        self.start_orders: list[StartOrder] = []
        # Checkpoints that runs have made here, with their tasks.
        self.checkpoints: set[tuple[str, str]] = set()
        # Events: time in seconds, 'begin' or the end kind, task, run.
        self.history: list[tuple[float, str, str, int]] = []
        # Number of starts that are carried out but get no response.
        self.responses_to_drop = 0
        # Makes each run fail as soon as it starts.
        self.fails_every_run = False
        # Returns the ticket that starts of a step need; None: they need none.
        self.make_ticket: Callable[[str, str], str] | None = None
        # Last throttle order by task and run; it has no effect on the run.
        self.throttle_percents: dict[tuple[str, int], int] = {}
        # Load that is reported for the runs of a task.
        self.loads: dict[str, int] = {}
        self._highest_epoch = 0
        self._lease_end_ms = 0
        self._last_end_number = 0
        self._highest_stopped_runs: dict[str, int] = {}

    def make_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.router.add_post('/api/run-start', self._start)
        application.router.add_post('/api/run-stop', self._stop)
        application.router.add_post('/api/hold', self._report)
        application.router.add_post('/api/pace', self._throttle)
        return application

    @property
    def clock_ms(self) -> int:
        """Return the milliseconds since the worker started."""
        return int(time.time() * MS_PER_S) - self.started_unix_ms

    async def _start(self, request: web.Request) -> web.Response:
        body = await self._authorize(request)
        key = (body['task'], body['run'])
        if key in self.running:
            return self._response()
        if body['deadline-ms'] < self.clock_ms:
            return self._rejection('late')
        if self.make_ticket is not None:
            step = body['task'].rpartition('.')[0]
            if body.get('ticket') != self.make_ticket(step, self.worker_id):
                return self._rejection('ticket')
        if body['run'] <= self._highest_stopped_runs.get(body['task'], 0):
            return self._rejection('old')
        self._lease_end_ms = max(self._lease_end_ms, body['deadline-ms'])
        self.started_runs.append((*key, body['fence']))
        self.history.append((time.time(), 'begin', *key))
        checkpoint = body.get('checkpoint', '')
        self.start_orders.append(
            StartOrder(body['task'], body['spec'], checkpoint)
        )
        duration, _, word = body['spec'].partition(' ')
        self.running[key] = StandinRun(
            *key, time.time(), float(duration), checkpoint, word == 'saves'
        )
        if self.fails_every_run:
            self._end(key, 'failed')
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            request.transport.close()
        return self._response()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await self._authorize(request)
        key = (body['task'], body['run'])
        task, run = key
        self._highest_stopped_runs[task] = max(
            self._highest_stopped_runs.get(task, 0), run
        )
        if key in self.running:
            self._end(key, 'stopped')
        return self._response()

    async def _report(self, request: web.Request) -> web.Response:
        body = await self._authorize(request)
        self._lease_end_ms = max(self._lease_end_ms, body.get('deadline-ms', 0))
        self.ended = [
            row for row in self.ended if row[0] > body['acked-through']
        ]
        end_s = time.time() + body.get('wait-ms', 0) / MS_PER_S
        self._end_finished_runs()
        while not self.ended and time.time() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._end_finished_runs()
        rows = [
            [
                run.task,
                run.run_number,
                self._make_checkpoint(run),
                self._progress_percent(run),
                self.loads.get(run.task, 0),
            ]
            for run in self.running.values()
        ]
        return self._response(
            running=rows, ended=self.ended[:MAX_ENDS_PER_REPORT]
        )

    async def _throttle(self, request: web.Request) -> web.Response:
        body = await self._authorize(request)
        self.throttle_percents[(body['task'], body['run'])] = body['percent']
        return self._response()

    async def _authorize(self, request: web.Request) -> dict[str, Any]:
        if request.headers.get('X-Expect-Instance') != self.worker_id:
            raise web.HTTPMisdirectedRequest()
        body = await request.json()
        if body.get('fence', 0) < self._highest_epoch:
            raise web.HTTPConflict(
                text=msgspec.json.encode(
                    {'clock-ms': self.clock_ms, 'reason': 'fence'}
                ).decode()
            )
        self._highest_epoch = body['fence']
        return body

    def _end_finished_runs(self) -> None:
        for key, run in tuple(self.running.items()):
            done_at_s = run.started_at_s + run.duration_s
            lapses_at_s = (self.started_unix_ms + self._lease_end_ms) / MS_PER_S
            # Checked when a report is asked for, perhaps long after both.
            if time.time() >= min(done_at_s, lapses_at_s):
                is_done = done_at_s <= lapses_at_s
                self._end(key, 'done' if is_done else 'lapsed')

    def _end(self, key: tuple[str, int], end_kind: str) -> None:
        checkpoint = self._make_checkpoint(self.running.pop(key))
        self.history.append((time.time(), end_kind, *key))
        self._last_end_number += 1
        self.ended.append([self._last_end_number, *key, end_kind, checkpoint])

    def _make_checkpoint(self, run: StandinRun) -> str:
        """Return the last checkpoint of ``run``, a new one each second."""
        seconds = int(time.time() - run.started_at_s)
        if run.is_checkpointing and seconds:
            run.checkpoint = f'{run.task}/{run.run_number}/{seconds}'
            self.checkpoints.add((run.task, run.checkpoint))
        return run.checkpoint

    def _progress_percent(self, run: StandinRun) -> int:
        return int(
            100 * (time.time() - run.started_at_s) / max(run.duration_s, 1e-3)
        )

    def _response(self, **fields: Any) -> web.Response:
        return web.json_response(
            {'clock-ms': self.clock_ms, 'born': self.started_unix_ms, **fields}
        )

    def _rejection(self, reason: str) -> web.Response:
        return web.json_response(
            {'clock-ms': self.clock_ms, 'reason': reason}, status=409
        )
